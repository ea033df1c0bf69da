package soak

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"baobabpaddle/fleet/call"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/platform"
)

// Limits of callers.
const (
	callerWait = 4 * time.Second
	// gapWait is how long a caller waits for another part of an answer.
	gapWait = 2500 * time.Millisecond
	// mostEvents is the length of the longest stream.
	mostEvents = 60
)

// caller sends one request after the other, and keeps its connection open for as long
// as the other side does.
type caller struct {
	soak    *Soak
	gateway int
	random  *rand.Rand
	conn    net.Conn
	reader  *bufio.Reader
	sent    int
}

// run sends requests until the context ends.
func (c *caller) run(ctx context.Context) {
	defer c.hangUp()
	for ctx.Err() == nil {
		pause := time.Duration(c.random.IntN(30)) * time.Millisecond
		if retry := c.ask(c.pick()); retry > 0 {
			pause = min(retry, time.Second)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
	}
}

// pick draws a request.
func (c *caller) pick() *Attempt {
	c.sent++
	kinds := []Kind{Book, Book, Look, Chat, Chat, Draft}
	return &Attempt{
		ID:      fmt.Sprintf("%x-%x", c.random.Uint64(), c.sent),
		Kind:    kinds[c.random.IntN(len(kinds))],
		Gateway: c.gateway,
		Key:     c.soak.operator.key(c.random),
		Events:  1 + c.random.IntN(mostEvents),
	}
}

func (c *caller) hangUp() {
	if c.conn != nil {
		c.conn.Close()
		c.conn = nil
	}
}

// ask sends a request and records what comes back. It returns when to come back.
func (c *caller) ask(a *Attempt) time.Duration {
	if c.conn == nil {
		conn, err := net.DialTimeout("tcp", c.soak.fleet.gateways[c.gateway].listen, time.Second)
		if err != nil {
			return 50 * time.Millisecond // nothing was sent
		}
		c.conn = conn
		c.reader = bufio.NewReader(conn)
	}
	a.Sent = time.Now()
	c.soak.ledger.RecordSent(a)
	status, whole, body, header, err := c.exchange(a)
	c.soak.ledger.RecordEnd(a, func() {
		a.Status, a.Complete, a.Body = status, whole, body
		if err != nil {
			a.Err = err.Error()
			// The caller gave up, and not the gateway.
			a.TimedOut = strings.Contains(a.Err, "timeout")
		}
	})
	if err != nil || header.Get("Connection") == "close" {
		c.hangUp()
	}
	seconds, err := strconv.ParseFloat(header.Get("Retry-After"), 64)
	if err != nil {
		return 0 // none is asked for
	}
	return time.Duration(seconds * float64(time.Second))
}

// exchange sends the request and reads the answer. Whole tells that the framing says
// so.
func (c *caller) exchange(a *Attempt) (status int, whole bool, body string, header http.Header, err error) {
	request, err := http.NewRequest(http.MethodPost, "http://soak.example/"+string(a.Kind)+"/"+a.ID, strings.NewReader("body of "+a.ID))
	if err != nil {
		return 0, false, "", nil, err
	}
	told := call.Call{
		ID:      a.ID,
		Key:     a.Key,
		Timeout: callerWait,
	}
	if a.Kind.stream() {
		told.Prompt = dispatch.Prompt{
			Segments: []dispatch.PromptSegment{{
				ID:     uint64(1 + c.random.IntN(20)),
				Tokens: 200,
			}, {
				ID:     c.random.Uint64(),
				Tokens: 100,
			}},
			Tokens:    300,
			MaxOutput: a.Events,
		}
	}
	platform.Opposite{}.WriteCall(request.Header, told)
	deadline := time.Now().Add(callerWait + time.Second)
	if err := c.conn.SetDeadline(deadline); err != nil {
		return 0, false, "", nil, err
	}
	if err := request.Write(c.conn); err != nil {
		return 0, false, "", nil, err
	}
	response, err := http.ReadResponse(c.reader, request)
	if err != nil {
		return 0, false, "", nil, err
	}
	defer response.Body.Close()
	var text strings.Builder
	buffer := make([]byte, 4<<10)
	for {
		if err := c.conn.SetReadDeadline(time.Now().Add(gapWait)); err != nil {
			return response.StatusCode, false, text.String(), response.Header, err
		}
		n, err := response.Body.Read(buffer)
		text.Write(buffer[:n])
		if err == io.EOF {
			framed := response.ContentLength >= 0 || len(response.TransferEncoding) > 0
			return response.StatusCode, framed, text.String(), response.Header, nil
		}
		if err != nil {
			return response.StatusCode, false, text.String(), response.Header, err
		}
	}
}
