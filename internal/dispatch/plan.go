package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/interference"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/plan"
	"chervilridge/internal/urgency"
)

// servingUsePercent is the part of its requested CPU that a serving task is assumed to
// use when best-effort tasks are placed on the same worker.
const servingUsePercent = 45

// forceAfter is how long a job may have nothing running before one of its best-effort
// tasks is placed beside serving tasks that it disturbs, at the pace that the agent
// allows. The platform expects a job to run something within 3 s if there is room.
const forceAfter = 1500 * time.Millisecond

// maxQuarantinedPercent bounds how many of a service's workers are quarantined at once.
const maxQuarantinedPercent = 34

// plan places waiting tasks and grants their runs.
func (e *Engine) plan() {
	e.bindQueues()
	view := e.operatorView()
	if view == nil || view.Config == nil || e.writer.SinceConfirmed() > MaxConfirmationAge {
		return
	}
	requests := e.requests()
	if len(requests) == 0 {
		e.updateForecast(view, nil)
		e.placeAhead(nil, nil) // drops the reservations
		return
	}
	workers, quarantined := e.workers(view)
	planned := e.placeAhead(workers, requests)
	all, overdue := e.placeOverdue(view, &planned, requests, workers, quarantined)
	e.logState(requests, planned, workers)
	e.logWaits(view, requests, planned, workers, quarantined)
	for _, g := range groupGangs(planned.Grants, requests) {
		e.grant(g, all)
	}
	e.requestAdvice(requests, planned.Unplaced, func(r *plan.Request) []plan.Worker {
		if overdue[r.Key] {
			return all
		}
		return workers
	})
	e.updateForecast(view, planned.Unplaced)
}

// logState logs the load of the schedule, at most once per stateLogInterval.
func (e *Engine) logState(requests []plan.Request, planned plan.Plan, workers []plan.Worker) {
	now := e.clock()
	if now.Sub(e.stateLoggedAt) < stateLogInterval {
		return
	}
	e.stateLoggedAt = now
	bestEffort := map[plan.StepKey]bool{}
	for _, r := range requests {
		bestEffort[r.Key] = r.Step.Fills
	}
	waiting := map[bool]int{}
	waitingIsolated := 0
	for _, u := range planned.Unplaced {
		waiting[bestEffort[u.Key]] += u.Count
		if u.Reason == plan.ReasonIsolation {
			waitingIsolated += u.Count
		}
	}
	var used, capacity, bestEffortMilli, slowed int64
	atStartLimit := 0
	for i := range workers {
		if workers[i].AtStartLimit() {
			atStartLimit++
		}
		capacity += workers[i].Capacity.CPUMilli
		used += workers[i].Used.CPUMilli
		bestEffortMilli += workers[i].BestEffortCPUMilli
	}
	for _, n := range e.nodes {
		for _, tr := range n.runs {
			if tr.step.Fills && tr.paced && tr.pacePercent < fullPacePercent {
				slowed += int64(tr.step.CpuMilli)
			}
		}
	}
	events.ScheduleSummary.Log("openJobs", len(e.activeJobs), "workers", len(workers), "waiting", waiting[false], "waitingFills", waiting[true],
		"waitingIsolated", waitingIsolated, "atStartLimit", atStartLimit,
		"usedMilli", used, "capacityMilli", capacity, "fillMilli", bestEffortMilli, "slowedFillMilli", slowed)
}

const stateLogInterval = time.Second

// workers returns the workers that may get tasks, and those that are quarantined, both sorted by node name.
func (e *Engine) workers(view *operatorconfig.View) (open, quarantined []plan.Worker) {
	names := make([]string, 0, len(e.nodes))
	for name := range e.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	now := e.clock()
	usable := make([]*node, 0, len(names))
	inService := map[string]int{}
	for _, name := range names {
		n := e.nodes[name]
		if ok, _ := n.usable(view, now); ok {
			usable = append(usable, n)
			inService[n.worker.Service]++
		}
	}
	startLimits := map[string]int{} // by service
	for service := range inService {
		if e.crashes.expectsCrashes(service, now) {
			startLimits[service] = maxStartingOnAlert
		}
	}
	outOfUse := map[string]int{} // quarantined workers by service
	open = make([]plan.Worker, 0, len(usable))
	for _, n := range usable {
		service := n.worker.Service
		w := n.plannerWorker(e.model, now)
		w.MaxStarting = startLimits[service]
		if n.health.quarantined(now) && (outOfUse[service]+1)*100 <= maxQuarantinedPercent*inService[service] {
			outOfUse[service]++
			quarantined = append(quarantined, w)
			continue
		}
		open = append(open, w)
	}
	return open, quarantined
}

// plannerWorker returns the node's worker in the form that the planner uses.
func (n *node) plannerWorker(model *interference.Model, now boottime.Instant) plan.Worker {
	w := plan.Worker{
		Key: n.key, Service: n.worker.Service, Rack: plan.RackOf(n.worker.Labels), Labels: n.worker.Labels,
		Capacity: n.capacity(), Used: n.used, ServingTasks: n.servingRuns, ServingCPUMilli: n.servingCPUMilli, RunsPerStep: maps.Clone(n.runsPerStep), ServingByImage: map[string]plan.ServingGroup{},
		BestEffortShares: n.bestEffortShares(func(tr *trackedRun) uint32 { return tr.step.CpuMilli }),
	}
	for _, tr := range n.runs {
		if tr.step.TargetLatencyMs > 0 {
			served := w.ServingByImage[tr.step.Image]
			alone, _ := model.BaselineHeadroom(tr.step.Image, tr.run.Ref.Job, now)
			if served.Tasks == 0 || alone < served.Headroom {
				served.Headroom = alone
			}
			served.Tasks++
			w.ServingByImage[tr.step.Image] = served
		}
		if tr.step.Fills {
			w.BestEffortCPUMilli += int64(tr.step.CpuMilli)
		}
		if tr.startedAt == 0 || now.Sub(tr.startedAt) <= suspectAge {
			w.Starting++
		}
		w.Isolated = w.Isolated || tr.run.Isolated
		w.IsolatedStarting = w.IsolatedStarting || tr.run.Isolated && !tr.outlivedStart
	}
	w.Suspicion = n.health.currentSlowness(now)
	if n.health.failureScore >= quarantineScore {
		w.Suspicion += n.health.failureScore
	}
	w.BestEffortLimitMilli = w.Capacity.CPUMilli - (w.Used.CPUMilli - w.ServingCPUMilli) - w.ServingCPUMilli*servingUsePercent/100
	return w
}

// requests returns the waiting tasks of all active jobs, grouped by step.
func (e *Engine) requests() []plan.Request {
	var out []plan.Request
	now := e.wall().UnixMilli()
	maxIsolated := map[string]int{} // by service
	for _, en := range e.activeJobs {
		queue := en.queue
		if queue == nil || en.job.Ended() {
			continue
		}
		first := len(out)
		class, rank := e.urgency(en, queue, now)
		runs := 0
		en.job.ForEachRun(func(*jobstate.Run) { runs++ })
		budget := &plan.RunBudget{Left: jobstate.MaxRuns - runs}
		var visited plan.StepKey
		offered := 0 // tasks of the visited step
		en.job.ForEachWaitingTask(func(ref jobstate.TaskRef, step *jobstate.Step, task *jobstate.Task) {
			e.observeWait(en, ref, step)
			if e.awaitsRetry(en, ref, task) {
				return
			}
			if key := stepKey(ref); key != visited { // the tasks of a step follow each other
				visited, offered = key, 0
			}
			if offered++; offered > budget.Left {
				return
			}
			request := plan.Request{
				Key: visited, Step: step.Spec, Queue: queue.Name, Service: queue.Service, Priority: queue.Priority,
				Duration: e.lookahead.taskDuration(queue.Name, step.Spec),
				Class:    class, Rank: rank,
				Indexes: []uint32{ref.Index}, Avoid: en.avoidedWorkers(ref, e.clock()), Runs: budget,
			}
			if task.NeedsIsolation() && !step.Spec.Gang {
				if _, known := maxIsolated[queue.Service]; !known {
					maxIsolated[queue.Service] = e.maxIsolated(queue.Service, e.clock())
				}
				request.Isolated, request.MaxIsolated = true, maxIsolated[queue.Service]
				request.SuspectAge = e.crashes.suspectAge(ref)
			}
			if !joinRequest(out[first:], request) {
				out = append(out, request)
			}
		})
		if queue.Advisor != nil && e.settings.Advisor != nil {
			for i := first; i < len(out); i++ {
				out[i].Allowed = e.allowedWorkers(out[i].Key)
			}
		}
		out = e.forceIdleJob(out, first, en, runs > 0)
		out = append(out[:first], slices.DeleteFunc(out[first:], func(r plan.Request) bool {
			return r.Step.Gang && len(r.Indexes) < int(r.Step.Tasks) // members of the previous attempt still run
		})...)
	}
	return out
}

// joinRequest adds the task of a request to one of the same step in requests, and reports
// whether there is one that it may join. Isolated tasks have requests of their own.
func joinRequest(requests []plan.Request, task plan.Request) bool {
	for i := range slices.Backward(requests) {
		r := &requests[i]
		if r.Key != task.Key { // the tasks of a step follow each other
			return false
		}
		if r.Isolated || task.Isolated {
			continue
		}
		if task.Step.Gang { // its members are placed together
			r.Avoid = union(r.Avoid, task.Avoid)
		} else if !sameSet(r.Avoid, task.Avoid) {
			continue
		}
		r.Indexes = append(r.Indexes, task.Indexes...)
		return true
	}
	return false
}

// forceIdleJob forces the placement of one best-effort task if the job has had nothing
// running for forceAfter. out[first:] are the job's requests.
func (e *Engine) forceIdleJob(out []plan.Request, first int, en *jobEntry, running bool) []plan.Request {
	now := e.clock()
	switch {
	case running || first == len(out):
		en.idleSince = 0
		return out
	case en.idleSince == 0:
		en.idleSince = now
	}
	r := out[first]
	if now.Sub(en.idleSince) < forceAfter || !r.Step.Fills || r.Step.Gang {
		return out
	}
	forced := r
	forced.Starved, forced.Indexes = true, r.Indexes[:1]
	out[first].Indexes = r.Indexes[1:]
	if len(r.Indexes) == 1 {
		out[first] = forced
		return out
	}
	return append(out, forced)
}

// urgency returns the rank of a job's tasks among those of the same priority.
func (e *Engine) urgency(en *jobEntry, queue *operatorconfig.Queue, nowUnixMs int64) (urgency.Class, time.Duration) {
	job := en.job
	age := time.Duration(nowUnixMs-job.Spec.AcceptedUnixMs) * time.Millisecond
	if job.Scheduled() {
		return urgency.InTime, -age // each occurrence has its own due time
	}
	total, left := urgency.CriticalPath(job.Occurrences[0], job.Spec.Steps)
	if total == 0 {
		return urgency.InTime, -age // its tasks are long-running
	}
	class, rank := urgency.Classify(age, total, left, e.durations.Estimate(queue.Name), queue.Stretch, queue.TargetLatency)
	if class == urgency.InTime {
		rank = urgency.RankInTime(rank, urgency.WorkLeft(job.Occurrences[0], job.Spec.Steps))
	}
	return class, rank
}

// union returns the elements of both sets, which it does not change.
func union(a, b map[string]bool) map[string]bool {
	if len(b) == 0 {
		return a
	}
	out := maps.Clone(b)
	maps.Copy(out, a)
	return out
}

func sameSet(a, b map[string]bool) bool {
	if len(a) != len(b) {
		return false
	}
	for k := range a {
		if !b[k] {
			return false
		}
	}
	return true
}

// placement is a task, or a whole gang, and the indexes of its workers.
type placement struct {
	key     plan.StepKey
	gang    bool
	index   uint32
	workers []int
}

// groupGangs joins the grants of each gang into one placement.
func groupGangs(grants []plan.Grant, requests []plan.Request) []placement {
	gangs := map[plan.StepKey]int{}
	for _, r := range requests {
		if r.Step.Gang {
			gangs[r.Key] = -1
		}
	}
	var out []placement
	for _, g := range grants {
		at, gang := gangs[g.Key]
		if gang && at >= 0 {
			out[at].workers = append(out[at].workers, g.Worker)
			continue
		}
		if gang {
			gangs[g.Key] = len(out)
		}
		out = append(out, placement{key: g.Key, gang: gang, index: g.Index, workers: []int{g.Worker}})
	}
	return out
}

// grant records the runs of a placement and queues their start orders for the next batch.
func (e *Engine) grant(p placement, workers []plan.Worker) {
	en := e.jobs[p.key.Job]
	var runs []*jobstate.Run
	if p.gang {
		keys := make([]jobstate.WorkerKey, len(p.workers))
		for i, w := range p.workers {
			keys[i] = workers[w].Key
		}
		runs = en.job.GrantGang(p.key.Occurrence, p.key.Step, keys)
	} else {
		ref := jobstate.TaskRef{Job: p.key.Job, Occurrence: p.key.Occurrence, Step: p.key.Step, Index: p.index}
		run := en.job.Grant(ref, workers[p.workers[0]].Key)
		_, task := en.job.Task(ref)
		run.Isolated = task.NeedsIsolation()
		runs = []*jobstate.Run{run}
	}
	for _, r := range runs {
		n := e.node(r.Worker.Node)
		tr := n.addRun(e, r)
		e.recordTicketUse(r)
		e.batch.orders = append(e.batch.orders, order{node: n.name, run: runKey{r.Ref, r.Attempt}, start: e.startOrder(en, tr), worker: r.Worker})
		events.RunGranted.Log("task", r.Ref.String(), "attempt", r.Attempt, "node", n.name, "worker", r.Worker.ID,
			"cpuMilli", tr.step.CpuMilli, "fills", tr.step.Fills, "usedMilli", n.used.CPUMilli, "fillMilli", n.bestEffortCPUMilli, "isolated", r.Isolated, "epoch", e.Epoch())
	}
	e.markDirty(p.key.Job, en)
}

func (e *Engine) startOrder(en *jobEntry, tr *trackedRun) *chervilv2.StartOrder {
	_, task := en.job.Task(tr.run.Ref)
	return &chervilv2.StartOrder{
		Task: tr.run.Ref.String(), Attempt: tr.run.Attempt, Payload: en.job.Spec.Payload, Checkpoint: resumeCheckpoint(en, tr, task),
		WorkerId: tr.run.Worker.ID, Fills: tr.step.Fills, TargetLatencyMs: tr.step.TargetLatencyMs,
		Image: tr.step.Image, CpuMilli: tr.step.CpuMilli, MemoryMb: tr.step.MemoryMb, Gpus: tr.step.Gpus, Ticket: e.ticketFor(tr.run),
	}
}

// resumeCheckpoint returns the checkpoint to resume a run from. All members of a gang get
// the same one, the newest of any member.
func resumeCheckpoint(en *jobEntry, tr *trackedRun, task *jobstate.Task) string {
	if !tr.step.Gang {
		return task.Checkpoint
	}
	newest := ""
	step, _ := en.job.Task(tr.run.Ref)
	for i := range step.Tasks {
		if strings.Compare(step.Tasks[i].Checkpoint, newest) > 0 {
			newest = step.Tasks[i].Checkpoint
		}
	}
	return newest
}

// orderStops queues stop orders for the runs; they are sent once the next batch is
// stored.
func (e *Engine) orderStops(runs []*jobstate.Run, reason string) {
	for _, r := range runs {
		r.Stopping = true
		n := e.node(r.Worker.Node)
		if tr, ok := n.runs[runKey{r.Ref, r.Attempt}]; ok {
			tr.orderedAt = e.clock()
		}
		e.batch.orders = append(e.batch.orders, order{
			node: n.name, run: runKey{r.Ref, r.Attempt}, stop: &chervilv2.StopOrder{Task: r.Ref.String(), Attempt: r.Attempt},
		})
		events.RunStopOrdered.Log("task", r.Ref.String(), "attempt", r.Attempt, "node", n.name, "reason", reason)
	}
}
