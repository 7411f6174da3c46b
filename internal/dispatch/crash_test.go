package dispatch

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
)

const (
	jobFailed    = chervilv2.JobPhase_JOB_PHASE_FAILED
	jobCompleted = chervilv2.JobPhase_JOB_PHASE_COMPLETED
	// atStart and long are ages of runs at the crash of their worker.
	atStart = 10 * time.Millisecond
	long    = 5 * time.Second
	// maxCrashStarts is one less than the starts that break the limit: three crashes and three
	// more starts.
	maxCrashStarts = 5
)

// crashedAt describes a confirmed run that had the age when its worker crashed.
func crashedAt(start *chervilv2.StartOrder, age time.Duration) *chervilv2.CrashedRun {
	return &chervilv2.CrashedRun{Task: start.Task, Attempt: start.Attempt, AgeMs: age.Milliseconds(), MaxAgeMs: age.Milliseconds(), Started: true, Listed: true}
}

// crash reports that the worker has crashed with the runs, and then that it is back as
// another incarnation.
func (a *testAgent) crash(runs ...*chervilv2.CrashedRun) {
	crash := &chervilv2.WorkerCrash{WorkerId: a.worker.Id, BornUnixMs: a.worker.BornUnixMs, Runs: runs}
	next := nextIncarnation(a.worker)
	a.worker = gone(a.worker)
	a.report(&chervilv2.AgentReport{Crashes: []*chervilv2.WorkerCrash{crash}})
	a.worker = next
	a.report(&chervilv2.AgentReport{Crashes: []*chervilv2.WorkerCrash{crash}, Full: true})
}

// startOf returns the agents' newest start order of a job's tasks with an attempt above the
// given one, and its agent; nil if there is none.
func startOf(job string, above uint32, agents ...*testAgent) (*chervilv2.StartOrder, *testAgent) {
	for _, a := range agents {
		for _, s := range a.started() {
			if s.Task == job+".0.0.0" && s.Attempt > above {
				return s, a
			}
		}
	}
	return nil, nil
}

// awaitStart waits until the job's task is started with an attempt above the given one.
func (r *rig) awaitStart(job string, above uint32, agents ...*testAgent) (*chervilv2.StartOrder, *testAgent) {
	r.t.Helper()
	var start *chervilv2.StartOrder
	var agent *testAgent
	eventually(r.t, fmt.Sprintf("start of %s above attempt %d", job, above), func() bool {
		for _, a := range agents {
			a.report(&chervilv2.AgentReport{})
		}
		start, agent = startOf(job, above, agents...)
		return start != nil
	})
	return start, agent
}

// confirm reports that the runs have started and are listed, after the given time.
func (r *rig) confirm(a *testAgent, after time.Duration, starts ...*chervilv2.StartOrder) {
	report := &chervilv2.AgentReport{Full: true}
	for _, s := range starts {
		report.Results = append(report.Results, &chervilv2.StartResult{Task: s.Task, Attempt: s.Attempt, Answer: chervilv2.StartAnswer_START_ANSWER_STARTED})
	}
	a.report(report)
	a.report(&chervilv2.AgentReport{}) // is received once the first one has been processed
	r.clock.advance(after)
	report = &chervilv2.AgentReport{Full: true}
	for _, s := range starts {
		report.Runs = append(report.Runs, &chervilv2.Run{Task: s.Task, Attempt: s.Attempt})
	}
	a.report(report)
}

func (r *rig) waitPhase(job string, phase chervilv2.JobPhase) {
	r.t.Helper()
	eventually(r.t, fmt.Sprintf("job %s %v", job, phase), func() bool { return r.phase(job) == phase })
}

// requireGivenUp calls end each time the job's only task has been started, which ends its
// worker and returns the agent of the next one. The job must be given up within
// maxCrashStarts starts.
func (r *rig) requireGivenUp(job string, a *testAgent, end func(*testAgent, *chervilv2.StartOrder) *testAgent) {
	r.t.Helper()
	start, a := r.awaitStart(job, 0, a)
	for starts := 1; r.phase(job) != jobFailed; starts++ {
		assert.Assert(r.t, starts <= maxCrashStarts, "started more than %d times", maxCrashStarts)
		a = end(a, start)
		eventually(r.t, "started again or given up", func() bool {
			a.report(&chervilv2.AgentReport{Full: true, Results: a.answerStops()})
			next, _ := startOf(job, start.Attempt, a)
			if next != nil {
				start = next
			}
			return next != nil || r.phase(job) == jobFailed
		})
	}
}

// startBoth starts two jobs of one task each on the only worker.
func startBoth(t *testing.T) (r *rig, a *testAgent, deadly, innocent *chervilv2.StartOrder) {
	r = newRig(t)
	a = r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	r.submit(spec(jobID(2), 1))
	deadly, _ = r.awaitStart(jobID(1), 0, a)
	innocent, _ = r.awaitStart(jobID(2), 0, a)
	return r, a, deadly, innocent
}

func TestSuspectIsGivenUpWhenItCrashesItsWorkerAlone(t *testing.T) {
	r, a, deadly, innocent := startBoth(t)
	a.crash(crashedAt(deadly, atStart), crashedAt(innocent, atStart))
	deadly, _ = r.awaitStart(jobID(1), deadly.Attempt, a) // the one with the lower ID comes first
	again, _ := startOf(jobID(2), innocent.Attempt, a)
	assert.Assert(t, again == nil, "two suspects started on one worker")
	a.crash(crashedAt(deadly, atStart))
	r.waitPhase(jobID(1), jobFailed)
	again, _ = r.awaitStart(jobID(2), innocent.Attempt, a)
	r.confirm(a, 2*suspectAge, again)
	a.end(1, again, done)
	r.waitPhase(jobID(2), jobCompleted)
}

func TestOtherSuspectsAreClearedOnceTheCauseIsKnown(t *testing.T) {
	r, a, deadly, innocent := startBoth(t)
	a.crash(crashedAt(deadly, atStart), crashedAt(innocent, atStart))
	deadly, _ = r.awaitStart(jobID(1), deadly.Attempt, a)
	_, suspected := r.crashes(jobID(2))
	assert.Assert(t, suspected)
	a.crash(crashedAt(deadly, atStart))
	r.waitPhase(jobID(1), jobFailed)
	count, suspected := r.crashes(jobID(2))
	assert.Assert(t, count == 0 && !suspected)
}

func TestNothingStartsBesideASuspect(t *testing.T) {
	r, a, deadly, innocent := startBoth(t)
	a.crash(crashedAt(deadly, atStart), crashedAt(innocent, long))
	suspect, _ := r.awaitStart(jobID(1), deadly.Attempt, a)
	assert.Assert(t, !slices.ContainsFunc(a.started(), func(s *chervilv2.StartOrder) bool { return s.Task == innocent.Task && s.Attempt > innocent.Attempt }))
	r.submit(spec(jobID(3), 1))
	time.Sleep(100 * time.Millisecond)
	other, _ := startOf(jobID(3), 0, a)
	assert.Assert(t, other == nil, "started beside a suspect")
	r.confirm(a, 2*suspectAge, suspect)
	r.awaitStart(jobID(3), 0, a)
}

func TestTakeoverForgetsNoCrash(t *testing.T) {
	r, a, deadly, _ := startBoth(t)
	a.crash(crashedAt(deadly, atStart))
	suspect, _ := r.awaitStart(jobID(1), deadly.Attempt, a)
	r.engine.Abandon()
	<-r.engine.Done()
	r.start(2)
	next := r.attachWith("side-1", a.worker)
	next.sequence = 100
	next.crash(crashedAt(suspect, atStart)) // the previous owner did not get its report
	r.waitPhase(jobID(1), jobFailed)
}

func TestEndsWithoutACrashReportAreNotCounted(t *testing.T) {
	r, a, first, _ := startBoth(t)
	for range 6 {
		a.worker = &chervilv2.Worker{
			Id: a.worker.Id, BornUnixMs: a.worker.BornUnixMs + 1, Service: testService, CpuMilli: 32000, MemoryMb: 64000, Listed: true,
		}
		a.report(&chervilv2.AgentReport{Full: true})
		first, _ = r.awaitStart(jobID(1), first.Attempt, a)
	}
	assert.Assert(t, r.phase(jobID(1)) != jobFailed)
}

// The start may never have reached the worker, so that only one crash came under the task.
func TestUnconfirmedStartIsNoCrashOfTheTask(t *testing.T) {
	r, a, deadly, _ := startBoth(t)
	a.crash(&chervilv2.CrashedRun{Task: deadly.Task, Attempt: deadly.Attempt})
	suspect, _ := r.awaitStart(jobID(1), deadly.Attempt, a)
	a.crash(crashedAt(suspect, atStart))
	again, _ := r.awaitStart(jobID(1), suspect.Attempt, a)
	assert.Assert(t, r.phase(jobID(1)) != jobFailed, "given up after one crash")
	a.crash(crashedAt(again, atStart))
	r.waitPhase(jobID(1), jobFailed)
}

func TestTaskWhoseStartsAreNotConfirmedIsGivenUpOnceItCertainlyCrashesItsWorkers(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	r.requireGivenUpOnceProved(jobID(1), a, func(a *testAgent, start *chervilv2.StartOrder) *testAgent {
		a.crash(&chervilv2.CrashedRun{Task: start.Task, Attempt: start.Attempt})
		return a
	})
}

func TestTaskThatCrashesItsWorkersLongAfterItsStartIsGivenUp(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	r.requireGivenUp(jobID(1), a, func(a *testAgent, start *chervilv2.StartOrder) *testAgent {
		a.crash(crashedAt(start, long))
		return a
	})
}

// crashes returns the counted crashes of a job's only task, and whether it is suspected.
func (r *rig) crashes(job string) (int, bool) {
	task := r.task(job)
	return int(task.Crashes), task.Suspect
}

// task returns a copy of a job's only task.
func (r *rig) task(job string) jobstate.Task {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	return r.engine.jobs[job].job.Occurrences[0].Steps[0].Tasks[0]
}

func TestCrashCountsAgainstOlderRunsOnceItsSuspectsAreCleared(t *testing.T) {
	r, a, old, young := startBoth(t)
	a.crash(crashedAt(old, long), crashedAt(young, atStart))
	count, suspected := r.crashes(jobID(1))
	assert.Assert(t, count == 0 && !suspected)
	again, _ := r.awaitStart(jobID(2), young.Attempt, a)
	r.confirm(a, 2*suspectAge, again)
	eventually(t, "crash counted against the older run", func() bool {
		count, suspected = r.crashes(jobID(1))
		return count == 1 && !suspected
	})
	count, suspected = r.crashes(jobID(2))
	assert.Assert(t, count == 0 && !suspected)
}

func TestExposureEndsOnceTheCauseIsKnown(t *testing.T) {
	r, a, deadly, innocent := startBoth(t)
	a.crash(crashedAt(deadly, atStart), crashedAt(innocent, long))
	assert.Equal(t, r.task(jobID(2)).Exposures, uint32(1))
	deadly, _ = r.awaitStart(jobID(1), deadly.Attempt, a)
	a.crash(crashedAt(deadly, atStart))
	r.waitPhase(jobID(1), jobFailed)
	assert.Equal(t, r.task(jobID(2)).Exposures, uint32(0))
}

func TestCrashDuringMaintenanceIsPlanned(t *testing.T) {
	r, a, start, _ := startBoth(t)
	r.engine.mu.Lock()
	r.engine.nodes["side-1"].drainingSince = r.clock.read()
	r.engine.mu.Unlock()
	a.crash(crashedAt(start, atStart))
	count, suspected := r.crashes(jobID(1))
	assert.Assert(t, count == 0 && !suspected)
}

// listRuns reports the runs that the agent was ordered to start, after the first skip orders,
// as started.
func (a *testAgent) listRuns(skip int) {
	report := &chervilv2.AgentReport{Full: true}
	for _, s := range a.started()[skip:] {
		report.Runs = append(report.Runs, &chervilv2.Run{Task: s.Task, Attempt: s.Attempt})
	}
	a.report(report)
}

// Each crash comes beside tasks that have just started, before those of the crashes before
// are cleared.
func TestTaskThatCrashesBesideStartingTasksIsGivenUp(t *testing.T) {
	const (
		workers        = 4
		afterStart     = 2 * suspectAge
		betweenCrashes = 2 * sameMoment
		poll           = 2 * time.Millisecond
	)
	r := newRig(t)
	agents := r.attachMany(workers, 32000)
	crashed := map[*testAgent]int{} // number of start orders before the worker's last crash
	r.submit(spec(jobID(1), 1))
	start, a := r.awaitStart(jobID(1), 0, agents...)
	for starts := 1; r.phase(jobID(1)) != jobFailed; starts++ {
		assert.Assert(t, starts <= maxCrashStarts, "started more than %d times", maxCrashStarts)
		before := len(a.started())
		r.submit(spec(jobID(1+starts), 2*workers))
		for range betweenCrashes / poll {
			time.Sleep(poll)
			r.clock.advance(poll)
		}
		ended := []*chervilv2.CrashedRun{crashedAt(start, afterStart)}
		for _, s := range a.started()[before:] {
			ended = append(ended, crashedAt(s, atStart))
		}
		crashed[a] = len(a.started())
		a.crash(ended...)
		eventually(t, "started again or given up", func() bool {
			r.clock.advance(poll)
			for _, other := range agents {
				other.listRuns(crashed[other])
			}
			next, on := startOf(jobID(1), start.Attempt, agents...)
			if next != nil {
				start, a = next, on
			}
			return next != nil || r.phase(jobID(1)) == jobFailed
		})
	}
}

func TestWorkersStartFewTasksAtOnceAfterACrash(t *testing.T) {
	const workers, backlog = 3, 64
	r := newRig(t)
	agents := r.attachMany(workers, 1000*backlog)
	r.submit(spec(jobID(1), 1))
	suspect, a := r.awaitStart(jobID(1), 0, agents...)
	a.crash(crashedAt(suspect, atStart))
	r.submit(spec(jobID(2), backlog))
	key := func(s *chervilv2.StartOrder) string { return fmt.Sprint(s.Task, s.Attempt) }
	confirmed := map[string]bool{key(suspect): true}
	eventually(t, "all started", func() bool {
		r.settle()
		for _, a := range agents {
			var starting []*chervilv2.StartOrder
			for _, s := range a.started() {
				if !confirmed[key(s)] {
					confirmed[key(s)] = true
					starting = append(starting, s)
				}
			}
			assert.Assert(t, len(starting) <= maxStartingOnAlert, "%d started at once", len(starting))
			r.confirm(a, 0, starting...)
		}
		r.clock.advance(2 * suspectAge)
		return len(confirmed) >= 2+backlog // the suspect was started twice
	})
}
