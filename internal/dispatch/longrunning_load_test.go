package dispatch

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/operatorconfig"
)

// The platform expects a long-running task to run wherever one worker has room for it: there is no span of
// maxIdleWithRoom without a run that begins idleAllowance after its last run or later, and calmAllowance after
// the last fault or later.
const (
	idleAllowance   = 6 * time.Second
	calmAllowance   = 4 * time.Second
	maxIdleWithRoom = 3 * time.Second
)

const (
	longRunningStep = 200 * time.Millisecond
	idleStep        = time.Second
	// residentMilli is the CPU of each long-running task; residentsPerWorker of them fill a worker.
	residentMilli      = 3200
	residentsPerWorker = 5
	// fullWorkers are the workers beside the one that has room.
	fullWorkers = 5
	// stretch is so large that no job is late.
	stretch = 100
	// longestPlay bounds how long a play waits for a task that does not start.
	longestPlay = 2 * time.Minute
	// urgentQueue and then middleQueue come before testQueue, equalQueue is of the same priority.
	urgentQueue, middleQueue, equalQueue = "urgent", "middle", "equal"
)

// longRunningWorker is a worker that runs what it is ordered to, or fails it while failing is set.
type longRunningWorker struct {
	agent         *testAgent
	orders, stops int // handled
	ends          int64
	runs          map[string]*playedRun // by task
	failing, away bool
}

type playedRun struct {
	start     *chervilv2.StartOrder
	startedAt boottime.Instant
	fails     bool
}

// longRunningLoad plays a service that long-running tasks nearly fill.
type longRunningLoad struct {
	*rig
	workers []*longRunningWorker
	jobs    int
	// takes is how long the tasks of the other jobs take; those of hopeless jobs fail at their start.
	takes    map[string]time.Duration
	hopeless map[string]bool
	// endedAt is when the last run of each long-running task ended, or the task was submitted; roomSince since
	// when it has had no run although a worker has had room.
	endedAt, roomSince map[string]boottime.Instant
	// faultAt is when the last fault ended.
	faultAt boottime.Instant
	// longest is the wait that exceeds what the platform allows the most, or comes closest to it.
	longest longRunningWait
	waits   bool // a long-running task has no run
}

// longRunningWait is a wait of a task for room that is there.
type longRunningWait struct {
	task string
	// sinceRun and sinceFault are the times since the end of its last run, and since the last fault; overdue is the time
	// since both allowances have ended.
	sinceRun, sinceFault, overdue time.Duration
}

func (w longRunningWait) String() string {
	if w.task == "" {
		return "no task waited for room that was there"
	}
	return fmt.Sprintf("%s had no run for %v, until %v after the last fault, although a worker had room; %v of it are beyond its allowance",
		w.task, w.sinceRun, w.sinceFault, max(w.overdue, 0))
}

// newLongRunningLoad returns a load on no worker yet.
func newLongRunningLoad(t *testing.T) *longRunningLoad {
	l := &longRunningLoad{rig: newRig(t), takes: map[string]time.Duration{}, hopeless: map[string]bool{}, endedAt: map[string]boottime.Instant{}, roomSince: map[string]boottime.Instant{}}
	began, wall := l.clock.read(), time.Now()
	l.engine.mu.Lock()
	l.engine.wall = func() time.Time { return wall.Add(l.clock.read().Sub(began)) }
	l.engine.mu.Unlock()
	queue := func(name string, priority int) operatorconfig.Queue {
		q := ownQueue()
		q.Name, q.Priority, q.MaxAttempts, q.Stretch = name, priority, 1, stretch
		return q
	}
	l.configure(2, queue(urgentQueue, 0), queue(middleQueue, 1), queue(equalQueue, 2), queue(testQueue, 2))
	l.faultAt, l.longest.overdue = began, -idleAllowance-calmAllowance
	return l
}

// addWorkers attaches workers with the CPU.
func (l *longRunningLoad) addWorkers(count int, cpuMilli uint32) []*longRunningWorker {
	first := len(l.workers)
	for i := range count {
		l.workers = append(l.workers, &longRunningWorker{agent: l.attach(fmt.Sprintf("side-%d", first+i), cpuMilli), runs: map[string]*playedRun{}})
	}
	l.advance()
	return l.workers[first:]
}

// fillWorkers attaches the full workers, each with its residents.
func (l *longRunningLoad) fillWorkers() {
	l.addWorkers(fullWorkers, residentsPerWorker*residentMilli)
	l.addResidents(fullWorkers * residentsPerWorker)
}

// addResidents submits a job of long-running tasks, and returns their names once all run.
func (l *longRunningLoad) addResidents(tasks uint32) []string {
	job := l.newJob(testQueue, tasks, residentMilli)
	job.Steps[0].LongRunning = true
	var names []string
	for i := range tasks {
		names = append(names, jobstate.TaskRef{Job: job.Id, Index: i}.String())
		l.endedAt[names[i]] = l.clock.read()
	}
	l.submit(job)
	l.settle()
	l.advance()
	for _, name := range names {
		assert.Assert(l.t, l.runs(name), "%s does not run", name)
	}
	return names
}

// addTasks submits a job of tasks that end, and returns its ID. The client expects them to take what they do.
func (l *longRunningLoad) addTasks(queue string, tasks, cpuMilli uint32, takes time.Duration) string {
	return l.addJob(l.newJob(queue, tasks, cpuMilli), takes, takes)
}

// addJob submits a job of tasks that end, and returns its ID. Its client expects them to take the estimate.
func (l *longRunningLoad) addJob(job *chervilv2.JobSpec, takes, estimate time.Duration) string {
	job.Steps[0].EstimateMs = uint32(estimate.Milliseconds())
	l.takes[job.Id] = takes
	l.submit(job)
	l.settle()
	return job.Id
}

func (l *longRunningLoad) newJob(queue string, tasks, cpuMilli uint32) *chervilv2.JobSpec {
	l.jobs++
	job := spec(jobID(l.jobs), tasks)
	job.Queue, job.Steps[0].CpuMilli = queue, cpuMilli
	return job
}

// advance plays one step on all workers, and waits until the engine has planned and its orders have arrived.
func (l *longRunningLoad) advance() { l.advanceBy(longRunningStep) }

func (l *longRunningLoad) advanceBy(step time.Duration) {
	l.clock.advance(step)
	now := l.clock.read()
	reports := make([]*chervilv2.AgentReport, len(l.workers))
	for i, w := range l.workers {
		reports[i] = l.play(w, now)
	}
	for i, w := range l.workers {
		w.agent.report(reports[i])
		w.agent.report(&chervilv2.AgentReport{}) // is received once the first one has been processed
	}
	l.settle()
	l.check(now)
}

// settle waits until the engine has planned and its orders have arrived.
func (l *longRunningLoad) settle() {
	l.t.Helper()
	l.rig.settle()
	eventually(l.t, "orders arrived", func() bool {
		l.engine.mu.Lock()
		defer l.engine.mu.Unlock()
		for _, w := range l.workers {
			started := map[string]uint32{}
			for _, s := range w.agent.started() {
				started[s.Task] = s.Attempt
			}
			for key := range l.engine.nodes[w.agent.node].runs {
				if started[key.ref.String()] < key.attempt {
					return false
				}
			}
		}
		return true
	})
}

// play lets a worker run until now and returns its agent's report.
func (l *longRunningLoad) play(w *longRunningWorker, now boottime.Instant) *chervilv2.AgentReport {
	report := &chervilv2.AgentReport{Full: !w.away}
	if w.failing {
		l.faultAt = now
	}
	l.startRuns(w)
	if w.away {
		return report
	}
	stopped := w.agent.stopped()
	for _, s := range stopped[w.stops:] {
		if run := w.runs[s.Task]; run != nil && run.start.Attempt == s.Attempt {
			l.end(w, s.Task, chervilv2.EndKind_END_KIND_STOPPED, report)
		} else {
			report.Results = append(report.Results, &chervilv2.StartResult{Task: s.Task, Attempt: s.Attempt, Answer: chervilv2.StartAnswer_START_ANSWER_NOT_STARTED})
		}
	}
	w.stops = len(stopped)
	for task, run := range w.runs {
		takes, ends := l.takes[jobOf(task)]
		switch {
		case run.fails:
			l.end(w, task, failed, report)
		case ends && now.Sub(run.startedAt) >= takes:
			l.end(w, task, done, report)
		default:
			report.Runs = append(report.Runs, &chervilv2.Run{Task: task, Attempt: run.start.Attempt})
		}
	}
	return report
}

// startRuns starts what the worker is ordered to.
func (l *longRunningLoad) startRuns(w *longRunningWorker) {
	orders := w.newOrders()
	w.orders += len(orders)
	for _, o := range orders {
		if run := w.runs[o.Task]; !w.away && (run == nil || run.start.Attempt < o.Attempt) {
			w.runs[o.Task] = &playedRun{start: o, startedAt: l.clock.read(), fails: w.failing || l.hopeless[jobOf(o.Task)]}
		}
	}
}

// newOrders returns the start orders that the worker has not handled.
func (w *longRunningWorker) newOrders() []*chervilv2.StartOrder { return w.agent.started()[w.orders:] }

func (l *longRunningLoad) end(w *longRunningWorker, task string, kind chervilv2.EndKind, report *chervilv2.AgentReport) {
	w.ends++
	report.Ends = append(report.Ends, &chervilv2.RunEnd{Number: w.ends, Task: task, Attempt: w.runs[task].start.Attempt, Kind: kind})
	l.recordEnd(w, task)
}

func (l *longRunningLoad) recordEnd(w *longRunningWorker, task string) {
	delete(w.runs, task)
	if _, longRunning := l.endedAt[task]; longRunning {
		l.endedAt[task] = l.clock.read()
	}
}

// fail makes the runs of the tasks fail in the next step.
func (l *longRunningLoad) fail(tasks ...string) {
	l.t.Helper()
	failing := 0
	for _, w := range l.workers {
		for _, task := range tasks {
			if run := w.runs[task]; run != nil {
				run.fails = true
				failing++
			}
		}
	}
	assert.Equal(l.t, failing, len(tasks), "some tasks do not run")
	l.advance()
}

// crash ends a worker and all its runs, as by a fault. It comes back at once unless it goes away.
func (l *longRunningLoad) crash(w *longRunningWorker, goesAway bool) {
	now := l.clock.read()
	l.endWithCrash(w, goesAway, func(run *playedRun) *chervilv2.CrashedRun {
		return crashedAt(run.start, now.Sub(run.startedAt)+atStart)
	})
}

// crashUnconfirmed is crash for a worker that has confirmed none of its starts, the newest orders among them.
func (l *longRunningLoad) crashUnconfirmed(w *longRunningWorker, goesAway bool) {
	l.startRuns(w)
	l.endWithCrash(w, goesAway, func(run *playedRun) *chervilv2.CrashedRun {
		return &chervilv2.CrashedRun{Task: run.start.Task, Attempt: run.start.Attempt}
	})
}

func (l *longRunningLoad) endWithCrash(w *longRunningWorker, goesAway bool, report func(*playedRun) *chervilv2.CrashedRun) {
	l.faultAt = l.clock.read()
	var runs []*chervilv2.CrashedRun
	for task, run := range w.runs {
		runs = append(runs, report(run))
		l.recordEnd(w, task)
	}
	w.orders, w.ends, w.away = len(w.agent.started()), 0, goesAway
	crashed := w.agent.worker
	crash := &chervilv2.WorkerCrash{WorkerId: crashed.Id, BornUnixMs: crashed.BornUnixMs, Runs: runs}
	if w.agent.worker = nextIncarnation(crashed); goesAway {
		w.agent.worker = gone(crashed)
	}
	w.agent.report(&chervilv2.AgentReport{Crashes: []*chervilv2.WorkerCrash{crash}, Full: !goesAway})
	w.agent.report(&chervilv2.AgentReport{}) // is received once the first one has been processed
	l.settle()
}

// check notes for how long each long-running task has had no run although a worker has room.
func (l *longRunningLoad) check(now boottime.Instant) {
	l.waits = false
	for task, endedAt := range l.endedAt {
		if l.runs(task) || !l.hasRoom(residentMilli) {
			delete(l.roomSince, task)
			continue
		}
		l.waits = true
		if _, ok := l.roomSince[task]; !ok {
			l.roomSince[task] = now
		}
		from := max(l.roomSince[task], endedAt.Add(idleAllowance), l.faultAt.Add(calmAllowance))
		if overdue := now.Sub(from); overdue > l.longest.overdue {
			l.longest = longRunningWait{task: task, sinceRun: now.Sub(endedAt), sinceFault: now.Sub(l.faultAt), overdue: overdue}
		}
	}
}

// runs reports whether a worker has a run of the task, or an order to start one.
func (l *longRunningLoad) runs(task string) bool {
	return slices.ContainsFunc(l.workers, func(w *longRunningWorker) bool {
		return w.runs[task] != nil || slices.ContainsFunc(w.newOrders(), func(o *chervilv2.StartOrder) bool { return o.Task == task })
	})
}

// hasRoom reports whether one worker has room for a task with the CPU.
func (l *longRunningLoad) hasRoom(cpuMilli uint32) bool {
	return slices.ContainsFunc(l.workers, func(w *longRunningWorker) bool { return !w.away && w.used()+cpuMilli <= w.agent.worker.CpuMilli })
}

// used returns the CPU of the worker's runs and of those that it is ordered to start.
func (w *longRunningWorker) used() uint32 {
	sum := uint32(0)
	for _, run := range w.runs {
		sum += run.start.CpuMilli
	}
	for _, o := range w.newOrders() {
		sum += o.CpuMilli
	}
	return sum
}

// playFor plays on for the time.
func (l *longRunningLoad) playFor(d time.Duration) { l.playInSteps(d, longRunningStep) }

// idleFor is playFor in fewer steps, for times in which no long-running task waits.
func (l *longRunningLoad) idleFor(d time.Duration) { l.playInSteps(d, idleStep) }

func (l *longRunningLoad) playInSteps(d, step time.Duration) {
	for end := l.clock.read().Add(d); l.clock.read() < end; {
		l.advanceBy(min(step, end.Sub(l.clock.read())))
	}
}

// requireNoneWaits plays on without faults until all long-running tasks run for which there is room. It fails the
// test if one waits longer than the platform allows, or has done so before.
func (l *longRunningLoad) requireNoneWaits() {
	l.t.Helper()
	end := l.clock.read().Add(longestPlay)
	for l.advance(); l.waits && l.clock.read() < end; {
		l.advance()
	}
	l.t.Log(l.longest)
	assert.Assert(l.t, !l.waits, "a task still waits after %v: %v", longestPlay, l.longest)
	assert.Assert(l.t, l.longest.overdue < maxIdleWithRoom, "%v", l.longest)
}

func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}
