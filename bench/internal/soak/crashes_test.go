package soak

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"baobabpaddle/fleet/problem"
)

const (
	// crashesNetwork is the second byte of the test's loopback addresses.
	crashesNetwork = 8
	// requestCrashesNetwork is that of TestRequestThatCrashesUpstreams.
	requestCrashesNetwork = 12
	// midStreamNetwork is that of TestRequestThatCrashesInMidStream.
	midStreamNetwork = 32
	// crashingSegment crashes the upstreams.
	crashingSegment = 7777
	// After crashGrace from the fifth crash no more than maxReachedAfter requests may reach
	// an upstream that they crash.
	crashGrace      = 3 * time.Second
	maxReachedAfter = 3
	// maxReadTime bounds the time in which a controller answers 503 to a read, since it can't be sure
	// of what it holds while a leader is elected.
	maxReadTime = 4 * time.Second
)

// TestPromptThatCrashesUpstreams guards against requests with one prompt segment that crash
// one upstream after the other, and against a fleet that forgets the segment when all of its
// processes are killed. Sound requests of the same teams are served meanwhile.
func TestPromptThatCrashesUpstreams(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:        3,
		Controllers: 3,
		Gateways:    3,
		Upstreams:   6,
		Network:     crashesNetwork,
	})
	for _, u := range s.upstreams {
		u.crashingSegment = crashingSegment
	}
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var group sync.WaitGroup
	var mu sync.Mutex
	crashing := make(map[*Attempt]bool)
	for i := range 9 + 3 {
		c := &caller{
			soak:    s,
			gateway: i % len(s.fleet.gateways),
			random:  rand.New(rand.NewPCG(3, uint64(i))),
		}
		if i >= 9 {
			c.segment = crashingSegment
		}
		group.Go(func() {
			c.chat(calling, func(a *Attempt) {
				mu.Lock()
				defer mu.Unlock()
				crashing[a] = c.segment != 0
			})
		})
	}
	time.Sleep(8 * time.Second)
	before := len(s.crashes())
	s.restartAll()
	restarted := time.Now()
	time.Sleep(9 * time.Second)
	crashes := s.crashes()
	measured := interval{
		from: restarted.Add(4 * time.Second),
		to:   time.Now().Add(-time.Second), // later ones may be broken off after the release
	}
	s.releaseSegment(t)
	time.Sleep(3 * time.Second)
	released := len(s.crashes()) - len(crashes)
	stopCalling()
	group.Wait()
	after := 0
	if len(crashes) > 5 {
		bound := crashes[4].Add(crashGrace)
		for _, at := range crashes {
			if at.After(bound) {
				after++
			}
		}
	}
	sound, served, refused, forGood := 0, 0, 0, 0
	s.ledger.mu.Lock()
	for _, a := range s.ledger.attempts {
		if a.Sent.Before(measured.from) || a.Sent.After(measured.to) {
			continue
		}
		switch {
		case crashing[a] && a.Status == 400:
			forGood++
		case crashing[a] && a.Status == 503 && strings.Contains(a.Body, string(problem.PromptCrashes)):
			refused++
		case !crashing[a]:
			sound++
			if a.Status == 200 && a.Complete {
				served++
			}
		}
	}
	s.ledger.mu.Unlock()
	t.Logf("%d crashes, %d of them before the restart, %d after the bound; %d of %d sound requests served, %d others refused, %d for good",
		len(crashes), before, after, served, sound, refused, forGood)
	is.True(released > 0)             // the operator's release is in force, so it crashes upstreams again
	is.True(before >= 3)              // the segment did crash upstreams
	is.True(len(crashes)-before <= 1) // not forgotten
	is.True(after <= maxReachedAfter)
	is.True(10*served >= 9*sound)
	is.True(refused > 0)
	is.Equal(forGood, 0) // half a minute of trials comes before
	is.Equal(s.ledger.Violations(), nil)
}

// restartAll kills all processes at once and starts them again.
func (s *Soak) restartAll() {
	for _, p := range s.processes() {
		p.mu.Lock()
		end := p.faultTimes.begin()
		p.kill()
		defer end()
	}
	for _, p := range s.processes() {
		s.faults.startProcess(p)
		p.mu.Unlock()
	}
}

// TestRequestThatCrashesUpstreams guards against one request without a prompt that comes again
// through all gateways and crashes one upstream after the other, and against a fleet that
// forgets it when all of its processes are killed. Sound requests are served meanwhile.
func TestRequestThatCrashesUpstreams(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:        5,
		Controllers: 3,
		Gateways:    3,
		Upstreams:   4,
		Network:     requestCrashesNetwork,
	})
	const target = "crashing"
	for _, u := range s.upstreams {
		u.crashingTarget = target
	}
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var group sync.WaitGroup
	for i := range 9 + 3 {
		c := &caller{
			soak:    s,
			gateway: i % len(s.fleet.gateways),
			random:  rand.New(rand.NewPCG(5, uint64(i))),
		}
		kind := []Kind{Look, Book, Chat}[i/3%3]
		if i >= 9 {
			c.target = target
			kind = Look
		}
		group.Go(func() { c.press(calling, kind, permanentKeys[0]) })
	}
	time.Sleep(9 * time.Second)
	before := len(s.crashes())
	s.restartAll()
	time.Sleep(9 * time.Second)
	stopCalling()
	group.Wait()
	crashes := s.crashes()
	after := 0
	for _, at := range crashes[min(3, len(crashes)):] {
		if at.After(crashes[2].Add(crashGrace)) {
			after++
		}
	}
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	sound, served := 0, 0
	for _, a := range s.ledger.attempts {
		if a.Kind == Look || s.GatewayAffected(a.Gateway, a.Sent, a.Ended) {
			continue // look-ups are sound and crashing ones
		}
		sound++
		if a.Status == 200 && a.Complete {
			served++
		}
	}
	t.Logf("%d crashes, %d of them before the restart, %d after the bound; %d of %d sound requests served", len(crashes), before, after, served, sound)
	is.True(len(crashes) >= 3)
	is.True(after <= maxReachedAfter)
	is.True(10*served >= 9*sound)
	is.Equal(s.ledger.violations, nil)
}

// TestRequestThatCrashesInMidStream guards against a request that crashes model engines in the
// middle of its streams and comes again through all gateways, and is never recognized since parts
// of its streams arrive. Sound streams are served once it is.
func TestRequestThatCrashesInMidStream(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:        7,
		Controllers: 3,
		Gateways:    3,
		Upstreams:   6,
		Network:     midStreamNetwork,
	})
	const (
		target = "crashing"
		events = 100
	)
	var mu sync.Mutex
	random := rand.New(rand.NewPCG(7, 45))
	for _, u := range s.upstreams {
		u.crashingTarget = target
		u.crashAfter = func() time.Duration {
			mu.Lock()
			defer mu.Unlock()
			return 350*time.Millisecond + time.Duration(random.Int64N(int64(600*time.Millisecond)))
		}
	}
	calling, stopCalling := context.WithCancel(ctx)
	defer stopCalling()
	var group sync.WaitGroup
	crashing := make(map[*Attempt]bool)
	for i := range 9 + 3 {
		c := &caller{
			soak:    s,
			gateway: i % len(s.fleet.gateways),
			random:  rand.New(rand.NewPCG(7, uint64(i))),
		}
		if i >= 9 {
			c.target = target
		}
		group.Go(func() {
			c.chat(calling, func(a *Attempt) {
				if c.target == "" {
					return
				}
				a.Events = events
				mu.Lock()
				defer mu.Unlock()
				crashing[a] = true
			})
		})
	}
	time.Sleep(15 * time.Second)
	stopCalling()
	group.Wait()
	crashes := s.crashes()
	is.True(len(crashes) >= 3)
	bound := crashes[2].Add(crashGrace)
	after := 0
	for _, at := range crashes[3:] {
		if at.After(bound) {
			after++
		}
	}
	s.ledger.mu.Lock()
	defer s.ledger.mu.Unlock()
	sound, served := 0, 0
	for _, a := range s.ledger.attempts {
		if crashing[a] || a.Sent.Before(bound) {
			continue
		}
		sound++
		if a.Status == http.StatusOK && a.Complete {
			served++
		}
	}
	t.Logf("%d crashes, %d after the bound; %d of %d sound requests served then", len(crashes), after, served, sound)
	is.True(after <= maxReachedAfter)
	is.True(10*served >= 9*sound)
	is.Equal(s.ledger.violations, nil)
}

// releaseSegment finds the crashing segment in the list of quarantined ones and releases it, as
// an operator does who has repaired the upstreams.
func (s *Soak) releaseSegment(t *testing.T) {
	t.Helper()
	is := is.New(t)
	segment := strconv.FormatUint(crashingSegment, 16)
	call := func(method, path string) (int, string) {
		request, err := http.NewRequest(method, "http://"+s.fleet.controllers[0].listenAddress()+path, nil)
		is.NoErr(err)
		response, err := http.DefaultClient.Do(request)
		is.NoErr(err)
		defer response.Body.Close()
		body, err := io.ReadAll(response.Body)
		is.NoErr(err)
		return response.StatusCode, string(body)
	}
	status, body := call(http.MethodGet, "/v1/quarantine")
	for sent := time.Now(); status == http.StatusServiceUnavailable && time.Since(sent) < maxReadTime; {
		is.True(strings.Contains(body, string(problem.NoQuorum)))
		time.Sleep(readInterval)
		status, body = call(http.MethodGet, "/v1/quarantine")
	}
	is.Equal(status, http.StatusOK)
	is.True(strings.Contains(body, `"segment":"`+segment+`"`))
	status, _ = call(http.MethodDelete, "/v1/quarantine/"+segment)
	is.Equal(status, http.StatusNoContent)
}

// crashes returns the times at which requests crashed upstreams, in order.
func (s *Soak) crashes() []time.Time {
	var out []time.Time
	for _, u := range s.upstreams {
		u.mu.Lock()
		out = append(out, u.crashes...)
		u.mu.Unlock()
	}
	slices.SortFunc(out, time.Time.Compare)
	return out
}

// chat sends chats with short pauses until the context ends. It calls sent for each.
func (c *caller) chat(ctx context.Context, sent func(*Attempt)) {
	defer c.disconnect()
	for ctx.Err() == nil {
		a := c.newAttempt()
		a.Kind = Chat
		a.Key = permanentKeys[0]
		a.Events = min(a.Events, 20)
		sent(a)
		retry := c.send(a)
		time.Sleep(max(min(retry, time.Second), 80*time.Millisecond))
	}
}
