package gateway

import "time"

const (
	// trafficHalfLife is the half-life of the recorded traffic of gateways.
	trafficHalfLife = time.Second
	// minTrafficFraction is the least traffic fraction of a gateway, relative to an even
	// division among all gateways. A gateway without recent traffic keeps some, since
	// callers may turn to it at any time.
	minTrafficFraction = 0.25
)

// traffic is the exponentially decayed weight of the requests for placement of a
// gateway.
type traffic struct {
	weight float64
}

// add records a request of the given weight.
func (t *traffic) add(weight float64) { t.weight += weight }

// decayTraffic halves the traffic of all gateways once per half-life.
func (h *Hub) decayTraffic(now time.Time) {
	if now.Before(h.nextDecay) {
		return
	}
	h.nextDecay = now.Add(trafficHalfLife)
	for _, c := range h.conns {
		c.traffic.weight /= 2
	}
}

// trafficFraction returns the fraction of the fleet's recent traffic that came through a
// gateway, in (0, 1]. The gateway uses it while it cannot reach the leader and decides
// alone. Without any recent traffic the fractions are even.
func (h *Hub) trafficFraction(c *conn) float64 {
	sum := 0.0
	for _, other := range h.conns {
		sum += other.traffic.weight
	}
	even := 1 / float64(max(len(h.conns), 1))
	if sum <= 0 {
		return even
	}
	return max(c.traffic.weight/sum, minTrafficFraction*even)
}
