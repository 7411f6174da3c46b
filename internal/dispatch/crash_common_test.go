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

// A rack or data centre that fails makes no task a suspect, but a job whose tasks crash
// many workers at once is one.
func TestWorkersCrashingAtOnceMakeASuspectOfASharedJobOnly(t *testing.T) {
	const workers = 4
	for name, shared := range map[string]bool{"different jobs": false, "one job": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			agents := r.attachMany(workers, 2000)
			if shared {
				job := spec(jobID(1), workers)
				job.Steps[0].CpuMilli = 2000
				r.submit(job)
			}
			for i := range workers {
				if !shared {
					r.submit(jobWithCPU(jobID(i+1), 2000))
				}
			}
			eventually(t, "all run", func() bool { return startsOn(agents, 1) })
			for _, a := range agents {
				a.crash(crashedAt(a.started()[0], atStart))
			}
			r.engine.mu.Lock()
			defer r.engine.mu.Unlock()
			suspects := 0
			for _, en := range r.engine.jobs {
				for i := range en.job.Occurrences[0].Steps[0].Tasks {
					if en.job.Occurrences[0].Steps[0].Tasks[i].Suspect {
						suspects++
					}
				}
			}
			want := 0
			if shared {
				want = workers
			}
			assert.Equal(t, suspects, want)
		})
	}
}

func TestWorkersCrashingAtOnceCountAgainstNoOlderRun(t *testing.T) {
	const workers = 4
	for name, withYoung := range map[string]bool{"only older runs": false, "beside runs that had just started": true} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			agents := r.attachMany(workers, 3000)
			for i := range agents {
				r.submit(jobWithCPU(jobID(i), 2000))
			}
			eventually(t, "older runs started", func() bool { return startsOn(agents, 1) })
			if withYoung {
				for i := range agents {
					r.submit(jobWithCPU(jobID(workers+i), 1000))
				}
				eventually(t, "younger runs started", func() bool { return startsOn(agents, 2) })
			}
			for _, a := range agents {
				runs := []*chervilv2.CrashedRun{crashedAt(a.started()[0], long)}
				for _, s := range a.started()[1:] {
					runs = append(runs, crashedAt(s, atStart))
				}
				a.crash(runs...)
			}
			for i := range workers {
				task := r.task(jobID(i))
				assert.Assert(t, task.Crashes == 0 && task.Exposures == 0, "job %d: %+v", i, task)
			}
		})
	}
}

func TestTasksThatCrashTheirWorkersAtOnceAreGivenUp(t *testing.T) {
	const jobs, step = 4, 100 * time.Millisecond
	for name, c := range map[string]struct {
		age time.Duration
		// unconfirmed is the number of starts of each task that its worker does not confirm, maxStarts
		// that of all starts, at most.
		unconfirmed, maxStarts int
	}{
		"just after their start":             {atStart, 0, maxCrashStarts},
		"just after some unconfirmed starts": {atStart, 4, 6},
		"later":                              {suspectAge + 50*time.Millisecond, 0, maxCrashStarts},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			agents := r.attachMany(jobs, 2000)
			for i := range jobs {
				r.submit(jobWithCPU(jobID(i), 2000))
			}
			starts := make([]int, jobs)
			attempts := make([]uint32, jobs)
			eventually(t, "all given up", func() bool {
				crashes := map[*testAgent]*chervilv2.CrashedRun{}
				for i := range jobs {
					if start, a := startOf(jobID(i), attempts[i], agents...); start != nil {
						starts[i], attempts[i] = starts[i]+1, start.Attempt
						crashes[a] = crashedAt(start, c.age)
						crashes[a].Started = starts[i] > c.unconfirmed
					}
					assert.Assert(t, starts[i] <= c.maxStarts, "job %d started more than %d times", i, c.maxStarts)
				}
				for a, run := range crashes {
					a.crash(run)
				}
				for _, a := range agents {
					a.report(&chervilv2.AgentReport{Full: true})
				}
				if c.unconfirmed > 0 {
					r.settle()
					r.clock.advance(step)
				}
				return allFailed(r, jobs)
			})
		})
	}
}

// Each crash has a second cause, a younger one that is found first.
func TestTaskThatCrashesItsWorkersTogetherWithOthersIsGivenUp(t *testing.T) {
	const older, others = 0, 2 * maxCrashStarts
	r := newRig(t)
	a := r.attach("side-1", 2000)
	for i := range 1 + others {
		r.submit(spec(jobID(i), 1))
	}
	seen, starts := 0, 0
	for r.phase(jobID(older)) != jobFailed {
		r.settle()
		var ended []*chervilv2.CrashedRun
		for _, s := range a.started()[seen:] {
			age := atStart
			if s.Task == onlyTask(jobID(older)) {
				starts++
				age *= 2
			}
			ended = append(ended, crashedAt(s, age))
		}
		seen += len(ended)
		assert.Assert(t, starts <= maxCrashStarts, "started more than %d times", maxCrashStarts)
		if len(ended) > 0 {
			r.clock.advance(time.Second)
			a.crash(ended...)
		}
		a.report(&chervilv2.AgentReport{Full: true})
	}
}

func TestSuspectsUseTheIdleWorkersOfTheirService(t *testing.T) {
	const workers, suspects, cpuMilli = 10, 10, 32000
	for name, c := range map[string]struct{ busyMilli, want uint32 }{
		"idle service": {0, suspects},
		"busy service": {cpuMilli * 3 / 4, workers * maxIsolatedPercent / 100},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			first := r.attach("side-0", cpuMilli)
			r.submit(spec(jobID(1), suspects))
			eventually(t, "suspects started", func() bool { return len(first.started()) == suspects })
			for i := range workers - 1 {
				a := r.attach(fmt.Sprintf("side-%d", i+1), cpuMilli)
				if c.busyMilli > 0 {
					r.submit(jobWithCPU(jobID(2+i), c.busyMilli))
					busy, _ := r.awaitStart(jobID(2+i), 0, a)
					r.confirm(a, 2*suspectAge, busy)
				}
			}
			var runs []*chervilv2.CrashedRun
			for _, s := range first.started() {
				runs = append(runs, crashedAt(s, atStart))
			}
			first.crash(runs...)
			r.settle()
			assert.Equal(t, r.isolatedRuns(), int(c.want))
		})
	}
}

// isolatedRuns returns the number of isolated runs.
func (r *rig) isolatedRuns() int {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	count := 0
	for _, n := range r.engine.nodes {
		for _, tr := range n.runs {
			if tr.run.Isolated {
				count++
			}
		}
	}
	return count
}

// onlyTask returns the name of the task of a job with a single one.
func onlyTask(job string) string { return jobstate.TaskRef{Job: job}.String() }

// jobWithCPU returns a job of one task with the CPU.
func jobWithCPU(id string, cpuMilli uint32) *chervilv2.JobSpec {
	job := spec(id, 1)
	job.Steps[0].CpuMilli = cpuMilli
	return job
}

// allFailed reports whether the first jobs have failed.
func allFailed(r *rig, jobs int) bool {
	for i := range jobs {
		if r.phase(jobID(i)) != jobFailed {
			return false
		}
	}
	return true
}

// startsOn reports whether each agent was ordered to start the number of runs, at least.
func startsOn(agents []*testAgent, starts int) bool {
	return !slices.ContainsFunc(agents, func(a *testAgent) bool { return len(a.started()) < starts })
}
