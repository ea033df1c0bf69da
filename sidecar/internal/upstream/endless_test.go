package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"baobabpaddle/fleet/wire"
)

// TestEndlessHeads guards against an upstream that sends the head of an answer without an end,
// all of which the sidecar keeps until it runs out of memory.
func TestEndlessHeads(t *testing.T) {
	for name, c := range map[string]struct {
		begin string
		text  string
	}{
		"no answer": {
			text: "\x00\x01\x02",
		},
		"one line": {
			text: "x",
		},
		"one header": {
			begin: "HTTP/1.1 200 OK\r\nA: ",
			text:  "x",
		},
		"many headers": {
			begin: "HTTP/1.1 200 OK\r\n",
			text:  "A: b\r\n",
		},
		"interim answers": {
			text: "HTTP/1.1 103 Early Hints\r\nLink: </x>\r\n\r\n",
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var sent atomic.Int64
			closed := make(chan struct{})
			url := startUpstream(t, func(w net.Conn, r *bufio.Reader) {
				defer close(closed)
				if _, err := http.ReadRequest(r); err != nil {
					return
				}
				_ = w.(*net.TCPConn).SetWriteBuffer(16 << 10)
				_, _ = io.WriteString(w, c.begin)
				block := []byte(strings.Repeat(c.text, 1+4096/len(c.text)))
				for sent.Load() < 64<<20 {
					n, err := w.Write(block)
					if sent.Add(int64(n)); err != nil {
						return
					}
				}
			})
			_, err := NewClient().Do(context.Background(), url, &wire.RunRequest{
				Method: http.MethodPost,
				Path:   "/",
			}, nil)
			is.True(err != nil)
			<-closed
			t.Logf("%d bytes sent", sent.Load())
			is.True(sent.Load() < 8<<20) // the buffers of the connection and the limit on heads
		})
	}
}
