// Package routing compares the routing policies of the entry in a discrete-event
// simulation: the real pick stage chooses among modelled endpoints on a simulated
// clock. The same seed gives the same results.
package routing

import (
	"container/heap"
	"time"
)

// clock runs events in order of time, and events of equal time in the order in which
// they were scheduled.
type clock struct {
	now       time.Time
	events    eventHeap
	scheduled uint64 // number of events scheduled so far
}

type event struct {
	at       int64 // nanoseconds since 1970
	sequence uint64
	run      func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].sequence < h[j].sequence
	}
	return h[i].at < h[j].at
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	old := *h
	last := old[len(old)-1]
	*h = old[:len(old)-1]
	return last
}

func newClock() *clock { return &clock{now: time.Unix(1_000_000, 0)} }

// Now returns the simulated time. The stage under test uses it as its clock.
func (c *clock) Now() time.Time { return c.now }

func (c *clock) at(t time.Time, run func()) {
	c.scheduled++
	heap.Push(&c.events, event{at: t.UnixNano(), sequence: c.scheduled, run: run})
}

func (c *clock) after(d time.Duration, run func()) { c.at(c.now.Add(d), run) }

// runAll runs events until none is left.
func (c *clock) runAll() {
	for len(c.events) > 0 {
		e := heap.Pop(&c.events).(event)
		c.now = time.Unix(0, e.at)
		e.run()
	}
}
