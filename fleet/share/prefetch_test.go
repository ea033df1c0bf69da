package share

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// shortRunQueue returns a queue with one upstream of eight slots whose runs take 20 ms and
// whose grants travel for a millisecond.
func shortRunQueue() *Queue {
	q := NewQueue(QueueSettings{
		PipelineFactor: 1,
	}, equalWeights)
	q.SetUpstream(1, 8, false)
	q.runDuration = 0.02
	q.grantLatency = 0.001
	q.idempotentShare = 1
	q.totalsAt = start
	return q
}

func demand(q *Queue, team TeamID, count int) {
	q.SetDemand(start, "gateway-1", Demand{
		Team:  team,
		Count: count,
	})
}

// runOne starts and ends the next arrived request and returns its team.
func runOne(q *Queue) *team {
	id, ok := q.StartNext(start)
	if !ok {
		return nil
	}
	t := q.runs[id].team
	q.Finish(start.Add(20*time.Millisecond), id, 20)
	return t
}

// TestQueueGrantsInBatches checks that short runs are granted in batches: the next grants are
// issued only when the prefetched slots are used up, and then many at once.
func TestQueueGrantsInBatches(t *testing.T) {
	is := is.New(t)
	q := shortRunQueue()
	demand(q, 1, 500)
	grants := q.IssueGrants(start, nil)
	is.Equal(len(grants), 2) // free slots and prefetched slots
	all := slotIDs(grants)
	is.Equal(len(all), 8+2+8*15) // free, pipelined, and prefetched for 300 ms
	for _, id := range all {
		is.True(q.Arrive(start, id, true))
	}
	granted, frames := 0, 0
	for range 1000 {
		is.True(runOne(q) != nil) // no slot is ever idle
		if next := q.IssueGrants(start, nil); len(next) > 0 {
			frames++
			for _, id := range slotIDs(next) {
				granted++
				is.True(q.Arrive(start, id, true))
			}
			demand(q, 1, 500)
		}
	}
	is.True(granted >= 1000-(2+8*15)) // all but the slots that are still prefetched
	is.True(frames <= 10)
}

// TestQueuePrefetchesNoLongRuns checks that only free slots are granted where runs are long.
func TestQueuePrefetchesNoLongRuns(t *testing.T) {
	is := is.New(t)
	q := shortRunQueue()
	q.runDuration = 10
	demand(q, 1, 500)
	is.Equal(len(slotIDs(q.IssueGrants(start, nil))), 8)
}

// TestPrefetchIsBounded checks that the prefetch depth is finite where runs take almost no
// time.
func TestPrefetchIsBounded(t *testing.T) {
	is := is.New(t)
	q := shortRunQueue()
	q.runDuration = 1e-6
	demand(q, 1, 10_000)
	is.True(len(slotIDs(q.IssueGrants(start, nil))) <= 8+8+maxPrefetch)
}

// TestPrefetchIsBoundedInBytes checks that fewer slots are prefetched where bodies are large.
func TestPrefetchIsBoundedInBytes(t *testing.T) {
	is := is.New(t)
	q := shortRunQueue()
	q.RecordBodySize(1 << 20)
	demand(q, 1, 500)
	is.Equal(len(slotIDs(q.IssueGrants(start, nil))), 8+2+16)
}

// TestNewcomerPassesPrefetchedRuns guards against a team that waits behind the prefetched
// requests of another: it is granted a slot at once and runs next.
func TestNewcomerPassesPrefetchedRuns(t *testing.T) {
	is := is.New(t)
	q := shortRunQueue()
	demand(q, 1, 500)
	for _, id := range slotIDs(q.IssueGrants(start, nil)) {
		is.True(q.Arrive(start, id, true))
	}
	is.True(runOne(q) != nil)
	q.IssueGrants(start, nil)
	demand(q, 2, 1)
	grants := q.IssueGrants(start, nil)
	is.Equal(len(grants), 1)
	is.Equal(grants[0].Grant.Team, TeamID(2))
	is.True(q.Arrive(start, grants[0].Grant.ID, true))
	is.Equal(runOne(q).id, TeamID(2))
}

// TestNewcomersAreBounded checks that, while all slots are prefetched, no more newcomers are
// granted slots at once than the limit of the upstream.
func TestNewcomersAreBounded(t *testing.T) {
	is := is.New(t)
	q := shortRunQueue()
	demand(q, 1, 500)
	q.IssueGrants(start, nil)
	for team := range TeamID(100) {
		demand(q, team+2, 1)
	}
	is.Equal(len(slotIDs(q.IssueGrants(start, nil))), 8)
}

// TestNonIdempotentStartsBeforePrefetchedRuns checks that a non-idempotent request that
// arrives behind prefetched ones runs next. Its outcome would be unknown if the sidecar
// crashed, so it waits there as briefly as possible.
func TestNonIdempotentStartsBeforePrefetchedRuns(t *testing.T) {
	is := is.New(t)
	q := shortRunQueue()
	demand(q, 1, 500)
	ids := slotIDs(q.IssueGrants(start, nil))
	for i, id := range ids {
		is.True(q.Arrive(start, id, i < len(ids)-1))
	}
	id, ok := q.StartNext(start)
	is.True(ok)
	is.Equal(id, ids[len(ids)-1])
}

// TestPrefetchExcludesNonIdempotent checks that the prefetch depth falls to zero where no
// arrived request is idempotent.
func TestPrefetchExcludesNonIdempotent(t *testing.T) {
	is := is.New(t)
	q := shortRunQueue()
	is.Equal(q.prefetchDepth(8), 120)
	for range 100 {
		demand(q, 1, 1)
		for _, id := range slotIDs(q.IssueGrants(start, nil)) {
			is.True(q.Arrive(start, id, false))
			q.Release(start, id)
		}
	}
	is.Equal(q.prefetchDepth(8), 0)
}

// TestWaitingNonIdempotentIsBounded checks that no more non-idempotent requests wait at the
// sidecar than the pipeline depth and one, even if all requests are non-idempotent.
func TestWaitingNonIdempotentIsBounded(t *testing.T) {
	is := is.New(t)
	q := shortRunQueue()
	for range 100 {
		demand(q, 1, 1)
		for _, id := range slotIDs(q.IssueGrants(start, nil)) {
			is.True(q.Arrive(start, id, false))
		}
		for id, ok := q.StartNext(start); ok; id, ok = q.StartNext(start) {
			is.True(id > 0)
		}
	}
	is.True(q.upstreams[0].nonIdempotent <= q.pipelineDepth(8)+1)
}
