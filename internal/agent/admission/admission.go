// Package admission enforces an endpoint's slots: a request runs in a slot,
// waits in a bounded queue, or is refused.
package admission

import (
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
	// Now is the clock; nil means time.Now.
	Now func() time.Time
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
	leaving  bool
	queue    *fairQueue
	estimate estimate
}

// New returns a gate with all slots free.
func New(options Options) *Gate {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Gate{options: options, queue: newFairQueue(), estimate: newEstimate(options.MaxPerSlot)}
}

// Load returns how many requests run and wait.
func (g *Gate) Load() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.queue.length
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
	timer := time.NewTimer(ask.Deadline.Sub(g.options.Now()))
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
	switch {
	case g.leaving:
		return nil, pb.Refusal_REFUSAL_LEAVING
	case ask.ClientLimit > 0 && g.queue.inFlight(ask.Client) >= int(ask.ClientLimit):
		return nil, pb.Refusal_REFUSAL_CLIENT_LIMIT
	case g.running < g.options.Slots:
		g.running++
		g.queue.start(g.queue.client(ask))
		return nil, pb.Refusal_REFUSAL_UNSPECIFIED
	case g.expectedWait(ask)+g.estimate.needed() > ask.Deadline.Sub(g.options.Now()):
		return nil, pb.Refusal_REFUSAL_TOO_LATE
	case g.queue.length >= g.options.MaxQueue && !g.queue.makeRoom(ask):
		return nil, pb.Refusal_REFUSAL_QUEUE_FULL
	}
	return g.queue.push(ask), pb.Refusal_REFUSAL_UNSPECIFIED
}

// expectedWait is how long a request that joins the queue now waits for a slot.
func (g *Gate) expectedWait(ask Ask) time.Duration {
	turns := (g.queue.ahead(ask) + 1) / float64(g.options.Slots)
	return time.Duration(turns * float64(g.estimate.mean))
}

func (g *Gate) withdraw(w *waiter) pb.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case refusal := <-w.granted:
		return refusal
	default:
	}
	g.queue.remove(w)
	return pb.Refusal_REFUSAL_TOO_LATE
}

func (g *Gate) releaser(name string) func() {
	began := g.options.Now()
	return func() { g.release(name, g.options.Now().Sub(began)) }
}

func (g *Gate) release(name string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.queue.finish(name)
	g.estimate.observe(took)
	g.fill()
}

// fill gives free slots to those that wait, and refuses those whose answer would
// most likely be late.
func (g *Gate) fill() {
	for g.running < g.options.Slots {
		w := g.queue.pop()
		if w == nil {
			return
		}
		if w.ask.Deadline.Sub(g.options.Now()) < g.estimate.needed() {
			g.queue.finish(w.ask.Client)
			w.granted <- pb.Refusal_REFUSAL_TOO_LATE
			continue
		}
		g.running++
		w.granted <- pb.Refusal_REFUSAL_UNSPECIFIED
	}
}
