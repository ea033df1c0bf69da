package serve

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// callerScanInterval is the interval between scans for callers that have left while their requests run.
const callerScanInterval = 100 * time.Millisecond

// Timers that begin scans in turn, one each callerScanInterval. Of the goroutines that timers wake at the same
// time a process without processor time runs only one at once, and the others after all that wait. So one
// timer isn't enough, and after a pause of the process those that were not due yet begin the next scans.
const (
	callerScanTimers = 10
	callerScanPeriod = callerScanTimers * callerScanInterval
)

// processStart is a time of the monotonic clock, which steps of the host's clock don't change.
var processStart = time.Now()

// callers are the requests that run. A scan looks at the sockets of their callers: in a process that is
// short of processor time a goroutine that a socket wakes waits behind all others. The zero value has no
// requests. Its methods are safe for concurrent use.
type callers struct {
	mu       sync.Mutex
	requests map[*runningRequest]struct{}
	// lastScan is when the last scan began, in nanoseconds since processStart.
	lastScan atomic.Int64
}

// runningRequest is a request whose caller may leave.
type runningRequest struct {
	conn   *trackedConn
	cancel context.CancelFunc

	mu   sync.Mutex
	left bool
	// watched are the exchanges with upstreams that are in progress.
	watched []*watched
}

// watched is an exchange that ends when the caller leaves.
type watched struct {
	abort func()
}

// add returns a request with context ctx, and the context of its run, which ends when a scan finds that
// the caller has left. Remove must be called.
func (c *callers) add(ctx context.Context) (context.Context, *runningRequest) {
	ctx, cancel := context.WithCancel(ctx)
	r := &runningRequest{
		cancel: cancel,
	}
	t, ok := ctx.Value(connKey{}).(*trackedConn)
	if !ok {
		return ctx, r
	}
	r.conn = t
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.requests == nil {
		c.requests = make(map[*runningRequest]struct{})
	}
	c.requests[r] = struct{}{}
	return ctx, r
}

// remove ends the context of a request that was added.
func (c *callers) remove(r *runningRequest) {
	r.cancel()
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.requests, r)
}

// run scans until ctx ends, without waiting for that.
func (c *callers) run(ctx context.Context) {
	now := time.Now()
	for i := range callerScanTimers {
		c.scanAt(ctx, now.Add(time.Duration(i+1)*callerScanInterval))
	}
}

// scanAt scans at a time, if a scan is due then, and again each callerScanPeriod until ctx ends. Each scan has
// a goroutine of its own.
func (c *callers) scanAt(ctx context.Context, at time.Time) {
	time.AfterFunc(time.Until(at), func() {
		if ctx.Err() != nil {
			return
		}
		late := time.Since(at)
		c.scanAt(ctx, at.Add(late.Truncate(callerScanPeriod)+callerScanPeriod))
		c.scanIfDue()
	})
}

// scanIfDue scans if the last scan began callerScanInterval ago. Several goroutines that run often call
// it, since a timer's goroutine waits, too, if another timer fires at the same time.
func (c *callers) scanIfDue() {
	now := int64(time.Since(processStart))
	last := c.lastScan.Load()
	if now-last >= int64(callerScanInterval) && c.lastScan.CompareAndSwap(last, now) {
		c.scan()
	}
}

// scan ends the requests whose callers have left.
func (c *callers) scan() {
	c.mu.Lock()
	requests := make([]*runningRequest, 0, len(c.requests))
	for r := range c.requests {
		requests = append(requests, r)
	}
	c.mu.Unlock()
	for _, r := range requests {
		if r.conn.closedByCaller() {
			r.callerLeft()
		}
	}
}

// callerLeft ends the request, unless another scan does.
func (r *runningRequest) callerLeft() {
	if !r.mu.TryLock() {
		return // or its exchange begins or ends, and the next scan ends it
	}
	defer r.mu.Unlock()
	r.left = true
	r.cancel() // before abort, whose error is then that of a caller that has left
	for _, w := range r.watched {
		w.abort()
	}
	r.watched = nil
}

// watch implements upstream.Request.Watch.
func (r *runningRequest) watch(abort func()) (stop func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.left {
		abort()
		return func() {}
	}
	w := &watched{
		abort: abort,
	}
	r.watched = append(r.watched, w)
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.watched = slices.DeleteFunc(r.watched, func(o *watched) bool { return o == w })
	}
}
