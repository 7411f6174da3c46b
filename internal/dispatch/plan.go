package dispatch

import (
	"maps"
	"slices"
	"strings"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/catalog"
	"chervilridge/internal/events"
	"chervilridge/internal/interference"
	"chervilridge/internal/plan"
	"chervilridge/internal/urgency"
	"chervilridge/internal/work"
)

// servingUse is the part of its processors that a serving task is counted with when
// filling tasks are placed beside it, in percent.
const servingUse = 45

// pressAfter is how long a job may have nothing running before one of its filling tasks
// goes beside serving tasks that it disturbs, at the pace that the agent allows. The
// platform expects a job to run something within 3 s if there is room.
const pressAfter = 1500 * time.Millisecond

// maxAsidePercent bounds how many of a service's workers are set aside at once.
const maxAsidePercent = 34

// plan places waiting tasks and grants their runs.
func (e *Engine) plan() {
	view := e.operator()
	if view == nil || view.Config == nil || e.writer.ConfirmedFor() > ConfirmLimit {
		return
	}
	requests := e.requests(view)
	if len(requests) == 0 {
		return
	}
	workers := e.workers(view)
	made := plan.Make(workers, requests, e.model)
	e.logState(requests, made, workers)
	for _, g := range groupGangs(made.Grants, requests) {
		e.grant(g, workers)
	}
}

// logState tells now and then how much waits and runs.
func (e *Engine) logState(requests []plan.Request, made plan.Plan, workers []plan.Worker) {
	now := e.clock()
	if now.Sub(e.stateLogged) < stateLogInterval {
		return
	}
	e.stateLogged = now
	fills := map[plan.StepKey]bool{}
	for _, r := range requests {
		fills[r.Key] = r.Step.Fills
	}
	waiting := map[bool]int{}
	for _, u := range made.Unplaced {
		waiting[fills[u.Key]] += u.Count
	}
	var used, capacity, fillMilli, slowed int64
	for i := range workers {
		capacity += workers[i].Capacity.CPUMilli
		used += workers[i].Used.CPUMilli
		fillMilli += workers[i].FillMilli
	}
	for _, n := range e.nodes {
		for _, h := range n.runs {
			if h.step.Fills && h.paced && h.pace < fullPace {
				slowed += int64(h.step.CpuMilli)
			}
		}
	}
	events.ScheduleState.Log("openJobs", len(e.open), "workers", len(workers), "waiting", waiting[false], "waitingFills", waiting[true],
		"usedMilli", used, "capacityMilli", capacity, "fillMilli", fillMilli, "slowedFillMilli", slowed)
}

// stateLogInterval bounds how often the state is logged.
const stateLogInterval = time.Second

// workers returns the workers that may get tasks.
func (e *Engine) workers(view *catalog.View) []plan.Worker {
	names := make([]string, 0, len(e.nodes))
	for name := range e.nodes {
		names = append(names, name)
	}
	slices.Sort(names)
	now := e.clock()
	aside := 0
	var out []plan.Worker
	for _, name := range names {
		n := e.nodes[name]
		if ok, _ := n.usable(view.Evacuated, now); !ok || view.Config.Services[n.worker.Service].Standby {
			continue
		}
		if n.health.aside(now) && (aside+1)*100 <= maxAsidePercent*len(names) {
			aside++
			continue
		}
		out = append(out, n.planned(e.model, now))
	}
	return out
}

// planned returns the worker as the planner sees it.
func (n *node) planned(model *interference.Model, now boottime.Instant) plan.Worker {
	w := plan.Worker{
		Key: n.key, Service: n.worker.Service, Rack: n.rack(), Labels: n.worker.Labels,
		Capacity: n.capacity(), Used: n.used, Serving: n.serving, ServingMilli: n.servingMilli, PerStep: maps.Clone(n.perStep), Serves: map[string]plan.Served{},
		FillShares: n.fillShares(func(h *held) uint32 { return h.step.CpuMilli }),
	}
	for _, h := range n.runs {
		if h.step.TargetLatencyMs > 0 {
			served := w.Serves[h.step.Image]
			alone, _ := model.Alone(h.step.Image, h.run.Ref.Job, now)
			if served.Tasks == 0 || alone < served.Headroom {
				served.Headroom = alone
			}
			served.Tasks++
			w.Serves[h.step.Image] = served
		}
		if h.step.Fills {
			w.FillMilli += h.paceMilli()
		}
	}
	w.Doubt = n.health.slow(now)
	if n.health.doubt >= doubtLimit {
		w.Doubt += n.health.doubt
	}
	w.FillLimitMilli = w.Capacity.CPUMilli - (w.Used.CPUMilli - w.ServingMilli) - w.ServingMilli*servingUse/100
	return w
}

// requests returns the waiting tasks by step.
func (e *Engine) requests(view *catalog.View) []plan.Request {
	var out []plan.Request
	now := e.wall().UnixMilli()
	for _, en := range e.open {
		queue := view.Config.Queue(en.job.Spec.Queue)
		if queue == nil || en.job.Ended() {
			continue
		}
		first := len(out)
		class, slack := e.urgency(en, queue, now)
		en.job.WaitingTasks(func(ref work.TaskRef, step *work.Step, _ *work.Task) {
			key := stepKey(ref)
			for i := first; i < len(out); i++ {
				if out[i].Key == key && sameAvoid(out[i].Avoid, en.failedOn[ref]) {
					out[i].Indexes = append(out[i].Indexes, ref.Index)
					return
				}
			}
			out = append(out, plan.Request{
				Key: key, Step: step.Spec, Service: queue.Service, Priority: queue.Priority,
				Class: class, Slack: slack,
				Indexes: []uint32{ref.Index}, Avoid: en.failedOn[ref],
			})
		})
		if queue.Advisor != nil && e.settings.Advisor != nil {
			for i := first; i < len(out); i++ {
				out[i].Allowed = e.allowed(out[i].Key, queue.Advisor, queue.Service)
			}
		}
		out = e.press(out, first, en)
		out = append(out[:first], slices.DeleteFunc(out[first:], func(r plan.Request) bool {
			return r.Step.Gang && len(r.Indexes) < int(r.Step.Tasks) // members of the last attempt still run
		})...)
	}
	return out
}

// press has one filling task of a job that has run nothing for a while placed anyway.
// out[first:] are the job's requests.
func (e *Engine) press(out []plan.Request, first int, en *entry) []plan.Request {
	running := false
	en.job.Runs(func(*work.Run) { running = true })
	now := e.clock()
	switch {
	case running || first == len(out):
		en.idle = 0
		return out
	case en.idle == 0:
		en.idle = now
	}
	r := out[first]
	if now.Sub(en.idle) < pressAfter || !r.Step.Fills || r.Step.Gang {
		return out
	}
	one := r
	one.Pressed, one.Indexes = true, r.Indexes[:1]
	out[first].Indexes = r.Indexes[1:]
	if len(r.Indexes) == 1 {
		out[first] = one
		return out
	}
	return append(out, one)
}

// urgency returns how a job's tasks rank among those of the same priority.
func (e *Engine) urgency(en *entry, queue *catalog.Queue, nowUnixMs int64) (urgency.Class, time.Duration) {
	job := en.job
	age := time.Duration(nowUnixMs-job.Spec.AcceptedUnixMs) * time.Millisecond
	if job.Scheduled() {
		return urgency.InTime, -age // each occurrence has its own due time
	}
	all, left := urgency.Chain(job.Occurrences[0], job.Spec.Steps)
	if all == 0 {
		return urgency.InTime, -age // its tasks last
	}
	return urgency.Classify(age, all, left, e.durations.Task(queue.Name), queue.Stretch, queue.TargetLatency)
}

func sameAvoid(a, b map[string]bool) bool {
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

// placed is a task, or a whole gang, with its workers.
type placed struct {
	key     plan.StepKey
	gang    bool
	index   uint32
	workers []int
}

// groupGangs joins the grants of each gang.
func groupGangs(grants []plan.Grant, requests []plan.Request) []placed {
	gangs := map[plan.StepKey]int{}
	for _, r := range requests {
		if r.Step.Gang {
			gangs[r.Key] = -1
		}
	}
	var out []placed
	for _, g := range grants {
		at, gang := gangs[g.Key]
		if gang && at >= 0 {
			out[at].workers = append(out[at].workers, g.Worker)
			continue
		}
		if gang {
			gangs[g.Key] = len(out)
		}
		out = append(out, placed{key: g.Key, gang: gang, index: g.Index, workers: []int{g.Worker}})
	}
	return out
}

// grant records the runs; the orders go out once they are stored.
func (e *Engine) grant(p placed, workers []plan.Worker) {
	en := e.jobs[p.key.Job]
	var runs []*work.Run
	if p.gang {
		keys := make([]work.WorkerKey, len(p.workers))
		for i, w := range p.workers {
			keys[i] = workers[w].Key
		}
		runs = en.job.GrantGang(p.key.Occurrence, p.key.Step, keys)
	} else {
		ref := work.TaskRef{Job: p.key.Job, Occurrence: p.key.Occurrence, Step: p.key.Step, Index: p.index}
		runs = []*work.Run{en.job.Grant(ref, workers[p.workers[0]].Key)}
	}
	for _, r := range runs {
		n := e.node(r.Worker.Node)
		h := n.add(e, r)
		e.batch.orders = append(e.batch.orders, order{node: n.name, run: runKey{r.Ref, r.Attempt}, start: e.startOrder(en, h)})
		events.TaskGranted.Log("task", r.Ref.String(), "attempt", r.Attempt, "node", n.name, "worker", r.Worker.ID,
			"cpuMilli", h.step.CpuMilli, "fills", h.step.Fills, "usedMilli", n.used.CPUMilli, "fillMilli", n.fillMilli, "epoch", e.Epoch())
	}
	e.markDirty(p.key.Job, en)
}

func (e *Engine) startOrder(en *entry, h *held) *chervilv2.StartOrder {
	_, task := en.job.Task(h.run.Ref)
	return &chervilv2.StartOrder{
		Task: h.run.Ref.String(), Attempt: h.run.Attempt, Payload: en.job.Spec.Payload, Checkpoint: gangCheckpoint(en, h, task),
		WorkerId: h.run.Worker.ID, Fills: h.step.Fills, TargetLatencyMs: h.step.TargetLatencyMs,
		Image: h.step.Image, CpuMilli: h.step.CpuMilli, Ticket: e.ticketFor(h.run),
	}
}

// gangCheckpoint returns the checkpoint to resume from; all members of a gang carry the
// same one, the newest of any.
func gangCheckpoint(en *entry, h *held, task *work.Task) string {
	if !h.step.Gang {
		return task.Checkpoint
	}
	newest := ""
	step, _ := en.job.Task(h.run.Ref)
	for i := range step.Tasks {
		if strings.Compare(step.Tasks[i].Checkpoint, newest) > 0 {
			newest = step.Tasks[i].Checkpoint
		}
	}
	return newest
}

// stopAll orders stops of runs, once the batch that made them surplus is stored.
func (e *Engine) stopAll(runs []*work.Run, reason string) {
	for _, r := range runs {
		r.Stopping = true
		n := e.node(r.Worker.Node)
		if h, ok := n.runs[runKey{r.Ref, r.Attempt}]; ok {
			h.ordered = e.clock()
		}
		e.batch.orders = append(e.batch.orders, order{
			node: n.name, run: runKey{r.Ref, r.Attempt}, stop: &chervilv2.StopOrder{Task: r.Ref.String(), Attempt: r.Attempt},
		})
		events.RunStopOrdered.Log("task", r.Ref.String(), "attempt", r.Attempt, "node", n.name, "reason", reason)
	}
}
