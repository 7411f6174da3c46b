package dispatch

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/schedulestore"
	"chervilridge/platform"
)

// attachOther connects an agent whose worker belongs to otherService.
func (r *rig) attachOther(node string) *testAgent {
	return r.attachWith(node, &chervilv2.Worker{
		Id: "worker-" + node, BornUnixMs: 1, Service: otherService, Zone: "pnw-a", CpuMilli: 32000, MemoryMb: 64000, Listed: true,
	})
}

// Guards against an accepted job whose owner has the newer configuration already.
func TestJobThatAnEntryAcceptedBeforeTheRouteWasRemovedIsFinished(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	queue := ownQueue()
	r.configure(2)
	bound := spec(jobID(1), 1)
	bound.QueueSettings = queue.Settings()
	r.submit(bound)
	start, _ := r.awaitStart(jobID(1), 0, a)
	a.end(1, start, done)
	r.waitPhase(jobID(1), jobCompleted)
}

// Guards against an accepted job whose service is unknown.
func TestJobOfAnUnknownRouteIsNotAccepted(t *testing.T) {
	r := newRig(t)
	r.configure(2)
	reply := r.engine.Submit(context.Background(), spec(jobID(1), 1))
	assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_REJECTED)
	assert.Assert(t, reply.RetryAfterMs > 0)
}

// Guards against settings that a lagging owner replaces by older ones.
func TestOwnerWithAnOldConfigurationKeepsNewerSettings(t *testing.T) {
	r := newRig(t)
	a, b := r.attach("side-1", 32000), r.attachOther("side-2")
	queue := ownQueue()
	queue.ConfigVersion, queue.Service = 3, otherService
	bound := spec(jobID(1), 1)
	bound.QueueSettings = queue.Settings()
	r.submit(bound)
	r.configure(2, ownQueue())
	r.awaitStart(jobID(1), 0, b)
	assert.Equal(t, len(a.started()), 0)
}

// Guards against a start beyond the limit of attempts once the limit is known again.
func TestJobThatFailedTooOftenUnderAnUnknownLimitDoesNotStartAgain(t *testing.T) {
	r := newRig(t)
	r.configure(2)
	r.storeOldJob(jobID(1))
	record, err := schedulestore.ProgressRecord(jobID(1), &chervilv2.JobProgress{
		Phase: chervilv2.JobPhase_JOB_PHASE_RUNNING, Started: true,
		Steps: []*chervilv2.StepRecord{{Tasks: []*chervilv2.TaskRecord{{Attempt: 2, Failures: 2}}}},
	})
	assert.NilError(t, err)
	r.store.mu.Lock()
	r.store.records[record.Key] = record.Value
	r.store.mu.Unlock()
	r.takeOver(2)
	a := r.attach("side-1", 32000)
	r.settle()
	r.configure(3, ownQueue())
	r.waitPhase(jobID(1), jobFailed)
	assert.Equal(t, len(a.started()), 0)
}

// Guards against an accepted job that fails because its new settings exceed a record.
func TestChangedSettingsTooLargeForTheRecordFailNoJob(t *testing.T) {
	r := newRig(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 1))
	start, _ := r.awaitStart(jobID(1), 0, a)
	r.engine.mu.Lock()
	record, err := schedulestore.SpecRecord(r.engine.jobs[jobID(1)].job.Spec)
	r.engine.settings.MaxRecordBytes = platform.RecordSize(record)
	r.engine.mu.Unlock()
	assert.NilError(t, err)
	queue := ownQueue()
	queue.MaxAttempts = 1 << 40
	r.configure(2, queue)
	r.settle()
	assert.Equal(t, r.phase(jobID(1)), chervilv2.JobPhase_JOB_PHASE_RUNNING)
	a.end(1, start, done)
	r.waitPhase(jobID(1), jobCompleted)
}
