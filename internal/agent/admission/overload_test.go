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
	testSlots   = 8
	testQueue   = 64
	testService = 5 * time.Millisecond
	testSeed    = 4
)

// event is an arrival, the end of a run or a deadline of the simulation.
type event struct {
	at time.Duration
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// load is what one client offers: its share of the capacity of all slots.
type load struct {
	client string
	weight uint32
	share  float64
}

// tally counts what became of a client's requests.
type tally struct{ offered, inTime, late, refused int }

// simulation drives a gate on a clock of its own. A run whose deadline passes is
// given up at the deadline, as the agent does.
type simulation struct {
	now      time.Duration
	queue    events
	gate     *Gate
	random   *rand.Rand
	deadline time.Duration
	waiting  []*waiter // in the order they came
	tallies  map[string]*tally
}

var epoch = time.Unix(1000, 0)

func newSimulation(deadline time.Duration) *simulation {
	s := &simulation{
		random: rand.New(rand.NewPCG(testSeed, testSeed)), deadline: deadline,
		tallies: map[string]*tally{},
	}
	s.gate = New(Options{Slots: testSlots, MaxQueue: testQueue, MaxPerSlot: testService, Now: func() time.Time { return epoch.Add(s.now) }})
	return s
}

func (s *simulation) after(d time.Duration, do func()) { heap.Push(&s.queue, event{s.now + d, do}) }

// run offers the loads for a time and returns the tallies by client.
func (s *simulation) run(length time.Duration, loads ...load) map[string]*tally {
	for _, l := range loads {
		s.tallies[l.client] = &tally{}
		s.arriveNext(l, length)
	}
	for len(s.queue) > 0 {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.do()
		s.takeGrants()
	}
	return s.tallies
}

func (s *simulation) arriveNext(l load, length time.Duration) {
	mean := float64(testService) / testSlots / l.share
	gap := time.Duration(s.random.ExpFloat64() * mean)
	if s.now+gap > length {
		return
	}
	s.after(gap, func() {
		s.arrive(l)
		s.arriveNext(l, length)
	})
}

func (s *simulation) arrive(l load) {
	t := s.tallies[l.client]
	t.offered++
	ask := Ask{Client: l.client, Weight: l.weight, Deadline: epoch.Add(s.now + s.deadline)}
	w, refusal := s.gate.enter(ask)
	switch {
	case refusal != pb.Refusal_REFUSAL_UNSPECIFIED:
		t.refused++
	case w == nil:
		s.serve(ask, t)
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

// takeGrants settles those that the last event decided on.
func (s *simulation) takeGrants() {
	var decided []*waiter
	s.waiting = slices.DeleteFunc(s.waiting, func(w *waiter) bool {
		if len(w.granted) > 0 {
			decided = append(decided, w)
		}
		return len(w.granted) > 0
	})
	for _, w := range decided {
		s.settle(w, <-w.granted)
	}
}

func (s *simulation) settle(w *waiter, refusal pb.Refusal) {
	t := s.tallies[w.ask.Client]
	if refusal != pb.Refusal_REFUSAL_UNSPECIFIED {
		t.refused++
		return
	}
	s.serve(w.ask, t)
}

func (s *simulation) serve(ask Ask, t *tally) {
	service := time.Duration(s.random.ExpFloat64() * float64(testService))
	left := ask.Deadline.Sub(epoch.Add(s.now))
	release := s.gate.releaser(ask.Client)
	s.after(min(service, left), func() {
		if service <= left {
			t.inTime++
		} else {
			t.late++
		}
		release()
	})
}

// TestOverload offers up to three times the capacity. Goodput stays at 90% of
// its peak, and what is not answered in time is refused rather than late.
func TestOverload(t *testing.T) {
	const length = 5 * time.Second
	for _, deadline := range []time.Duration{15 * time.Millisecond, 30 * time.Millisecond, 100 * time.Millisecond, 2 * time.Second} {
		peak, last := 0, &tally{}
		for _, share := range []float64{0.5, 0.8, 0.95, 1, 1.2, 1.5, 2, 3} {
			last = newSimulation(deadline).run(length, load{"fitter", 1, share})["fitter"]
			peak = max(peak, last.inTime)
		}
		t.Logf("deadline %v: peak %d, at three times the capacity %+v", deadline, peak, *last)
		assert.Assert(t, last.inTime*100 >= peak*90, "deadline %v: %d of a peak of %d", deadline, last.inTime, peak)
		assert.Assert(t, last.late*10 <= last.inTime, "deadline %v: %d late", deadline, last.late)
	}
}

// TestFairness lets one client flood the endpoint.
func TestFairness(t *testing.T) {
	const length = 5 * time.Second
	got := newSimulation(100*time.Millisecond).run(length, load{"flood", 1, 5}, load{"light", 1, 0.3})
	light := got["light"]
	assert.Assert(t, light.inTime*100 >= light.offered*95, "light client: %+v", *light)

	got = newSimulation(100*time.Millisecond).run(length, load{"one", 1, 2}, load{"three", 3, 2})
	ratio := float64(got["three"].inTime) / float64(got["one"].inTime)
	assert.Assert(t, ratio > 2.5 && ratio < 3.5, "ratio %.2f", ratio)
}

// TestClientLimit bounds what a client has in flight, and forgets idle clients.
func TestClientLimit(t *testing.T) {
	g := New(Options{Slots: 1, MaxQueue: testQueue, MaxPerSlot: testService})
	ask := Ask{Client: "fitter", Weight: 1, ClientLimit: 2, Deadline: time.Now().Add(time.Hour)}
	release, refusal := g.Acquire(t.Context(), ask)
	assert.Equal(t, refusal, pb.Refusal_REFUSAL_UNSPECIFIED)
	w, refusal := g.enter(ask)
	assert.Equal(t, refusal, pb.Refusal_REFUSAL_UNSPECIFIED)
	_, refusal = g.enter(ask)
	assert.Equal(t, refusal, pb.Refusal_REFUSAL_CLIENT_LIMIT)
	release()
	assert.Equal(t, <-w.granted, pb.Refusal_REFUSAL_UNSPECIFIED)
	g.release("fitter", testService)
	for range 3 {
		_, refusal = g.enter(Ask{Client: "late", Deadline: time.Now().Add(-time.Second)})
		assert.Equal(t, refusal, pb.Refusal_REFUSAL_UNSPECIFIED)
		g.release("late", testService)
	}
	assert.Equal(t, len(g.queue.clients), 0)
}
