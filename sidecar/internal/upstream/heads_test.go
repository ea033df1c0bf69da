package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/wire"
)

// checkNoAnswer has an upstream answer a request with a text and keep the connection open or close
// it. The request must fail at once as one that may have run, and its connection be closed.
func checkNoAnswer(t *testing.T, text string, keepOpen bool) {
	t.Helper()
	is := is.New(t)
	closed := make(chan struct{})
	url := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
		defer close(closed)
		if _, err := http.ReadRequest(r); err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		if keepOpen {
			_, _ = io.Copy(io.Discard, r)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	response, err := NewClient().Do(ctx, url, &wire.RunRequest{
		Method: http.MethodPost,
		Path:   "/",
	}, nil)
	if err == nil {
		response.Body.Close()
	}
	is.True(err != nil)
	is.True(!errors.Is(err, ErrNotSent))
	is.NoErr(ctx.Err()) // it isn't waited for
	<-closed            // the connection isn't kept
}

// TestInvalidStatusIsNoAnswer guards against an answer whose status isn't that of a final answer
// of HTTP, and that net/http's transport hands on: the run would be recorded as done.
func TestInvalidStatusIsNoAnswer(t *testing.T) {
	for _, status := range []string{"000", "-00", "001", "+20", "099", "101", "600", "999"} {
		for name, rest := range map[string]string{
			"length":    "Content-Length: 3\r\n\r\nyes",
			"empty":     "Content-Length: 0\r\n\r\n",
			"chunks":    "Transfer-Encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
			"no length": "\r\nyes",
		} {
			for _, keepOpen := range []bool{true, false} {
				t.Run(status+" "+name+", open "+strconv.FormatBool(keepOpen), func(t *testing.T) {
					checkNoAnswer(t, "HTTP/1.1 "+status+" x\r\n"+rest, keepOpen)
				})
			}
		}
	}
}

// TestSpaceInHeaderNameIsNoAnswer guards against a space in the name of the header that frames an
// answer: a part of the body looked whole, or its chunks were taken for it.
func TestSpaceInHeaderNameIsNoAnswer(t *testing.T) {
	for name, rest := range map[string]string{
		"length": "Content-Length : 12\r\n\r\ntwelve",
		"tab":    "Content-Length\t: 12\r\n\r\ntwelve",
		"chunks": "Transfer-Encoding : chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n",
	} {
		for _, keepOpen := range []bool{true, false} {
			t.Run(name+", open "+strconv.FormatBool(keepOpen), func(t *testing.T) {
				checkNoAnswer(t, "HTTP/1.1 200 OK\r\n"+rest, keepOpen)
			})
		}
	}
}
