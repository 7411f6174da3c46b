package dispatch

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/schedulestore"
)

const otherService = "yard"

// ownQueue returns the queue of the rig's jobs.
func ownQueue() operatorconfig.Queue { return testView(operatorconfig.Queue{}).Config.Queues[0] }

// otherQueue returns a queue with another name and otherwise the same settings.
func otherQueue() operatorconfig.Queue {
	q := ownQueue()
	q.Name = "invoices"
	return q
}

// configure replaces the queues by a new version of the configuration.
func (r *rig) configure(version int64, queues ...operatorconfig.Queue) {
	r.engine.mu.Lock()
	defer r.engine.mu.Unlock()
	next := *r.view
	next.Config = operatorconfig.NewConfig(version, queues, r.view.Config.Services, r.view.Config.Limits)
	r.view = &next
}

// takeOver ends the owner and starts the next one, which loads the stored state.
func (r *rig) takeOver(epoch uint64) {
	r.t.Helper()
	r.settle()
	r.engine.Abandon()
	<-r.engine.Done()
	r.start(epoch)
}

// submitTwoSteps submits a job of two steps and returns the start of the first.
func (r *rig) submitTwoSteps(a *testAgent) *chervilv2.StartOrder {
	r.t.Helper()
	job := spec(jobID(1), 1)
	job.Steps = append(job.Steps, &chervilv2.Step{Tasks: 1, CpuMilli: 1000, MemoryMb: 100, After: []uint32{0}})
	r.submit(job)
	first, _ := r.awaitStart(jobID(1), 0, a)
	return first
}

// awaitSecondStep ends the first step and returns the start of the second.
func (r *rig) awaitSecondStep(a *testAgent, first *chervilv2.StartOrder) *chervilv2.StartOrder {
	r.t.Helper()
	a.end(1, first, done)
	return r.awaitTask(a, jobID(1)+".0.1.0")
}

func (r *rig) awaitTask(a *testAgent, task string) (start *chervilv2.StartOrder) {
	r.t.Helper()
	eventually(r.t, "start of "+task, func() bool {
		for _, s := range a.started() {
			if s.Task == task {
				start = s
			}
		}
		return start != nil
	})
	return start
}

// Guards against an accepted job that stands still once a configuration removes or renames its route.
func TestJobOfARemovedRouteIsFinished(t *testing.T) {
	for name, queues := range map[string][]operatorconfig.Queue{"removed": nil, "replaced by another name": {otherQueue()}} {
		t.Run(name, func(t *testing.T) {
			r := newRig(t)
			a := r.attach("side-1", 32000)
			first := r.submitTwoSteps(a)
			r.configure(2, queues...)
			a.end(2, r.awaitSecondStep(a, first), done)
			r.waitPhase(jobID(1), jobCompleted)
		})
	}
}

// Guards against a job of a removed route that a new owner does not know how to run.
func TestJobOfARemovedRouteIsFinishedByANewOwner(t *testing.T) {
	r := newRig(t)
	r.submit(spec(jobID(1), 1))
	r.configure(2, otherQueue())
	r.takeOver(2)
	a := r.attach("side-1", 32000)
	start, _ := r.awaitStart(jobID(1), 0, a)
	a.end(1, start, done)
	r.waitPhase(jobID(1), jobCompleted)
}

// Guards against a failing task that starts again without limit once its route is removed.
func TestJobOfARemovedRouteKeepsItsLimitOfAttempts(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	start, _ := r.awaitStart(jobID(1), 0, a)
	r.configure(2)
	a.end(1, start, failed)
	start, _ = r.awaitStart(jobID(1), start.Attempt, a)
	a.end(2, start, failed)
	r.waitPhase(jobID(1), jobFailed)
}

// Guards against a job that stands still because an older release has stored no settings with it.
func TestJobStoredByAnOlderOwnerIsFinishedOnceItsRouteIsRemoved(t *testing.T) {
	r := newRig(t)
	r.storeOldJob(jobID(1))
	r.takeOver(2)
	r.settle()
	r.configure(2)
	r.takeOver(3)
	a := r.attach("side-1", 32000)
	start, _ := r.awaitStart(jobID(1), 0, a)
	a.end(1, start, done)
	r.waitPhase(jobID(1), jobCompleted)
}

// storeOldJob stores a job in the form that has no settings of its queue.
func (r *rig) storeOldJob(id string) {
	r.t.Helper()
	record, err := schedulestore.SpecRecord(spec(id, 1))
	assert.NilError(r.t, err)
	r.store.mu.Lock()
	defer r.store.mu.Unlock()
	r.store.records[record.Key] = record.Value
}

// Guards against a job that runs on the service that its route used before it was removed.
func TestJobOfARouteThatComesBackFollowsItsNewSettings(t *testing.T) {
	r := newRig(t)
	r.submit(spec(jobID(1), 1))
	r.settle()
	r.configure(2)
	r.settle()
	back := ownQueue()
	back.Service, back.MaxAttempts = otherService, 1
	r.configure(3, back)
	old := r.attach("side-1", 32000)
	a := r.attachOther("side-2")
	start, _ := r.awaitStart(jobID(1), 0, a)
	assert.Equal(t, len(old.started()), 0)
	r.configure(4)
	r.takeOver(2) // the settings last known are the stored ones
	b := r.attachIncarnation("side-2", "2", a.worker)
	b.report(&chervilv2.AgentReport{Full: true, Runs: []*chervilv2.Run{{Task: start.Task, Attempt: start.Attempt}}})
	b.end(1, start, failed)
	r.waitPhase(jobID(1), jobFailed)
}

// Guards against a stored job without settings that is lost while no configuration names its queue.
func TestOldJobOfAnUnknownRouteIsNotForgotten(t *testing.T) {
	r := newRig(t)
	r.configure(2)
	r.storeOldJob(jobID(1))
	r.takeOver(2)
	a := r.attach("side-1", 32000)
	r.settle()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	reply := r.engine.Lookup(ctx, jobID(1))
	assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_OK)
	assert.Equal(t, len(a.started()), 0)
	r.configure(3, ownQueue())
	start, _ := r.awaitStart(jobID(1), 0, a)
	a.end(1, start, done)
	r.waitPhase(jobID(1), jobCompleted)
}
