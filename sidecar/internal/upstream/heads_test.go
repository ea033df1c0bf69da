package upstream

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
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

// TestChunksOfOldVersionAreNoBody guards against the marks of chunks in a body, and a part of it
// that looks whole: net/http ignores Transfer-Encoding in an answer of a version before HTTP/1.1.
func TestChunksOfOldVersionAreNoBody(t *testing.T) {
	for _, version := range []string{"HTTP/1.0", "HTTP/0.9"} {
		for name, extra := range map[string]string{
			"chunks":            "",
			"chunks and length": "Content-Length: 3\r\n",
			"after a long head": "X: " + strings.Repeat("x", 3000) + "\r\n",
		} {
			for _, keepOpen := range []bool{true, false} {
				t.Run(version+" "+name+", open "+strconv.FormatBool(keepOpen), func(t *testing.T) {
					checkNoAnswer(t, version+" 200 OK\r\n"+extra+"transfer-encoding: chunked\r\n\r\n3\r\nyes\r\n0\r\n\r\n", keepOpen)
				})
			}
		}
	}
}

// TestAnswerOfOldVersion checks that answers of HTTP/1.0 arrive.
func TestAnswerOfOldVersion(t *testing.T) {
	for name, rest := range map[string]string{
		"length":    "Content-Length: 27\r\n\r\n",
		"no length": "\r\n",
		"long head": "X: " + strings.Repeat("x", 8000) + "\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const body = "Transfer-Encoding: chunked\n"
			url := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
				if _, err := http.ReadRequest(r); err == nil {
					_, _ = io.WriteString(c, "HTTP/1.0 200 OK\r\n"+rest+body)
				}
			})
			response, err := NewClient().Do(context.Background(), url, &wire.RunRequest{
				Method: http.MethodPost,
				Path:   "/",
			}, nil)
			is.NoErr(err)
			defer response.Body.Close()
			got, err := io.ReadAll(response.Body)
			is.NoErr(err)
			is.Equal(string(got), body)
		})
	}
}

// TestFaultyFramingIsNoAnswer guards against a head whose version, status or framing is faulty and
// that is taken for an answer, or waited for until the deadline.
func TestFaultyFramingIsNoAnswer(t *testing.T) {
	for name, head := range map[string]string{
		"two lengths":         "HTTP/1.1 200 OK\r\nContent-Length: 3\r\nContent-Length: 2\r\n",
		"a list of lengths":   "HTTP/1.1 200 OK\r\nContent-Length: 3, 2\r\n",
		"a negative length":   "HTTP/1.1 200 OK\r\nContent-Length: -3\r\n",
		"a signed length":     "HTTP/1.1 200 OK\r\nContent-Length: +3\r\n",
		"an endless length":   "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n",
		"an empty length":     "HTTP/1.1 200 OK\r\nContent-Length: \r\n",
		"another coding":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n",
		"two codings":         "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
		"no header name":      "HTTP/1.1 200 OK\r\n: x\r\nContent-Length: 3\r\n",
		"a line, no header":   "HTTP/1.1 200 OK\r\nfoo bar\r\nContent-Length: 3\r\n",
		"four digits":         "HTTP/1.1 2000 OK\r\nContent-Length: 3\r\n",
		"two digits":          "HTTP/1.1 20 OK\r\nContent-Length: 3\r\n",
		"no status":           "HTTP/1.1 OK\r\nContent-Length: 3\r\n",
		"no version":          "200 OK\r\nContent-Length: 3\r\n",
		"a version in lower":  "http/1.1 200 OK\r\nContent-Length: 3\r\n",
		"a long version":      "HTTP/1.10 200 OK\r\nContent-Length: 3\r\n",
		"a version, no point": "HTTP/11 200 OK\r\nContent-Length: 3\r\n",
		"another protocol":    "\x15\x03\x01\x00\x02\x02\n",
	} {
		for _, keepOpen := range []bool{true, false} {
			t.Run(name+", open "+strconv.FormatBool(keepOpen), func(t *testing.T) {
				checkNoAnswer(t, head+"\r\nyes", keepOpen)
			})
		}
	}
}
