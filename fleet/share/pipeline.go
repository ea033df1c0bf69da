package share

import (
	"math"
	"time"
)

// Constants for grants of slots that are not free yet.
const (
	// minFreedSlots is how many slots must become free while a grant travels for
	// any to be granted ahead.
	minFreedSlots = 0.25
	// prefetchTime is how much work the prefetched slots hold.
	prefetchTime = 300 * time.Millisecond
	// minPrefetchRuns is how many consecutive runs must fit into prefetchTime
	// for slots to be prefetched.
	minPrefetchRuns = 4
	// maxNewcomerRuns is the number of outstanding runs from which a team waits
	// for the regular grants instead of receiving one at once.
	maxNewcomerRuns = 3
	// maxPrefetch bounds the prefetched slots of one upstream.
	maxPrefetch = 256
	// maxPrefetchBytes bounds the request bodies that wait on prefetched slots,
	// at their mean size.
	maxPrefetchBytes = 16 << 20
)

// pipelineDepth returns how many slots beyond the limit may be granted before they
// are free: as many as become free while a grant travels, scaled by PipelineFactor,
// and at most limit.
func (q *Queue) pipelineDepth(limit int) int {
	if q.settings.PipelineFactor == 0 || q.runDuration == 0 {
		return 0
	}
	freed := q.settings.PipelineFactor * float64(limit) * q.grantLatency / q.runDuration
	if freed < minFreedSlots {
		return 0
	}
	return min(limit, int(math.Ceil(freed))+1)
}

// prefetchDepth returns how many slots beyond the pipeline depth are granted in one
// batch. It saves messages where runs are so short that every slot would need several
// grants in each prefetchTime. The depth is scaled by the share of idempotent requests,
// because others do not wait on prefetched slots.
func (q *Queue) prefetchDepth(limit int) int {
	if q.settings.PipelineFactor == 0 || q.runDuration == 0 || q.runDuration*minPrefetchRuns > prefetchTime.Seconds() {
		return 0
	}
	slots := min(maxPrefetch, float64(limit)*prefetchTime.Seconds()/q.runDuration) * q.idempotentShare
	if q.bodyBytes > 0 {
		slots = min(slots, maxPrefetchBytes/q.bodyBytes)
	}
	return int(slots)
}

// RecordBodySize records the size of an arrived request's body, in bytes.
func (q *Queue) RecordBodySize(bytes int) { q.bodyBytes = ewma(q.bodyBytes, float64(bytes)) }
