package workeragent

import (
	"math"
	"strings"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/interference"
	"chervilridge/platform"
)

// The headroom of a serving run is its latency target divided by its tail latency: below
// 1, it misses the target. Its solo headroom is the estimated headroom without
// best-effort runs beside it.
const (
	// headroomGoal is the headroom that pacing keeps for serving runs. The margin above 1
	// covers load changes between two lists of runs.
	headroomGoal = 1.25
	// missedHeadroom is the headroom below which a run starts to count as missing its
	// target, metHeadroom the one from which it counts as meeting it again. They differ
	// because readings are off by some percent.
	missedHeadroom, metHeadroom = 1.0, 1.05
	// overloadedHeadroom is the solo headroom below which a run misses its target by its
	// own load, so that slowing best-effort runs does not help. provenOverloadedHeadroom
	// is the same for the headroom measured while best-effort runs are halted. It is
	// lower, since load changes.
	overloadedHeadroom, provenOverloadedHeadroom = 0.95, 0.8
	// saturatedHeadroom is the headroom below which the tail latency only shows that the
	// worker is overcommitted, not by how much: it grows without bound there.
	saturatedHeadroom = 0.45
	// soloHeadroomWeight is the weight of a new reading in the smoothed solo headroom.
	soloHeadroomWeight = 0.6
	// haltHarmfulAfter is how long a target may be missed before the best-effort runs
	// that are known to be harmful are halted, haltAllAfter before all are. The platform
	// counts harm after about four seconds.
	haltHarmfulAfter = 1600 * time.Millisecond
	haltAllAfter     = 2 * time.Second
	// haltSettleTime is how long best-effort runs must be halted before the readings of
	// serving runs no longer show their effect: a halt takes a tenth of a second, the
	// worker's figures cover the last half second, and queued requests take about as long
	// again to be worked off.
	haltSettleTime = 1600 * time.Millisecond
	// exemptTime is how long pacing ignores a serving run that still misses its target
	// after haltSettleTime.
	exemptTime = time.Second
	// minHeadroomTaken is the least headroom that the runs of an image must take from a
	// serving run, at full pace, to be slowed for it.
	minHeadroomTaken = 0.1
)

// servingState is the state of a serving run that is kept between two lists of runs.
type servingState struct {
	soloHeadroom float64 // smoothed
	// missedSince is when the run began to miss its target; 0 if it meets it.
	missedSince boottime.Instant
	// exemptUntil is until when pacing may ignore the run after a halt that did not help.
	exemptUntil boottime.Instant
}

// servingRun is the current reading of a serving run.
type servingRun struct {
	job          string // its tasks share the load
	image        string
	headroom     float64
	soloHeadroom float64
	// missedFor is how long the run has been missing its target; 0 if it meets it.
	missedFor time.Duration
	// exempt is set if the run misses its target by its own load. Pacing ignores it.
	exempt bool
}

// colocation is the serving and best-effort runs that share a worker.
type colocation struct {
	bestEffort    map[string][]runKey // by image
	usage         map[string]float64  // share of the worker's CPU that best-effort runs use, by image
	fullPaceUsage map[string]float64  // share that they would use at full pace, by image
	serving       []servingRun
}

// colocatedRuns returns the runs of the worker with their readings, and updates the state
// of the serving ones. The caller holds mu.
func (a *Agent) colocatedRuns(inc *incarnation, now boottime.Instant) colocation {
	co := colocation{bestEffort: map[string][]runKey{}, usage: map[string]float64{}, fullPaceUsage: map[string]float64{}}
	totalCPUMilli := float64(max(inc.heartbeat.CPUMilli, 1))
	usage := map[string]float64{}
	for key, run := range inc.runs {
		if info := a.runInfos[key]; info.bestEffort {
			co.bestEffort[info.image] = append(co.bestEffort[info.image], key)
			usage[info.image] += float64(run.Gauge) / totalCPUMilli
			co.fullPaceUsage[info.image] += float64(info.cpuMilli) / totalCPUMilli
		}
	}
	co.usage = interference.MaxUse(usage, a.lastUsage)
	a.lastUsage = usage
	haltsSettled := a.haltsSettled(co, now)
	for key, run := range inc.runs {
		// Percent is the progress of the task; at 100, it serves.
		if info := a.runInfos[key]; info.targetMs > 0 && run.Gauge > 0 && run.Percent >= fullPace {
			co.serving = append(co.serving, a.observeServing(key, info, run, co, haltsSettled, now))
		}
	}
	co.exemptOverloaded()
	return co
}

// jobOf returns the job of a task, which is the first part of the task's name.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// haltsSettled reports whether all best-effort runs have been halted for haltSettleTime,
// so that the readings of serving runs show their own load only. It is false if there are
// no best-effort runs.
func (a *Agent) haltsSettled(co colocation, now boottime.Instant) bool {
	for image := range co.bestEffort {
		if p := a.pacers[image]; p == nil || p.percent > 0 || now.Sub(p.changedAt) < haltSettleTime {
			return false
		}
	}
	return len(co.bestEffort) > 0
}

// observeServing updates the state of a serving run from a reading, and returns the
// reading with what follows from the state.
func (a *Agent) observeServing(key runKey, info runInfo, run platform.Run, co colocation, haltsSettled bool, now boottime.Instant) servingRun {
	s := servingRun{job: jobOf(key.task), image: info.image, headroom: float64(info.targetMs) / float64(run.Gauge)}
	soloHeadroom := s.headroom + a.model.HeadroomLoss(info.image, co.usage)
	state := a.servingStates[key]
	if state == nil {
		state = &servingState{soloHeadroom: max(soloHeadroom, missedHeadroom)}
		a.servingStates[key] = state
	}
	if s.headroom >= saturatedHeadroom {
		state.soloHeadroom += soloHeadroomWeight * (soloHeadroom - state.soloHeadroom)
	}
	switch {
	case s.headroom >= metHeadroom:
		state.missedSince = 0
	case s.headroom < missedHeadroom && state.missedSince == 0:
		state.missedSince = now
	}
	if state.missedSince != 0 {
		s.missedFor = now.Sub(state.missedSince)
	}
	s.soloHeadroom = state.soloHeadroom
	if haltsSettled && s.missedFor > 0 && s.headroom >= saturatedHeadroom && s.headroom < provenOverloadedHeadroom && !state.exemptUntil.After(now) {
		state.exemptUntil = now.Add(exemptTime)
		events.ServingMissIgnored.Log("task", key.task, "tailMs", run.Gauge, "targetMs", info.targetMs, "missed", s.missedFor, "for", exemptTime)
	}
	s.exempt = state.exemptUntil.After(now) && state.soloHeadroom < overloadedHeadroom
	return s
}

// exemptOverloaded exempts runs with a low solo headroom if another run of the same job
// on the worker, beside the same best-effort runs, meets its target.
func (co colocation) exemptOverloaded() {
	met := map[string]bool{}
	for _, s := range co.serving {
		if s.headroom >= metHeadroom {
			met[s.job] = true
		}
	}
	for i := range co.serving {
		if s := &co.serving[i]; s.soloHeadroom < overloadedHeadroom && s.missedFor < haltHarmfulAfter && met[s.job] {
			s.exempt = true
		}
	}
}

// leastHeadroom returns the least headroom of all serving runs; infinity if there are
// none.
func (co colocation) leastHeadroom() float64 {
	least := math.Inf(1)
	for _, s := range co.serving {
		least = min(least, s.headroom)
	}
	return least
}

// paceGoals returns the pace of each best-effort image, in percent, that leaves
// headroomGoal to all serving runs that are not exempt. Images that take less than
// minHeadroomTaken keep their full pace.
func (co colocation) paceGoals(model *interference.Model) map[string]float64 {
	out := make(map[string]float64, len(co.bestEffort))
	for image := range co.bestEffort {
		out[image] = fullPace
	}
	for _, s := range co.serving {
		if !s.exempt {
			co.limitGoals(out, s, model)
		}
	}
	return out
}

// limitGoals lowers the goals to the paces that leave headroomGoal to a serving run.
func (co colocation) limitGoals(goals map[string]float64, s servingRun, model *interference.Model) {
	taken := make(map[string]float64, len(co.fullPaceUsage))
	totalTaken := 0.0
	for image, share := range co.fullPaceUsage {
		if t := model.SignificantSlope(interference.Pair{Serving: s.image, BestEffort: image}) * share; t >= minHeadroomTaken {
			taken[image] = t
			totalTaken += t
		}
	}
	if s.headroom < saturatedHeadroom { // they take more than the model predicts
		for image := range taken {
			goals[image] = 0
		}
	}
	if s.soloHeadroom < missedHeadroom || totalTaken == 0 && s.headroom < missedHeadroom { // the model does not explain the miss
		for image := range co.fullPaceUsage {
			goals[image] = min(goals[image], fullPace*s.headroom/2)
		}
	}
	if totalTaken == 0 {
		return
	}
	share := max(s.soloHeadroom-headroomGoal, 0) / totalTaken
	for image := range taken {
		goals[image] = min(goals[image], fullPace*share)
	}
}

// targetMissed reports whether a serving run that is not exempt misses its target. Then
// no pace may be raised.
func (co colocation) targetMissed() bool {
	for _, s := range co.serving {
		if s.missedFor > 0 && !s.exempt {
			return true
		}
	}
	return false
}

// mustHalt reports whether the runs of a best-effort image must halt because a serving
// run has missed its target for too long: haltHarmfulAfter if the model blames the image,
// and haltAllAfter otherwise.
func (co colocation) mustHalt(model *interference.Model, image string) bool {
	for _, s := range co.serving {
		blamed := model.SignificantSlope(interference.Pair{Serving: s.image, BestEffort: image}) > 0
		if !s.exempt && (s.missedFor >= haltAllAfter || s.missedFor >= haltHarmfulAfter && blamed) {
			return true
		}
	}
	return false
}
