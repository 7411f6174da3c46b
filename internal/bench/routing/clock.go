// Package routing compares the routing policies of the entry on a fake clock:
// it drives the real pick stage against modelled endpoints, one event after the
// other, and the same seed gives the same figures.
package routing

import (
	"container/heap"
	"time"
)

// clock runs events in order of time; equal times in order of entry.
type clock struct {
	now    time.Time
	events eventHeap
	count  uint64
}

type event struct {
	at    int64 // nanoseconds since 1970
	order uint64
	run   func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	if h[i].at == h[j].at {
		return h[i].order < h[j].order
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

// Now is the clock that the stage under test is given.
func (c *clock) Now() time.Time { return c.now }

func (c *clock) at(t time.Time, run func()) {
	c.count++
	heap.Push(&c.events, event{at: t.UnixNano(), order: c.count, run: run})
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
