package admission

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
)

const (
	testSlots       = 8
	testQueue       = 64
	testServiceTime = 5 * time.Millisecond
	testSeed        = 4
)

// event is an arrival, the end of a run or a deadline in the simulation.
type event struct {
	at     time.Duration
	action func()
}

type eventHeap []event

func (e eventHeap) Len() int           { return len(e) }
func (e eventHeap) Less(i, j int) bool { return e[i].at < e[j].at }
func (e eventHeap) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *eventHeap) Push(x any)        { *e = append(*e, x.(event)) }
func (e *eventHeap) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// offeredLoad is the load of one client. share is the fraction of the capacity of all slots.
type offeredLoad struct {
	client string
	weight uint32
	share  float64
}

// requestCounts counts the requests of a client by outcome.
type requestCounts struct{ offered, inTime, late, refused int }

// simulation drives a gate with a simulated clock. A request whose deadline passes while it
// runs is cancelled at the deadline, as in the agent.
type simulation struct {
	now      time.Duration
	queue    eventHeap
	gate     *Gate
	random   *rand.Rand
	deadline time.Duration
	waiting  []*waiter // in order of arrival
	counts   map[string]*requestCounts
}

var simulationStart = time.Unix(1000, 0)

func newSimulation(deadline time.Duration) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(testSeed, testSeed)), deadline: deadline,
		counts: map[string]*requestCounts{},
	}
	s.gate = New(Options{Slots: testSlots, MaxQueue: testQueue, InitialServiceTime: testServiceTime, Now: func() time.Time { return simulationStart.Add(s.now) }})
	return s
}

func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.queue, event{s.now + d, do}) }

// run offers the loads for the given time and returns the counts by client.
func (s *simulation) run(length time.Duration, loads ...offeredLoad) map[string]*requestCounts {
	for _, l := range loads {
		s.counts[l.client] = &requestCounts{}
		s.arriveNext(l, length)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.action()
		s.applyDecisions()
	}
	return s.counts
}

func (s *simulation) arriveNext(l offeredLoad, length time.Duration) {
	mean := float64(testServiceTime) / testSlots / l.share
	gap := time.Duration(s.random.ExpFloat64() * mean)
	if s.now+gap > length {
		return
	}
	s.after(gap, func() {
		s.arrive(l)
		s.arriveNext(l, length)
	})
}

func (s *simulation) arrive(l offeredLoad) {
	clientCounts := s.counts[l.client]
	clientCounts.offered++
	req := Request{Client: l.client, Weight: l.weight, Deadline: simulationStart.Add(s.now + s.deadline)}
	w, refusal := s.gate.admitOrQueue(req)
	switch {
	case refusal != pb.Refusal_REFUSAL_UNSPECIFIED:
		clientCounts.refused++
	case w == nil:
		s.serve(req, clientCounts)
	default:
		s.waiting = append(s.waiting, w)
		s.after(s.deadline, func() { s.expire(w) })
	}
}

func (s *simulation) expire(w *waiter) {
	i := slices.Index(s.waiting, w)
	if i < 0 {
		return
	}
	s.waiting = slices.Delete(s.waiting, i, i+1)
	s.settle(w, s.gate.withdraw(w))
}

// applyDecisions settles the waiters on which the last event made the gate decide.
func (s *simulation) applyDecisions() {
	var decided []*waiter
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		if len(w.decision) > 0 {
			decided = append(decided, w)
		}
		return len(w.decision) > 0
	})
	for _, w := range decided {
		s.settle(w, <-w.decision)
	}
}

func (s *simulation) settle(w *waiter, refusal pb.Refusal) {
	clientCounts := s.counts[w.req.Client]
	if refusal != pb.Refusal_REFUSAL_UNSPECIFIED {
		clientCounts.refused++
		return
	}
	s.serve(w.req, clientCounts)
}

func (s *simulation) serve(req Request, clientCounts *requestCounts) {
	service := time.Duration(s.random.ExpFloat64() * float64(testServiceTime))
	left := req.Deadline.Sub(simulationStart.Add(s.now))
	release := s.gate.releaseFunc(req.Client)
	s.after(min(service, left), func() {
		if service <= left {
			clientCounts.inTime++
		} else {
			clientCounts.late++
		}
		release()
	})
}

// TestOverload offers up to three times the capacity. Goodput must stay at 90% of its peak,
// and requests that are not answered in time must be rejected rather than answered late.
func TestOverload(t *testing.T) {
	const length = 5 * time.Second
	for _, deadline := range []time.Duration{15 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second} {
		peak, last := 0, &requestCounts{}
		for _, share := range []float64{0.5, 0.8, 0.95, 1, 1.2, 1.5, 2, 3} {
			last = newSimulation(deadline).run(length, offeredLoad{"fitter", 1, share})["fitter"]
			peak = max(peak, last.inTime)
		}
		t.Logf("deadline %v: peak %d, at three times the capacity %+v", deadline, peak, *last)
		assert.Assert(t, last.inTime*100 >= peak*90, "deadline %v: %d of a peak of %d", deadline, last.inTime, peak)
		assert.Assert(t, last.late*10 <= last.inTime, "deadline %v: %d late", deadline, last.late)
	}
}

// TestFairness checks that a client that floods the endpoint does not starve a light one, and
// that clients share the slots by weight.
func TestFairness(t *testing.T) {
	const length = 5 * time.Second
	got := newSimulation(100*time.Millisecond).run(length, offeredLoad{"flood", 1, 5}, offeredLoad{"light", 1, 0.3})
	light := got["light"]
	assert.Assert(t, light.inTime*100 >= light.offered*95, "light client: %+v", *light)

	got = newSimulation(100*time.Millisecond).run(length, offeredLoad{"one", 1, 2}, offeredLoad{"three", 3, 2})
	ratio := float64(got["three"].inTime) / float64(got["one"].inTime)
	assert.Assert(t, ratio > 2.5 && ratio < 3.5, "ratio %.2f", ratio)
}

// TestClientLimit checks the limit of a client's requests in flight, and that idle clients are
// forgotten.
func TestClientLimit(t *testing.T) {
	g := New(Options{Slots: 1, MaxQueue: testQueue, InitialServiceTime: testServiceTime})
	req := Request{Client: "fitter", Weight: 1, ClientLimit: 2, Deadline: time.Now().Add(time.Hour)}
	release, refusal := g.Acquire(t.Context(), req)
	assert.Equal(t, refusal, pb.Refusal_REFUSAL_UNSPECIFIED)
	w, refusal := g.admitOrQueue(req)
	assert.Equal(t, refusal, pb.Refusal_REFUSAL_UNSPECIFIED)
	_, refusal = g.admitOrQueue(req)
	assert.Equal(t, refusal, pb.Refusal_REFUSAL_CLIENT_LIMIT)
	release()
	assert.Equal(t, <-w.decision, pb.Refusal_REFUSAL_UNSPECIFIED)
	g.release("fitter", testServiceTime)
	for range 3 {
		_, refusal = g.admitOrQueue(Request{Client: "late", Deadline: time.Now().Add(-time.Second)})
		assert.Equal(t, refusal, pb.Refusal_REFUSAL_UNSPECIFIED)
		g.release("late", testServiceTime)
	}
	assert.Equal(t, len(g.queue.clients), 0)
}
