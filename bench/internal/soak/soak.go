package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/ansel1/merry/v2"

	"baobabpaddle/fleet/dispatch"
	"baobabpaddle/platform"
)

// Options says what to run.
type Options struct {
	// Bin is the folder with the programs, Work that for settings, data and logs.
	Bin        string
	WorkFolder string
	Seed       uint64
	// FaultDuration is how long faults are drawn.
	FaultDuration time.Duration
	Controllers   int
	Gateways      int
	// Upstreams is how many of each of the two services there are, Callers how many
	// at each gateway.
	Upstreams int
	Callers   int
	// Network is the second number of the loopback addresses, so that runs at the
	// same time are apart.
	Network int
}

// Times of a run.
const (
	// startTime and recoverTime are within which all routes must be served at all
	// gateways: after the first start, and once the last fault is over.
	startTime   = 20 * time.Second
	recoverTime = 15 * time.Second
	checkTime   = 500 * time.Millisecond
)

// Soak is one run.
type Soak struct {
	options   Options
	network   int
	ledger    *Ledger
	fleet     fleet
	upstreams []*Upstream
	operator  *operator
	faults    *faults
	list      net.Listener
	notes     *os.File
	begun     time.Time
}

// Report is what a run found.
type Report struct {
	Violations []string
	Outcomes   map[string]int
	Attempts   int
	Retries    int
	Faults     string
}

// Run runs one seed.
func Run(ctx context.Context, o Options) (Report, error) {
	s, err := prepare(o)
	if err != nil {
		return Report{}, err
	}
	defer s.notes.Close()
	defer s.stopFleet()
	if err := s.start(ctx); err != nil {
		return Report{}, err
	}
	s.work(ctx)
	attempts, again := s.ledger.Retries()
	if allowed := retryRatio*float64(attempts) + retrySlack*(1+time.Since(s.begun).Seconds()/retryWindow.Seconds()); float64(again) > allowed {
		s.ledger.RecordViolation("budget", "%d runs beyond the first of %d attempts, %.0f are allowed", again, attempts, allowed)
	}
	return Report{
		Violations: s.ledger.Violations(),
		Outcomes:   s.ledger.Outcomes(),
		Attempts:   attempts,
		Retries:    again,
		Faults:     s.faults.String(),
	}, nil
}

// prepare returns a run whose processes are not started.
func prepare(o Options) (*Soak, error) {
	// Data of another run would belong to another fleet.
	if err := os.RemoveAll(o.WorkFolder); err != nil {
		return nil, merry.Prepend(err, "work folder")
	}
	if err := os.MkdirAll(o.WorkFolder, 0o700); err != nil {
		return nil, merry.Prepend(err, "work folder")
	}
	notes, err := os.Create(filepath.Join(o.WorkFolder, "faults.log"))
	if err != nil {
		return nil, merry.Prepend(err, "faults.log")
	}
	s := &Soak{
		options: o,
		network: o.Network,
		ledger:  NewLedger(),
		notes:   notes,
		begun:   time.Now(),
	}
	s.operator = newOperator(s)
	s.faults = &faults{
		soak:   s,
		counts: make(map[string]int),
	}
	return s, nil
}

// note writes what is done to the fleet, and when.
func (s *Soak) note(format string, args ...any) {
	fmt.Fprintln(s.notes, time.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// start starts upstreams, the list, the fleet, and waits until all serve.
func (s *Soak) start(ctx context.Context) error {
	host := s.address(groupPlatform, 1)
	for i := range 2 * s.options.Upstreams {
		service := []string{"desk", "llm"}[i%2]
		u, err := NewUpstream(service, fmt.Sprintf("%s:%d", host, upstreamPort+i), fmt.Sprintf("%s:%d", host, relayPort+i), s.ledger)
		if err != nil {
			return merry.Prepend(err, "upstream")
		}
		s.upstreams = append(s.upstreams, u)
	}
	var err error
	if s.list, err = net.Listen("tcp", fmt.Sprintf("%s:%d", host, listPort)); err != nil {
		return merry.Prepend(err, "list")
	}
	server := &http.Server{
		Handler: platform.ListHandler(s.listed),
	}
	go server.Serve(s.list)
	if err := s.startFleet(); err != nil {
		return err
	}
	first, cancel := context.WithTimeout(ctx, startTime)
	defer cancel()
	random := rand.New(rand.NewPCG(s.options.Seed, 0))
	s.operator.change(first, random)
	if missing := s.served(first); missing != "" {
		return merry.Errorf("not served within %s of the start: %s", startTime, missing)
	}
	return nil
}

// listed returns the platform's list.
func (s *Soak) listed() []dispatch.Upstream {
	out := make([]dispatch.Upstream, len(s.upstreams))
	for i, u := range s.upstreams {
		out[i] = u.ListEntry()
	}
	return out
}

// work has callers send requests while faults come, and after the last one.
func (s *Soak) work(ctx context.Context) {
	calling, hush := context.WithCancel(ctx)
	var group sync.WaitGroup
	for g := range s.fleet.gateways {
		for i := range s.options.Callers {
			c := &caller{
				soak:    s,
				gateway: g,
				random:  rand.New(rand.NewPCG(s.options.Seed, uint64(1000*(g+1)+i))),
			}
			group.Go(func() { c.run(calling) })
		}
	}
	group.Go(func() { s.operator.run(calling, rand.New(rand.NewPCG(s.options.Seed, 999))) })
	group.Go(func() { s.watch(calling) })
	breaking, end := context.WithTimeout(ctx, s.options.FaultDuration)
	s.faults.run(breaking)
	end()
	s.note("the last fault is over")
	recovering, cancel := context.WithTimeout(ctx, recoverTime)
	if missing := s.served(recovering); missing != "" && ctx.Err() == nil {
		s.ledger.RecordViolation("recovery", "%s after the last fault: %s", recoverTime, missing)
	}
	cancel()
	hush()
	group.Wait()
	time.Sleep(lateRun)
	s.ledger.Check(s, true)
	final, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	for _, p := range s.fleet.controllers {
		s.operator.read(final, p)
	}
}

// watch checks what has ended so far, and that no process ends by itself.
func (s *Soak) watch(ctx context.Context) {
	ticker := time.NewTicker(checkTime)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		s.ledger.Check(s, false)
		for _, p := range s.processes() {
			if !p.mu.TryLock() {
				continue // a fault is at work on it
			}
			if p.endedAlone() {
				s.ledger.RecordViolation("start", "%s ended by itself", p.name)
				s.faults.again(p)
			}
			p.mu.Unlock()
		}
	}
}

// served waits until each gateway serves each kind of request, and returns what is
// missing when the context ends.
func (s *Soak) served(ctx context.Context) string {
	random := rand.New(rand.NewPCG(s.options.Seed, 1))
	for g := range s.fleet.gateways {
		for _, kind := range []Kind{Book, Look, Chat, Draft} {
			c := &caller{
				soak:    s,
				gateway: g,
				random:  random,
			}
			for {
				a := c.pick()
				a.Kind = kind
				a.Key = steadyKeys[0]
				c.ask(a)
				if a.Status == http.StatusOK && a.Complete {
					break
				}
				if ctx.Err() != nil {
					c.hangUp()
					return fmt.Sprintf("%s at gateway %d", kind, g+1)
				}
				time.Sleep(50 * time.Millisecond)
			}
			c.hangUp()
		}
	}
	return ""
}

// harmMargin is how long after a fault its consequences may still show.
const harmMargin = 1500 * time.Millisecond

// GatewayAffected implements Harm.
func (s *Soak) GatewayAffected(index int, from, to time.Time) bool {
	return s.fleet.gateways[index].harms.overlap(from, to, harmMargin)
}

// UpstreamAffected implements Harm.
func (s *Soak) UpstreamAffected(id string, from, to time.Time) bool {
	for _, u := range s.upstreams {
		if u.relay.harms.overlap(from, to, harmMargin) || u.harms.overlap(from, to, harmMargin) {
			if u.was(id) {
				return true
			}
		}
	}
	return false
}
