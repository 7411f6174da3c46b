// Package admission enforces an endpoint's slots: a request runs in a slot,
// waits in a bounded queue, or is refused.
package admission

import (
	"container/list"
	"context"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
)

// Options bound what the endpoint takes.
type Options struct {
	Slots      int
	MaxQueue   int
	MaxPerSlot time.Duration // expected service time at the start, to judge a wait
}

// Ask is one request for a slot.
type Ask struct {
	Client      string
	Weight      uint32
	ClientLimit uint32
	Deadline    time.Time
}

// Gate hands out the slots. One lock guards slots, queues and counters.
type Gate struct {
	options Options

	mu       sync.Mutex
	running  int
	queued   int
	leaving  bool
	clients  map[string]*client
	service  time.Duration // smoothed service time
	progress float64       // virtual time of the fair queue
}

// client is one client's queue and its share of the slots.
type client struct {
	weight  uint32
	waiting list.List // of *waiter
	running uint32
	finish  float64 // virtual finish time of its newest start
}

type waiter struct {
	ask     Ask
	granted chan pb.Refusal // one value: unspecified means a slot
}

const smoothing = 0.1 // weight of the newest service time

// New returns a gate with all slots free.
func New(options Options) *Gate {
	return &Gate{options: options, clients: map[string]*client{}, service: options.MaxPerSlot}
}

// Load returns how many requests run and wait.
func (g *Gate) Load() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.queued
}

// Leave refuses all later requests; those that run or wait go on.
func (g *Gate) Leave() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Acquire waits for a slot. It returns a refusal, or unspecified and a release
// function that must be called once.
func (g *Gate) Acquire(ctx context.Context, ask Ask) (release func(), refusal pb.Refusal) {
	w, refusal := g.enter(ask)
	if refusal != pb.Refusal_REFUSAL_UNSPECIFIED {
		return nil, refusal
	}
	if w == nil {
		return g.releaser(ask.Client), pb.Refusal_REFUSAL_UNSPECIFIED
	}
	timer := time.NewTimer(time.Until(ask.Deadline))
	defer timer.Stop()
	select {
	case refusal = <-w.granted:
	case <-timer.C:
		refusal = g.withdraw(w)
	case <-ctx.Done():
		refusal = g.withdraw(w)
	}
	if refusal != pb.Refusal_REFUSAL_UNSPECIFIED {
		return nil, refusal
	}
	return g.releaser(ask.Client), pb.Refusal_REFUSAL_UNSPECIFIED
}

// enter takes a free slot, queues the request, or refuses it.
func (g *Gate) enter(ask Ask) (*waiter, pb.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	c := g.client(ask)
	switch {
	case g.leaving:
		return nil, pb.Refusal_REFUSAL_LEAVING
	case ask.ClientLimit > 0 && c.running+uint32(c.waiting.Len()) >= ask.ClientLimit:
		return nil, pb.Refusal_REFUSAL_CLIENT_LIMIT
	case g.running < g.options.Slots:
		g.start(c)
		return nil, pb.Refusal_REFUSAL_UNSPECIFIED
	case g.queued >= g.options.MaxQueue:
		return nil, pb.Refusal_REFUSAL_QUEUE_FULL
	case g.expectedWait() > time.Until(ask.Deadline):
		return nil, pb.Refusal_REFUSAL_TOO_LATE
	}
	w := &waiter{ask: ask, granted: make(chan pb.Refusal, 1)}
	c.waiting.PushBack(w)
	g.queued++
	return w, pb.Refusal_REFUSAL_UNSPECIFIED
}

// expectedWait is how long a request that joins the queue now will take.
func (g *Gate) expectedWait() time.Duration {
	turns := float64(g.queued+1)/float64(g.options.Slots) + 1
	return time.Duration(turns * float64(g.service))
}

func (g *Gate) client(ask Ask) *client {
	c := g.clients[ask.Client]
	if c == nil {
		c = &client{finish: g.progress}
		g.clients[ask.Client] = c
	}
	c.weight = max(ask.Weight, 1)
	return c
}

// start gives the client a slot and advances its virtual finish time.
func (g *Gate) start(c *client) {
	g.running++
	c.running++
	c.finish = max(c.finish, g.progress) + 1/float64(c.weight)
}

func (g *Gate) withdraw(w *waiter) pb.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case refusal := <-w.granted:
		return refusal
	default:
	}
	c := g.clients[w.ask.Client]
	for e := c.waiting.Front(); e != nil; e = e.Next() {
		if e.Value.(*waiter) == w {
			c.waiting.Remove(e)
			g.queued--
			break
		}
	}
	return pb.Refusal_REFUSAL_TOO_LATE
}

func (g *Gate) releaser(name string) func() {
	began := time.Now()
	return func() { g.release(name, time.Since(began)) }
}

func (g *Gate) release(name string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.clients[name].running--
	g.service += time.Duration(smoothing * float64(took-g.service))
	g.fill()
	g.forget(name)
}

// fill gives free slots to the waiting clients with the least virtual finish
// time, and refuses those whose deadline cannot be met any more.
func (g *Gate) fill() {
	for g.running < g.options.Slots {
		c := g.nextClient()
		if c == nil {
			return
		}
		w := c.waiting.Remove(c.waiting.Front()).(*waiter)
		g.queued--
		if time.Until(w.ask.Deadline) < g.service/2 {
			w.granted <- pb.Refusal_REFUSAL_TOO_LATE
			continue
		}
		g.progress = max(g.progress, c.finish)
		g.start(c)
		w.granted <- pb.Refusal_REFUSAL_UNSPECIFIED
	}
}

func (g *Gate) nextClient() *client {
	var best *client
	for _, c := range g.clients {
		if c.waiting.Len() > 0 && (best == nil || c.finish < best.finish) {
			best = c
		}
	}
	return best
}

func (g *Gate) forget(name string) {
	if c := g.clients[name]; c.running == 0 && c.waiting.Len() == 0 {
		delete(g.clients, name)
	}
}
