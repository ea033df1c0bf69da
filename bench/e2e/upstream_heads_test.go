package e2e

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/bench/internal/local"
	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/resource"
)

// longUploadBytes is more than the buffers of a connection to an upstream that stops reading take.
const longUploadBytes = 4 << 20

// scriptedUpstream answers each path once with the text that is set for it, and then, and all
// other paths, with the body "whole".
type scriptedUpstream struct {
	listener net.Listener

	mu      sync.Mutex
	scripts map[string]func(c *net.TCPConn, body io.Reader)
}

// startScripted starts a fleet whose only upstream of the service booking is a scripted one.
func startScripted(t *testing.T) (*local.Fleet, *scriptedUpstream) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	t.Cleanup(func() { l.Close() })
	u := &scriptedUpstream{
		listener: l,
		scripts:  make(map[string]func(*net.TCPConn, io.Reader)),
	}
	go u.accept()
	resources := resourcesFor(t, upstreams{
		bookings:   1,
		maxRunning: 4,
	})
	f := startFleet(t, local.Plan{
		Controllers: 1,
		Gateways:    1,
		Resources:   resources,
	})
	for i, r := range resources {
		switch {
		case r.Kind == resource.KindService && r.Name == "booking":
			resources[i] = newResource(t, r.Kind, r.Name, resource.Service{
				Type:         resource.ServicePlain,
				MaxBodyBytes: 2 * longUploadBytes,
			})
		case r.Kind == resource.KindUpstream:
			spec := *upstreamOf(t, f, r.Name)
			spec.URL = "http://" + l.Addr().String()
			resources[i] = newResource(t, r.Kind, r.Name, spec)
		}
	}
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	is.NoErr(f.Apply(ctx, resources))
	eventually(t, "the scripted upstream serves", func() bool {
		r := call(t.Context(), http.MethodGet, "http://"+f.Addresses.Gateways[0]+"/booking/x", "team-0", "")
		return string(r.body) == "whole"
	})
	return f, u
}

// accept serves connections.
func (u *scriptedUpstream) accept() {
	for {
		c, err := u.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				return
			}
			u.mu.Lock()
			script := u.scripts[r.URL.Path]
			delete(u.scripts, r.URL.Path)
			u.mu.Unlock()
			if script != nil {
				script(c.(*net.TCPConn), r.Body)
				return
			}
			_, _ = io.Copy(io.Discard, r.Body)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nwhole")
		}()
	}
}

// set sets the script for the next request of a path.
func (u *scriptedUpstream) set(path string, script func(c *net.TCPConn, body io.Reader)) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.scripts[path] = script
}

// callUntilRun is like call, and repeats a request that was refused without running, as it is while
// there is no quorum.
func callUntilRun(ctx context.Context, method, url, body string, header ...string) reply {
	for {
		r := call(ctx, method, url, "team-0", body, header...)
		if r.err != nil || r.problem().Run != problem.NotRun {
			return r
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// checkFailure sends a lookup and a booking, each answered by the script. The lookup must get the
// whole answer of its second attempt, and the booking and its repeat the problem that its outcome
// is unknown.
func checkFailure(t *testing.T, f *local.Fleet, u *scriptedUpstream, id, body string, script func(c *net.TCPConn, body io.Reader)) {
	t.Helper()
	is := is.New(t)
	url := "http://" + f.Addresses.Gateways[0] + "/booking"
	ctx, cancel := context.WithTimeout(t.Context(), waitTimeout)
	defer cancel()
	u.set("/lookup", script)
	lookup := callUntilRun(ctx, http.MethodPut, url+"/lookup", body)
	is.NoErr(lookup.err)
	is.Equal(lookup.status, http.StatusOK)
	is.Equal(string(lookup.body), "whole")
	u.set("/book", script)
	for range 2 {
		booking := callUntilRun(ctx, http.MethodPost, url+"/book", body, "Idempotency-Key", id)
		is.NoErr(booking.err)
		is.Equal(booking.status, http.StatusGatewayTimeout)
		is.Equal(booking.problem().Code, problem.OutcomeUnknown)
	}
	var outcome struct {
		Run string `json:"run"`
	}
	eventually(t, "the outcome is recorded", func() bool {
		record := call(ctx, http.MethodGet, "http://"+f.Addresses.Gateways[0]+"/v1/requests/booking:"+id, "team-0", "")
		return record.err == nil && record.status == http.StatusOK && json.Unmarshal(record.body, &outcome) == nil &&
			outcome.Run != "claimed"
	})
	is.Equal(outcome.Run, "unknown")
}

// TestInvalidStatusReachesNoCaller guards against an upstream's answer with a status that isn't
// one of HTTP and that ends the caller's connection, reaches the caller or counts as a booking.
func TestInvalidStatusReachesNoCaller(t *testing.T) {
	t.Parallel()
	f, u := startScripted(t)
	for _, status := range []string{"000", "+20", "099", "101", "600", "999"} {
		t.Run(status, func(t *testing.T) {
			checkFailure(t, f, u, "status-"+strings.TrimPrefix(status, "+"), "{}", func(c *net.TCPConn, body io.Reader) {
				_, _ = io.Copy(io.Discard, body)
				_, _ = io.WriteString(c, "HTTP/1.1 "+status+" x\r\nContent-Type: text/plain\r\nContent-Length: 3\r\n\r\nyes")
				_, _ = io.Copy(io.Discard, c) // until the sidecar closes the connection
			})
		})
	}
}

// TestAnswerResetDuringUploadIsNotWhole guards against an upstream that answers a long upload at
// once, before it reads its body, with a success without a length, and resets the connection
// between two writes of the upload: the part of the answer looked whole.
func TestAnswerResetDuringUploadIsNotWhole(t *testing.T) {
	t.Parallel()
	f, u := startScripted(t)
	url := "http://" + f.Addresses.Gateways[0] + "/booking"
	upload := strings.Repeat("b", longUploadBytes)
	for round := range 40 {
		script := func(c *net.TCPConn, _ io.Reader) {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n")
			time.Sleep(time.Duration(round%5) * time.Millisecond)
			_ = c.SetLinger(0)
		}
		team := fmt.Sprintf("team-%d", round%4)
		for path, method := range map[string]string{
			"/lookup": http.MethodPut,
			"/book":   http.MethodPost,
		} {
			u.set(path, script)
			r := call(t.Context(), method, url+path, team, upload)
			if r.err == nil && r.status == http.StatusOK && string(r.body) != "whole" {
				t.Errorf("%s: the caller got %d bytes that look whole", path, len(r.body))
			}
		}
	}
}
