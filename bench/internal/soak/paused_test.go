package soak

import (
	"math/rand/v2"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestResumedGatewayRejectsRevokedKey suspends a gateway, revokes a key meanwhile and resumes
// the gateway after revokeTime. A caller sends requests with the key before and after the
// gateway is resumed. The gateway's proof that its configuration is current has expired while
// it was suspended, so no request may run.
func TestResumedGatewayRejectsRevokedKey(t *testing.T) {
	is := is.New(t)
	s, ctx := startProcesses(t, Options{
		Seed:        1,
		Controllers: 3,
		Gateways:    1,
		Upstreams:   1,
		Network:     pausedNetwork,
	})
	random := rand.New(rand.NewPCG(2, 3))
	s.operator.changeConfiguration(ctx, random)
	key := s.operator.keys[0] // the next change revokes it
	c := &caller{
		soak:   s,
		random: random,
	}
	defer c.disconnect()
	send := func() *Attempt {
		a := c.newAttempt()
		a.Kind = Book
		a.Key = key
		c.send(a)
		return a
	}
	deadline := time.Now().Add(10 * time.Second)
	for send().Status != http.StatusOK {
		is.True(time.Now().Before(deadline)) // the key does not take effect
		time.Sleep(20 * time.Millisecond)
	}
	gateway := s.fleet.gateways[0]
	gateway.signal(syscall.SIGSTOP)
	time.Sleep(linkSilence) // the leader closes the silent link and does not send the change
	s.operator.changeConfiguration(ctx, random)
	is.NoErr(ctx.Err())
	time.Sleep(revokeTime + 500*time.Millisecond)
	// Suspended controllers cannot send the change to the gateway when it is resumed.
	for _, p := range s.fleet.controllers {
		p.signal(syscall.SIGSTOP)
	}
	first := make(chan *Attempt, 1)
	go func() { first <- send() }()
	time.Sleep(100 * time.Millisecond) // the request waits in the gateway's socket
	gateway.signal(syscall.SIGCONT)
	answers := []*Attempt{<-first}
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		answers = append(answers, send()) // the first ones may be shed, since the process has fallen behind
	}
	refused := 0
	for _, a := range answers {
		is.Equal(len(a.Executions), 0)
		switch a.Status {
		case http.StatusServiceUnavailable:
			refused++
		case 0: // sent on a connection that the gateway has closed
		default:
			t.Errorf("request %s with a revoked key: status %d, want 503 or a closed connection", a.ID, a.Status)
		}
	}
	is.True(refused > 0)
	is.Equal(s.ledger.Violations(), nil)
}

// linkSilence is longer than the time after which a silent link is closed.
const linkSilence = 2 * time.Second

// pausedNetwork is the second byte of the test's loopback addresses, different from those
// of all other runs.
const pausedNetwork = 9
