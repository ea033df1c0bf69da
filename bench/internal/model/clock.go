package model

import (
	"container/heap"
	"time"
)

// epoch is the virtual time at which every run starts.
var epoch = time.Date(2026, 1, 5, 8, 0, 0, 0, time.UTC)

// event is a function that runs at a virtual time.
type event struct {
	at    time.Time
	order uint64
	do    func()
}

// eventHeap is a min-heap of events.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less orders by time and then by the order of scheduling.
func (h eventHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].order < h[j].order
	}
	return h[i].at.Before(h[j].at)
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	e := old[len(old)-1]
	*h = old[:len(old)-1]
	return e
}

// clock is a virtual clock with a queue of future events. Time advances from event to
// event and nothing waits in real time.
type clock struct {
	now    time.Time
	order  uint64
	events eventHeap
}

// after schedules do at d from now.
func (c *clock) after(d time.Duration, do func()) {
	c.order++
	heap.Push(&c.events, event{
		at:    c.now.Add(d),
		order: c.order,
		do:    do,
	})
}

// every schedules do at intervals of d, for the first time at d from now.
func (c *clock) every(d time.Duration, do func()) {
	c.after(d, func() {
		do()
		c.every(d, do)
	})
}

// runUntil executes the events up to the end, including those that events schedule.
func (c *clock) runUntil(end time.Time) {
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		e := heap.Pop(&c.events).(event)
		c.now = e.at
		e.do()
	}
	c.now = end
}
