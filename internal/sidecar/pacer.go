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
	// severePercent is the tail at which the pace falls in proportion.
	severePercent = 150
	// notableShare is the share in a raised tail from which an image is slowed.
	notableShare = 0.2
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

// pacer decides at which pace filling runs of one image work beside serving ones. It
// answers for serving tasks staying under their target while the filling tasks disturb
// them by amounts that change with load.
type pacer struct {
	level      uint32
	changed    boottime.Instant
	ceiling    uint32
	ceilingEnd boottime.Instant
}

// decide returns the pace. worst is the highest tail latency of the serving runs that
// the image is to blame for, in percent of its target; 0 if there is none. halt is set
// once a target was missed for too long.
func (p *pacer) decide(now boottime.Instant, worst uint32, halt bool) uint32 {
	switch {
	case halt:
		p.ceiling, p.ceilingEnd = max(p.level, leastPace), now.Add(ceilingHold)
		p.change(now, 0)
	case worst == 0:
		p.level = fullPace
	case now.Sub(p.changed) < settleTime:
	case worst > overPercent && p.level > 0:
		p.ceiling, p.ceilingEnd = p.level, now.Add(ceilingHold)
		next := p.level * slowDown / fullPace
		if worst > severePercent {
			next = p.level * fullPace / worst / 2
		}
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

// neighbours is what serves and fills on the worker.
type neighbours struct {
	fills map[string][]runKey // by image
	use   map[string]float64  // cores that filling runs use, by image
	tails map[string]uint32   // highest tail of the serving runs, in percent of the target, by image
	worst uint32
}

func (a *Agent) neighbours(l *life) neighbours {
	n := neighbours{fills: map[string][]runKey{}, use: map[string]float64{}, tails: map[string]uint32{}}
	for key, run := range l.runs {
		info := a.info[key]
		if info.fills {
			n.fills[info.image] = append(n.fills[info.image], key)
			n.use[info.image] += float64(max(run.Gauge, info.cpu/fullPace)) / 1000
		}
		if info.target > 0 && run.Gauge > 0 {
			n.tails[info.image] = max(n.tails[info.image], run.Gauge*fullPace/info.target)
			n.worst = max(n.worst, n.tails[info.image])
		}
	}
	return n
}

// blamed returns the highest tail that the filling image has a notable part in.
func (a *Agent) blamed(n neighbours, filling string) uint32 {
	worst := uint32(0)
	for serving, tail := range n.tails {
		shares := a.model.Blame(serving, n.use)
		if shares == nil || shares[filling] >= notableShare {
			worst = max(worst, tail)
		} else {
			worst = max(worst, min(tail, underPercent-1)) // not its doing
		}
	}
	return worst
}

// share paces the filling runs of the worker by the tail latency of the serving ones.
func (a *Agent) share(ctx context.Context, l *life) {
	n := a.neighbours(l)
	now := a.clock()
	if n.worst <= fullPace {
		a.over = 0
	} else if a.over == 0 {
		a.over = now
	}
	halt := a.over != 0 && now.Sub(a.over) >= stopAfter
	for image, keys := range n.fills {
		p := a.pacers[image]
		if p == nil {
			p = &pacer{level: fullPace}
			a.pacers[image] = p
		}
		before := p.level
		worst := a.blamed(n, image)
		level := p.decide(now, worst, halt)
		if level != before {
			events.RunPaced.Log("worker", l.id, "image", image, "fromPercent", before, "toPercent", level,
				"tailPercentOfTarget", worst, "worst", n.worst, "halt", halt, "fills", len(keys))
		}
		for _, key := range keys {
			if current, ok := a.paced[key]; ok && current == level || !ok && level == fullPace {
				continue
			}
			a.paced[key] = level
			go a.setPace(ctx, l, key, level)
		}
	}
}

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
