package soak

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPausedGatewayServesNoOldKey pauses a gateway, takes a key away meanwhile, and has
// a caller send requests with it before and after the gateway goes on, after the time
// within which the key must be gone. The gateway's proof that its configuration is the
// newest has run out while it stood still: nothing may run.
func TestPausedGatewayServesNoOldKey(t *testing.T) {
	is := is.New(t)
	s, ctx := startReal(t, Options{
		Seed:        1,
		Controllers: 3,
		Gateways:    1,
		Upstreams:   1,
		Network:     pausedNetwork,
	})
	random := rand.New(rand.NewPCG(2, 3))
	s.operator.change(ctx, random)
	key := s.operator.keys[0] // the next change takes it away
	c := &caller{
		soak:   s,
		random: random,
	}
	defer c.hangUp()
	ask := func() *Attempt {
		a := c.pick()
		a.Kind = Book
		a.Key = key
		c.ask(a)
		return a
	}
	deadline := time.Now().Add(10 * time.Second)
	for ask().Status != http.StatusOK {
		is.True(time.Now().Before(deadline)) // the key is not in force
		time.Sleep(20 * time.Millisecond)
	}
	gateway := s.fleet.gateways[0]
	gateway.signal(syscall.SIGSTOP)
	time.Sleep(linkSilence) // the leader gives the link up and does not send the change
	s.operator.change(ctx, random)
	is.NoErr(ctx.Err())
	time.Sleep(revokeTime + 500*time.Millisecond)
	// Nobody tells the gateway of the change when it goes on.
	for _, p := range s.fleet.controllers {
		p.signal(syscall.SIGSTOP)
	}
	asked := make(chan *Attempt, 1)
	go func() { asked <- ask() }()
	time.Sleep(100 * time.Millisecond) // the request waits in the gateway's socket
	gateway.signal(syscall.SIGCONT)
	answers := []*Attempt{<-asked}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answers = append(answers, ask()) // the first ones may be shed, since the process is behind
	}
	refused := 0
	for _, a := range answers {
		is.Equal(len(a.Executions), 0)
		switch a.Status {
		case http.StatusServiceUnavailable:
			refused++
		case 0: // sent on a connection that the gateway has closed
		default:
			t.Errorf("%s was answered %d", a.ID, a.Status)
		}
	}
	is.True(refused > 0)
	is.Equal(s.ledger.Violations(), nil)
}

// linkSilence is longer than a link may be silent.
const linkSilence = 2 * time.Second

// pausedNetwork is the second number of the test's loopback addresses, beside those of
// the other runs.
const pausedNetwork = 9
