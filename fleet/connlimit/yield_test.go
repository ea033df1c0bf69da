package connlimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestBusyPeerYields guards against a host that keeps others out by connections whose requests follow
// each other without a pause. Its answers are not cut.
func TestBusyPeerYields(t *testing.T) {
	is := is.New(t)
	const most = 4
	begun, release := make(chan struct{}, 100*most), make(chan struct{})
	s := newHandlerServer(t, Limits{
		Conns:     most,
		HeldBytes: 1 << 20,
	}, func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			begun <- struct{}{}
			<-release
		}
	})
	callers := make([]net.Conn, 0, most)
	for range most {
		callers = append(callers, s.dial(t, crowdHost, strings.Repeat("GET /slow HTTP/1.1\r\nHost: a\r\n\r\n", 100)))
		<-begun
	}
	ordinary := s.dial(t, otherHost, whole)
	is.Equal(status(ordinary), http.StatusOK)
	is.True(s.listener.Open() <= most+1)
	close(release)
	ended := make(chan int, most) // answers on a connection that ended
	for _, c := range callers {
		go func() {
			_ = c.SetReadDeadline(time.Now().Add(10 * time.Second))
			reader := bufio.NewReader(c)
			for n := 1; n <= 100; n++ {
				response, err := http.ReadResponse(reader, nil)
				if err != nil || response.StatusCode != http.StatusOK {
					ended <- -1
					return
				}
				_, _ = io.Copy(io.Discard, response.Body)
				if response.Close {
					ended <- n
					return
				}
			}
		}()
	}
	is.True(<-ended > 0)
}
