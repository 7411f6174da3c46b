package colocation

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/platform"
)

const target = 100 * time.Millisecond

func attempt(job string, cpu int64, ran, unsaved time.Duration, share uint32) Attempt {
	return Attempt{Key: platform.TaskKey{JobID: job, Attempt: 1}, CPUMilli: cpu, Ran: ran, Unsaved: unsaved, ShareMilli: share}
}

// rounds feeds the same latency for a number of rounds of half a second each.
func rounds(n int, s *Snapshot, st State) (Actions, State) {
	var out Actions
	for range n {
		s.Now += 500 * time.Millisecond
		var a Actions
		a, st = Decide(DefaultPolicy(), *s, st)
		out.Shares = append(out.Shares, a.Shares...)
		out.Spent = out.Spent || a.Spent
		if a.Evict != nil {
			out.Evict = a.Evict
		}
		for _, sh := range a.Shares {
			for i := range s.Attempts {
				if s.Attempts[i].Key == sh.Key {
					s.Attempts[i].ShareMilli = sh.ToMilli
				}
			}
		}
	}
	return out, st
}

func TestDecide(t *testing.T) {
	const enough, few = 1000, 29
	cases := []struct {
		name    string
		p99     time.Duration
		target  time.Duration
		samples int64
		load    uint32
		level   uint32
		rounds  int
		want    uint32 // level after the rounds
	}{
		{"one high round is not enough", 96 * time.Millisecond, target, enough, 500, 1000, 1, 1000},
		{"two high rounds throttle by half", 96 * time.Millisecond, target, enough, 500, 1000, 2, 500},
		{"a throttle waits to show before the next", 96 * time.Millisecond, target, enough, 500, 1000, 5, 500},
		{"then it goes on", 96 * time.Millisecond, target, enough, 500, 1000, 7, 250},
		{"severe goes to the floor at once", 151 * time.Millisecond, target, enough, 500, 1000, 1, 125},
		{"between the thresholds nothing changes down", 80 * time.Millisecond, target, enough, 500, 1000, 50, 1000},
		{"between the thresholds nothing changes up", 80 * time.Millisecond, target, enough, 500, 250, 50, 250},
		{"well: restore one step", 50 * time.Millisecond, target, enough, 500, 250, 4, 375},
		{"well: restore step by step to full", 50 * time.Millisecond, target, enough, 500, 250, 60, 1000},
		{"well but busy: no restore", 50 * time.Millisecond, target, enough, 850, 250, 50, 250},
		{"too few samples: no throttle", time.Second, target, few, 500, 1000, 50, 1000},
		{"too few samples under load: no restore", time.Millisecond, target, few, 500, 250, 50, 250},
		{"idle service: restore without samples", 0, target, 0, 0, 250, 20, 375},
		{"no target: everything is released", time.Second, 0, enough, 500, 125, 1, 1000},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := Snapshot{P99: c.p99, Target: c.target, Samples: c.samples, LoadMilli: c.load,
				Attempts: []Attempt{attempt("a", 1000, 0, 0, c.level)}}
			_, st := rounds(c.rounds, &s, State{LevelMilli: c.level})
			assert.Equal(t, st.LevelMilli, c.want)
		})
	}
}

func TestEvictionComesLastAndWithinBudget(t *testing.T) {
	s := Snapshot{P99: 120 * time.Millisecond, Target: target, Samples: 1000, LoadMilli: 500,
		Attempts: []Attempt{attempt("a", 1000, time.Hour, 0, FullShare)}}
	out, st := rounds(6, &s, NewState())
	assert.Check(t, out.Evict == nil, "throttled first")
	out, st = rounds(10, &s, st)
	assert.Check(t, out.Evict != nil, "evicted when throttling was not enough")
	assert.Check(t, !out.Spent)
	out, _ = rounds(200, &s, st)
	assert.Check(t, out.Spent, "budget of two in five minutes")
}

func TestYoungAttemptIsNotEvicted(t *testing.T) {
	s := Snapshot{P99: 300 * time.Millisecond, Target: target, Samples: 1000,
		Attempts: []Attempt{attempt("a", 1000, 29*time.Second, 0, FullShare)}}
	out, _ := rounds(100, &s, NewState())
	assert.Check(t, out.Evict == nil)
}

func TestNewAttemptTakesTheLevelInForce(t *testing.T) {
	s := Snapshot{P99: 80 * time.Millisecond, Target: target, Samples: 1000,
		Attempts: []Attempt{attempt("old", 1000, time.Hour, 0, 250), attempt("new", 1000, 0, 0, FullShare)}}
	out, _ := Decide(DefaultPolicy(), s, State{LevelMilli: 250})
	assert.DeepEqual(t, out.Shares, []Share{{Key: s.Attempts[1].Key, FromMilli: FullShare, ToMilli: 250}})
}

func TestVictim(t *testing.T) {
	old := time.Hour
	cases := []struct {
		name     string
		attempts []Attempt
		want     string
	}{
		{"most relief", []Attempt{attempt("a", 1000, old, time.Second, 125), attempt("b", 4000, old, time.Second, 125)}, "b"},
		{"least lost work", []Attempt{attempt("a", 1000, old, time.Second, 125), attempt("b", 1000, old, time.Minute, 125)}, "a"},
		{"relief for lost work", []Attempt{attempt("a", 4000, old, time.Hour, 125), attempt("b", 1000, old, 0, 125)}, "b"},
		{"too young", []Attempt{attempt("a", 4000, time.Second, 0, 125), attempt("b", 1000, old, 0, 125)}, "b"},
		{"learned slowdown", []Attempt{
			attempt("a", 1500, old, 0, 125),
			{Key: platform.TaskKey{JobID: "b"}, CPUMilli: 1000, Ran: old, SlowdownMilli: 2000},
		}, "b"},
		{"ties go by name", []Attempt{attempt("b", 1000, old, 0, 125), attempt("a", 1000, old, 0, 125)}, "a"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			assert.Equal(t, Victim(DefaultPolicy(), c.attempts).Key.JobID, c.want)
		})
	}
	assert.Check(t, Victim(DefaultPolicy(), nil) == nil)
}

// plant is a service beside batch work on a logical clock: its latency grows with
// the processors that the batch work uses, beyond what is free.
type plant struct {
	now      time.Duration
	attempts []Attempt
	evicted  int
	changes  int
	levels   int
	work     float64 // core seconds of batch work done
	over     int     // rounds over the target
	rounds   int
}

const (
	plantCores    = 16.0
	serviceCores  = 10.0
	aloneP99      = 60 * time.Millisecond
	plantInterval = 500 * time.Millisecond
)

// p99 is the latency alone, and for each core that the batch work takes beyond
// the free ones a share more; memory traffic remains from each attempt.
func (p *plant) p99() time.Duration {
	used := 0.0
	for _, a := range p.attempts {
		used += float64(a.CPUMilli) / 1000 * float64(a.ShareMilli) / FullShare
	}
	excess := max(0, used+serviceCores-plantCores)
	slow := 1 + 0.25*excess + 0.01*float64(len(p.attempts))
	return time.Duration(float64(aloneP99) * slow)
}

func (p *plant) round(st State, control bool) State {
	p.now += plantInterval
	for i := range p.attempts {
		p.attempts[i].Ran += plantInterval
		p.attempts[i].Unsaved = p.attempts[i].Ran % (10 * time.Second)
		p.work += float64(p.attempts[i].CPUMilli) / 1000 * float64(p.attempts[i].ShareMilli) / FullShare * plantInterval.Seconds()
	}
	p.rounds++
	if p.p99() > target {
		p.over++
	}
	if !control {
		return st
	}
	s := Snapshot{Now: p.now, P99: p.p99(), Target: target, Samples: 500, LoadMilli: 600, Attempts: p.attempts}
	actions, next := Decide(DefaultPolicy(), s, st)
	if next.LevelMilli != st.LevelMilli {
		p.levels++
	}
	p.carryOut(actions)
	return next
}

func (p *plant) carryOut(actions Actions) {
	for _, s := range actions.Shares {
		p.changes++
		for i := range p.attempts {
			if p.attempts[i].Key == s.Key {
				p.attempts[i].ShareMilli = s.ToMilli
			}
		}
	}
	if actions.Evict == nil {
		return
	}
	p.evicted++
	for i := range p.attempts {
		if p.attempts[i].Key == actions.Evict.Key {
			p.attempts = append(p.attempts[:i], p.attempts[i+1:]...)
			return
		}
	}
}

// wave runs ten minutes: a quiet start, then count attempts of one core for six
// minutes, then half of them.
func wave(count int, control bool) *plant {
	p, st := &plant{}, NewState()
	for p.now < 10*time.Minute {
		switch p.now {
		case time.Minute:
			for i := range count {
				p.attempts = append(p.attempts, attempt(fmt.Sprint("wave", i), 1000, 0, 0, FullShare))
			}
		case 7 * time.Minute:
			p.attempts = p.attempts[:len(p.attempts)/2]
		}
		st = p.round(st, control)
	}
	return p
}

// TestClosedLoop keeps the service within its target through a noisy wave. The
// bound on rounds over it is the time that the policy itself needs to settle.
func TestClosedLoop(t *testing.T) {
	for _, count := range []int{4, 8, 12, 16} {
		t.Run(fmt.Sprint(count), func(t *testing.T) {
			alone, controlled := wave(count, false), wave(count, true)
			t.Logf("rounds over target %d of %d (without control %d), batch core seconds %.0f (%.0f), level changes %d, evictions %d",
				controlled.over, controlled.rounds, alone.over, controlled.work, alone.work, controlled.levels, controlled.evicted)
			assert.Check(t, controlled.over*50 <= controlled.rounds, "over the target in more than 2%% of the rounds: %d", controlled.over)
			assert.Check(t, controlled.evicted <= 2*DefaultPolicy().MaxEvictions)
			assert.Check(t, controlled.levels <= 60, "the share changes more than ten times a minute: %d in six", controlled.levels)
			assert.Check(t, controlled.work > 0)
			if alone.over == 0 {
				assert.Equal(t, controlled.changes, 0, "a service within its target is left alone")
			}
		})
	}
}

// TestLatencyAlone: batch work does not answer for what load alone does, but for
// all of its own part.
func TestLatencyAlone(t *testing.T) {
	const ms = time.Millisecond
	cases := []struct {
		name       string
		p99, alone time.Duration
		load       uint32 // after a first round at 500
		level      uint32
		rounds     int
		want       uint32
	}{
		{"above its target by load alone: no throttle", 125 * ms, 110 * ms, 500, 1000, 50, 1000},
		{"above what is allowed over alone: throttle", 135 * ms, 110 * ms, 500, 1000, 2, 500},
		{"alone far below the target: the target counts", 99 * ms, 50 * ms, 500, 1000, 50, 1000},
		{"alone far below the target, over it: throttle", 101 * ms, 50 * ms, 500, 1000, 2, 500},
		{"most of the allowed part unused: restore", 115 * ms, 110 * ms, 500, 500, 5, 625},
		{"allowed part in use: no restore", 130 * ms, 110 * ms, 500, 500, 50, 500},
		{"load has just risen: wait", 135 * ms, 110 * ms, 700, 1000, 3, 1000},
		{"load rose a while ago: throttle", 135 * ms, 110 * ms, 700, 1000, 14, 500},
		{"load has just risen, severe: the floor at once", 170 * ms, 110 * ms, 700, 1000, 1, 125},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			s := Snapshot{P99: 50 * ms, Alone: 50 * ms, Target: target, Samples: 1000, LoadMilli: 500,
				Attempts: []Attempt{attempt("a", 1000, 0, 0, c.level)}}
			_, st := Decide(DefaultPolicy(), s, State{LevelMilli: c.level})
			s.P99, s.Alone, s.LoadMilli = c.p99, c.alone, c.load
			_, st = rounds(c.rounds, &s, st)
			assert.Equal(t, st.LevelMilli, c.want)
		})
	}
}
