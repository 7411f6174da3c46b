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

var testEpoch = time.Unix(1_000_000, 0)

// testCluster provides members and data centres with a fake clock.
type testCluster struct {
	members []*membership.Member
	drained map[string]bool
	now     time.Time
}

func (w *testCluster) Members(string) []*membership.Member { return w.members }
func (w *testCluster) DataCentreOut(name string) bool      { return w.drained[name] }
func (w *testCluster) clockNow() time.Time                 { return w.now }

// newTestCluster returns n members in data centres a, b and c in turn, which joined an
// hour ago and are past slow start.
func newTestCluster(n int) *testCluster {
	w := &testCluster{drained: map[string]bool{}, now: testEpoch}
	for i := range n {
		w.members = append(w.members, member(i, testEpoch.Add(-time.Hour)))
	}
	return w
}

func member(i int, joined time.Time) *membership.Member {
	return membership.NewMember(&pb.Endpoint{
		Agent: fmt.Sprintf("agent-%d", i), DataCentre: []string{"a", "b", "c"}[i%3], Slots: testSlots,
	}, joined)
}

func (w *testCluster) filter(policy string) *Filter {
	rng := rand.New(rand.NewPCG(1, 1))
	distance := Distance{DataCentre: "a", OneWayDelay: time.Millisecond}
	return New(nil, w, w, Options{Policy: NewPolicy(policy, rng, distance), Distance: distance, Now: w.clockNow})
}

// TestExcludedEndpointsAreNeverPicked checks that no policy picks an excluded endpoint,
// whatever state the others are in.
func TestExcludedEndpointsAreNeverPicked(t *testing.T) {
	cases := []struct {
		name     string
		prepare  func(w *testCluster, r *request.Request)
		excluded func(m *membership.Member) bool
	}{
		{"drained data centre", func(w *testCluster, _ *request.Request) { w.drained["b"] = true },
			func(m *membership.Member) bool { return m.Endpoint.DataCentre == "b" }},
		{"drained data centre while all others are failing", func(w *testCluster, _ *request.Request) {
			w.drained["b"] = true
			for _, m := range w.members {
				m.Eject(w.now, time.Minute)
			}
		}, func(m *membership.Member) bool { return m.Endpoint.DataCentre == "b" }},
		{"data centre not allowed", func(_ *testCluster, r *request.Request) { r.Allowed = []string{"a", "c"} },
			func(m *membership.Member) bool { return m.Endpoint.DataCentre == "b" }},
		{"endpoint tried before", func(w *testCluster, r *request.Request) { r.Tried = w.members[:5] },
			func(m *membership.Member) bool { return m.Endpoint.Agent < "agent-5" }},
		{"endpoint ejected within the limit", func(w *testCluster, _ *request.Request) { w.members[2].Eject(w.now, time.Minute) },
			func(m *membership.Member) bool { return m.Endpoint.Agent == "agent-2" }},
	}
	for _, policy := range PolicyNames() {
		for _, c := range cases {
			t.Run(policy+"/"+c.name, func(t *testing.T) {
				w := newTestCluster(9)
				f := w.filter(policy)
				for range testPicks {
					r := &request.Request{}
					c.prepare(w, r)
					h, err := f.BeginHandoff(r)
					assert.NilError(t, err)
					assert.Check(t, !c.excluded(h.Member), "picked %s in %s", h.Member.Endpoint.Agent, h.Member.Endpoint.DataCentre)
					w.now = w.now.Add(time.Millisecond)
					f.EndHandoff(&h, nil)
				}
			})
		}
	}
}

// TestRequestWithoutCandidateIsNotRun checks that a request without a candidate fails with
// outcome "not run".
func TestRequestWithoutCandidateIsNotRun(t *testing.T) {
	w := newTestCluster(3)
	w.drained["a"], w.drained["b"], w.drained["c"] = true, true, true
	_, err := w.filter(NameNearLeastTime).BeginHandoff(&request.Request{})
	assert.Check(t, fault.Is(err, fault.CodeNoEndpoint))
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
}

// TestEjectionCeiling checks how many of ten endpoints stay ejected.
func TestEjectionCeiling(t *testing.T) {
	cases := []struct {
		failing, tried, ejected, candidates int
	}{
		{0, 0, 0, 10},
		{1, 0, 1, 9},
		{4, 0, 4, 6},
		{5, 0, 4, 6}, // above the limit of 40%: one is readmitted
		{6, 0, 0, 10},
		{10, 0, 0, 10}, // more than half are failing: all are readmitted
		{4, 2, 4, 4},   // tried endpoints count as usable
	}
	for _, c := range cases {
		t.Run(fmt.Sprintf("%d failing, %d tried", c.failing, c.tried), func(t *testing.T) {
			w := newTestCluster(10)
			for _, m := range w.members[:c.failing] {
				m.Eject(w.now, time.Second)
			}
			var s scan
			r := &request.Request{Tried: w.members[len(w.members)-c.tried:]}
			s.run(w.members, r, w, w.now)
			assert.Equal(t, s.excluded.Ejected, c.ejected)
			assert.Equal(t, len(s.candidates), c.candidates)
		})
	}
}

// TestReadmitsShortestEjectionFirst checks that the endpoint whose ejection ends first is
// readmitted.
func TestReadmitsShortestEjectionFirst(t *testing.T) {
	w := newTestCluster(10)
	for i, m := range w.members[:5] {
		m.Eject(w.now, time.Duration(10-i)*time.Second)
	}
	var s scan
	s.run(w.members, &request.Request{}, w, w.now)
	assert.Equal(t, s.excluded.Readmitted, 1)
	assert.Equal(t, s.candidates[len(s.candidates)-1], w.members[4])
}

// TestSlowStart checks the share of requests that a new or returning endpoint gets. The
// requests stay in flight, and without slow start the policy would prefer the idle
// endpoint.
func TestSlowStart(t *testing.T) {
	const requests, endpoints = 400, 10
	fairShare := float64(requests) / endpoints
	cases := []struct {
		name string
		age  time.Duration
		most float64 // fraction of the fair share
	}{
		{"just back", 0, 0.1},
		{"half way", slowStartDuration / 2, 0.6},
		{"after slow start", slowStartDuration, 1.1},
	}
	returns := map[string]func(m *membership.Member, at time.Time) *membership.Member{
		"new": func(_ *membership.Member, at time.Time) *membership.Member { return member(0, at) },
		"after an ejection": func(m *membership.Member, at time.Time) *membership.Member {
			m.Eject(at.Add(-time.Second), time.Second)
			return m
		},
		"after its data centre was out": func(m *membership.Member, at time.Time) *membership.Member {
			m.RecordDataCentreOut(at)
			return m
		},
	}
	for name, rejoin := range returns {
		for _, c := range cases {
			t.Run(name+"/"+c.name, func(t *testing.T) {
				w := newTestCluster(endpoints)
				w.members[0] = rejoin(w.members[0], w.now.Add(-c.age))
				f := w.filter(NameLeastInFlight)
				for range requests {
					_, err := f.BeginHandoff(&request.Request{})
					assert.NilError(t, err)
				}
				got := float64(w.members[0].InFlight.Load())
				assert.Check(t, got >= 1, "new or returning endpoint got no request")
				assert.Check(t, got <= c.most*fairShare+1, "%v requests, at most %v allowed", got, c.most*fairShare)
			})
		}
	}
}

// TestSlowStartAfterDataCentreReturns checks that a scan records that a data centre is out of
// service, so that slow start applies to its endpoints when it returns.
func TestSlowStartAfterDataCentreReturns(t *testing.T) {
	w := newTestCluster(9)
	f := w.filter(NameLeastInFlight)
	w.drained["a"] = true
	h, err := f.BeginHandoff(&request.Request{})
	assert.NilError(t, err)
	f.EndHandoff(&h, nil)
	w.drained["a"] = false
	var s scan
	for range testPicks {
		w.members[1].InFlight.Add(1)
	}
	w.members[0].InFlight.Add(testPicks)
	s.run(w.members, &request.Request{}, w, w.now)
	assert.Equal(t, s.excluded.SlowStartLimited, 1)
}

// TestRejectionEjects checks that a reply that the endpoint is down or leaving ejects it
// at once, and that other rejections do not.
func TestRejectionEjects(t *testing.T) {
	cases := []struct {
		err     error
		ejected bool
	}{
		{nil, false},
		{fault.New(fault.CodeNoEndpoint, fault.StepExecute, "agent", "endpoint down"), true},
		{fault.New(fault.CodeLeaving, fault.StepExecute, "agent", "leaving"), true},
		{fault.New(fault.CodeOverloaded, fault.StepExecute, "agent", "queue full"), false},
		{fault.New(fault.CodeTooLate, fault.StepExecute, "agent", "no slot in time"), false},
	}
	for _, c := range cases {
		w := newTestCluster(3)
		f := w.filter(NameRandom)
		h, err := f.BeginHandoff(&request.Request{})
		assert.NilError(t, err)
		f.EndHandoff(&h, c.err)
		assert.Equal(t, h.Member.Ejected(w.now), c.ejected, "%v", c.err)
		assert.Equal(t, h.Member.InFlight.Load(), int64(0))
	}
}

// panickingHandler stands for a later stage that panics.
type panickingHandler struct{}

func (panickingHandler) Handle(context.Context, *request.Request) (*request.Answer, error) {
	panic("later stage")
}

// TestPanicReleasesInFlight checks that after a panic in a later stage the request no
// longer counts as in flight and no service time was recorded.
func TestPanicReleasesInFlight(t *testing.T) {
	w := newTestCluster(1)
	f := w.filter(NameRandom)
	f.next = panickingHandler{}
	func() {
		defer func() { _ = recover() }()
		_, _ = f.Handle(context.Background(), &request.Request{})
	}()
	assert.Equal(t, w.members[0].InFlight.Load(), int64(0))
	assert.Equal(t, w.members[0].ServiceTime(), 0.0)
}

// TestConcurrentUse runs all policies from several goroutines, for the race detector, and
// checks that no request stays counted as in flight.
func TestConcurrentUse(t *testing.T) {
	for _, name := range PolicyNames() {
		w := newTestCluster(11)
		f := New(nil, w, w, Options{Policy: NewPolicy(name, SharedRand{}, Distance{DataCentre: "a", OneWayDelay: time.Millisecond})})
		var wg sync.WaitGroup
		for range 4 {
			wg.Go(func() {
				for i := range testPicks {
					h, err := f.BeginHandoff(&request.Request{})
					assert.Check(t, err)
					h.Member.RecordLoad(int64(i%testSlots), 0, 1, time.Now())
					h.Member.RecordFailure(time.Now(), testPicks, time.Second)
					f.EndHandoff(&h, nil)
				}
			})
		}
		wg.Wait()
		for _, m := range w.members {
			assert.Equal(t, m.InFlight.Load(), int64(0), name)
		}
	}
}
