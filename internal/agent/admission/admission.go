// Package admission limits how many requests an endpoint runs at once: a request gets a slot,
// waits in a bounded queue, or is rejected.
package admission

import (
	"context"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
)

// Options configure a Gate.
type Options struct {
	Slots    int // maximum number of running requests
	MaxQueue int // maximum number of queued requests
	// InitialServiceTime is the assumed service time until requests have been measured. It is
	// used to estimate waits.
	InitialServiceTime time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Request is a request for one slot.
type Request struct {
	Client      string
	Weight      uint32 // share of the slots relative to other clients; 0 counts as 1
	ClientLimit uint32 // running and queued requests of the client; 0 is unlimited
	Deadline    time.Time
}

// Gate allocates the slots. mu guards the slots, the queue and the estimate.
type Gate struct {
	options Options

	mu          sync.Mutex
	running     int
	leaving     bool
	queue       *fairQueue
	serviceTime serviceTimeEstimate
}

// New returns a gate whose slots are all free.
func New(options Options) *Gate {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Gate{options: options, queue: newFairQueue(), serviceTime: newServiceTimeEstimate(options.InitialServiceTime)}
}

// Load returns the numbers of running and queued requests.
func (g *Gate) Load() (running, queued int) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.running, g.queue.length
}

// StopAdmitting rejects all later requests. Those that run or wait are not affected.
func (g *Gate) StopAdmitting() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.leaving = true
}

// Acquire waits for a slot until the deadline of the request or the end of the context. It
// returns a refusal, or REFUSAL_UNSPECIFIED and a release function that must be called once.
func (g *Gate) Acquire(ctx context.Context, req Request) (release func(), refusal pb.Refusal) {
	w, refusal := g.admitOrQueue(req)
	if refusal != pb.Refusal_REFUSAL_UNSPECIFIED {
		return nil, refusal
	}
	if w == nil {
		return g.releaseFunc(req.Client), pb.Refusal_REFUSAL_UNSPECIFIED
	}
	timer := time.NewTimer(req.Deadline.Sub(g.options.Now()))
	defer timer.Stop()
	select {
	case refusal = <-w.decision:
	case <-timer.C:
		refusal = g.withdraw(w)
	case <-ctx.Done():
		refusal = g.withdraw(w)
	}
	if refusal != pb.Refusal_REFUSAL_UNSPECIFIED {
		return nil, refusal
	}
	return g.releaseFunc(req.Client), pb.Refusal_REFUSAL_UNSPECIFIED
}

// admitOrQueue takes a free slot (no waiter, no refusal), queues the request, or rejects it.
func (g *Gate) admitOrQueue(req Request) (*waiter, pb.Refusal) {
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case g.leaving:
		return nil, pb.Refusal_REFUSAL_LEAVING
	case req.ClientLimit > 0 && g.queue.inFlight(req.Client) >= int(req.ClientLimit):
		return nil, pb.Refusal_REFUSAL_CLIENT_LIMIT
	case g.running < g.options.Slots:
		g.running++
		g.queue.startRequest(g.queue.client(req))
		return nil, pb.Refusal_REFUSAL_UNSPECIFIED
	case g.expectedWait(req)+g.serviceTime.requiredTime() > req.Deadline.Sub(g.options.Now()):
		return nil, pb.Refusal_REFUSAL_TOO_LATE
	case g.queue.length >= g.options.MaxQueue && !g.queue.evictFor(req):
		return nil, pb.Refusal_REFUSAL_QUEUE_FULL
	}
	return g.queue.push(req), pb.Refusal_REFUSAL_UNSPECIFIED
}

// expectedWait estimates how long a request that is queued now waits for a slot.
func (g *Gate) expectedWait(req Request) time.Duration {
	rounds := (g.queue.expectedAhead(req) + 1) / float64(g.options.Slots)
	return time.Duration(rounds * float64(g.serviceTime.mean))
}

// withdraw removes a waiter whose time is up, unless its decision has been made: that one is
// then returned.
func (g *Gate) withdraw(w *waiter) pb.Refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	select {
	case refusal := <-w.decision:
		return refusal
	default:
	}
	g.queue.remove(w)
	return pb.Refusal_REFUSAL_TOO_LATE
}

// releaseFunc returns a function that releases the slot and records how long it was held.
func (g *Gate) releaseFunc(name string) func() {
	began := g.options.Now()
	return func() { g.release(name, g.options.Now().Sub(began)) }
}

func (g *Gate) release(name string, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.running--
	g.queue.finishRequest(name)
	g.serviceTime.observe(took)
	g.grantFreeSlots()
}

// grantFreeSlots gives free slots to waiters. It rejects those with too little time left for a
// likely answer in time.
func (g *Gate) grantFreeSlots() {
	for g.running < g.options.Slots {
		w := g.queue.pop()
		if w == nil {
			return
		}
		if w.req.Deadline.Sub(g.options.Now()) < g.serviceTime.requiredTime() {
			g.queue.finishRequest(w.req.Client)
			w.decision <- pb.Refusal_REFUSAL_TOO_LATE
			continue
		}
		g.running++
		w.decision <- pb.Refusal_REFUSAL_UNSPECIFIED
	}
}
