package dispatch

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/plan"
)

// longRunningSpec is spec with long-running tasks.
func longRunningSpec(id string, tasks uint32, cpuMilli uint32) *chervilv2.JobSpec {
	s := spec(id, tasks)
	s.Steps[0].LongRunning, s.Steps[0].CpuMilli = true, cpuMilli
	return s
}

// obstaclesTo returns what keeps the first task of a job from workers that have room for it.
func (r *rig) obstaclesTo(job string) map[plan.Obstacle]int {
	r.settle()
	e := r.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	requests := e.requests()
	workers, quarantined := e.workers(r.view)
	for i := range requests {
		if requests[i].Key.Job != job {
			continue
		}
		if t, waits := e.longestWait(&requests[i]); waits {
			e.addObstacles(&t, r.view, workers, quarantined)
			return t.obstacles
		}
	}
	return nil
}

// Guards against a waiting task whose worker with room is not named in the log, or named for a wrong reason.
func TestObstaclesToAWaitingTaskAreNamed(t *testing.T) {
	const cpuMilli = 4000
	for name, c := range map[string]struct {
		obstruct func(r *rig, a *testAgent, n *node)
		want     map[plan.Obstacle]int
	}{
		"none has room": {func(r *rig, a *testAgent, _ *node) { a.worker.CpuMilli = cpuMilli / 2 }, map[plan.Obstacle]int{}},
		"quarantined": {func(r *rig, _ *testAgent, n *node) {
			quarantine(&n.health, r.clock.read())
		}, map[plan.Obstacle]int{obstacleQuarantine: 1}},
		"unresponsive": {func(_ *rig, a *testAgent, _ *node) {
			a.worker.SilentMs = 2 * workerUnresponsiveAfter.Milliseconds()
		}, map[plan.Obstacle]int{"worker is unresponsive": 1}},
		"out of service": {func(_ *rig, a *testAgent, _ *node) { a.worker.Draining = true }, map[plan.Obstacle]int{}},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			agents := r.attachMany(3, cpuMilli/2)
			a := r.attach("side-3", cpuMilli)
			for _, b := range append(agents, a) {
				r.grantLease(b)
			}
			r.engine.mu.Lock()
			c.obstruct(r, a, r.engine.nodes["side-3"])
			r.engine.mu.Unlock()
			r.grantLease(a)
			r.submit(longRunningSpec(jobID(1), 1, cpuMilli))
			assert.DeepEqual(t, r.obstaclesTo(jobID(1)), c.want)
			assert.Equal(t, len(a.started()), 0)
		})
	}
}

// Guards against a wait that begins again with each grant whose start is rejected.
func TestWaitLastsUntilAStartIsConfirmed(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 4000)
	r.grantLease(a)
	r.submit(longRunningSpec(jobID(1), 1, 1000))
	const rejected = 2
	for n := range rejected {
		eventually(t, "start ordered", func() bool { return len(a.started()) == n+1 })
		r.clock.advance(time.Second)
		start := a.started()[n]
		a.report(&chervilv2.AgentReport{Results: []*chervilv2.StartResult{{Task: start.Task, Attempt: start.Attempt, Answer: chervilv2.StartAnswer_START_ANSWER_NO_ROOM}}})
	}
	eventually(t, "start ordered", func() bool { return len(a.started()) == rejected+1 })
	r.engine.mu.Lock()
	waits := r.engine.unconfirmedTasks(r.clock.read().Add(loggedWait))
	r.engine.mu.Unlock()
	assert.Equal(t, len(waits), 1)
	assert.Equal(t, r.clock.read().Sub(waits[0].wait.since), rejected*time.Second)
	assert.Equal(t, waits[0].wait.notStarted, rejected)
	start := a.started()[rejected]
	a.report(&chervilv2.AgentReport{Results: []*chervilv2.StartResult{{Task: start.Task, Attempt: start.Attempt, Answer: chervilv2.StartAnswer_START_ANSWER_STARTED}}})
	eventually(t, "wait ended", func() bool {
		r.engine.mu.Lock()
		defer r.engine.mu.Unlock()
		return len(r.engine.jobs[jobID(1)].waits) == 0
	})
}
