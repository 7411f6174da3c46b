package workeragent

import (
	"context"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
)

const (
	// fullPace is the pace of a run that is not slowed, in percent.
	fullPace = 100
	// raiseFactor bounds a single raise of the pace. firstPace bounds the first raise
	// after a halt, in percent.
	raiseFactor, firstPace = 2, 20
	// minPace is the lowest pace, in percent. Below it, a run is halted.
	minPace = 5
	// settleTime is how long a change of pace needs to show in the readings: the worker's
	// figures cover the last half second.
	settleTime = 650 * time.Millisecond
	// minHaltTime is the time after the last order to halt before the pace may rise
	// again.
	minHaltTime = 1500 * time.Millisecond
	// runInfoTTL is how long the description of a run that is not listed is kept after
	// the owner sent it.
	runInfoTTL = 5 * time.Second
)

// runInfo is the owner's description of a run, as far as pacing needs it.
type runInfo struct {
	bestEffort bool
	targetMs   uint32 // latency target; 0 if the run serves no requests
	image      string
	cpuMilli   uint32 // requested CPU, in thousandths of a core
	reserved   resources
	updatedAt  boottime.Instant
	// startedHere is set once this process has confirmed the start, and so knows the pace.
	startedHere bool
}

// pacer sets the pace of the best-effort runs of one image, so that serving runs on the
// same worker meet their targets although the interference changes with load.
type pacer struct {
	percent   uint32
	changedAt boottime.Instant
	haltedAt  boottime.Instant
}

// update moves the pace towards the goal and returns it, both in percent. A large
// decrease takes effect at once. A smaller one and an increase wait until the last change
// has settled, and an increase is made in steps. halt sets the pace to 0 because a target
// was missed for too long.
func (p *pacer) update(now boottime.Instant, goal float64, halt bool) uint32 {
	if halt {
		p.haltedAt = now
		p.setPercent(now, 0)
		return 0
	}
	next := uint32(min(max(goal, 0), fullPace))
	if next < minPace {
		next = 0
	}
	settled := now.Sub(p.changedAt) >= settleTime
	switch {
	case next < p.percent && (settled || next+next/2 < p.percent):
		p.setPercent(now, next)
	case next > p.percent && settled && (p.haltedAt == 0 || now.Sub(p.haltedAt) >= minHaltTime):
		p.setPercent(now, min(next, max(p.percent*raiseFactor, firstPace)))
	}
	return p.percent
}

func (p *pacer) setPercent(now boottime.Instant, percent uint32) {
	if percent != p.percent {
		p.percent, p.changedAt = percent, now
	}
}

// adjustPaces sets the paces of the best-effort runs on the worker by the headroom of the
// serving ones, and sends those that changed. The caller holds mu.
func (a *Agent) adjustPaces(ctx context.Context, inc *incarnation) {
	now := a.clock()
	co := a.colocatedRuns(inc, now)
	goals := co.paceGoals(a.model)
	targetMissed := co.targetMissed()
	for image, keys := range co.bestEffort {
		p := a.pacers[image]
		if p == nil {
			p = &pacer{percent: fullPace}
			a.pacers[image] = p
		}
		if targetMissed {
			goals[image] = min(goals[image], float64(p.percent))
		}
		previous := p.percent
		halt := co.mustHalt(a.model, image)
		percent := p.update(now, goals[image], halt)
		if percent != previous {
			events.PaceChanged.Log("worker", inc.id, "image", image, "fromPercent", previous, "toPercent", percent, "goal", int(goals[image]),
				"leastHeadroom", co.leastHeadroom(), "share", co.fullPaceUsage[image], "halt", halt, "fills", len(keys))
		}
		for _, key := range keys {
			if a.paceOrders[key].needed(percent, now) || a.paceOrders[key] == nil && !a.runInfos[key].startedHere {
				a.orderPace(ctx, inc, key, percent)
			}
		}
	}
	for image, p := range a.pacers {
		if len(co.bestEffort[image]) == 0 && now.Sub(p.changedAt) > pacerTTL {
			delete(a.pacers, image)
		}
	}
}

// pacerTTL is how long a pacer is kept after its last change if no run of its image is
// left.
const pacerTTL = 3 * time.Second

// paceStartedRun sets the pace of a best-effort run that has just started at full pace.
// The caller holds mu.
func (a *Agent) paceStartedRun(ctx context.Context, key runKey) {
	info := a.runInfos[key]
	p := a.pacers[info.image]
	if !info.bestEffort || p == nil || p.percent == fullPace || a.incarnation == nil {
		return
	}
	a.orderPace(ctx, a.incarnation, key, p.percent)
}
