package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
)

// Guards against a task that is started beside an isolated one which only seems to have outlived its start: the time
// since the owner learned of the start has passed, but the worker has not been seen since, and has crashed.
func TestIsolatedTaskStaysAloneUntilItIsSeenToOutliveItsStart(t *testing.T) {
	r := newRig(t)
	deadly := jobstate.TaskRef{Job: jobID(1)}
	r.submit(longRunningSpec(jobID(1), 1, 1000))
	r.submit(longRunningSpec(jobID(2), 1, 1000))
	r.engine.mu.Lock()
	_, task := r.engine.jobs[jobID(1)].job.Task(deadly)
	task.Crashes, task.Suspect = 1, true
	_, task = r.engine.jobs[jobID(2)].job.Task(jobstate.TaskRef{Job: jobID(2)})
	task.Exposures = 2
	r.engine.mu.Unlock()
	r.settle()
	r.clock.advance(6 * time.Second)
	a := r.attach("side-1", 2000)
	r.grantLease(a)
	phase := func(id string) chervilv2.JobPhase {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.jobs[id].job.Phase
	}
	seen, crashes := 0, 0
	running := map[string]*chervilv2.StartOrder{}
	age := map[string]time.Duration{}
	for step := 0; step < 100 && phase(jobID(1)) != chervilv2.JobPhase_JOB_PHASE_FAILED && phase(jobID(2)) != chervilv2.JobPhase_JOB_PHASE_FAILED; step++ {
		r.settle()
		time.Sleep(10 * time.Millisecond)
		var started *chervilv2.StartOrder
		for _, s := range a.started()[seen:] {
			seen++
			running[s.Task], age[s.Task] = s, 0
			if s.Task == deadly.String() {
				started = s
			}
		}
		var runs []*chervilv2.Run
		for _, s := range running {
			runs = append(runs, &chervilv2.Run{Task: s.Task, Attempt: s.Attempt})
		}
		a.report(&chervilv2.AgentReport{Full: true, Runs: runs})
		r.settle()
		if started == nil {
			r.clock.advance(200 * time.Millisecond)
			for task := range age {
				age[task] += 200 * time.Millisecond
			}
			r.grantLeaseListing(a, runs)
			continue
		}
		crashes++
		r.clock.advance(suspectAge + 20*time.Millisecond) // crashed after atStart; the agent does not know yet
		r.settle()
		time.Sleep(10 * time.Millisecond)
		var crashed []*chervilv2.CrashedRun
		for _, s := range running {
			crashed = append(crashed, crashedAt(s, age[s.Task]+atStart))
		}
		for _, s := range a.started()[seen:] {
			seen++
			t.Logf("crash %d: %s ordered beside the isolated task", crashes, s.Task)
			crashed = append(crashed, &chervilv2.CrashedRun{Task: s.Task, Attempt: s.Attempt})
		}
		running, age = map[string]*chervilv2.StartOrder{}, map[string]time.Duration{}
		a.crash(crashed...)
		r.grantLeaseListing(a, nil)
		for _, id := range []string{jobID(1), jobID(2)} {
			r.engine.mu.Lock()
			j := r.engine.jobs[id].job
			_, task := j.Task(jobstate.TaskRef{Job: id})
			t.Logf("crash %d: job %s: %v, crashes %d, unconfirmed %d, exposures %d, suspect %v", crashes, id, j.Phase, task.Crashes, task.UnconfirmedCrashes, task.Exposures, task.Suspect)
			r.engine.mu.Unlock()
		}
	}
	assert.Assert(t, phase(jobID(2)) != chervilv2.JobPhase_JOB_PHASE_FAILED, "the innocent job")
	assert.Equal(t, phase(jobID(1)), chervilv2.JobPhase_JOB_PHASE_FAILED)
	assert.Equal(t, crashes, 1, "crashes until the task was given up")
}

// grantLeaseListing is grantLease for an agent that lists runs.
func (r *rig) grantLeaseListing(a *testAgent, runs []*chervilv2.Run) {
	r.t.Helper()
	eventually(r.t, "lease granted", func() bool {
		a.report(&chervilv2.AgentReport{Full: true, Runs: runs})
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return r.engine.nodes[a.node].leaseUntil == r.clock.read().Add(r.engine.settings.Bounds.MaxLease)
	})
}

// Guards against a task that is given up for a crash of an isolated task beside which it was started: that one needs
// isolation up to soundAge, since it crashes its workers later than suspectAge.
func TestIsolatedTaskIsNotBlamedForAnOlderIsolatedOne(t *testing.T) {
	r := newRig(t)
	innocent := longRunningSpec(jobID(2), 1, 1000)
	innocent.Steps[0].RequiredLabel = "x"
	r.submit(innocent)
	a := r.attach("side-1", 2000)
	r.grantLease(a)
	r.settle()
	r.clock.advance(6 * time.Second)
	r.grantLease(a)
	r.engine.mu.Lock()
	_, task := r.engine.jobs[jobID(2)].job.Task(jobstate.TaskRef{Job: jobID(2)})
	task.Crashes, task.Suspect = 1, true
	r.engine.mu.Unlock()
	deadlySpec := longRunningSpec(jobID(1), 1, 1000)
	deadlySpec.Steps[0].RequiredLabel = "y" // not placed before its state is set
	r.submit(deadlySpec)
	r.engine.mu.Lock()
	_, task = r.engine.jobs[jobID(1)].job.Task(jobstate.TaskRef{Job: jobID(1)})
	task.Exposures = 3
	r.engine.mu.Unlock()
	label := func(labels ...string) {
		w := &chervilv2.Worker{}
		*w = chervilv2.Worker{Id: a.worker.Id, BornUnixMs: a.worker.BornUnixMs, Service: a.worker.Service, Zone: a.worker.Zone, CpuMilli: a.worker.CpuMilli, MemoryMb: a.worker.MemoryMb, Listed: true, Labels: labels}
		a.worker = w
	}
	label("y")
	r.grantLease(a)
	eventually(t, "deadly task ordered", func() bool { r.settle(); return len(a.started()) == 1 })
	deadly := a.started()[0]
	runs := []*chervilv2.Run{{Task: deadly.Task, Attempt: deadly.Attempt}}
	label("x", "y")
	const crashAge = 400 * time.Millisecond // of the first task
	var other *chervilv2.StartOrder
	var otherAge time.Duration
	for at := time.Duration(0); at < crashAge; at += 100 * time.Millisecond {
		r.grantLeaseListing(a, runs)
		r.settle()
		time.Sleep(5 * time.Millisecond)
		if orders := a.started(); other == nil && len(orders) == 2 {
			other = orders[1]
			t.Logf("second isolated task started beside the first at its age %v", at)
			runs = append(runs, &chervilv2.Run{Task: other.Task, Attempt: other.Attempt})
			r.grantLeaseListing(a, runs)
		}
		r.clock.advance(100 * time.Millisecond)
		if other != nil {
			otherAge += 100 * time.Millisecond
		}
	}
	crashed := []*chervilv2.CrashedRun{crashedAt(deadly, crashAge)}
	if other != nil {
		crashed = append(crashed, crashedAt(other, otherAge))
	}
	a.crash(crashed...)
	r.settle()
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	assert.Assert(t, r.engine.jobs[jobID(2)].job.Phase != chervilv2.JobPhase_JOB_PHASE_FAILED, "the innocent job")
}

// Guards against tasks that wait since their service is full and are all tried on a worker that fails what it starts.
func TestFullServiceStillQuarantinesAFailingWorker(t *testing.T) {
	l := newLongRunningLoad(t)
	w := l.addWorkers(1, residentsPerWorker*residentMilli)[0]
	tasks := l.addResidents(residentsPerWorker)
	l.fillWorkers()
	waiting := l.newJob(testQueue, 40, residentMilli)
	waiting.Steps[0].LongRunning = true
	l.submit(waiting)
	l.idleFor(10 * time.Second)
	w.failing = true
	before := w.ends
	l.fail(tasks[0])
	const failingFor, maxFailures = 12 * time.Second, 16
	l.playFor(failingFor)
	assert.Assert(t, w.ends-before <= maxFailures, "%d runs failed on the worker in %v", w.ends-before, failingFor)
}

// Guards against a part of a gang that is placed, since its tasks have not waited equally long.
func TestOverdueGangIsPlacedAsAWhole(t *testing.T) {
	const tasks = 2
	r := newRig(t)
	a := r.attach("side-1", 4000)
	r.grantLease(a)
	job := longRunningSpec(jobID(1), tasks, 1000)
	job.Steps[0].Gang = true
	r.engine.mu.Lock()
	r.engine.nodes["side-1"].health.quarantinedUntil = r.clock.read().Add(time.Hour)
	r.engine.mu.Unlock()
	for _, b := range []string{"side-2", "side-3"} {
		r.grantLease(r.attach(b, 500))
	}
	r.submit(job)
	r.settle()
	r.engine.mu.Lock()
	now, waits := r.clock.read(), r.engine.jobs[jobID(1)].waits
	*waits[jobstate.TaskRef{Job: jobID(1)}] = taskWait{since: now.Add(-2 * overdueAfter), roomSince: now.Add(-overdueAfter)}
	*waits[jobstate.TaskRef{Job: jobID(1), Index: 1}] = taskWait{since: now.Add(-overdueAfter)}
	r.engine.mu.Unlock()
	placed := map[int]bool{}
	r.awaitIn(overdueAfter+2*overdueRoomTime, func() { r.grantLease(a); placed[len(a.started())] = true }, func() bool { return len(a.started()) == tasks })
	assert.Equal(t, len(a.started()), tasks)
	assert.Assert(t, !placed[1], "a part of the gang was started")
}
