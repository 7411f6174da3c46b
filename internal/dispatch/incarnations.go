package dispatch

import (
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/jobstate"
)

// lateCallTime is how long after a call without an answer a worker may still execute it, as agents
// assume too.
const lateCallTime = 15 * time.Second

// knowsLaterThan reports whether the node's worker, or one that it granted a run to, was born
// after the other worker.
func (n *node) knowsLaterThan(other jobstate.WorkerKey) bool {
	if n.key.BornUnixMs > other.BornUnixMs {
		return true
	}
	for _, tr := range n.runs {
		if tr.run.Worker.BornUnixMs > other.BornUnixMs {
			return true
		}
	}
	return false
}

// settleEarlierRuns decides on the runs that were granted to earlier incarnations of the worker,
// by the full list of the present one: their start may have reached it. A run that it lists is
// its own from now on, one whose start is not resolved stays as it is, and one that a late call may
// still start is stopped first. All others have ended.
func (e *Engine) settleEarlierRuns(n *node, r *chervilv2.AgentReport) {
	if r.Worker == nil || !n.leasable {
		return
	}
	listed := map[runKey]*chervilv2.Run{}
	for _, run := range r.Runs {
		if ref, err := jobstate.ParseTaskRef(run.Task); err == nil {
			listed[runKey{ref, run.Attempt}] = run
		}
	}
	earlier := false
	for key, tr := range n.runs {
		if tr.run.Worker == n.key {
			continue
		}
		earlier = true
		if run := listed[key]; run != nil && !run.Starting {
			events.RunTakenOver.Log("task", key.ref.String(), "attempt", key.attempt, "node", n.name, "worker", n.key.ID,
				"grantedTo", tr.run.Worker.BornUnixMs, "born", n.key.BornUnixMs)
			tr.run.Worker = n.key
			n.describe(tr)
			e.markDirty(key.ref.Job, e.jobs[key.ref.Job])
		} else if run == nil && !tr.fencing && e.mayStillStart(n, tr) {
			tr.fencing, tr.unreportedEnd = true, n.agentRestarted && n.unreportedEndCounts() && !tr.hadOutlivedStart(n.lastListed)
			e.orderStops([]*jobstate.Run{tr.run}, "a call of an earlier agent process may still start it")
		}
	}
	if !earlier {
		return
	}
	ended := func(tr *trackedRun) bool {
		return tr.run.Worker != n.key && !tr.fencing && listed[runKey{tr.run.Ref, tr.run.Attempt}] == nil
	}
	if n.agentRestarted {
		e.countUnreportedEnd(n, ended, n.lastListed)
	}
	e.dropRuns(n, ended, "worker has a new incarnation")
}

// mayStillStart reports whether a call of an earlier agent process may start the run on the present
// incarnation. A call may be under way until lateCallTime after the start was confirmed, and the
// worker rejects it only if its id has changed. The present agent process stops what it has called
// itself.
func (e *Engine) mayStillStart(n *node, tr *trackedRun) bool {
	if !n.agentRestarted && !tr.inherited || tr.run.Worker.ID != n.key.ID {
		return false
	}
	return !tr.run.Started || e.clock().Sub(max(tr.startedAt, e.epochStart)) < lateCallTime
}

// hadOutlivedStart reports whether the run had outlived the time in which suspects crash when its worker
// was last seen alive.
func (tr *trackedRun) hadOutlivedStart(lastAlive boottime.Instant) bool {
	return tr.startedAt != 0 && lastAlive.Sub(tr.startedAt) > suspectAge
}

// dropRun drops a run that has ended or can't start any more, and counts the end of its worker if that
// is due.
func (e *Engine) dropRun(n *node, tr *trackedRun) {
	if tr.unreportedEnd {
		e.crashRun(n, crashedRun{tracked: tr, started: tr.startedAt != 0}, jobstate.CrashUnreported)
		return
	}
	n.removeRun(runKey{tr.run.Ref, tr.run.Attempt})
	e.jobs[tr.run.Ref.Job].job.DropRun(tr.run.Ref, tr.run.Attempt)
	e.markDirty(tr.run.Ref.Job, e.jobs[tr.run.Ref.Job])
}

// unreportedEndCounts reports whether an end of the worker that no agent has reported counts as a crash:
// this owner has seen the worker alive, and its end was not planned.
func (n *node) unreportedEndCounts() bool {
	return n.lastListed != 0 && !n.agentLeft && n.drainingSince == 0 && !n.worker.GetDraining()
}

// countUnreportedEnd counts the end of a worker that no agent has reported as a crash against
// those of the ended runs that had just started when the worker was last seen alive. Such an end
// is mostly that of a machine or a link, so that it makes no suspects. A worker that this owner
// has not seen alive counts against none.
func (e *Engine) countUnreportedEnd(n *node, ended func(*trackedRun) bool, lastAlive boottime.Instant) {
	if !n.unreportedEndCounts() {
		return
	}
	for _, tr := range n.runs {
		if !tr.hadOutlivedStart(lastAlive) && ended(tr) {
			e.crashRun(n, crashedRun{tracked: tr, started: tr.startedAt != 0}, jobstate.CrashUnreported)
		}
	}
}

// loseRuns drops the runs of a worker that has ended. Its end counts as a crash if the agent
// could not report it: it has been restarted since, or the worker was silent until all leases
// had expired.
func (e *Engine) loseRuns(n *node, r *chervilv2.AgentReport) {
	silent := time.Duration(r.Worker.GetSilentMs()) * time.Millisecond
	switch {
	case n.agentRestarted:
		e.countUnreportedEnd(n, anyRun, n.lastListed)
	case len(r.Crashes) == 0 && !r.Worker.GetDraining() && silent >= e.settings.Bounds.MaxLease:
		e.countUnreportedEnd(n, anyRun, e.clock().Add(-silent))
	}
	e.dropRuns(n, anyRun, "worker is gone")
}

func anyRun(*trackedRun) bool { return true }

// dropRuns drops the ended runs of the node. The caller must know that they have ended.
func (e *Engine) dropRuns(n *node, ended func(*trackedRun) bool, cause string) {
	for key, tr := range n.runs {
		if !ended(tr) {
			continue
		}
		e.dropRun(n, tr)
		events.RunLost.Log("task", key.ref.String(), "attempt", key.attempt, "node", n.name, "worker", tr.run.Worker.ID, "born", tr.run.Worker.BornUnixMs,
			"present", n.key.BornUnixMs, "cause", cause)
	}
	e.replan()
}
