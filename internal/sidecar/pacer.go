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
	// overPercent and underPercent are the tail latency, in percent of the target,
	// above which filling runs are slowed and below which they are sped up.
	overPercent, underPercent = 90, 75
	// slowDown is what remains of the pace at a step down, in percent; speedUp is the
	// step up in points.
	slowDown, speedUp = 60, 10
	leastPace         = 10
	// stopAfter is how long a target may be missed before filling runs are halted;
	// the platform counts harm after about four seconds.
	stopAfter = 1600 * time.Millisecond
	// settleTime is what a change of pace needs to show: the worker's figures are of
	// the last half second.
	settleTime = 600 * time.Millisecond
	// ceilingHold is for how long a pace that proved too high is not tried again.
	ceilingHold = 6 * time.Second
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

// pacer decides at which pace filling runs work beside serving ones. It answers for
// serving tasks staying under their target while the filling tasks disturb them by
// amounts that change with load.
type pacer struct {
	level      uint32
	set        bool
	over       boottime.Instant // since when the target is missed; 0 if it is not
	changed    boottime.Instant
	ceiling    uint32
	ceilingEnd boottime.Instant
}

// decide returns the pace for all filling runs. worst is the highest tail latency of
// the serving runs, in percent of its target; 0 if nothing serves.
func (p *pacer) decide(now boottime.Instant, worst uint32) uint32 {
	if !p.set {
		p.level, p.set = fullPace, true
	}
	if worst <= fullPace {
		p.over = 0
	} else if p.over == 0 {
		p.over = now
	}
	switch {
	case worst == 0:
		p.level = fullPace
	case p.over != 0 && now.Sub(p.over) >= stopAfter:
		p.change(now, 0)
	case now.Sub(p.changed) < settleTime:
	case worst > overPercent && p.level > 0:
		p.ceiling, p.ceilingEnd = p.level, now.Add(ceilingHold)
		next := p.level * slowDown / fullPace
		if next < leastPace {
			next = 0
		}
		p.change(now, next)
	case worst < underPercent:
		p.speedUp(now)
	}
	return p.level
}

func (p *pacer) speedUp(now boottime.Instant) {
	next := min(p.level+speedUp, fullPace)
	if p.ceilingEnd.After(now) && next >= p.ceiling {
		return
	}
	p.change(now, next)
}

func (p *pacer) change(now boottime.Instant, level uint32) {
	if level != p.level {
		p.level, p.changed = level, now
	}
}

// share paces the filling runs of the worker by the tail latency of the serving ones.
func (a *Agent) share(ctx context.Context, l *life) {
	worst, serving := uint32(0), ""
	var fills []runKey
	for key, run := range l.runs {
		info := a.info[key]
		if info.fills {
			fills = append(fills, key)
		}
		if info.target > 0 && run.Gauge > 0 {
			if percent := run.Gauge * fullPace / info.target; percent >= worst {
				worst, serving = percent, key.task
			}
		}
	}
	before := a.pacer.level
	level := a.pacer.decide(a.clock(), worst)
	if level != before && len(fills) > 0 {
		events.RunPaced.Log("worker", l.id, "fromPercent", before, "toPercent", level, "serving", serving, "tailPercentOfTarget", worst, "fills", len(fills))
	}
	for _, key := range fills {
		if current, ok := a.paced[key]; current == level || !ok && level == fullPace {
			continue
		}
		a.paced[key] = level
		go a.setPace(ctx, l, key, level)
	}
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
