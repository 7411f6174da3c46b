package sidecar

import (
	"math"
	"strings"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/interference"
	"chervilridge/platform"
)

const (
	// goal is the headroom that pacing keeps for serving runs: their target over their
	// tail latency. What is above 1 covers what the load changes within one round.
	goal = 1.25
	// missedBelow is the headroom at which a run counts as over its target, metAbove that
	// from which it counts as under it again: readings are off by some percent.
	missedBelow, metAbove = 1.0, 1.05
	// ownFault is the headroom below which a run's load alone keeps it over its target;
	// to slow the filling runs for it helps nobody. provenFault is that headroom for a run
	// that was seen without filling runs: some way off, since loads move.
	ownFault, provenFault = 0.95, 0.8
	// saturated is the headroom below which a tail tells no more than that too much runs:
	// it grows without bound there.
	saturated = 0.45
	// aloneWeight is the weight of a new reading in the headroom that load alone leaves.
	aloneWeight = 0.6
	// haltAfter is how long a target may be missed before the filling runs to blame are
	// halted, haltAllAfter before all are; the platform counts harm after about four
	// seconds.
	haltAfter    = 1600 * time.Millisecond
	haltAllAfter = 2 * time.Second
	// clearAfter is how long filling runs must be halted to be cleared: a halt takes a
	// tenth of a second, the worker's figures are of the last half second, and what has
	// queued up is worked off in about as long again.
	clearAfter = 1600 * time.Millisecond
	// excuseTime is how long a serving run is left out after that, if its load alone keeps
	// it over its target.
	excuseTime = time.Second
	// notable is the headroom that the runs of an image must take to be slowed.
	notable = 0.1
)

// watched is what is remembered of a serving run between two lists.
type watched struct {
	// alone is the headroom that its load alone leaves, smoothed.
	alone float64
	// over is since when it misses its target on end; 0 if it does not.
	over boottime.Instant
	// excused is until when it is left out after a halt that did not help.
	excused boottime.Instant
}

// servingRun is a serving run as pacing sees it.
type servingRun struct {
	service  string // the job whose tasks share its load
	image    string
	headroom float64
	alone    float64
	// missed is for how long it has missed its target on end.
	missed time.Duration
	// excused is set if its own load keeps it over its target.
	excused bool
}

// neighbours is what serves and fills on the worker.
type neighbours struct {
	fills map[string][]runKey // by image
	use   map[string]float64  // share of the processors that filling runs use, by image
	full  map[string]float64  // share that they would use at full pace
	// serving are the runs that serve.
	serving []servingRun
}

func (a *Agent) neighbours(l *life, now boottime.Instant) neighbours {
	n := neighbours{fills: map[string][]runKey{}, use: map[string]float64{}, full: map[string]float64{}}
	whole := float64(max(l.beat.CPUMilli, 1))
	use := map[string]float64{}
	for key, run := range l.runs {
		if info := a.info[key]; info.fills {
			n.fills[info.image] = append(n.fills[info.image], key)
			use[info.image] += float64(run.Gauge) / whole
			n.full[info.image] += float64(info.cpu) / whole
		}
	}
	n.use = interference.MaxUse(use, a.lastUse)
	a.lastUse = use
	cleared := a.allHalted(n, now)
	for key, run := range l.runs {
		if info := a.info[key]; info.target > 0 && run.Gauge > 0 && run.Percent >= fullPace {
			n.serving = append(n.serving, a.watch(key, info, run, n, cleared, now))
		}
	}
	n.excuseHot()
	return n
}

// serviceOf returns the job of a task; its name comes first in the task's.
func serviceOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// allHalted reports whether all filling runs have been halted for long enough to show
// what serving runs do without them.
func (a *Agent) allHalted(n neighbours, now boottime.Instant) bool {
	for image := range n.fills {
		if p := a.pacers[image]; p == nil || p.level > 0 || now.Sub(p.changed) < clearAfter {
			return false
		}
	}
	return len(n.fills) > 0
}

// watch takes in a reading of a serving run.
func (a *Agent) watch(key runKey, info runInfo, run platform.Run, n neighbours, cleared bool, now boottime.Instant) servingRun {
	s := servingRun{service: serviceOf(key.task), image: info.image, headroom: float64(info.target) / float64(run.Gauge)}
	alone := s.headroom + a.model.HeadroomLoss(info.image, n.use)
	w := a.watches[key]
	if w == nil {
		w = &watched{alone: max(alone, missedBelow)}
		a.watches[key] = w
	}
	if s.headroom >= saturated {
		w.alone += aloneWeight * (alone - w.alone)
	}
	switch {
	case s.headroom >= metAbove:
		w.over = 0
	case s.headroom < missedBelow && w.over == 0:
		w.over = now
	}
	if w.over != 0 {
		s.missed = now.Sub(w.over)
	}
	s.alone = w.alone
	if cleared && s.missed > 0 && s.headroom >= saturated && s.headroom < provenFault && !w.excused.After(now) {
		w.excused = now.Add(excuseTime)
		events.ServingExcused.Log("task", key.task, "tailMs", run.Gauge, "targetMs", info.target, "missed", s.missed, "for", excuseTime)
	}
	s.excused = w.excused.After(now) && w.alone < ownFault
	return s
}

// excuseHot leaves out runs that miss their target by a load of their own: a run of the
// same job beside it, with the same neighbours, meets it.
func (n neighbours) excuseHot() {
	met := map[string]bool{}
	for _, s := range n.serving {
		if s.headroom >= metAbove {
			met[s.service] = true
		}
	}
	for i := range n.serving {
		if s := &n.serving[i]; s.alone < ownFault && s.missed < haltAfter && met[s.service] {
			s.excused = true
		}
	}
}

// least returns the least headroom of the serving runs.
func (n neighbours) least() float64 {
	least := math.Inf(1)
	for _, s := range n.serving {
		least = min(least, s.headroom)
	}
	return least
}

// goals returns the pace of each filling image that leaves the serving runs their
// headroom. Images that take next to nothing of it keep their full pace.
func (n neighbours) goals(model *interference.Model) map[string]float64 {
	out := make(map[string]float64, len(n.fills))
	for image := range n.fills {
		out[image] = fullPace
	}
	for _, s := range n.serving {
		if !s.excused {
			n.limit(out, s, model)
		}
	}
	return out
}

// limit lowers the goals to what a serving run bears.
func (n neighbours) limit(goals map[string]float64, s servingRun, model *interference.Model) {
	takes := make(map[string]float64, len(n.full))
	wanted := 0.0
	for image, share := range n.full {
		if t := model.SignificantSlope(interference.Pair{Serving: s.image, BestEffort: image}) * share; t >= notable {
			takes[image] = t
			wanted += t
		}
	}
	if s.headroom < saturated { // more is taken than was thought
		for image := range takes {
			goals[image] = 0
		}
	}
	if s.alone < missedBelow || wanted == 0 && s.headroom < missedBelow { // nothing known explains the miss
		for image := range n.full {
			goals[image] = min(goals[image], fullPace*s.headroom/2)
		}
	}
	if wanted == 0 {
		return
	}
	share := max(s.alone-goal, 0) / wanted
	for image := range takes {
		goals[image] = min(goals[image], fullPace*share)
	}
}

// pressed reports whether a serving run misses its target, so that nothing may work more.
func (n neighbours) pressed() bool {
	for _, s := range n.serving {
		if s.missed > 0 && !s.excused {
			return true
		}
	}
	return false
}

// halts reports whether the filling image has to halt: a run has missed its target for
// too long, by the image's doing or by an unknown cause.
func (n neighbours) halts(model *interference.Model, filling string) bool {
	for _, s := range n.serving {
		blamed := model.SignificantSlope(interference.Pair{Serving: s.image, BestEffort: filling}) > 0
		if !s.excused && (s.missed >= haltAllAfter || s.missed >= haltAfter && blamed) {
			return true
		}
	}
	return false
}
