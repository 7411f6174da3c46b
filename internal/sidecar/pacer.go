package sidecar

import (
	"context"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/platform"
)

const (
	// fullPace is the pace of a run that is not slowed, in percent.
	fullPace = 100
	// raiseFactor bounds a step up, firstPace is the step from a halt, in percent.
	raiseFactor, firstPace = 2, 20
	leastPace              = 5
	// settleTime is what a change of pace needs to show: the worker's figures are of
	// the last half second.
	settleTime = 650 * time.Millisecond
	// haltTime is how long a halted image stays halted.
	haltTime = 1500 * time.Millisecond
	// paceTimeout bounds one call.
	paceTimeout = 500 * time.Millisecond
	// infoKept is how long a run's description outlives its last listing.
	infoKept = 5 * time.Second
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

// share paces the filling runs of the worker by the headroom of the serving ones.
func (a *Agent) share(ctx context.Context, l *life) {
	now := a.clock()
	n := a.neighbours(l, now)
	goals := n.goals(a.model)
	pressed := n.pressed()
	for image, keys := range n.fills {
		p := a.pacers[image]
		if p == nil {
			p = &pacer{level: fullPace}
			a.pacers[image] = p
		}
		if pressed {
			goals[image] = min(goals[image], float64(p.level))
		}
		before := p.level
		halt := n.halts(a.model, image)
		level := p.decide(now, goals[image], halt)
		if level != before {
			events.RunPaced.Log("worker", l.id, "image", image, "fromPercent", before, "toPercent", level, "goal", int(goals[image]),
				"leastHeadroom", n.least(), "share", n.full[image], "halt", halt, "fills", len(keys))
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
