package soak

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"baobabpaddle/fleet/call"
	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/platform"
)

// Upstream is a stand-in for an upstream, behind a relay. It may come back under
// another identifier.
type Upstream struct {
	service string
	ledger  *Ledger
	relay   *Relay
	address string

	mu       sync.Mutex
	id       string
	starts   int
	draining bool
	fault    string
	server   *http.Server
	conns    map[net.Conn]bool
	harms    spans

	// reading is held while a prompt is read: one after the other.
	reading sync.Mutex
}

// upstreamSlots is how many requests a stand-in says that it runs at once.
const upstreamSlots = 32

// readTime is how long a stand-in that reads slowly takes for a prompt.
const readTime = 150 * time.Millisecond

// maxRest is the longest time for which a stand-in wants no requests.
const maxRest = 1500 * time.Millisecond

// NewUpstream starts an upstream that listens at an address behind a relay.
func NewUpstream(service, listen, relayed string, ledger *Ledger) (*Upstream, error) {
	u := &Upstream{
		service: service,
		ledger:  ledger,
		address: listen,
		conns:   make(map[net.Conn]bool),
	}
	if err := u.start(); err != nil {
		return nil, err
	}
	var err error
	if u.relay, err = NewRelay(relayed, listen); err != nil {
		u.stop()
		return nil, err
	}
	return u, nil
}

// start begins another incarnation.
func (u *Upstream) start() error {
	l, err := net.Listen("tcp", u.address)
	if err != nil {
		return err
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.starts++
	u.id = u.name(u.starts)
	u.draining = false
	u.fault = ""
	u.server = &http.Server{
		Handler: http.HandlerFunc(u.serve),
		ConnState: func(c net.Conn, state http.ConnState) {
			u.mu.Lock()
			defer u.mu.Unlock()
			switch state {
			case http.StateNew:
				u.conns[c] = true
			case http.StateClosed, http.StateHijacked:
				delete(u.conns, c)
			}
		},
	}
	go u.server.Serve(l)
	return nil
}

// stop ends the incarnation, its connections by a reset.
func (u *Upstream) stop() {
	u.mu.Lock()
	server := u.server
	for c := range u.conns {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	u.mu.Unlock()
	server.Close()
}

// ListEntry returns the upstream's entry in the platform's list.
func (u *Upstream) ListEntry() dispatch.Upstream {
	u.mu.Lock()
	defer u.mu.Unlock()
	return dispatch.Upstream{
		ID:       u.id,
		Service:  u.service,
		Address:  u.relay.Address(),
		Zone:     "zone-a",
		Slots:    upstreamSlots,
		Draining: u.draining,
	}
}

// InjectFault has the upstream misbehave for a time.
func (u *Upstream) InjectFault(kind string, lasts time.Duration) {
	end := u.harms.begin()
	defer end()
	if kind == "crash" {
		u.stop()
		time.Sleep(lasts)
		for u.start() != nil {
			time.Sleep(10 * time.Millisecond) // the address is still in use
		}
		return
	}
	u.mu.Lock()
	u.fault = kind
	u.mu.Unlock()
	time.Sleep(lasts)
	u.mu.Lock()
	u.fault = ""
	u.mu.Unlock()
}

func (u *Upstream) state() (id, fault string, leaving bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.id, u.fault, u.draining
}

// serve runs a request.
func (u *Upstream) serve(w http.ResponseWriter, r *http.Request) {
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	attempt, placed := platform.Opposite{}.ReadPlaced(r.Header)
	id, fault, leaving := u.state()
	reply := call.Reply{
		ID:      attempt,
		Leaving: leaving,
	}
	if placed.Upstream != id {
		platform.Opposite{}.WriteReply(w.Header(), reply)
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	if (fault == "reject" || fault == "rest") && rand.IntN(2) == 0 {
		reply.NotRun = true
		if fault == "rest" {
			reply.Backoff = time.Duration(rand.Int64N(int64(maxRest)))
		}
		platform.Opposite{}.WriteReply(w.Header(), reply)
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	run := &Execution{
		Upstream: id,
		Start:    time.Now(),
	}
	run.ResumedAfter, _ = strconv.Atoi(placed.LastEvent) // empty at the beginning
	a := u.ledger.RecordExecution(attempt, run)
	if a == nil {
		return
	}
	u.ledger.mu.Lock()
	number := len(a.Executions) - 1
	u.ledger.mu.Unlock()
	spoil := rand.IntN(3) == 0
	switch {
	case fault == "hang":
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	case fault == "lose" && spoil:
		time.Sleep(10 * time.Millisecond)
		panic(http.ErrAbortHandler)
	case fault == "reads slowly" && a.Kind.stream():
		u.reading.Lock()
		time.Sleep(readTime)
		u.reading.Unlock()
	case fault == "slow":
		time.Sleep(300 * time.Millisecond)
	case fault == "endless" && spoil:
		endless(w, attempt)
		return
	case fault == "fail" && spoil:
		reply.Signed = true
		platform.Opposite{}.WriteReply(w.Header(), reply)
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	reply.Signed = true
	platform.Opposite{}.WriteReply(w.Header(), reply)
	if a.Kind.stream() {
		u.stream(w, r, a, run, number, fault == "spoil" && spoil)
		return
	}
	u.whole(w, attempt, run, number, fault == "spoil" && spoil)
}

// endless sends bytes that are no answer until the connection is closed: instead of a
// head, or in a body.
func endless(w http.ResponseWriter, attempt string) {
	c, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer c.Close()
	if rand.IntN(2) == 0 {
		head := http.Header{}
		platform.Opposite{}.WriteReply(head, call.Reply{
			ID:     attempt,
			Signed: true,
		})
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\n")
		_ = head.Write(c) // a broken connection shows in the next write
		_, _ = io.WriteString(c, "\r\n")
	}
	block := make([]byte, 4<<10)
	for {
		if _, err := c.Write(block); err != nil {
			return
		}
	}
}

// whole answers with a body that only this run has.
func (u *Upstream) whole(w http.ResponseWriter, attempt string, run *Execution, number int, spoil bool) {
	time.Sleep(time.Duration(5+rand.IntN(15)) * time.Millisecond)
	body := fmt.Sprintf("%s %s %d ", attempt, run.Upstream, number) + strings.Repeat("x", rand.IntN(3000))
	u.ledger.mu.Lock()
	run.Body = body
	u.ledger.mu.Unlock()
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	if spoil {
		_, _ = io.WriteString(w, body[:len(body)/2])
		panic(http.ErrAbortHandler)
	}
	if _, err := io.WriteString(w, body); err != nil {
		return
	}
	u.ledger.RecordAnswer(run, true)
}

// stream answers with the events after the one that the caller has.
func (u *Upstream) stream(w http.ResponseWriter, r *http.Request, a *Attempt, run *Execution, number int, spoil bool) {
	w.Header().Set("Content-Type", "text/event-stream")
	control := http.NewResponseController(w)
	for event := run.ResumedAfter + 1; event <= a.Events; event++ {
		select {
		case <-r.Context().Done():
			return
		case <-time.After(time.Duration(5+rand.IntN(15)) * time.Millisecond):
		}
		text := fmt.Sprintf("id: %d\ndata: %s %d\n\n", event, a.ID, number)
		if spoil && event > a.Events/2 {
			_, _ = io.WriteString(w, text[:len(text)/2])
			panic(http.ErrAbortHandler)
		}
		if _, err := io.WriteString(w, text); err != nil || control.Flush() != nil {
			return
		}
	}
	u.ledger.RecordAnswer(run, true)
}

// was reports whether the upstream has or had an identifier.
func (u *Upstream) was(id string) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	for start := 1; start <= u.starts; start++ {
		if id == u.name(start) {
			return true
		}
	}
	return false
}

// name returns the identifier of an incarnation.
func (u *Upstream) name(start int) string {
	return fmt.Sprintf("%s-%s-%d", u.service, u.address[strings.LastIndex(u.address, ":")+1:], start)
}
