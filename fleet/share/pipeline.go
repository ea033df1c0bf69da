package share

import (
	"math"
	"time"
)

// Constants of granting places before they are free.
const (
	// minFreedSlots is how many places must come free while a grant travels
	// for any to be granted ahead.
	minFreedSlots = 0.25
	// prefetchTime is the work that a stock of granted places holds beyond that.
	prefetchTime = 300 * time.Millisecond
	// minPrefetchRuns is how many runs must fit into stockTime, one after the other,
	// for a stock to be kept.
	minPrefetchRuns = 4
	// maxNewcomerRuns is how many runs a team may have outstanding so that it need
	// not wait for the stock to be filled up.
	maxNewcomerRuns = 3
	// maxPrefetch bounds the stock of one upstream, in places.
	maxPrefetch = 256
	// maxPrefetchBytes bounds the bodies that a stock may hold, at their mean size.
	maxPrefetchBytes = 16 << 20
)

// pipelineDepth returns how many places of so many may be granted before they are free,
// to cover the way of a grant.
func (q *Queue) pipelineDepth(limit int) int {
	if q.settings.PipelineFactor == 0 || q.runDuration == 0 {
		return 0
	}
	meanwhile := q.settings.PipelineFactor * float64(limit) * q.grantLatency / q.runDuration
	if meanwhile < minFreedSlots {
		return 0
	}
	return min(limit, int(math.Ceil(meanwhile))+1)
}

// prefetchDepth returns how many places beyond these are granted ahead in one go, to
// spare messages where calls are so short that every place would need several
// grants in each stockTime. What may not be repeated has no part in it.
func (q *Queue) prefetchDepth(limit int) int {
	if q.settings.PipelineFactor == 0 || q.runDuration == 0 || q.runDuration*minPrefetchRuns > prefetchTime.Seconds() {
		return 0
	}
	places := min(maxPrefetch, float64(limit)*prefetchTime.Seconds()/q.runDuration) * q.idempotentShare
	if q.bodyBytes > 0 {
		places = min(places, maxPrefetchBytes/q.bodyBytes)
	}
	return int(places)
}

// RecordBodySize tells the size of an arrived request's body, in bytes.
func (q *Queue) RecordBodySize(bytes int) { q.bodyBytes = ewma(q.bodyBytes, float64(bytes)) }
