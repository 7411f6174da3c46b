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

// TestNearPreferenceFlips checks that the near endpoint is preferred until what
// its requests cost exceeds the way to the far one and back.
func TestNearPreferenceFlips(t *testing.T) {
	const service = 20 * time.Millisecond
	cases := []struct {
		name      string
		hop       time.Duration
		nearOwn   int64
		nearWaits int64 // queued there by the agent's report
		near      bool
	}{
		{"equal", time.Millisecond, 0, 0, true},
		// One request more costs 20/8 = 2.5 ms.
		{"one request costs less than 2 x 2 ms", 2 * time.Millisecond, 1, 0, true},
		{"one request costs more than 2 x 1 ms", time.Millisecond, 1, 0, false},
		// 8 run and 7 wait by the report: the wait is a whole service time.
		{"reported queue costs less than 2 x 11 ms", 11 * time.Millisecond, 0, 15, true},
		{"reported queue costs more than 2 x 9 ms", 9 * time.Millisecond, 0, 15, false},
	}
	for _, policy := range []string{NameNearLeastTime, NameNearTwoChoices} {
		for _, c := range cases {
			t.Run(policy+"/"+c.name, func(t *testing.T) {
				near, far := member(0, start), member(1, start)
				for _, m := range []*membership.Member{near, far} {
					m.ObserveService(service, start)
				}
				near.NoteLoad(c.nearWaits, 0, 0, start)
				near.InFlight.Add(c.nearOwn)
				p := NewPolicy(policy, rand.New(rand.NewPCG(1, 1)), Distance{DataCentre: "a", Hop: c.hop})
				got := p.Pick([]*membership.Member{far, near}, start)
				assert.Equal(t, got.Member == near, c.near, "scores %v and %v", got.Score, got.RunnerUpScore)
			})
		}
	}
}

// TestSlowEndpointLosesTraffic sends an even stream to three endpoints, of which
// one is ten times slower, and counts its share; it must be probed again when it
// has recovered.
func TestSlowEndpointLosesTraffic(t *testing.T) {
	const usual, slow = 20 * time.Millisecond, 200 * time.Millisecond
	w := newWorld(3)
	f := w.filter(NameNearLeastTime)
	stream := func(took func(m *membership.Member) time.Duration, n int) (toFirst int) {
		for range n {
			h, err := f.Begin(&request.Request{})
			assert.NilError(t, err)
			began := w.now
			w.now = began.Add(took(h.Member))
			f.End(&h, nil)
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

// TestTwoChoicesAreDifferent checks that the better of two endpoints always
// wins, which a draw of the same one twice would break.
func TestTwoChoicesAreDifferent(t *testing.T) {
	for _, name := range []string{NameTwoChoices, NameTwoChoicesReported, NameNearTwoChoices} {
		w := newWorld(2)
		w.members[0].InFlight.Add(testSlots)
		p := NewPolicy(name, rand.New(rand.NewPCG(1, 1)), Distance{})
		for range testPicks {
			assert.Equal(t, p.Pick(w.members, start).Member, w.members[1], name)
		}
	}
}

// TestEqualsTakeTurns checks that equal members are picked in turn.
func TestEqualsTakeTurns(t *testing.T) {
	for _, name := range []string{NameRoundRobin, NameIdleFirst, NameLeastInFlight, NameLeastLoaded, NameLeastTime} {
		w := newWorld(5)
		p := NewPolicy(name, rand.New(rand.NewPCG(1, 1)), Distance{})
		counts := map[*membership.Member]int{}
		for range 50 {
			counts[p.Pick(w.members, start).Member]++
		}
		for _, m := range w.members {
			assert.Equal(t, counts[m], 10, name)
		}
	}
}

// TestLeastNamesRunnerUp checks the comparison that the log line shows.
func TestLeastNamesRunnerUp(t *testing.T) {
	w := newWorld(3)
	for i, own := range []int64{8, 2, 4} {
		w.members[i].InFlight.Add(own)
	}
	d := NewPolicy(NameLeastInFlight, nil, Distance{}).Pick(w.members, start)
	assert.Equal(t, d.Member, w.members[1])
	assert.Equal(t, d.RunnerUp, w.members[2])
	assert.Equal(t, d.Score, 0.25)
	assert.Equal(t, d.RunnerUpScore, 0.5)
}

// TestNamesHavePolicies checks that each name makes a policy of that name.
func TestNamesHavePolicies(t *testing.T) {
	for _, name := range Names() {
		assert.Equal(t, NewPolicy(name, SharedRand{}, Distance{}).Name(), name)
	}
	assert.Check(t, NewPolicy("none", SharedRand{}, Distance{}) == nil)
}

// BenchmarkPick measures choosing and settling a hand-over without its log line.
func BenchmarkPick(b *testing.B) {
	for _, name := range []string{NameRandom, NameTwoChoices, NameNearLeastTime} {
		for _, n := range []int{11, 500} {
			b.Run(fmt.Sprintf("%s/%d", name, n), func(b *testing.B) {
				w := newWorld(n)
				f := New(nil, w, w, Options{Policy: NewPolicy(name, SharedRand{}, Distance{DataCentre: "a", Hop: time.Millisecond})})
				r := &request.Request{Tried: make([]*membership.Member, 0, 1)}
				b.ReportAllocs()
				for b.Loop() {
					r.Tried = r.Tried[:0]
					h, err := f.Begin(r)
					if err != nil {
						b.Fatal(err)
					}
					f.End(&h, nil)
				}
			})
		}
	}
}
