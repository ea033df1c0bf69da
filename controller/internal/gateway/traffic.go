package gateway

import "time"

const (
	// trafficHalfLife is how often what gateways asked for fades to half.
	trafficHalfLife = time.Second
	// minTrafficShare is the smallest part of the requests that a gateway is told, of an
	// even one: its callers may be others in a moment.
	minTrafficShare = 0.25
)

// traffic is what a gateway asked for lately.
type traffic struct {
	weight float64
}

func (t *traffic) add(weight float64) { t.weight += weight }

// decayTraffic forgets a part of what gateways asked for if it is time.
func (h *Hub) decayTraffic(now time.Time) {
	if now.Before(h.nextDecay) {
		return
	}
	h.nextDecay = now.Add(trafficHalfLife)
	for _, c := range h.conns {
		c.traffic.weight /= 2
	}
}

// trafficShare returns the part of the fleet's requests that came through a gateway
// lately, which it goes by when it must decide alone.
func (h *Hub) trafficShare(c *conn) float64 {
	sum := 0.0
	for _, other := range h.conns {
		sum += other.traffic.weight
	}
	even := 1 / float64(max(len(h.conns), 1))
	if sum <= 0 {
		return even
	}
	return max(c.traffic.weight/sum, minTrafficShare*even)
}
