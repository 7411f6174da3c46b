package admission

import (
	"container/list"

	pb "chervilridge/api/chervil/v1"
)

// fairQueue holds those that wait for a slot, a queue for each client. Slots go
// to the clients by their weights (start-time fair queueing), and so does the
// room in the queue. The gate's lock guards it.
type fairQueue struct {
	clients map[string]*client
	length  int
	time    float64 // virtual time: that of the newest start from the queue
	order   uint64
}

// client is one client's queue and its share of the slots. It is kept while
// something of it runs or waits.
type client struct {
	weight  float64
	waiting list.List // of *waiter, oldest first
	running int
	finish  float64 // virtual finish time of its newest start
}

type waiter struct {
	ask     Ask
	order   uint64
	element *list.Element
	granted chan pb.Refusal // one value: unspecified means a slot
}

func newFairQueue() *fairQueue { return &fairQueue{clients: map[string]*client{}} }

// client returns the client of a request that is about to run or to wait.
func (q *fairQueue) client(ask Ask) *client {
	c := q.clients[ask.Client]
	if c == nil {
		c = &client{finish: q.time}
		q.clients[ask.Client] = c
	}
	c.weight = weightOf(ask)
	return c
}

func weightOf(ask Ask) float64 { return float64(max(ask.Weight, 1)) }

// inFlight returns how many requests of a client run and wait.
func (q *fairQueue) inFlight(name string) int {
	c := q.clients[name]
	if c == nil {
		return 0
	}
	return c.running + c.waiting.Len()
}

// start counts a request as running and advances its client's finish time.
func (q *fairQueue) start(c *client) {
	c.running++
	c.finish = max(c.finish, q.time) + 1/c.weight
}

// finish ends a running request.
func (q *fairQueue) finish(name string) {
	q.clients[name].running--
	q.forgetIdle(name)
}

func (q *fairQueue) forgetIdle(name string) {
	if c := q.clients[name]; c.running == 0 && c.waiting.Len() == 0 {
		delete(q.clients, name)
	}
}

func (q *fairQueue) push(ask Ask) *waiter {
	c := q.client(ask)
	q.order++
	w := &waiter{ask: ask, order: q.order, granted: make(chan pb.Refusal, 1)}
	w.element = c.waiting.PushBack(w)
	q.length++
	return w
}

// remove takes out a waiter that is still in the queue.
func (q *fairQueue) remove(w *waiter) {
	q.clients[w.ask.Client].waiting.Remove(w.element)
	q.length--
	q.forgetIdle(w.ask.Client)
}

// pop starts the oldest waiter of the client with the least finish time.
func (q *fairQueue) pop() *waiter {
	var best *client
	for _, c := range q.clients {
		if c.waiting.Len() > 0 && (best == nil || before(c, best)) {
			best = c
		}
	}
	if best == nil {
		return nil
	}
	w := best.waiting.Remove(best.waiting.Front()).(*waiter)
	q.length--
	q.time = max(q.time, best.finish)
	q.start(best)
	return w
}

func before(a, b *client) bool {
	if a.finish != b.finish {
		return a.finish < b.finish
	}
	return a.waiting.Front().Value.(*waiter).order < b.waiting.Front().Value.(*waiter).order
}

// ahead estimates how many get a slot before a request that joins now: those of
// its client, and of each other client as many as its weight allows meanwhile.
func (q *fairQueue) ahead(ask Ask) float64 {
	own := 0
	if c := q.clients[ask.Client]; c != nil {
		own = c.waiting.Len()
	}
	rounds := float64(own+1) / weightOf(ask)
	total := float64(own)
	for name, c := range q.clients {
		if name != ask.Client {
			total += min(float64(c.waiting.Len()), rounds*c.weight)
		}
	}
	return total
}

// makeRoom refuses the newest waiter of the client that holds most of a full
// queue for its weight, if that is more than the newcomer's client would hold.
func (q *fairQueue) makeRoom(ask Ask) bool {
	held := 1.0
	if c := q.clients[ask.Client]; c != nil {
		held += float64(c.waiting.Len())
	}
	most := held / weightOf(ask)
	var victim *waiter
	for _, c := range q.clients {
		if share := float64(c.waiting.Len()) / c.weight; share > most {
			most, victim = share, c.waiting.Back().Value.(*waiter)
		}
	}
	if victim == nil {
		return false
	}
	q.remove(victim)
	victim.granted <- pb.Refusal_REFUSAL_QUEUE_FULL
	return true
}
