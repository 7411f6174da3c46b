package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
)

// betweenCrashes is the time from the end of a run to the next start at which the tests look, at most.
const betweenCrashes = 10 * time.Second

// maxPausedLonger is how much longer than its pause a task may wait for a start, at most: until the leases of
// its machine end.
const maxPausedLonger = 3 * time.Second

// requireNotFailed calls end each time the job's only task has been started, several times more often
// than a task that crashes its workers may be started. end returns the agent of the next start. The job
// must not fail. It returns the last start.
func (r *rig) requireNotFailed(job string, a *testAgent, end func(*testAgent, *chervilv2.StartOrder) *testAgent) (*chervilv2.StartOrder, *testAgent) {
	r.t.Helper()
	start, a := r.awaitStart(job, 0, a)
	for range 2 * maxCrashStarts {
		a = end(a, start)
		start, a = r.awaitStartUnlessFailed(job, start.Attempt, a)
	}
	return start, a
}

// requireNotGivenUp is requireNotFailed, and the job must complete once a run is left alone.
func (r *rig) requireNotGivenUp(job string, a *testAgent, end func(*testAgent, *chervilv2.StartOrder) *testAgent) {
	r.t.Helper()
	start, a := r.requireNotFailed(job, a, end)
	r.confirm(a, 2*suspectAge, start)
	a.end(1, start, done)
	r.waitPhase(job, jobCompleted)
}

// awaitStartUnlessFailed is awaitStart while the time passes. The job must not fail.
func (r *rig) awaitStartUnlessFailed(job string, above uint32, a *testAgent) (*chervilv2.StartOrder, *testAgent) {
	r.t.Helper()
	const step = 100 * time.Millisecond
	for range betweenCrashes / step {
		a.report(&chervilv2.AgentReport{Full: true, Results: a.answerStops()})
		r.settle()
		assert.Assert(r.t, r.phase(job) != jobFailed, "given up after %d starts", above)
		if start, _ := startOf(job, above, a); start != nil {
			return start, a
		}
		r.clock.advance(step)
	}
	r.t.Fatalf("not started again within %v of start %d", betweenCrashes, above)
	return nil, nil
}

// requireGivenUpOnceProved is requireNotGivenUp, but the task is only started after a pause once it has met
// as many crashes as it takes to give it up, and then crashes two workers for certain, which is the end of it.
func (r *rig) requireGivenUpOnceProved(job string, a *testAgent, end func(*testAgent, *chervilv2.StartOrder) *testAgent) {
	r.t.Helper()
	const crashesToIsolate, crashesToGiveUp, provedCrashes = 3, 4, 2
	start, a := r.awaitStart(job, 0, a)
	for crashes := 1; crashes <= 2*maxCrashStarts; crashes++ {
		a = end(a, start)
		endedAt := r.clock.read()
		start, a = r.awaitStartUnlessFailed(job, start.Attempt, a)
		paused := r.clock.read().Sub(endedAt)
		assert.Assert(r.t, crashes < crashesToGiveUp || paused >= uncertainRetryInterval, "started %v after crash %d", paused, crashes)
		assert.Assert(r.t, paused <= uncertainRetryInterval+maxPausedLonger, "started %v after crash %d", paused, crashes)
		assert.Equal(r.t, r.task(job).Runs[0].Isolated, crashes >= crashesToIsolate || r.task(job).Suspect, "after crash %d", crashes)
	}
	for range provedCrashes - 1 {
		a.crash(crashedAt(start, atStart))
		start, a = r.awaitStartUnlessFailed(job, start.Attempt, a)
	}
	a.crash(crashedAt(start, atStart))
	r.waitPhase(job, jobFailed)
}

func TestJobIsNotFailedByCrashesBeforeItsTaskHasStarted(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	r.requireNotGivenUp(jobID(1), a, func(a *testAgent, start *chervilv2.StartOrder) *testAgent {
		a.crash(&chervilv2.CrashedRun{Task: start.Task, Attempt: start.Attempt})
		return a
	})
}

func TestJobIsNotFailedByCrashesAfterWhichItsRunsMayHaveEnded(t *testing.T) {
	for name, age := range map[string]time.Duration{"just started when last seen": atStart, "older when last seen": long} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := r.attach("side-1", 32000)
			r.submit(spec(jobID(1), 1))
			r.requireNotGivenUp(jobID(1), a, func(a *testAgent, start *chervilv2.StartOrder) *testAgent {
				a.crash(unseenFor(start, age))
				return a
			})
		})
	}
}

// Guards against a run that has ended being counted as a victim of the crash, because its start was confirmed
// less than maxUnseen before. No list has named it, as the worker was silent but for the answer to the start.
func TestJobIsNotFailedByCrashesAfterWhichItsShortRunsMayHaveEnded(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	r.requireNotGivenUp(jobID(1), a, func(a *testAgent, start *chervilv2.StartOrder) *testAgent {
		a.crash(&chervilv2.CrashedRun{Task: start.Task, Attempt: start.Attempt, Started: true, UnseenMs: 160, MaxAgeMs: 161})
		return a
	})
}

func TestJobIsNotFailedByWorkersThatAreOutOfReach(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	r.requireNotGivenUp(jobID(1), a, func(a *testAgent, _ *chervilv2.StartOrder) *testAgent {
		r.disconnect(a)
		r.clock.advance(2 * r.engine.settings.Bounds.MaxLease)
		return r.attach(a.node+"x", 32000)
	})
}

func TestLoneRunThatMayHaveOutlivedItsStartIsNotGivenUpAtItsSecondCrash(t *testing.T) {
	for name, maxAgeMs := range map[string]int64{"may be older": 900, "highest age unknown": 0} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := r.attach("side-1", 32000)
			r.submit(spec(jobID(1), 1))
			start, a := r.awaitStart(jobID(1), 0, a)
			a.crash(crashedAt(start, atStart))
			start, a = r.awaitStart(jobID(1), start.Attempt, a)
			run := crashedAt(start, atStart)
			run.MaxAgeMs = maxAgeMs
			a.crash(run)
			start, a = r.awaitStartUnlessFailed(jobID(1), start.Attempt, a)
			a.crash(crashedAt(start, atStart))
			r.waitPhase(jobID(1), jobFailed)
		})
	}
}

// unseenFor is the end of a run at the age, at a crash of its worker that had not shown it for 2 s.
func unseenFor(start *chervilv2.StartOrder, age time.Duration) *chervilv2.CrashedRun {
	const unseen = 2 * time.Second
	run := crashedAt(start, age)
	run.UnseenMs, run.MaxAgeMs = unseen.Milliseconds(), (age + unseen).Milliseconds()
	return run
}

func TestLastingJobIsNotFailedByCrashesAfterWhichItsRunsMayHaveEnded(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	job := spec(jobID(1), 1)
	job.Steps[0].LongRunning = true
	r.submit(job)
	r.requireNotFailed(jobID(1), a, func(a *testAgent, start *chervilv2.StartOrder) *testAgent {
		a.crash(unseenFor(start, long))
		return a
	})
}

func TestTaskIsIsolatedAfterCrashesBesideUnansweredStartsThoughItsRunsMayHaveEnded(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	start, a := r.awaitStart(jobID(1), 0, a)
	needsIsolation := func() bool {
		task := r.task(jobID(1))
		return task.NeedsIsolation()
	}
	for beside := 2; !needsIsolation(); beside++ {
		assert.Assert(t, start.Attempt <= maxCrashStarts, "started more than %d times", maxCrashStarts)
		r.submit(spec(jobID(beside), 1))
		other, _ := r.awaitStart(jobID(beside), 0, a)
		a.crash(unseenFor(start, long), &chervilv2.CrashedRun{Task: other.Task, Attempt: other.Attempt})
		other, _ = r.awaitStart(jobID(beside), other.Attempt, a)
		r.confirm(a, 2*suspectAge, other)
		a.end(1, other, done)
		r.waitPhase(jobID(beside), jobCompleted)
		start, a = r.awaitStartUnlessFailed(jobID(1), start.Attempt, a)
	}
}

// A link that refuses connections makes the worker look crashed to its agent.
func TestJobIsNotFailedByReportedCrashesOfAWorkerThatLives(t *testing.T) {
	for name, ages := range map[string][]time.Duration{"just started": {atStart}, "older": {long}, "beside one that had just started": {long, atStart}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := r.attach("side-1", 32000)
			r.submit(spec(jobID(1), 1))
			alive := a.worker
			r.requireNotGivenUp(jobID(1), a, func(a *testAgent, start *chervilv2.StartOrder) *testAgent {
				crash := &chervilv2.WorkerCrash{WorkerId: alive.Id, BornUnixMs: alive.BornUnixMs, Runs: []*chervilv2.CrashedRun{crashedAt(start, ages[0])}}
				if len(ages) > 1 {
					beside := jobID(100 + int(start.Attempt))
					r.submit(spec(beside, 1))
					other, _ := r.awaitStart(beside, 0, a)
					crash.Runs = append(crash.Runs, crashedAt(other, ages[1]))
				}
				a.worker = gone(alive)
				a.report(&chervilv2.AgentReport{Crashes: []*chervilv2.WorkerCrash{crash}})
				a.worker = alive
				a.report(&chervilv2.AgentReport{Full: true})
				r.settle()
				task := r.task(jobID(1))
				assert.Assert(t, !task.NeedsIsolation() && task.Crashes+task.Exposures == 0, "%+v", task)
				return a
			})
		})
	}
}

func TestCrashOfAWorkerThatLivesIsTakenBackOnceItsSuspectsAreCleared(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 2000)
	r.submit(jobWithCPU(jobID(1), 1000))
	older, _ := r.awaitStart(jobID(1), 0, a)
	r.submit(jobWithCPU(jobID(2), 1000))
	young, _ := r.awaitStart(jobID(2), 0, a)
	other := r.attach("side-2", 2000)
	alive := a.worker
	a.worker = gone(alive)
	a.report(&chervilv2.AgentReport{Crashes: []*chervilv2.WorkerCrash{{WorkerId: alive.Id, BornUnixMs: alive.BornUnixMs,
		Runs: []*chervilv2.CrashedRun{crashedAt(older, long), crashedAt(young, atStart)}}}})
	young, _ = r.awaitStart(jobID(2), young.Attempt, other)
	r.confirm(other, 2*suspectAge, young)
	eventually(t, "crash counted against the older run", func() bool { return r.task(jobID(1)).Crashes == 1 })
	a.worker = alive
	a.report(&chervilv2.AgentReport{Full: true})
	eventually(t, "crash taken back", func() bool { return r.task(jobID(1)).Crashes == 0 })
}

func TestCrashesOfWorkersThatLiveAreTakenBackFromAJobThatTheyShare(t *testing.T) {
	const workers = 4
	r := newRig(t)
	agents := r.attachMany(workers, 2000)
	job := spec(jobID(1), workers)
	job.Steps[0].CpuMilli = 2000
	r.submit(job)
	eventually(t, "all run", func() bool { return startsOn(agents, 1) })
	alive := make([]*chervilv2.Worker, workers)
	for i, a := range agents {
		alive[i], a.worker = a.worker, gone(a.worker)
		a.report(&chervilv2.AgentReport{Crashes: []*chervilv2.WorkerCrash{{WorkerId: alive[i].Id, BornUnixMs: alive[i].BornUnixMs,
			Runs: []*chervilv2.CrashedRun{crashedAt(a.started()[0], atStart)}}}})
	}
	for i, a := range agents {
		a.worker = alive[i]
		a.report(&chervilv2.AgentReport{Full: true})
	}
	r.settle()
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	for i, task := range r.engine.jobs[jobID(1)].job.Occurrences[0].Steps[0].Tasks {
		assert.Assert(t, task.Crashes+task.Exposures == 0 && !task.Suspect, "task %d: %+v", i, task)
	}
}
