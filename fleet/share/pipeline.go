package share

import (
	"math"
	"time"
)

// Constants of granting places before they are free.
const (
	// leastMeanwhile is how many places must come free while a grant travels
	// for any to be granted ahead.
	leastMeanwhile = 0.25
	// stockTime is the work that a stock of granted places holds beyond that.
	stockTime = 300 * time.Millisecond
	// stockRuns is how many runs must fit into stockTime, one after the other,
	// for a stock to be kept.
	stockRuns = 4
	// newcomerRuns is how many runs a team may have outstanding so that it need
	// not wait for the stock to be filled up.
	newcomerRuns = 3
	// maxStock bounds the stock of one upstream, in places.
	maxStock = 256
	// maxStockBytes bounds the bodies that a stock may hold, at their mean size.
	maxStockBytes = 16 << 20
)

// ahead returns how many places of so many may be granted before they are free,
// to cover the way of a grant.
func (q *Queue) ahead(limit int) int {
	if q.settings.PipelineFactor == 0 || q.duration == 0 {
		return 0
	}
	meanwhile := q.settings.PipelineFactor * float64(limit) * q.travel / q.duration
	if meanwhile < leastMeanwhile {
		return 0
	}
	return min(limit, int(math.Ceil(meanwhile))+1)
}

// stock returns how many places beyond these are granted ahead in one go, to
// spare messages where calls are so short that every place would need several
// grants in each stockTime. What may not be repeated has no part in it.
func (q *Queue) stock(limit int) int {
	if q.settings.PipelineFactor == 0 || q.duration == 0 || q.duration*stockRuns > stockTime.Seconds() {
		return 0
	}
	places := min(maxStock, float64(limit)*stockTime.Seconds()/q.duration) * q.idempotent
	if q.bodyBytes > 0 {
		places = min(places, maxStockBytes/q.bodyBytes)
	}
	return int(places)
}

// RecordBodySize tells the size of an arrived request's body, in bytes.
func (q *Queue) RecordBodySize(bytes int) { q.bodyBytes = decay(q.bodyBytes, float64(bytes)) }
