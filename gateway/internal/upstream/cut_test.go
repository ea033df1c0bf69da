package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// wholeAnswers are complete answers to the request "a".
var wholeAnswers = map[string]string{
	"with a length":           "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 12\r\n\r\ntwelve bytes",
	"in chunks":               "HTTP/1.1 200 OK\r\nAttempt: a\r\nTransfer-Encoding: chunked\r\n\r\n1a;x=y\r\nabcdefghijklmnopqrstuvwxyz\r\n2\r\nyz\r\n0\r\n\r\n",
	"in chunks, with trailer": "HTTP/1.1 200 OK\r\nAttempt: a\r\nTransfer-Encoding: chunked\r\nTrailer: T\r\n\r\n3\r\nabc\r\n0\r\nT: v\r\n\r\n",
	"after interim answers":   "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\nHTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 3\r\n\r\nyes",
	"after a foreign answer":  "HTTP/1.1 200 OK\r\nAttempt: b\r\nContent-Length: 2\r\n\r\nno" + "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 3\r\n\r\nyes",
	"with an empty body":      "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Length: 0\r\n\r\n",
	"without a body":          "HTTP/1.1 204 No Content\r\nAttempt: a\r\n\r\n",
	"with a folded header":    "HTTP/1.1 200 OK\r\nAttempt: a\r\nX: one\r\n two\r\nContent-Length: 3\r\n\r\nyes",
	"with bare line feeds":    "HTTP/1.1 200 OK\nAttempt: a\nContent-Length: 3\n\nyes",
}

// TestCutAnswersAreIncomplete guards against an answer that an upstream cuts off at any byte,
// in its head, a chunk size or its body, and that looks whole, on new and on kept connections.
func TestCutAnswersAreIncomplete(t *testing.T) {
	for name, text := range wholeAnswers {
		for _, kept := range []bool{false, true} {
			t.Run(name+", kept "+strconv.FormatBool(kept), func(t *testing.T) {
				is := is.New(t)
				for cut := range len(text) + 1 {
					u := serve(t, func(_ int64, w net.Conn, _ *bufio.Reader, r *http.Request) bool {
						if id := r.Header.Get(idHeader); id != "a" {
							write(w, answerFor(id, "yes"))
							return true
						}
						write(w, text[:cut])
						return false
					})
					c := newClient()
					if kept {
						_, err := exchange(t, c, u.address(), request("first", ""))
						is.NoErr(err)
					}
					_, err := exchange(t, c, u.address(), request("a", ""))
					is.Equal(err == nil, cut == len(text))
					is.Equal(u.conns.Load(), int64(1))
					u.listener.Close()
				}
			})
		}
	}
}

// TestCutHeadsAreNoAnswers guards against the head of an answer without a length that is cut
// off at any byte, by an orderly end or a reset, and is taken for an answer with an empty body.
func TestCutHeadsAreNoAnswers(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nAttempt: a\r\nContent-Type: text/event-stream\r\n\r\n"
	for _, method := range []string{http.MethodPost, http.MethodHead} {
		for name, reset := range map[string]bool{
			"closed": false,
			"reset":  true,
		} {
			t.Run(method+" "+name, func(t *testing.T) {
				is := is.New(t)
				for cut := range len(head) {
					u := serve(t, func(_ int64, w net.Conn, _ *bufio.Reader, _ *http.Request) bool {
						write(w, head[:cut])
						if reset {
							time.Sleep(time.Millisecond)
							_ = w.(*net.TCPConn).SetLinger(0)
						}
						return false
					})
					r := request("a", "")
					r.Method = method
					r.Head = []byte(strings.Replace(string(r.Head), http.MethodPost, method, 1))
					_, err := exchange(t, newClient(), u.address(), r)
					is.True(err != nil)
					u.listener.Close()
				}
			})
		}
	}
}

// TestCutAnswerInSmallPartsIsIncomplete guards against a cut that depends on how the bytes
// arrive: each is sent by itself, and the last one is missing.
func TestCutAnswerInSmallPartsIsIncomplete(t *testing.T) {
	for name, text := range wholeAnswers {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			u := serve(t, func(_ int64, w net.Conn, _ *bufio.Reader, _ *http.Request) bool {
				for i := range len(text) - 1 {
					_, _ = io.WriteString(w, text[i:i+1])
					time.Sleep(100 * time.Microsecond)
				}
				return false
			})
			_, err := exchange(t, newClient(), u.address(), request("a", ""))
			is.True(err != nil)
		})
	}
}
