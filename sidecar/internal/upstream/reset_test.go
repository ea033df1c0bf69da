package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/wire"
)

// longRequestBytes is more than the buffers of a connection to an upstream that stops reading
// take, so that the request is still being written when it is answered.
const longRequestBytes = 4 << 20

// doLong sends a long request and returns the body of its answer.
func doLong(url string) (string, error) {
	response, err := NewClient().Do(context.Background(), url, &wire.RunRequest{
		Method: http.MethodPost,
		Path:   "/",
	}, make([]byte, longRequestBytes))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	return string(body), err
}

// TestResetAnswerIsNotWhole guards against a part of an answer without a length that looks
// whole, since the transport's writer takes the reset while it writes a long request. The
// answer ends between two events, before a half or all of the request is read.
func TestResetAnswerIsNotWhole(t *testing.T) {
	is := is.New(t)
	for round := range 60 {
		url := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			_, _ = io.CopyN(io.Discard, request.Body, int64(round%3)*longRequestBytes/4)
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\nid: 1\ndata: x\n\n")
			time.Sleep(time.Duration(round%4) * time.Millisecond)
			_ = c.(*net.TCPConn).SetLinger(0)
		})
		_, err := doLong(url)
		is.True(err != nil)
	}
}

// TestEarlyAnswerArrives guards against a whole answer that is dropped, or held back, because
// its upstream ends it in order before it has read the request.
func TestEarlyAnswerArrives(t *testing.T) {
	is := is.New(t)
	for round := range 20 {
		text := strings.Repeat("id: 1\ndata: x\n\n", 1+100*round)
		url := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
			if _, err := http.ReadRequest(r); err != nil {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"+text)
			_ = c.(*net.TCPConn).CloseWrite()
			time.Sleep(100 * time.Millisecond) // the connection is kept, and nothing read
		})
		started := time.Now()
		body, err := doLong(url)
		is.NoErr(err)
		is.Equal(body, text)
		is.True(time.Since(started) < time.Second)
	}
}
