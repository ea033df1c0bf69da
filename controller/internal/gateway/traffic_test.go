package gateway

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestTrafficShares checks the traffic fractions of three gateways without traffic, with uneven
// traffic and after one half-life.
func TestTrafficShares(t *testing.T) {
	is := is.New(t)
	h := newTestHub()
	crowded, calm, idle := &conn{}, &conn{}, &conn{}
	for name, c := range map[string]*conn{
		"crowded": crowded,
		"calm":    calm,
		"idle":    idle,
	} {
		h.conns[name] = c
	}
	is.Equal(h.trafficFraction(idle), 1.0/3) // even without traffic
	crowded.traffic.add(900)
	calm.traffic.add(100)
	is.Equal(h.trafficFraction(crowded), 0.9)
	is.Equal(h.trafficFraction(calm), 0.1)
	is.Equal(h.trafficFraction(idle), minTrafficFraction/3)
	now := time.Now()
	h.decayTraffic(now)
	calm.traffic.add(400)
	is.Equal(h.trafficFraction(calm), 0.5)
	h.decayTraffic(now) // the half-life has not passed
	is.Equal(h.trafficFraction(calm), 0.5)
}
