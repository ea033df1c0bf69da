package serve

import (
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPaceCoversSlowStreams has one stream in ten take three times as long, as with a few
// slow upstreams. The estimate that a drain uses must cover the slow streams, or they
// would be cut off, and fall again once all streams are fast.
func TestPaceCoversSlowStreams(t *testing.T) {
	is := is.New(t)
	const tokens = 400
	var p tokenPace
	for i := range 200 {
		took := 2 * time.Second
		if i%10 == 0 {
			took *= 3
		}
		p.observe(tokens, took)
	}
	is.True(p.estimate(tokens) >= 6*time.Second)
	for range 400 {
		p.observe(tokens, 2*time.Second)
	}
	is.True(p.estimate(tokens) < 4*time.Second)
}

// TestPaceOfResumedStream guards against a pace that is taken from the last of the upstreams
// that a stream was at: one that sent no event would make all later streams seem endless.
func TestPaceOfResumedStream(t *testing.T) {
	for name, rest := range map[string]string{
		"without another event": "",
		"with one more event":   "id: 41\ndata: y\n\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			const pause = 200 * time.Millisecond
			slow := func(w net.Conn, r *http.Request) bool {
				eventStream("id: 1\ndata: x\n\n", false)(w, r)
				time.Sleep(pause)
				_, _ = io.WriteString(w, "10\r\nid: 40\ndata: x\n\n\r\n")
				return false
			}
			g := newTestGateway(t, slow, eventStream(rest, true))
			_, _, err := g.send("/chat/", "X-Api-Key", "key-1")
			is.NoErr(err)
			took := time.Duration(float64(g.handler.pace.estimate(40)) / paceMargin)
			is.True(took >= 9*pause/10)
			is.True(took < 10*pause)
		})
	}
}
