package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/wire"
)

// startUpstream starts an upstream that passes each connection to a function and closes it
// afterwards. It returns the upstream's URL.
func startUpstream(t *testing.T, serve func(c net.Conn, r *bufio.Reader)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, bufio.NewReader(c))
			}()
		}
	}()
	return "http://" + l.Addr().String()
}

// TestDuplicateAnswerReachesNoOtherRequest guards against an answer that an upstream writes
// again when it receives the next request on a connection, and that is taken for the answer to
// that request, which may be another team's. No header tells the two apart.
func TestDuplicateAnswerReachesNoOtherRequest(t *testing.T) {
	for _, status := range []string{"200 OK", "503 Service Unavailable", "429 Too Many Requests"} {
		for name, idempotent := range map[string]bool{
			"idempotent": true,
			"claimed":    false,
		} {
			t.Run(status+", "+name, func(t *testing.T) {
				is := is.New(t)
				url := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
					last := ""
					for {
						request, err := http.ReadRequest(r)
						if err != nil {
							return
						}
						answer := "HTTP/1.1 " + status + "\r\nContent-Length: 2\r\n\r\n" + request.URL.Path
						_, _ = io.WriteString(c, last+answer)
						last = answer
					}
				})
				client := NewClient()
				for _, path := range []string{"/a", "/b", "/c"} {
					response, err := client.Do(context.Background(), url, &wire.RunRequest{
						Method:     http.MethodPost,
						Path:       path,
						Idempotent: idempotent,
					}, nil)
					is.NoErr(err)
					body, err := io.ReadAll(response.Body)
					is.NoErr(err)
					response.Body.Close()
					is.Equal(string(body), path)
				}
			})
		}
	}
}

// TestCutAnswersAreIncomplete guards against an answer that an upstream cuts off at any byte,
// in its head, a chunk size or its body, and that looks whole.
func TestCutAnswersAreIncomplete(t *testing.T) {
	for name, text := range map[string]string{
		"with a length":         "HTTP/1.1 200 OK\r\nContent-Length: 12\r\n\r\ntwelve bytes",
		"in chunks":             "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1a\r\nabcdefghijklmnopqrstuvwxyz\r\n2\r\nyz\r\n0\r\n\r\n",
		"after interim answers": "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nyes",
		"without a length":      "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
	} {
		for _, idempotent := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				is := is.New(t)
				for cut := range len(text) + 1 {
					url := startUpstream(t, func(c net.Conn, r *bufio.Reader) {
						if _, err := http.ReadRequest(r); err != nil {
							return
						}
						_, _ = io.WriteString(c, text[:cut])
					})
					response, err := NewClient().Do(context.Background(), url, &wire.RunRequest{
						Method:     http.MethodPost,
						Path:       "/",
						Idempotent: idempotent,
					}, nil)
					if err == nil {
						_, err = io.Copy(io.Discard, response.Body)
						response.Body.Close()
					}
					is.Equal(err == nil, cut == len(text))
				}
			})
		}
	}
}
