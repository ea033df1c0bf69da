package serve

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"runtime"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/configuration"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/fleet/steady"
	"baobabpaddle/gateway/internal/controller"
)

// crowdedVariable is set in the process of a crowded gateway to the address of its upstream.
const crowdedVariable = "BAOBABPADDLE_TEST_CROWDED_UPSTREAM"

// changeInterval is the interval between two configurations of a crowded gateway.
const changeInterval = 100 * time.Millisecond

// crowdedDocuments are the configurations of a crowded gateway, in turn. They differ in the time
// limits of their routes and in the time that a connection may be idle.
func crowdedDocuments() []string {
	const document = `{"version":%d,
	"routes":[
		{"name":"book","host":"a","path_prefix":"/book/","kind":"unsafe","timeout_ms":%d,"service":"desk","max_upstreams":1,"without_key":true},
		{"name":"look","host":"a","path_prefix":"/look/","kind":"safe","timeout_ms":%d,"service":"desk","max_upstreams":2,"without_key":true}],
	"services":[{"name":"desk"}],
	"limits":{"max_body_bytes":100000,"idle_timeout_ms":%d}}`
	return []string{
		fmt.Sprintf(document, 1, 2000, 2000, 60_000),
		fmt.Sprintf(document, 2, 700, 700, 300),
	}
}

// changingScheduler is a fakeScheduler whose configuration is replaced while it is used.
type changingScheduler struct {
	fakeScheduler
	current atomic.Pointer[controller.View]
}

func (s *changingScheduler) View() *controller.View { return s.current.Load() }

// newChangingScheduler returns a scheduler that sends all requests to the upstream with the address, and
// a function that replaces its configuration every changeInterval.
func newChangingScheduler(address string) (s *changingScheduler, change func(), err error) {
	var views []*controller.View
	for _, document := range crowdedDocuments() {
		parsed, err := configuration.Parse([]byte(document))
		if err != nil {
			return nil, nil, err
		}
		views = append(views, &controller.View{
			Table: configuration.NewTable(parsed),
			Upstreams: map[string]dispatch.Upstream{
				"a": {
					ID:      "a",
					Address: address,
					Version: "v1",
				},
			},
			ProvenUntil: steady.Now().Add(time.Hour),
			Gateways:    1,
		})
	}
	s = &changingScheduler{
		fakeScheduler: fakeScheduler{
			order: []string{"a"},
		},
	}
	s.current.Store(views[0])
	change = func() {
		for i := 1; ; i++ {
			time.Sleep(changeInterval)
			s.current.Store(views[i%len(views)])
		}
	}
	return s, change, nil
}

// serveCrowdedGateway is a gateway with a limit of starvedMaxOpen connections on one processor that others
// use, until the standard input ends. It prints its address.
func serveCrowdedGateway(address string) error {
	runtime.GOMAXPROCS(1)
	scheduler, change, err := newChangingScheduler(address)
	if err != nil {
		return err
	}
	limits := testLimits
	limits.TotalBodyBytes = 64 << 20
	go change()
	return serveBusy(scheduler, Settings{
		MaxConns: starvedMaxOpen,
		Limits:   limits,
	}, busyGoroutines)
}

// crowd is what the callers of a crowded gateway got.
type crowd struct {
	crowdCounts
	passed    sync.Map     // identifiers of the requests that the upstream had
	passedOn  atomic.Int64 // closed without an answer though the upstream had the request
	truncated atomic.Int64 // answers that end before their whole length
	ids       atomic.Int64
}

// longestAnswer is how long the upstream of a crowded gateway takes at most.
const longestAnswer = 400 * time.Millisecond

// longestPause is how long a caller takes at most from an answer to its next request.
const longestPause = 200 * time.Millisecond

// ServeHTTP answers as the upstream: whole, long, without a length, with an error, or with a connection that
// breaks off.
func (n *crowd) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Baobabpaddle-Attempt-Id")
	n.passed.Store(id, true)
	_, _ = io.Copy(io.Discard, r.Body) // an incomplete request is answered, too
	time.Sleep(rand.N(longestAnswer))
	w.Header().Set("Baobabpaddle-Attempt-Id", id)
	w.Header().Set("Baobabpaddle-Server-Stamp", "s")
	switch rand.IntN(20) {
	case 0:
		_, _ = io.WriteString(w, strings.Repeat("x", 60_000)) // the gateway may have left
	case 1:
		w.(http.Flusher).Flush()
		_, _ = io.WriteString(w, "without a length")
	case 2:
		w.WriteHeader(http.StatusInternalServerError)
	case 3:
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, "whole")
	}
}

// request sends a whole request, a third of them in two writes. It returns the answer, nil if there was
// none, and whether the connection can be used again.
func (n *crowd) request(c net.Conn, r *bufio.Reader) (answer *http.Response, again bool) {
	id := "request-" + strconv.FormatInt(n.ids.Add(1), 10)
	path := []string{"/book/", "/look/"}[rand.IntN(2)]
	body := strings.Repeat("x", 4+rand.IntN(60_000))
	text := "POST " + path + " HTTP/1.1\r\nHost: a\r\nBaobabpaddle-Attempt-Id: " + id + "\r\nContent-Length: " + strconv.Itoa(len(body)) + "\r\n\r\n" + body
	_ = c.SetDeadline(time.Now().Add(2 * answerTime)) // if this fails, so do the writes
	first := 0
	if rand.IntN(3) == 0 {
		first = rand.IntN(len(text))
		if _, err := io.WriteString(c, text[:first]); err != nil {
			n.notSent.Add(1)
			return nil, false
		}
		time.Sleep(rand.N(20 * time.Millisecond))
	}
	if _, err := io.WriteString(c, text[first:]); err != nil {
		n.notSent.Add(1)
		return nil, false
	}
	sent := time.Now()
	_ = c.SetReadDeadline(sent.Add(answerTime)) // if this fails, so does the read
	answer, err := http.ReadResponse(r, nil)
	if err == nil {
		if _, err := io.Copy(io.Discard, answer.Body); err != nil {
			n.truncated.Add(1)
			return answer, false
		}
		return answer, !answer.Close
	}
	took := time.Since(sent)
	if errors.Is(err, os.ErrDeadlineExceeded) {
		n.waiting.Add(1)
		return nil, false
	}
	n.closed.Add(1)
	if _, ok := n.passed.Load(id); ok {
		n.passedOn.Add(1)
	}
	if took > lateClose {
		n.closedLate.Add(1)
	}
	for longest := n.longestClose.Load(); int64(took) > longest && !n.longestClose.CompareAndSwap(longest, int64(took)); {
		longest = n.longestClose.Load()
	}
	return nil, false
}

// call sends requests until the end. A caller that waits returns after the Retry-After of a refusal.
func (n *crowd) call(address string, waits bool, end time.Time) {
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp", address, answerTime)
		if err != nil {
			n.notSent.Add(1)
			continue
		}
		r := bufio.NewReader(c)
		for again := true; again && time.Now().Before(end); {
			var answer *http.Response
			answer, again = n.request(c, r)
			if answer == nil {
				continue
			}
			if answer.StatusCode == http.StatusOK {
				n.answered.Add(1)
				if again {
					time.Sleep(rand.N(longestPause))
				}
				continue
			}
			n.refused.Add(1)
			if seconds, err := strconv.ParseFloat(answer.Header.Get("Retry-After"), 64); waits && err == nil {
				c.Close()
				again = false
				time.Sleep(time.Duration(seconds * float64(time.Second)))
			}
		}
		c.Close()
	}
}

// play lets callers use a crowded gateway for a time.
func (n *crowd) play(t *testing.T, callers int, wait bool, duration time.Duration) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	upstream := &http.Server{
		Handler: n,
	}
	go upstream.Serve(l)
	t.Cleanup(func() { upstream.Close() })
	address, _ := startStarved(t, crowdedVariable+"="+l.Addr().String())
	var calls sync.WaitGroup
	end := time.Now().Add(duration)
	for range callers {
		calls.Go(func() { n.call(address, wait, end) })
	}
	calls.Wait()
}

// leastUsefulPart is the part of the answers within the limit that a crowd beyond it gets at least.
const leastUsefulPart = 0.9

// TestCrowdedGatewayAnswers guards against useful answers that fall as more callers come than a
// starved gateway may have connections: its refusals took the processor time of its answers.
func TestCrowdedGatewayAnswers(t *testing.T) {
	duration := 10 * time.Second
	if s := os.Getenv("BAOBABPADDLE_CROWD_SECONDS"); s != "" {
		seconds, err := strconv.Atoi(s)
		is.New(t).NoErr(err)
		duration = time.Duration(seconds) * time.Second
	}
	cases := []struct {
		name    string
		callers int
		wait    bool
	}{
		{"within the limit", starvedMaxOpen, false},
		{"callers that return at once", 300, false},
		{"callers that wait", 300, true},
	}
	crowds := make([]crowd, len(cases))
	t.Run("at the same time", func(t *testing.T) {
		for i, c := range cases {
			t.Run(c.name, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				n := &crowds[i]
				n.play(t, c.callers, c.wait, duration)
				t.Logf("%d answered, %d refused, %d closed without an answer, %d of them late, %d passed on, the longest %v, %d neither, %d cut, %d not sent",
					n.answered.Load(), n.refused.Load(), n.closed.Load(), n.closedLate.Load(), n.passedOn.Load(), time.Duration(n.longestClose.Load()), n.waiting.Load(), n.truncated.Load(), n.notSent.Load())
				is.Equal(n.closedLate.Load(), int64(0))
				is.Equal(n.passedOn.Load(), int64(0))
				is.Equal(n.waiting.Load(), int64(0))
			})
		}
	})
	for i, c := range cases {
		t.Run(c.name+" are answered", func(t *testing.T) {
			is := is.New(t)
			is.True(float64(crowds[i].answered.Load()) >= leastUsefulPart*float64(crowds[0].answered.Load()))
		})
	}
}
