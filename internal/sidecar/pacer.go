package sidecar

import (
	"context"
	"math"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/interference"
	"chervilridge/platform"
)

const (
	// fullPace is the pace of a run that is not slowed, in percent.
	fullPace = 100
	// goal is the headroom that pacing keeps for serving runs: their target over their
	// tail latency. What is above 1 covers what the load changes within one round.
	goal = 1.15
	// raiseFactor bounds a step up, firstPace is the step from a halt, in percent.
	raiseFactor, firstPace = 2, 20
	leastPace              = 5
	// haltAfter is how long a target may be missed before the filling runs to blame are
	// halted, haltAllAfter before all are; the platform counts harm after about four
	// seconds.
	haltAfter    = 1600 * time.Millisecond
	haltAllAfter = 2 * time.Second
	// settleTime is what a change of pace needs to show: the worker's figures are of
	// the last half second.
	settleTime = 650 * time.Millisecond
	// haltTime is how long a halted image stays halted.
	haltTime = 1500 * time.Millisecond
	// paceTimeout bounds one call.
	paceTimeout = 500 * time.Millisecond
	// infoKept is how long a run's description outlives its last listing.
	infoKept = 5 * time.Second
	// notable is the headroom that the runs of an image must take to be slowed.
	notable = 0.1
)

// runInfo is how a run shares its worker.
type runInfo struct {
	fills  bool
	target uint32 // ms; 0 if it serves nobody
	image  string
	cpu    uint32 // processors asked for, in thousandths
	since  boottime.Instant
}

// pacer decides at which pace filling runs of one image work beside serving ones. It
// answers for serving tasks staying under their target while the filling tasks disturb
// them by amounts that change with load.
type pacer struct {
	level   uint32
	changed boottime.Instant
	halted  boottime.Instant
}

// decide sets the pace to the goal, in percent: down at once, up in steps. halt is set
// once a target was missed for too long.
func (p *pacer) decide(now boottime.Instant, goal float64, halt bool) uint32 {
	if halt {
		p.halted = now
		p.change(now, 0)
		return 0
	}
	next := uint32(min(max(goal, 0), fullPace))
	if next < leastPace {
		next = 0
	}
	settled := now.Sub(p.changed) >= settleTime
	switch {
	case next < p.level && (settled || next+next/2 < p.level):
		p.change(now, next)
	case next > p.level && settled && (p.halted == 0 || now.Sub(p.halted) >= haltTime):
		p.change(now, min(next, max(p.level*raiseFactor, firstPace)))
	}
	return p.level
}

func (p *pacer) change(now boottime.Instant, level uint32) {
	if level != p.level {
		p.level, p.changed = level, now
	}
}

// neighbours is what serves and fills on the worker.
type neighbours struct {
	fills map[string][]runKey // by image
	use   map[string]float64  // cores that filling runs use, by image
	full  map[string]float64  // cores that they would use at full pace
	// serving is the least headroom of the serving runs, by image.
	serving map[string]float64
	least   float64
}

func (a *Agent) neighbours(l *life) neighbours {
	n := neighbours{
		fills: map[string][]runKey{}, use: map[string]float64{}, full: map[string]float64{}, serving: map[string]float64{}, least: math.Inf(1),
	}
	for key, run := range l.runs {
		info := a.info[key]
		if info.fills {
			n.fills[info.image] = append(n.fills[info.image], key)
			n.use[info.image] += float64(run.Gauge) / 1000
			n.full[info.image] += float64(info.cpu) / 1000
		}
		if info.target > 0 && run.Gauge > 0 && run.Percent >= fullPace && !a.ownFault[key].After(a.clock()) {
			headroom := float64(info.target) / float64(run.Gauge)
			if old, ok := n.serving[info.image]; !ok || headroom < old {
				n.serving[info.image] = headroom
			}
			n.least = min(n.least, headroom)
		}
	}
	return n
}

// goals returns the pace of each filling image that leaves the serving runs their
// headroom. Images that take next to nothing of it keep their full pace.
func (n neighbours) goals(model *interference.Model) map[string]float64 {
	out := make(map[string]float64, len(n.fills))
	for image := range n.fills {
		out[image] = fullPace
	}
	for serving, headroom := range n.serving {
		taken := model.Taken(serving, n.use)
		available := headroom + taken - goal
		wanted := 0.0
		for image, cores := range n.full {
			if takes := model.Harm(interference.Pair{Serving: serving, Filling: image}) * cores; takes >= notable {
				wanted += takes
			}
		}
		unexplained := headroom < 1 && wanted < notable && !model.KnowsAll(serving, n.full)
		share := max(available, 0) / max(wanted, notable)
		for image, cores := range n.full {
			takes := model.Harm(interference.Pair{Serving: serving, Filling: image}) * cores
			switch {
			case unexplained:
				out[image] = min(out[image], fullPace*headroom/2)
			case takes >= notable:
				out[image] = min(out[image], fullPace*share)
			}
		}
	}
	return out
}

// blamed reports whether the image takes headroom of a serving run that misses its
// target.
func (n neighbours) blamed(model *interference.Model, filling string) bool {
	for serving, headroom := range n.serving {
		if headroom < 1 && model.Harm(interference.Pair{Serving: serving, Filling: filling}) > 0 {
			return true
		}
	}
	return false
}

// share paces the filling runs of the worker by the headroom of the serving ones.
func (a *Agent) share(ctx context.Context, l *life) {
	n := a.neighbours(l)
	now := a.clock()
	if n.least >= 1 {
		a.over = 0
	} else if a.over == 0 {
		a.over = now
	}
	missed := time.Duration(0)
	if a.over != 0 {
		missed = now.Sub(a.over)
	}
	a.excuse(l, n, now)
	goals := n.goals(a.model)
	for image, keys := range n.fills {
		p := a.pacers[image]
		if p == nil {
			p = &pacer{level: fullPace}
			a.pacers[image] = p
		}
		before := p.level
		halt := missed >= haltAllAfter || missed >= haltAfter && n.blamed(a.model, image)
		level := p.decide(now, goals[image], halt)
		if level != before {
			events.RunPaced.Log("worker", l.id, "image", image, "fromPercent", before, "toPercent", level, "goal", int(goals[image]),
				"leastHeadroom", n.least, "cores", n.full[image], "halt", halt, "fills", len(keys))
		}
		for _, key := range keys {
			if current, ok := a.paced[key]; ok && current == level || !ok && level == fullPace {
				continue
			}
			a.paced[key] = level
			go a.setPace(ctx, l, key, level)
		}
	}
	for image, p := range a.pacers {
		if len(n.fills[image]) == 0 && now.Sub(p.changed) > pacerKept {
			delete(a.pacers, image)
		}
	}
}

// excuse notes the serving runs that miss their target although all filling runs have
// been halted for a while: their own load or their worker is the cause, and to slow the
// filling runs for them helps nobody.
func (a *Agent) excuse(l *life, n neighbours, now boottime.Instant) {
	if len(n.fills) == 0 {
		return
	}
	for image := range n.fills {
		if p := a.pacers[image]; p == nil || p.level > 0 || now.Sub(p.changed) < excuseAfter {
			return
		}
	}
	for key, run := range l.runs {
		if info := a.info[key]; info.target > 0 && run.Gauge > info.target {
			a.ownFault[key] = now.Add(excuseTime)
			events.ServingExcused.Log("task", key.task, "worker", l.id, "tailMs", run.Gauge, "targetMs", info.target, "for", excuseTime)
		}
	}
}

const (
	// excuseAfter is how long filling runs must be halted to be cleared: a halt takes a
	// tenth of a second, and the worker's figures are of the last half second.
	excuseAfter = 900 * time.Millisecond
	// excuseTime is how long a serving run is left out after that. With haltAllAfter and
	// the time in which a halt shows it stays below the four seconds after which the
	// platform counts harm.
	excuseTime = time.Second
)

// pacerKept is how long the pace of an image that no longer runs is remembered.
const pacerKept = 3 * time.Second

// paceNew sets the pace of a filling run that has just started.
func (a *Agent) paceNew(ctx context.Context, key runKey) {
	info := a.info[key]
	p := a.pacers[info.image]
	if !info.fills || p == nil || p.level == fullPace || a.life == nil {
		return
	}
	a.paced[key] = p.level
	go a.setPace(ctx, a.life, key, p.level)
}

// setPace tells the worker; a pace that it did not take is set again with a later list.
func (a *Agent) setPace(ctx context.Context, l *life, key runKey, level uint32) {
	ctx, cancel := context.WithTimeout(ctx, paceTimeout)
	defer cancel()
	a.mu.Lock()
	epoch := a.epoch
	a.mu.Unlock()
	err := a.worker.Pace(ctx, l.id, key.task, key.attempt, level, epoch)
	if err == nil {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, listed := l.runs[key]; !listed {
		return
	}
	events.PaceUnanswered.LogError(err, "task", key.task, "attempt", key.attempt, "percent", level)
	if kind := platform.KindOf(err); kind != platform.Superseded {
		a.paced[key] = fullPace + 1 // unknown
	}
}
