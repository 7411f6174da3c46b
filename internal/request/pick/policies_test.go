package pick

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/membership"
	"chervilridge/internal/request"
)

// TestNearPreferenceFlips checks that the near endpoint is preferred until the cost of its
// requests exceeds the round trip to the far one.
func TestNearPreferenceFlips(t *testing.T) {
	const service = 20 * time.Millisecond
	cases := []struct {
		name     string
		oneWay   time.Duration
		nearOwn  int64
		reported int64 // running and queued requests in the near agent's report
		near     bool
	}{
		{"equal", time.Millisecond, 0, 0, true},
		// One request more costs 20/8 = 2.5 ms.
		{"one request costs less than 2 x 2 ms", 2 * time.Millisecond, 1, 0, true},
		{"one request costs more than 2 x 1 ms", time.Millisecond, 1, 0, false},
		// 8 running and 7 queued as reported: the wait is a full service time.
		{"reported queue costs less than 2 x 11 ms", 11 * time.Millisecond, 0, 15, true},
		{"reported queue costs more than 2 x 9 ms", 9 * time.Millisecond, 0, 15, false},
	}
	for _, policy := range []string{NameNearLeastTime, NameNearTwoChoices} {
		for _, c := range cases {
			t.Run(policy+"/"+c.name, func(t *testing.T) {
				near, far := member(0, testEpoch), member(1, testEpoch)
				for _, m := range []*membership.Member{near, far} {
					m.ObserveServiceTime(service, testEpoch)
				}
				near.RecordLoad(c.reported, 0, 0, testEpoch)
				near.InFlight.Add(c.nearOwn)
				p := NewPolicy(policy, rand.New(rand.NewPCG(1, 1)), Distance{DataCentre: "a", OneWayDelay: c.oneWay})
				got := p.Pick([]*membership.Member{far, near}, testEpoch)
				assert.Equal(t, got.Member == near, c.near, "scores %v and %v", got.Score, got.RunnerUpScore)
			})
		}
	}
}

// TestRequestsInTransitAreNotLoad checks that requests in transit to a far endpoint do not
// count as if they occupied its slots: with a round trip as long as the service time,
// only 4 of 8 requests in flight are at the endpoint.
func TestRequestsInTransitAreNotLoad(t *testing.T) {
	const service, oneWay = 2 * time.Millisecond, time.Millisecond
	near, far := member(0, testEpoch), member(1, testEpoch)
	for _, m := range []*membership.Member{near, far} {
		m.ObserveServiceTime(service, testEpoch)
	}
	near.InFlight.Add(14)
	far.InFlight.Add(8)
	p := NewPolicy(NameNearLeastTime, SharedRand{}, Distance{DataCentre: "a", OneWayDelay: oneWay})
	got := p.Pick([]*membership.Member{near, far}, testEpoch)
	assert.Equal(t, got.Member, far, "scores %v and %v", got.Score, got.RunnerUpScore)
}

// TestSlowEndpointLosesTraffic sends a steady stream to three endpoints, one of which is
// ten times slower. It must get few requests, but some, so that its recovery is noticed.
func TestSlowEndpointLosesTraffic(t *testing.T) {
	const usual, slow = 20 * time.Millisecond, 200 * time.Millisecond
	w := newTestCluster(3)
	f := w.filter(NameNearLeastTime)
	stream := func(took func(m *membership.Member) time.Duration, n int) (toFirst int) {
		for range n {
			h, err := f.BeginHandoff(&request.Request{})
			assert.NilError(t, err)
			began := w.now
			w.now = began.Add(took(h.Member))
			f.EndHandoff(&h, nil)
			w.now = began.Add(usual)
			if h.Member == w.members[0] {
				toFirst++
			}
		}
		return toFirst
	}
	slowFirst := func(m *membership.Member) time.Duration {
		if m == w.members[0] {
			return slow
		}
		return usual
	}
	stream(slowFirst, 10)
	got := stream(slowFirst, 1000)
	assert.Check(t, got <= 20, "%d of 1000 requests to the slow endpoint", got)
	assert.Check(t, got >= 1, "never probed")
	stream(func(*membership.Member) time.Duration { return usual }, 1000)
	got = stream(func(*membership.Member) time.Duration { return usual }, 300)
	assert.Check(t, got >= 90, "%d of 300 requests after recovery", got)
}

// TestTwoChoicesAreDifferent checks that the better of two endpoints always wins. It would
// not if the policy could draw the same endpoint twice.
func TestTwoChoicesAreDifferent(t *testing.T) {
	for _, name := range []string{NameTwoChoices, NameTwoChoicesReported, NameNearTwoChoices} {
		w := newTestCluster(2)
		w.members[0].InFlight.Add(testSlots)
		p := NewPolicy(name, rand.New(rand.NewPCG(1, 1)), Distance{})
		for range testPicks {
			assert.Equal(t, p.Pick(w.members, testEpoch).Member, w.members[1], name)
		}
	}
}

// TestEqualScoresArePickedInTurn checks that members with equal scores are picked in turn.
func TestEqualScoresArePickedInTurn(t *testing.T) {
	for _, name := range []string{NameRoundRobin, NameIdleFirst, NameLeastInFlight, NameLeastLoaded, NameLeastTime} {
		w := newTestCluster(5)
		p := NewPolicy(name, rand.New(rand.NewPCG(1, 1)), Distance{})
		counts := map[*membership.Member]int{}
		for range 50 {
			counts[p.Pick(w.members, testEpoch).Member]++
		}
		for _, m := range w.members {
			assert.Equal(t, counts[m], 10, name)
		}
	}
}

// TestLowestScoreNamesRunnerUp checks the runner-up and the scores of a decision.
func TestLowestScoreNamesRunnerUp(t *testing.T) {
	w := newTestCluster(3)
	for i, own := range []int64{8, 2, 4} {
		w.members[i].InFlight.Add(own)
	}
	d := NewPolicy(NameLeastInFlight, nil, Distance{}).Pick(w.members, testEpoch)
	assert.Equal(t, d.Member, w.members[1])
	assert.Equal(t, d.RunnerUp, w.members[2])
	assert.Equal(t, d.Score, 0.25)
	assert.Equal(t, d.RunnerUpScore, 0.5)
}

// TestCandidateScoresShowAll checks the scores that are logged for a decision: those
// before the request itself adds to the load.
func TestCandidateScoresShowAll(t *testing.T) {
	w := newTestCluster(3)
	for i, own := range []int64{8, 2, 4} {
		w.members[i].InFlight.Add(own)
	}
	cases := map[string]string{
		NameLeastInFlight: "agent-0=1 agent-1=0.25 agent-2=0.5",
		NameRoundRobin:    "agent-0=0 agent-1=0 agent-2=0",
	}
	for name, want := range cases {
		h, err := w.filter(name).beginHandoff(&request.Request{}, true)
		assert.NilError(t, err)
		assert.Equal(t, h.Scores.String(), want, name)
		h.Member.InFlight.Add(-1)
	}
	h, err := newTestCluster(maxLoggedCandidates+1).filter(NameLeastInFlight).beginHandoff(&request.Request{}, true)
	assert.NilError(t, err)
	assert.Equal(t, len(h.Scores), 0)
}

// TestNamesHavePolicies checks that NewPolicy knows each name and its policy reports it.
func TestNamesHavePolicies(t *testing.T) {
	for _, name := range PolicyNames() {
		assert.Equal(t, NewPolicy(name, SharedRand{}, Distance{}).Name(), name)
	}
	assert.Check(t, NewPolicy("none", SharedRand{}, Distance{}) == nil)
}

// BenchmarkPick measures BeginHandoff and EndHandoff, which log nothing.
func BenchmarkPick(b *testing.B) {
	for _, name := range []string{NameRandom, NameTwoChoices, NameNearLeastTime} {
		for _, n := range []int{11, 500} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				w := newTestCluster(n)
				f := New(nil, w, w, Options{Policy: NewPolicy(name, SharedRand{}, Distance{DataCentre: "a", OneWayDelay: time.Millisecond})})
				r := &request.Request{Tried: make([]*membership.Member, 0, 1)}
				b.ReportAllocs()
				for b.Loop() {
					r.Tried = r.Tried[:0]
					h, err := f.BeginHandoff(r)
					if err != nil {
						b.Fatal(err)
					}
					f.EndHandoff(&h, nil)
				}
			})
		}
	}
}
