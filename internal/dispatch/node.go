package dispatch

import (
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/plan"
)

// fullPacePercent is the pace of a run that is not slowed.
const fullPacePercent = 100

const (
	// workerUnresponsiveAfter is how long a worker may be unresponsive before it gets no
	// new tasks. A healthy worker responds at least every half second.
	workerUnresponsiveAfter = 1200 * time.Millisecond
	// minLeaseLeft is the remaining lease that a worker needs to get new tasks.
	minLeaseLeft = 2 * time.Second
	// repeatOrderAfter is the age at which an order is sent again if the worker's list of
	// runs does not reflect it: longer than an order and a report take.
	repeatOrderAfter = 900 * time.Millisecond
)

type runKey struct {
	ref     jobstate.TaskRef
	attempt uint32
}

// node is an agent and its worker.
type node struct {
	name       string
	session    *session
	lastReport boottime.Instant
	// lastGrant is when this owner last granted a lease, leaseUntil when that lease ends at
	// the latest; both are 0 if it never did.
	lastGrant, leaseUntil boottime.Instant
	// leasable is set if the agent can renew leases, since it has a list of the worker's
	// runs.
	leasable    bool
	worker      *chervilv2.Worker
	key         jobstate.WorkerKey
	runs        map[runKey]*trackedRun
	used        plan.Resources
	servingRuns int
	servingCPUMilli,
	bestEffortCPUMilli int64
	runsPerStep map[plan.StepKey]int
	// lastEnd is the number of the last run end processed, storedEnd of the last one
	// stored.
	lastEnd, storedEnd int64
	// workerEnd is how far the end of endedWorker is stored. Its ID is empty if the agent did not know it.
	workerEnd   workerEndState
	endedWorker jobstate.WorkerKey
	health      health
	// drainingSince is when draining for maintenance began, drainingWave the wave that it is
	// for; 0 if the node is not draining.
	drainingSince boottime.Instant
	drainingWave  string
	// lastBestEffort is the CPU use of best-effort runs in the previous report, by image.
	lastBestEffort map[string]float64
	// agentIncarnation is that of the agent's last report. agentRestarted is set from the first
	// report of a new one until it reports whether the worker has survived.
	agentIncarnation string
	agentRestarted   bool
	// agentLeft is set while the agent has stopped as planned.
	agentLeft bool
	// lastListed is when a report last showed that the worker lives.
	lastListed boottime.Instant
	// crashed is the incarnation that the agent last reported as crashed.
	crashed jobstate.WorkerKey
	// isolationCrashedAt is when the worker last crashed with an isolated run; 0 if never.
	isolationCrashedAt boottime.Instant
}

// trackedRun is a granted run with the owner's bookkeeping.
type trackedRun struct {
	run       *jobstate.Run
	step      *chervilv2.Step
	orderedAt boottime.Instant
	// startedAt is when this owner learned of the start; 0 if it has not.
	startedAt boottime.Instant
	// outlivedStart is set once the worker was seen with the run after the time in which suspects crash.
	outlivedStart bool
	// fencing is set while a stop keeps late calls from starting the run on a later incarnation than
	// the one that it was granted to. unreportedEnd is set if the end of that one is then to be
	// counted as a crash that no agent has reported.
	fencing, unreportedEnd bool
	// inherited is set if an earlier owner has granted the run.
	inherited bool
	percent   uint32
	// gauge is the tail latency in ms of a serving run, or the CPU use of a best-effort
	// run in thousandths.
	gauge uint32
	// paced is set once the agent has set a pace for the run. pacePercent is that pace,
	// slowSince when it fell to slowPacePercent or below; 0 if it is above.
	paced       bool
	pacePercent uint32
	slowSince   boottime.Instant
}

// node returns the node with the name, and creates it if needed.
func (e *Engine) node(name string) *node {
	n, ok := e.nodes[name]
	if !ok {
		n = &node{name: name, runs: map[runKey]*trackedRun{}, runsPerStep: map[plan.StepKey]int{}}
		e.nodes[name] = n
	}
	return n
}

// leasesExpireAt is when all runs on the node have certainly ended if its agent stays
// unreachable. The previous owner may have granted leases until MaxConfirmationAge after
// its last confirmation, which was before this epoch. The time for which earlier owners
// granted the node nothing is deducted.
func (n *node) leasesExpireAt(e *Engine) boottime.Instant {
	lease := e.settings.Bounds.MaxLease + e.settings.Bounds.MaxLease/50 + leaseExpiryMargin
	inherited := e.epochStart.Add(MaxConfirmationAge + lease - e.unreachableAgents.inheritedTime(n.name))
	if n.lastGrant == 0 {
		return inherited
	}
	return max(inherited, n.lastGrant.Add(lease))
}

func stepKey(r jobstate.TaskRef) plan.StepKey {
	return plan.StepKey{Job: r.Job, Occurrence: r.Occurrence, Step: r.Step}
}

// addRun tracks a run and reserves its resources.
func (n *node) addRun(e *Engine, r *jobstate.Run) *trackedRun {
	step, _ := e.jobs[r.Ref.Job].job.Task(r.Ref)
	tr := &trackedRun{run: r, step: step.Spec, orderedAt: e.clock()}
	n.runs[runKey{r.Ref, r.Attempt}] = tr
	n.adjustUse(tr, 1)
	return tr
}

// removeRun stops tracking a run and frees its resources.
func (n *node) removeRun(key runKey) {
	if tr, ok := n.runs[key]; ok {
		n.adjustUse(tr, -1)
		delete(n.runs, key)
	}
}

// hasRunOn reports whether a run is granted to the worker with the id.
func (n *node) hasRunOn(workerID string) bool {
	for _, tr := range n.runs {
		if tr.run.Worker.ID == workerID {
			return true
		}
	}
	return false
}

func (n *node) adjustUse(tr *trackedRun, sign int64) {
	needs := plan.Needs(tr.step)
	n.used = n.used.Add(plan.Resources{CPUMilli: sign * needs.CPUMilli, MemoryMB: sign * needs.MemoryMB, GPUs: sign * needs.GPUs})
	if tr.step.Fills {
		n.bestEffortCPUMilli += sign * int64(tr.step.CpuMilli)
	}
	if tr.step.TargetLatencyMs > 0 {
		n.servingRuns += int(sign)
		n.servingCPUMilli += sign * int64(tr.step.CpuMilli)
	}
	if tr.step.MaxPerWorker > 0 {
		key := stepKey(tr.run.Ref)
		if n.runsPerStep[key] += int(sign); n.runsPerStep[key] == 0 {
			delete(n.runsPerStep, key)
		}
	}
}

// capacity returns the resources that the worker offers.
func (n *node) capacity() plan.Resources {
	return plan.Resources{CPUMilli: int64(n.worker.CpuMilli), MemoryMB: int64(n.worker.MemoryMb), GPUs: int64(n.worker.Gpus)}
}

// outOfService returns why the worker gets no new tasks now or soon, or "" if it may.
func (n *node) outOfService(view *operatorconfig.View) string {
	switch {
	case n.worker == nil || n.worker.Gone:
		return "worker is gone"
	case n.worker.Service == "":
		return "worker has sent no heartbeat"
	case n.worker.Draining:
		return "draining"
	case n.drainingSince != 0:
		return "worker is drained for maintenance"
	case view.Evacuated[n.worker.Zone]:
		return "data centre is evacuated"
	case view.Config.Services[n.worker.Service].Standby:
		return "service is on standby"
	}
	return ""
}

// usable reports whether the worker may get new tasks, and if not, why.
func (n *node) usable(view *operatorconfig.View, now boottime.Instant) (bool, string) {
	if why := n.outOfService(view); why != "" {
		return false, why
	}
	switch {
	case n.session == nil:
		return false, "agent is not attached"
	case n.leaseUntil.Sub(now) < minLeaseLeft:
		return false, "worker has no lease or it ends soon"
	case !n.worker.Listed:
		return false, "worker is not listed"
	case time.Duration(n.worker.SilentMs)*time.Millisecond > workerUnresponsiveAfter:
		return false, "worker is unresponsive"
	}
	return true, ""
}

// runInfos describes the runs on the worker to an agent that attaches.
func (n *node) runInfos() []*chervilv2.RunInfo {
	out := make([]*chervilv2.RunInfo, 0, len(n.runs))
	for _, tr := range n.runs {
		out = append(out, tr.info())
	}
	return out
}

// info describes the run to its agent.
func (tr *trackedRun) info() *chervilv2.RunInfo {
	return &chervilv2.RunInfo{
		Task: tr.run.Ref.String(), Attempt: tr.run.Attempt, Fills: tr.step.Fills, TargetLatencyMs: tr.step.TargetLatencyMs,
		Image: tr.step.Image, CpuMilli: tr.step.CpuMilli, MemoryMb: tr.step.MemoryMb, Gpus: tr.step.Gpus,
	}
}
