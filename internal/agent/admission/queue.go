package admission

import (
	"container/list"

	pb "chervilridge/api/chervil/v1"
)

// fairQueue holds the requests that wait for a slot, in one queue for each client. Slots are
// allocated by client weight (start-time fair queueing), and so is the capacity of a full
// queue. The mutex of the Gate guards it.
type fairQueue struct {
	clients      map[string]*client
	length       int
	virtualTime  float64 // virtual time of the last start from the queue
	lastSequence uint64  // sequence number of the newest waiter
}

// client is the queue of one client and its share of the slots. It is kept while a request of
// the client runs or waits.
type client struct {
	weight        float64
	waiting       list.List // of *waiter, oldest first
	running       int
	virtualFinish float64 // virtual finish time of its last start
}

// waiter is a queued request.
type waiter struct {
	req      Request
	sequence uint64
	element  *list.Element
	decision chan pb.Refusal // gets one value; REFUSAL_UNSPECIFIED grants a slot
}

func newFairQueue() *fairQueue { return &fairQueue{clients: map[string]*client{}} }

// client returns the queue of the request's client, creating it if there is none, and updates
// its weight.
func (q *fairQueue) client(req Request) *client {
	c := q.clients[req.Client]
	if c == nil {
		c = &client{virtualFinish: q.virtualTime}
		q.clients[req.Client] = c
	}
	c.weight = weightOf(req)
	return c
}

func weightOf(req Request) float64 { return float64(max(req.Weight, 1)) }

// inFlight returns the number of running and queued requests of a client.
func (q *fairQueue) inFlight(name string) int {
	c := q.clients[name]
	if c == nil {
		return 0
	}
	return c.running + c.waiting.Len()
}

// startRequest counts a request as running and advances the client's virtual finish time.
func (q *fairQueue) startRequest(c *client) {
	c.running++
	c.virtualFinish = max(c.virtualFinish, q.virtualTime) + 1/c.weight
}

// finishRequest counts a running request of the client as finished.
func (q *fairQueue) finishRequest(name string) {
	q.clients[name].running--
	q.forgetIdle(name)
}

// forgetIdle deletes the client if none of its requests runs or waits.
func (q *fairQueue) forgetIdle(name string) {
	if c := q.clients[name]; c.running == 0 && c.waiting.Len() == 0 {
		delete(q.clients, name)
	}
}

func (q *fairQueue) push(req Request) *waiter {
	c := q.client(req)
	q.lastSequence++
	w := &waiter{req: req, sequence: q.lastSequence, decision: make(chan pb.Refusal, 1)}
	w.element = c.waiting.PushBack(w)
	q.length++
	return w
}

// remove deletes a waiter that is still queued.
func (q *fairQueue) remove(w *waiter) {
	q.clients[w.req.Client].waiting.Remove(w.element)
	q.length--
	q.forgetIdle(w.req.Client)
}

// pop removes the oldest waiter of the client with the lowest virtual finish time and counts
// it as running. It returns nil if the queue is empty.
func (q *fairQueue) pop() *waiter {
	var best *client
	for _, c := range q.clients {
		if c.waiting.Len() > 0 && (best == nil || startsBefore(c, best)) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	w := best.waiting.Remove(best.waiting.Front()).(*waiter)
	q.length--
	q.virtualTime = max(q.virtualTime, best.virtualFinish)
	q.startRequest(best)
	return w
}

// startsBefore reports whether the next waiter of a is to start before that of b: the lower
// virtual finish time comes first, then the older waiter.
func startsBefore(a, b *client) bool {
	if a.virtualFinish != b.virtualFinish {
		return a.virtualFinish < b.virtualFinish
	}
	return a.waiting.Front().Value.(*waiter).sequence < b.waiting.Front().Value.(*waiter).sequence
}

// expectedAhead estimates how many waiters get a slot before a request that is queued now:
// all of its client, and of each other client as many as its weight allows meanwhile.
func (q *fairQueue) expectedAhead(req Request) float64 {
	own := 0
	if c := q.clients[req.Client]; c != nil {
		own = c.waiting.Len()
	}
	rounds := float64(own+1) / weightOf(req)
	total := float64(own)
	for name, c := range q.clients {
		if name != req.Client {
			total += min(float64(c.waiting.Len()), rounds*c.weight)
		}
	}
	return total
}

// evictFor rejects a waiter of a full queue in favour of req and reports whether it did. The
// victim is the newest waiter of the client with the most waiters per weight, provided that
// this exceeds what the client of req would have.
func (q *fairQueue) evictFor(req Request) bool {
	queueLength := 1.0
	if c := q.clients[req.Client]; c != nil {
		queueLength += float64(c.waiting.Len())
	}
	maxShare := queueLength / weightOf(req)
	var victim *waiter
	for _, c := range q.clients {
		if share := float64(c.waiting.Len()) / c.weight; share > maxShare {
			maxShare, victim = share, c.waiting.Back().Value.(*waiter)
		}
	}
	if victim == nil {
		return false
	}
	q.remove(victim)
	victim.decision <- pb.Refusal_REFUSAL_QUEUE_FULL
	return true
}
