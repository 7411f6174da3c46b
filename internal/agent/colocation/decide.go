// Package colocation keeps the service beside a worker quick: it watches the
// service's latency in line and throttles, and if that is not enough evicts, the
// batch attempts on the worker.
package colocation

import (
	"cmp"
	"slices"
	"time"

	"chervilridge/internal/platform"
)

// FullShare is the share of its processors that an unthrottled attempt may use,
// in thousandths.
const FullShare = 1000

const (
	loadScale  = 1000 // fine steps of the smoothed load
	loadRounds = 8    // rounds that the load is smoothed over
)

// Policy bounds the control. Ratios are latency over target in thousandths.
type Policy struct {
	// MinSamples is the least number of answers in the window to act on.
	MinSamples int64
	// HighMilli and LowMilli are the ratios above which attempts are throttled and
	// below which they are restored; between them nothing changes.
	HighMilli, LowMilli int64
	// SevereMilli is the ratio at which attempts go to the floor at once.
	SevereMilli int64
	// AllowedMilli is how much batch work may slow the service at any load, in
	// thousandths of its latency alone: to stop batch work does not bring back a
	// service that load alone keeps from its target.
	AllowedMilli int64
	// UnusedMilli is the part of the allowed slowdown below which attempts are
	// restored.
	UnusedMilli int64
	// LoadStepMilli is a change of the service's load that the latency alone, which
	// follows it by some seconds, does not show yet.
	LoadStepMilli int64
	// HighRounds and LowRounds are how many rounds in a row must agree.
	HighRounds, LowRounds int
	// EvictRounds is how many rounds in a row must be high at the floor share.
	EvictRounds int
	// FloorMilli is the least share, RestoreMilli the step up.
	FloorMilli, RestoreMilli uint32
	// IdleRounds is how many rounds in a row the service must have had next to no
	// work for what was throttled to be restored without samples.
	IdleRounds int
	// IdleLoadMilli is the share of the slots in use below which it has none.
	IdleLoadMilli uint32
	// BusyLoadMilli is the share of the service's slots in use at which nothing
	// is restored.
	BusyLoadMilli uint32
	// CeilingHold is how long a share that proved too high is not tried again; the
	// share approaches it by halves, down to steps of LeastStepMilli.
	CeilingHold    time.Duration
	LeastStepMilli uint32
	// Settle is the time that a change needs to show in the latency.
	Settle time.Duration
	// MinRun protects an attempt that began only now.
	MinRun time.Duration
	// MaxEvictions in each EvictionWindow.
	MaxEvictions   int
	EvictionWindow time.Duration
	// RestartCost is the work that every eviction costs, besides unsaved work.
	RestartCost time.Duration
}

// DefaultPolicy is the policy of an agent.
func DefaultPolicy() Policy {
	return Policy{
		MinSamples: 30, HighMilli: 950, LowMilli: 750, SevereMilli: 1500, AllowedMilli: 1200, UnusedMilli: 750, LoadStepMilli: 50,
		HighRounds: 2, LowRounds: 4, EvictRounds: 4, IdleRounds: 20, IdleLoadMilli: 100,
		FloorMilli: 125, RestoreMilli: 125, BusyLoadMilli: 850,
		CeilingHold: 20 * time.Second, LeastStepMilli: 25,
		Settle: 2 * time.Second, MinRun: 30 * time.Second,
		MaxEvictions: 2, EvictionWindow: 5 * time.Minute, RestartCost: 5 * time.Second,
	}
}

// Attempt is a running batch attempt as the control sees it.
type Attempt struct {
	Key      platform.TaskKey
	JobClass string
	CPUMilli int64
	// Ran is how long the attempt has run, Unsaved the work since its newest
	// checkpoint.
	Ran, Unsaved time.Duration
	// ShareMilli is the share in force; 0 if it is not known.
	ShareMilli uint32
	// SlowdownMilli is how much the class slows the service, in thousandths of the
	// latency alone; 0 if that was not learned.
	SlowdownMilli uint32
}

// Snapshot is all that a decision looks at.
type Snapshot struct {
	// Now is the time on the agent's clock.
	Now         time.Duration
	P99, Target time.Duration
	// Alone is the latency that the service would have without batch work at its
	// present load; 0 if that is not known.
	Alone     time.Duration
	Samples   int64
	LoadMilli uint32
	Attempts  []Attempt
}

// limits are the latencies above which attempts are throttled, taken to the floor
// at once, and below which they are restored.
type limits struct {
	high, severe, low time.Duration
}

func milli(d time.Duration, thousandths int64) time.Duration {
	return d * time.Duration(thousandths) / FullShare
}

// limits follow the target, and the latency alone where that is known: batch work
// may always slow the service by the allowed part, so that it does not answer for
// what load alone does, and what was throttled comes back while most of the
// allowed part is unused.
func (s Snapshot) limits(p Policy) limits {
	l := limits{
		high: milli(s.Target, p.HighMilli), severe: milli(s.Target, p.SevereMilli), low: milli(s.Target, p.LowMilli),
	}
	if s.Alone <= 0 {
		return l
	}
	l.high = max(s.Target, milli(s.Alone, p.AllowedMilli))
	l.severe = max(l.severe, milli(s.Alone, p.SevereMilli))
	l.low = max(l.low, s.Alone+milli(l.high-s.Alone, p.UnusedMilli))
	return l
}

// State is what the control remembers between rounds.
type State struct {
	// LevelMilli is the share for every attempt.
	LevelMilli uint32
	high, low  int
	load       int64 // smoothed, in thousandths of loadScale
	seen       bool  // whether load has a value
	idle       int
	ceiling    uint32        // share that proved too high
	ceilingEnd time.Duration // until when it counts
	changed    time.Duration // when the newest action was taken
	acted      bool
	evictions  []time.Duration
}

// NewState returns the state of a control that throttles nothing.
func NewState() State { return State{LevelMilli: FullShare} }

// Share sets one attempt's share.
type Share struct {
	Key       platform.TaskKey
	FromMilli uint32
	ToMilli   uint32
}

// Actions is the outcome of one decision.
type Actions struct {
	Shares []Share
	// Evict is the attempt to checkpoint and stop, or nil.
	Evict *Attempt
	// Spent means that an eviction was wanted and the budget had none left.
	Spent bool
}

// Decide returns what to do now and the state for the next round. It throttles
// before it evicts, and does nothing without a target or enough samples.
func Decide(p Policy, s Snapshot, st State) (Actions, State) {
	var out Actions
	st = st.count(p, s)
	if len(s.Attempts) > 0 && !st.settling(p, s.Now) {
		out, st = st.act(p, s)
	}
	out.Shares = shares(s.Attempts, out.Evict, st.LevelMilli)
	return out, st
}

// count updates how many rounds in a row were high or low.
func (st State) count(p Policy, s Snapshot) State {
	if s.Target <= 0 {
		return State{LevelMilli: FullShare, evictions: st.evictions}
	}
	st.idle++
	if s.Samples >= p.MinSamples || s.LoadMilli >= p.IdleLoadMilli {
		st.idle = 0
	}
	st = st.follow(s)
	limit := s.limits(p)
	switch {
	case s.Samples < p.MinSamples:
		st.high, st.low = 0, 0
	case s.P99 > limit.high && s.P99 <= limit.severe && st.loadMoves(p, s):
		st.high, st.low = 0, 0
	case s.P99 > limit.high:
		st.high, st.low = st.high+1, 0
		if s.P99 > limit.severe {
			st.high = max(st.high, p.HighRounds)
		}
	case s.P99 < limit.low && s.LoadMilli < p.BusyLoadMilli:
		st.high, st.low = 0, st.low+1
	default:
		st.high, st.low = 0, 0
	}
	return st
}

// follow smooths the load over about as long as the latency alone lags behind it.
func (st State) follow(s Snapshot) State {
	now := int64(s.LoadMilli) * loadScale
	if !st.seen {
		st.load, st.seen = now, true
		return st
	}
	st.load += (now - st.load) / loadRounds
	return st
}

// loadMoves reports whether the latency alone is of another load than now.
func (st State) loadMoves(p Policy, s Snapshot) bool {
	step := int64(s.LoadMilli) - st.load/loadScale
	return s.Alone > 0 && max(step, -step) > p.LoadStepMilli
}

// settling reports whether the newest action cannot show in the latency yet.
func (st State) settling(p Policy, now time.Duration) bool {
	return st.acted && now-st.changed < p.Settle
}

func (st State) act(p Policy, s Snapshot) (Actions, State) {
	switch {
	case st.high >= p.HighRounds && st.LevelMilli > p.FloorMilli:
		return Actions{}, st.throttle(p, s)
	case st.high >= p.EvictRounds && st.LevelMilli <= p.FloorMilli:
		return st.evict(p, s)
	case st.low >= p.LowRounds || st.idle >= p.IdleRounds:
		return Actions{}, st.restore(p, s)
	}
	return Actions{}, st
}

// restore goes one step up, but not to a share that proved too high lately.
func (st State) restore(p Policy, s Snapshot) State {
	level := min(st.LevelMilli+p.RestoreMilli, FullShare)
	if s.Now < st.ceilingEnd && level >= st.ceiling {
		level = st.LevelMilli + (max(st.ceiling, st.LevelMilli)-st.LevelMilli)/2
	}
	if level < FullShare && level < st.LevelMilli+p.LeastStepMilli {
		return st
	}
	if level == st.LevelMilli {
		return st
	}
	return st.changedTo(level, s.Now)
}

// throttle halves the share; a severe slowdown takes it to the floor at once.
func (st State) throttle(p Policy, s Snapshot) State {
	st.ceiling, st.ceilingEnd = st.LevelMilli, s.Now+p.CeilingHold
	level := max(st.LevelMilli/2, p.FloorMilli)
	if s.P99 > s.limits(p).severe {
		level = p.FloorMilli
	}
	return st.changedTo(level, s.Now)
}

func (st State) changedTo(level uint32, now time.Duration) State {
	st.LevelMilli, st.changed, st.acted = level, now, true
	st.high, st.low = 0, 0
	return st
}

func (st State) evict(p Policy, s Snapshot) (Actions, State) {
	st.evictions = slices.DeleteFunc(slices.Clone(st.evictions), func(at time.Duration) bool {
		return s.Now-at >= p.EvictionWindow
	})
	victim := Victim(p, s.Attempts)
	switch {
	case victim == nil:
		return Actions{}, st
	case len(st.evictions) >= p.MaxEvictions:
		return Actions{Spent: true}, st
	}
	st.evictions = append(st.evictions, s.Now)
	return Actions{Evict: victim}, st.changedTo(st.LevelMilli, s.Now)
}

// Victim returns the attempt whose eviction brings the most relief for the least
// lost work, among those that ran long enough; nil if there is none.
func Victim(p Policy, attempts []Attempt) *Attempt {
	eligible := slices.DeleteFunc(slices.Clone(attempts), func(a Attempt) bool { return a.Ran < p.MinRun })
	if len(eligible) == 0 {
		return nil
	}
	best := slices.MaxFunc(eligible, func(a, b Attempt) int {
		return cmp.Or(
			cmp.Compare(worth(p, a), worth(p, b)),
			cmp.Compare(b.Key.JobID, a.Key.JobID),
			cmp.Compare(b.Key.Index, a.Key.Index),
		)
	})
	return &best
}

// worth is the relief for each second of lost work.
func worth(p Policy, a Attempt) float64 {
	relief := float64(a.CPUMilli)
	if a.SlowdownMilli > FullShare {
		relief *= float64(a.SlowdownMilli) / FullShare
	}
	return relief / (a.Unsaved + p.RestartCost).Seconds()
}

// shares brings every attempt to the level, also one that began since.
func shares(attempts []Attempt, evicted *Attempt, level uint32) []Share {
	var out []Share
	for _, a := range attempts {
		if a.ShareMilli == level || (evicted != nil && evicted.Key == a.Key) {
			continue
		}
		out = append(out, Share{Key: a.Key, FromMilli: a.ShareMilli, ToMilli: level})
	}
	return out
}
