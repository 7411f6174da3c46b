package dispatch

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/jobstate"
)

const (
	loadStep = 200 * time.Millisecond
	// loadWorkers workers with loadWorkerMilli of CPU each run the jobs; a crashed one is away
	// for loadWorkerReturn.
	loadWorkers      = 8
	loadWorkerMilli  = 32000
	loadWorkerReturn = 3 * time.Second
	loadTaskDuration = time.Second
	// maxIdleWait is how long a job may have nothing running while there is room, from
	// settleTime after the last submission on.
	maxIdleWait = 3 * time.Second
	settleTime  = 14 * time.Second
)

// loadWorker is a worker that runs each task for loadTaskDuration and crashes at the start of
// a deadly one.
type loadWorker struct {
	agent *testAgent
	// orders is the number of start orders handled, ends that of the incarnation's ended runs.
	orders int
	ends   int64
	runs   map[string]loadRun // by task
	// crash is set while the worker is away, until returnsAt, and next is what returns.
	crash     *chervilv2.WorkerCrash
	returnsAt boottime.Instant
	next      *chervilv2.Worker
}

type loadRun struct {
	start     *chervilv2.StartOrder
	startedAt boottime.Instant
}

// crashLoad plays jobs on an engine, some of them with a task that crashes its workers.
type crashLoad struct {
	*rig
	workers []*loadWorker
	jobs    []string
	deadly  map[string]bool // by task
	// idleSince is since when a job has had nothing running while there was room.
	idleSince map[string]boottime.Instant
	crashes   int
}

func newCrashLoad(t *testing.T) *crashLoad {
	l := &crashLoad{rig: newRig(t), deadly: map[string]bool{}, idleSince: map[string]boottime.Instant{}}
	for _, a := range l.attachMany(loadWorkers, loadWorkerMilli) {
		l.workers = append(l.workers, &loadWorker{agent: a, runs: map[string]loadRun{}})
	}
	return l
}

// add submits a job of equal tasks. If it is deadly, its last task crashes its workers.
func (l *crashLoad) add(tasks, cpuMilli uint32, deadly bool) {
	job := spec(jobID(len(l.jobs)), tasks)
	job.Steps[0].CpuMilli = cpuMilli
	l.jobs = append(l.jobs, job.Id)
	l.deadly[jobstate.TaskRef{Job: job.Id, Index: tasks - 1}.String()] = deadly
	l.submit(job)
}

// advance plays one step on all workers and waits until the engine has planned.
func (l *crashLoad) advance() {
	l.clock.advance(loadStep)
	now := l.clock.read()
	for _, w := range l.workers {
		w.agent.report(l.play(w, now))
	}
	l.settle()
}

// play lets a worker run until now and returns its agent's report.
func (l *crashLoad) play(w *loadWorker, now boottime.Instant) *chervilv2.AgentReport {
	orders := w.agent.started()[w.orders:]
	w.orders += len(orders)
	report := &chervilv2.AgentReport{Full: true}
	if w.crash != nil {
		report.Crashes = []*chervilv2.WorkerCrash{w.crash}
		if now >= w.returnsAt {
			w.agent.worker, w.crash, w.ends = w.next, nil, 0
		}
		return report
	}
	crashes := false
	for _, o := range orders {
		if o.WorkerId == w.agent.worker.Id {
			w.runs[o.Task] = loadRun{o, now}
			crashes = crashes || l.deadly[o.Task]
		}
	}
	if crashes {
		l.crash(w, now)
		report.Crashes = []*chervilv2.WorkerCrash{w.crash}
		return report
	}
	for task, run := range w.runs {
		if now.Sub(run.startedAt) >= loadTaskDuration {
			w.ends++
			report.Ends = append(report.Ends, &chervilv2.RunEnd{Number: w.ends, Task: task, Attempt: run.start.Attempt, Kind: chervilv2.EndKind_END_KIND_DONE})
			delete(w.runs, task)
			continue
		}
		report.Runs = append(report.Runs, &chervilv2.Run{Task: task, Attempt: run.start.Attempt})
	}
	return report
}

// crash ends all runs of a worker, just after its newest ones have started.
func (l *crashLoad) crash(w *loadWorker, now boottime.Instant) {
	l.crashes++
	worker := w.agent.worker
	w.crash = &chervilv2.WorkerCrash{WorkerId: worker.Id, BornUnixMs: worker.BornUnixMs}
	for _, run := range w.runs {
		w.crash.Runs = append(w.crash.Runs, crashedAt(run.start, now.Sub(run.startedAt)+atStart))
	}
	clear(w.runs)
	w.next, w.returnsAt = nextIncarnation(worker), now.Add(loadWorkerReturn)
	w.agent.worker = gone(worker)
}

// halfIdle reports whether at least half of the CPU of all workers that are up is unused.
func (l *crashLoad) halfIdle() bool {
	var used, capacity uint32
	for _, w := range l.workers {
		if w.crash == nil {
			capacity += loadWorkerMilli
		}
		for _, run := range w.runs {
			used += run.start.CpuMilli
		}
	}
	return 2*used < capacity
}

// longestIdleWait returns how long a job has had nothing running although half of the
// service was idle, at most.
func (l *crashLoad) longestIdleWait() time.Duration {
	now, halfIdle := l.clock.read(), l.halfIdle()
	running := map[string]bool{}
	for _, w := range l.workers {
		for task := range w.runs {
			job, _, _ := strings.Cut(task, ".")
			running[job] = true
		}
	}
	longest := time.Duration(0)
	for _, id := range l.jobs {
		if !halfIdle || running[id] || l.phase(id) > chervilv2.JobPhase_JOB_PHASE_RUNNING {
			delete(l.idleSince, id)
			continue
		}
		if _, ok := l.idleSince[id]; !ok {
			l.idleSince[id] = now
		}
		longest = max(longest, now.Sub(l.idleSince[id]))
	}
	return longest
}

// Each quick job of 4 s holds a deadly task; the larger jobs beside them do not.
func TestNoJobWaitsForIdleWorkersAfterManyCrashes(t *testing.T) {
	const traffic, deadlyFrom, deadlyUntil = 30 * time.Second, 2 * time.Second, 6 * time.Second
	l := newCrashLoad(t)
	for now := time.Duration(0); now < traffic+settleTime+2*maxIdleWait; now += loadStep {
		if now < traffic {
			l.add(10, 500, now >= deadlyFrom && now < deadlyUntil)
			if now%(2*time.Second) == 0 {
				l.add(8, 2000, false)
			}
		}
		l.advance()
		wait := l.longestIdleWait()
		if now > traffic+settleTime {
			assert.Assert(t, wait < maxIdleWait, "a job has had nothing running for %v, %v after the last submission, with %d crashes so far", wait, now-traffic, l.crashes)
		}
	}
	assert.Assert(t, l.crashes > 0)
}
