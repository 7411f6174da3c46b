package pick

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/membership"
	"chervilridge/internal/request"
)

const (
	testSlots = 8
	testPicks = 200
)

var start = time.Unix(1_000_000, 0)

// world is members and data centres under a fake clock.
type world struct {
	members []*membership.Member
	out     map[string]bool
	now     time.Time
}

func (w *world) Members(string) []*membership.Member { return w.members }
func (w *world) DataCentreOut(name string) bool      { return w.out[name] }
func (w *world) clock() time.Time                    { return w.now }

// newWorld places n members that joined long ago in data centres a, b, c in turn.
func newWorld(n int) *world {
	w := &world{out: map[string]bool{}, now: start}
	for i := range n {
		w.members = append(w.members, member(i, start.Add(-time.Hour)))
	}
	return w
}

func member(i int, joined time.Time) *membership.Member {
	return membership.NewMember(&pb.Endpoint{
		Agent: fmt.Sprintf("agent-%d", i), DataCentre: []string{"a", "b", "c"}[i%3], Slots: testSlots,
	}, joined)
}

func (w *world) filter(policy string) *Filter {
	rng := rand.New(rand.NewPCG(1, 1))
	distance := Distance{DataCentre: "a", Hop: time.Millisecond}
	return New(nil, w, w, Options{Policy: NewPolicy(policy, rng, distance), Distance: distance, Now: w.clock})
}

// TestNeverPicked covers what no policy may ever pick, however the rest stands.
func TestNeverPicked(t *testing.T) {
	cases := []struct {
		name    string
		prepare func(w *world, r *request.Request)
		barred  func(m *membership.Member) bool
	}{
		{"drained data centre", func(w *world, _ *request.Request) { w.out["b"] = true },
			func(m *membership.Member) bool { return m.Endpoint.DataCentre == "b" }},
		{"drained data centre while all others are failing", func(w *world, _ *request.Request) {
			w.out["b"] = true
			for _, m := range w.members {
				m.Eject(w.now, time.Minute)
			}
		}, func(m *membership.Member) bool { return m.Endpoint.DataCentre == "b" }},
		{"data centre not allowed", func(_ *world, r *request.Request) { r.Allowed = []string{"a", "c"} },
			func(m *membership.Member) bool { return m.Endpoint.DataCentre == "b" }},
		{"endpoint tried before", func(w *world, r *request.Request) { r.Tried = w.members[:5] },
			func(m *membership.Member) bool { return m.Endpoint.Agent < "agent-5" }},
		{"endpoint set aside within the ceiling", func(w *world, _ *request.Request) { w.members[2].Eject(w.now, time.Minute) },
			func(m *membership.Member) bool { return m.Endpoint.Agent == "agent-2" }},
	}
	for _, policy := range Names() {
		for _, c := range cases {
			t.Run(policy+"/"+c.name, func(t *testing.T) {
				w := newWorld(9)
				f := w.filter(policy)
				for range testPicks {
					r := &request.Request{}
					c.prepare(w, r)
					h, err := f.Begin(r)
					assert.NilError(t, err)
					assert.Check(t, !c.barred(h.Member), "picked %s in %s", h.Member.Endpoint.Agent, h.Member.Endpoint.DataCentre)
					w.now = w.now.Add(time.Millisecond)
					f.End(&h, nil)
				}
			})
		}
	}
}

// TestNothingLeft checks that a request without a candidate is refused as not
// run.
func TestNothingLeft(t *testing.T) {
	w := newWorld(3)
	w.out["a"], w.out["b"], w.out["c"] = true, true, true
	_, err := w.filter(NameNearLeastTime).Begin(&request.Request{})
	assert.Check(t, fault.Is(err, fault.CodeNoEndpoint))
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
}

// TestEjectionCeiling checks how many of ten endpoints stay set aside.
func TestEjectionCeiling(t *testing.T) {
	cases := []struct {
		failing, tried, ejected, candidates int
	}{
		{0, 0, 0, 10},
		{1, 0, 1, 9},
		{4, 0, 4, 6},
		{5, 0, 4, 6}, // above the ceiling of 40%: one is used anyway
		{6, 0, 0, 10},
		{10, 0, 0, 10}, // most are failing: the entry doubts itself
		{4, 2, 4, 4},   // tried endpoints count as usable
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d failing, %d tried", c.failing, c.tried), func(t *testing.T) {
			w := newWorld(10)
			for _, m := range w.members[:c.failing] {
				m.Eject(w.now, time.Second)
			}
			var s scan
			r := &request.Request{Tried: w.members[len(w.members)-c.tried:]}
			s.run(w.members, r, w, w.now)
			assert.Equal(t, s.left.Ejected, c.ejected)
			assert.Equal(t, len(s.candidates), c.candidates)
		})
	}
}

// TestReadmitsShortestPauseFirst checks whom the ceiling takes back.
func TestReadmitsShortestPauseFirst(t *testing.T) {
	w := newWorld(10)
	for i, m := range w.members[:5] {
		m.Eject(w.now, time.Duration(10-i)*time.Second)
	}
	var s scan
	s.run(w.members, &request.Request{}, w, w.now)
	assert.Equal(t, s.left.Readmitted, 1)
	assert.Equal(t, s.candidates[len(s.candidates)-1], w.members[4])
}

// TestSlowStart checks the share of a new or returning endpoint among requests
// that stay in flight, with the policy that would otherwise fill it first.
func TestSlowStart(t *testing.T) {
	const requests, endpoints = 400, 10
	even := float64(requests) / endpoints
	cases := []struct {
		name string
		age  time.Duration
		most float64 // of an even share
	}{
		{"just back", 0, 0.1},
		{"half way", rampTime / 2, 0.6},
		{"after the ramp", rampTime, 1.1},
	}
	returns := map[string]func(m *membership.Member, at time.Time) *membership.Member{
		"new": func(_ *membership.Member, at time.Time) *membership.Member { return member(0, at) },
		"after a pause": func(m *membership.Member, at time.Time) *membership.Member {
			m.Eject(at.Add(-time.Second), time.Second)
			return m
		},
		"after its data centre was out": func(m *membership.Member, at time.Time) *membership.Member {
			m.NoteOut(at)
			return m
		},
	}
	for name, back := range returns {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				w := newWorld(endpoints)
				w.members[0] = back(w.members[0], w.now.Add(-c.age))
				f := w.filter(NameLeastInFlight)
				for range requests {
					_, err := f.Begin(&request.Request{})
					assert.NilError(t, err)
				}
				got := float64(w.members[0].InFlight.Load())
				assert.Check(t, got >= 1, "never begins")
				assert.Check(t, got <= c.most*even+1, "%v requests, at most %v allowed", got, c.most*even)
			})
		}
	}
}

// TestDrainMarksReturn checks that the stage itself notices a data centre that
// was out, so that slow start applies when it comes back.
func TestDrainMarksReturn(t *testing.T) {
	w := newWorld(9)
	f := w.filter(NameLeastInFlight)
	w.out["a"] = true
	h, err := f.Begin(&request.Request{})
	assert.NilError(t, err)
	f.End(&h, nil)
	w.out["a"] = false
	var s scan
	for range testPicks {
		w.members[1].InFlight.Add(1)
	}
	w.members[0].InFlight.Add(testPicks)
	s.run(w.members, &request.Request{}, w, w.now)
	assert.Equal(t, s.left.Ramping, 1)
}

// TestRefusalSetsAside checks that an agent's own word sets it aside at once,
// and that other refusals do not.
func TestRefusalSetsAside(t *testing.T) {
	cases := []struct {
		err   error
		aside bool
	}{
		{nil, false},
		{fault.New(fault.CodeNoEndpoint, fault.StepExecute, "agent", "endpoint down"), true},
		{fault.New(fault.CodeLeaving, fault.StepExecute, "agent", "leaving"), true},
		{fault.New(fault.CodeOverloaded, fault.StepExecute, "agent", "queue full"), false},
		{fault.New(fault.CodeTooLate, fault.StepExecute, "agent", "no slot in time"), false},
	}
	for _, c := range cases {
		w := newWorld(3)
		f := w.filter(NameRandom)
		h, err := f.Begin(&request.Request{})
		assert.NilError(t, err)
		f.End(&h, c.err)
		assert.Equal(t, h.Member.Ejected(w.now), c.aside, "%v", c.err)
		assert.Equal(t, h.Member.InFlight.Load(), int64(0))
	}
}

type panicking struct{}

func (panicking) Handle(context.Context, *request.Request) (*request.Answer, error) {
	panic("later stage")
}

// TestPanicReleasesInFlight checks that a panic of a later stage leaves no
// request counted and no service time observed.
func TestPanicReleasesInFlight(t *testing.T) {
	w := newWorld(1)
	f := w.filter(NameRandom)
	f.next = panicking{}
	func() {
		defer func() { _ = recover() }()
		_, _ = f.Handle(context.Background(), &request.Request{})
	}()
	assert.Equal(t, w.members[0].InFlight.Load(), int64(0))
	assert.Equal(t, w.members[0].ServiceTime(), 0.0)
}

// TestConcurrentUse runs all policies from several goroutines; the race
// detector judges, and no request may stay counted.
func TestConcurrentUse(t *testing.T) {
	for _, name := range Names() {
		w := newWorld(11)
		f := New(nil, w, w, Options{Policy: NewPolicy(name, SharedRand{}, Distance{DataCentre: "a", Hop: time.Millisecond})})
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				for i := range testPicks {
					h, err := f.Begin(&request.Request{})
					assert.Check(t, err)
					h.Member.NoteLoad(int64(i%testSlots), 0, 1, time.Now())
					h.Member.NoteFailure(time.Now(), testPicks, time.Second)
					f.End(&h, nil)
				}
			})
		}
		wg.Wait()
		for _, m := range w.members {
			assert.Equal(t, m.InFlight.Load(), int64(0), name)
		}
	}
}
