package serve

import (
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"baobabpaddle/fleet/problem"
	"baobabpaddle/fleet/room"
)

// spacingGrid is the grid of the times at which streams go on after a pause, so that one
// wake-up of the process serves several of them.
const spacingGrid = 20 * time.Millisecond

// gridStart is the beginning of the grid. It holds a reading of the monotonic clock.
var gridStart = time.Now()

// gate makes a room.Gate safe for concurrent use. A nil gate admits everything.
type gate struct {
	mu   sync.Mutex
	room *room.Gate
}

// newGate returns the gate of a process that may use the given fraction of a processor core,
// or nil if that is zero, which means that it is unknown.
func newGate(share float64) *gate {
	if share <= 0 {
		return nil
	}
	return &gate{
		room: room.NewGate(share),
	}
}

// admit is room.Gate.Admit.
func (g *gate) admit(now time.Time, team string, objective time.Duration) bool {
	if g == nil {
		return true
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.room.Admit(now, team, objective)
}

// hasPlace is room.Gate.HasPlace.
func (g *gate) hasPlace(now time.Time, team string, objective time.Duration) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.room.HasPlace(now, team, objective)
}

// leave is room.Gate.Leave, or room.Gate.Withdraw for a request without a decision.
func (g *gate) leave(now time.Time, team string, decided bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if decided {
		g.room.Leave(now, team)
		return
	}
	g.room.Withdraw(now, team)
}

// crowded is room.Gate.Crowded.
func (g *gate) crowded(now time.Time, objective time.Duration) bool {
	if g == nil {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.room.Crowded(now, objective)
}

// report records the part of the processor share that is in use. It returns the time that a
// request would wait now, and whether requests were refused since the last call.
func (g *gate) report(now time.Time, part float64) (wait time.Duration, refused bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.room.SetPart(part)
	return g.room.Wait(now), g.room.TakeRefused()
}

// Waiting returns the number of requests that wait in the gateway for a placement decision,
// and the time that a request would wait now. Both are zero if the processor share is unknown.
func (h *Handler) Waiting() (requests int, wait time.Duration) {
	g := h.gate
	if g == nil {
		return 0, 0
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.room.Waiting(), g.room.Wait(time.Now())
}

// mayEnter reports whether the gateway has room for the request, whose body has not been read.
// A gateway whose processor share is unknown sheds by its lag instead.
func (x *exchange) mayEnter() bool {
	h := x.handler
	if h.gate == nil {
		return !h.lag.shouldShed()
	}
	return h.gate.hasPlace(x.arrived, x.team, x.route.Objective())
}

// enter admits the request, whose body was read, at the gate of the gateway. If there is no room
// left, it refuses the request and returns false.
func (x *exchange) enter() bool {
	h := x.handler
	if h.gate == nil {
		return true
	}
	x.inGate = h.gate.admit(time.Now(), x.team, x.route.Objective())
	if !x.inGate {
		x.refuseCrowded()
	}
	return x.inGate
}

// refuseCrowded refuses a request that was not admitted. A request of a team that was refused
// for its share shortly before is refused for that.
func (x *exchange) refuseCrowded() {
	h := x.handler
	x.shed = true
	x.w.Header().Set("Connection", "close")
	if x.team != "" && !x.continues && h.throttle.Refuses(x.throttleKey(), x.arrived) {
		x.refuseOverShareLately()
		return
	}
	retry := shedRetryAfter
	if h.gate != nil {
		retry = x.crowdedRetryAfter()
	}
	x.refuse(http.StatusServiceUnavailable, problem.TooManyWaiting, "this gateway is short of processor time", retry)
	x.reportLocalRefusal()
}

// crowdedRetryAfter returns the retry delay of a crowded gateway.
func (x *exchange) crowdedRetryAfter() time.Duration {
	return room.RetryAfter(x.handler.unreadyDelay, x.deadline.Sub(x.arrived), rand.Float64())
}

// leaveGate records that the request no longer waits in the gateway, and whether there was a
// placement decision on it.
func (x *exchange) leaveGate(decided bool) {
	if x.inGate {
		x.inGate = false
		x.handler.gate.leave(time.Now(), x.team, decided)
		if decided {
			x.handler.unplacedSeconds.UpdateSince(x.team, x.service, x.arrived)
		}
	}
}

// space waits, on a busy gateway, until the stream may be written to again. The last write
// began at the given time. It returns early if the caller leaves.
func (x *exchange) space(last time.Time) {
	h := x.handler
	spacing := room.Spacing(h.load.Part(), x.route.PauseObjective())
	if spacing < spacingGrid {
		return
	}
	sinceStart := time.Since(gridStart)
	next := (last.Sub(gridStart) + spacing).Truncate(spacingGrid)
	wait := min(next-sinceStart, spacing)
	if wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-x.r.Context().Done():
	}
}
