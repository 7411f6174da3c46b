package colocation

import (
	"fmt"
	"os"
	"testing"
	"time"

	"chervilridge/internal/fixedseed"
	"pgregory.net/rapid"
)

func TestMain(m *testing.M) {
	os.Exit(fixedseed.Run(m, fixedseed.Options{Seed: 6001, Checks: 300, Steps: 300}))
}

// history is what a run of decisions did, to hold against the policy.
type history struct {
	evictions []time.Duration
	changed   time.Duration
	acted     bool
}

// mood is how the service does for a while.
type mood struct {
	lowMs, highMs int
	samples       []int64
	targets       []time.Duration
}

var moods = []mood{
	{0, 200, []int64{0, 29, 30, 1000}, []time.Duration{target, target, target, 0}},
	{110, 200, []int64{30, 1000}, []time.Duration{target}},
	{110, 140, []int64{1000}, []time.Duration{target}},
	{0, 70, []int64{30, 1000}, []time.Duration{target}},
	{200, 200, []int64{29}, []time.Duration{target}},
}

func (m mood) draw(rt *rapid.T) Snapshot {
	return Snapshot{
		P99:    time.Duration(rapid.IntRange(m.lowMs, m.highMs).Draw(rt, "p99")) * time.Millisecond,
		Target: rapid.SampledFrom(m.targets).Draw(rt, "target"), Samples: rapid.SampledFrom(m.samples).Draw(rt, "samples"),
		LoadMilli: rapid.Uint32Range(0, 1000).Draw(rt, "load"),
	}
}

// TestDecisionsKeepThePolicy feeds any latency, load and batch work, and checks
// what must hold whatever the service does.
func TestDecisionsKeepThePolicy(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		p, st, now := DefaultPolicy(), NewState(), time.Duration(0)
		var attempts []Attempt
		var past history
		born, mood := 0, moods[0]
		rt.Repeat(map[string]func(*rapid.T){
			"begin": func(rt *rapid.T) {
				born++
				attempts = append(attempts, attempt(fmt.Sprint("j", born), rapid.Int64Range(1, 8000).Draw(rt, "cpu"), 0, 0, FullShare))
			},
			"mood": func(rt *rapid.T) { mood = rapid.SampledFrom(moods).Draw(rt, "mood") },
			"end":  func(*rapid.T) { attempts = attempts[min(1, len(attempts)):] },
			"": func(rt *rapid.T) {
				step := rapid.SampledFrom([]time.Duration{500 * time.Millisecond, 500 * time.Millisecond, 40 * time.Second}).Draw(rt, "step")
				now += step
				for i := range attempts {
					attempts[i].Ran += step
				}
				s := mood.draw(rt)
				s.Now, s.Attempts = now, attempts
				actions, next := Decide(p, s, st)
				past.check(rt, p, s, st, next, actions)
				attempts = carried(attempts, actions)
				st = next
			},
		})
	})
}

func (h *history) check(rt *rapid.T, p Policy, s Snapshot, before, after State, a Actions) {
	switch {
	case after.LevelMilli < p.FloorMilli || after.LevelMilli > FullShare:
		rt.Fatalf("level %d", after.LevelMilli)
	case after.LevelMilli < before.LevelMilli && s.Samples < p.MinSamples:
		rt.Fatalf("throttled on %d samples", s.Samples)
	case after.LevelMilli < before.LevelMilli && s.P99*1000 <= s.Target*time.Duration(p.HighMilli):
		rt.Fatalf("throttled at %s of %s", s.P99, s.Target)
	case s.Target > 0 && after.LevelMilli != before.LevelMilli && h.acted && s.Now-h.changed < p.Settle:
		rt.Fatalf("changed again after %s", s.Now-h.changed)
	case a.Evict != nil && (before.LevelMilli > p.FloorMilli || a.Evict.Ran < p.MinRun || s.Samples < p.MinSamples):
		rt.Fatalf("evicted %+v at level %d on %d samples", a.Evict, before.LevelMilli, s.Samples)
	}
	if after.LevelMilli != before.LevelMilli && s.Target > 0 {
		h.changed, h.acted = s.Now, true
	}
	if s.Target == 0 {
		h.acted = false
	}
	if a.Evict == nil {
		return
	}
	h.evictions = append(h.evictions, s.Now)
	recent := 0
	for _, at := range h.evictions {
		if s.Now-at < p.EvictionWindow {
			recent++
		}
	}
	if recent > p.MaxEvictions {
		rt.Fatalf("%d evictions in one window", recent)
	}
}

func carried(attempts []Attempt, a Actions) []Attempt {
	var out []Attempt
	for _, at := range attempts {
		if a.Evict != nil && a.Evict.Key == at.Key {
			continue
		}
		for _, s := range a.Shares {
			if s.Key == at.Key {
				at.ShareMilli = s.ToMilli
			}
		}
		out = append(out, at)
	}
	return out
}
