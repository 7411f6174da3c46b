package dispatch

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/schedulestore"
	"chervilridge/platform"
)

const testRecordBytes = 4000

// newRigWithRecordLimit returns a rig whose store rejects records above testRecordBytes.
func newRigWithRecordLimit(t *testing.T) *rig {
	r := newRig(t)
	r.store.maxRecordBytes = testRecordBytes
	r.engine.settings.MaxRecordBytes = testRecordBytes
	return r
}

// completes submits another job, which must be completed by the same owner.
func (r *rig) completes(id string, a *testAgent, end int64) {
	r.t.Helper()
	r.submit(spec(id, 1))
	start, _ := r.awaitStart(id, 0, a)
	a.end(end, start, done)
	r.waitPhase(id, jobCompleted)
}

func TestJobWhoseSpecificationIsTooLargeStopsNoOwner(t *testing.T) {
	r := newRigWithRecordLimit(t)
	a := r.attach("side-1", 32000)
	large := spec(jobID(1), 1)
	large.Steps[0].Image = strings.Repeat("x", testRecordBytes)
	reply := r.engine.Submit(context.Background(), large)
	assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_REJECTED)
	r.completes(jobID(2), a, 1)
}

func TestJobWhoseCheckpointsAreTooLargeKeepsItsProgress(t *testing.T) {
	r := newRigWithRecordLimit(t)
	a := r.attach("side-1", 32000)
	r.submit(spec(jobID(1), 2))
	eventually(t, "runs started", func() bool { return len(a.started()) == 2 })
	first, second := a.started()[0], a.started()[1]
	a.report(&chervilv2.AgentReport{Full: true, Runs: []*chervilv2.Run{
		{Task: first.Task, Attempt: first.Attempt, Checkpoint: strings.Repeat("x", testRecordBytes)},
		{Task: second.Task, Attempt: second.Attempt},
	}})
	a.end(1, second, done)
	eventually(t, "progress stored", func() bool { return a.storedEnd() == 1 })
	a.end(2, first, done)
	r.waitPhase(jobID(1), jobCompleted)
	r.completes(jobID(2), a, 3)
}

func TestJobWhoseProgressIsTooLargeFailsAlone(t *testing.T) {
	const tasks = 500
	r := newRigWithRecordLimit(t)
	r.submit(spec(jobID(1), tasks))
	a := r.attach("side-1", 1_000_000)
	r.waitPhase(jobID(1), jobFailed)
	r.completes(jobID(2), a, 1)
}

func TestJobHasNoMoreRunsThanItsRecordHolds(t *testing.T) {
	r := newRig(t)
	a := r.attachWith("side-1", &chervilv2.Worker{
		Id: "worker-side-1", BornUnixMs: 1, Service: testService, Zone: "pnw-a", CpuMilli: 4_000_000, MemoryMb: 1_000_000, Listed: true,
	})
	r.submit(spec(jobID(1), jobstate.MaxRuns+1))
	eventually(t, "runs started", func() bool { return len(a.started()) >= jobstate.MaxRuns })
	time.Sleep(100 * time.Millisecond)
	assert.Equal(t, len(a.started()), jobstate.MaxRuns)
	a.end(1, a.started()[0], done)
	eventually(t, "last run started", func() bool { return len(a.started()) > jobstate.MaxRuns })
}

// startTasks starts a job with the number of tasks on the only worker.
func startTasks(t *testing.T, tasks uint32) (*rig, *testAgent) {
	r := newRig(t)
	a := r.attach("side-1", 1_000_000)
	r.submit(spec(jobID(1), tasks))
	eventually(t, "runs started", func() bool { return len(a.started()) == int(tasks) })
	return r, a
}

func TestEndOfAnUnstorableJobIsAcknowledgedOnceTheFailureIsStored(t *testing.T) {
	r, a := startTasks(t, 100)
	r.engine.mu.Lock()
	progress, err := schedulestore.ProgressRecord(jobID(1), r.engine.jobs[jobID(1)].job.Record())
	r.engine.settings.MaxRecordBytes = platform.RecordSize(progress) * 3 / 4 // the runs alone take less
	r.engine.mu.Unlock()
	assert.NilError(t, err)
	a.end(1, a.started()[0], done)
	eventually(t, "end acknowledged", func() bool { return a.storedEnd() == 1 })
	assert.Equal(t, r.phase(jobID(1)), jobFailed)
}

func TestJobThatIsTooLargeEvenAsFailedHoldsNoOthersBack(t *testing.T) {
	const tasks = 100
	r, a := startTasks(t, tasks)
	r.engine.mu.Lock()
	r.engine.settings.MaxRecordBytes = 2 * tasks
	r.engine.mu.Unlock()
	a.end(1, a.started()[0], done)
	r.completes(jobID(2), a, 2)
}
