package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
)

func mustOwned(t *testing.T, s *State, rec *pb.Record) {
	t.Helper()
	rec.Epoch = s.Epoch()
	if rej := s.Apply(rec); rej != nil {
		t.Fatal(rej)
	}
}

func withTasks(t *testing.T, tasks uint32) *State {
	t.Helper()
	s := New()
	mustOwned(t, s, &pb.Record{Body: &pb.Record_ShardClaim{ShardClaim: &pb.ShardClaim{Epoch: 1, Owner: "o"}}})
	for _, name := range []string{"w1", "w2"} {
		mustOwned(t, s, &pb.Record{Body: &pb.Record_WorkerRegistered{WorkerRegistered: &pb.WorkerRegistered{
			Worker: name, Capacity: &pb.Resources{CpuMilli: 32_000, MemoryMb: 1_000},
		}}})
	}
	mustOwned(t, s, &pb.Record{Body: &pb.Record_JobSubmitted{JobSubmitted: &pb.JobSubmitted{
		JobId: "j", Spec: &pb.JobSpec{Team: "t", JobClass: "c", Tasks: tasks, Resources: &pb.Resources{CpuMilli: 1_000}, MaxFailures: 5},
	}}})
	return s
}

func assign(t *testing.T, s *State, index, attempt uint32, worker string) {
	t.Helper()
	mustOwned(t, s, &pb.Record{Body: &pb.Record_TaskAssigned{TaskAssigned: &pb.TaskAssigned{
		JobId: "j", Index: index, Attempt: attempt, Worker: worker, Reserved: &pb.Resources{CpuMilli: 1_000},
	}}})
}

func fail(t *testing.T, s *State, index, attempt uint32, at int64) {
	t.Helper()
	mustOwned(t, s, &pb.Record{TimeMs: at, Body: &pb.Record_TaskReleased{TaskReleased: &pb.TaskReleased{
		JobId: "j", Index: index, Attempt: attempt, Reason: pb.ReleaseReason_RELEASE_REASON_FAILED,
	}}})
}

func finish(t *testing.T, s *State, index, attempt uint32, at int64) {
	t.Helper()
	mustOwned(t, s, &pb.Record{TimeMs: at, Body: &pb.Record_TaskFinished{TaskFinished: &pb.TaskFinished{
		JobId: "j", Index: index, Attempt: attempt, RanMs: 700, Used: &pb.Resources{CpuMilli: 300, MemoryMb: 5},
	}}})
}

// TestLearnedSurvivesSnapshot: what was learned is replayed and restored alike.
func TestLearnedSurvivesSnapshot(t *testing.T) {
	s := withTasks(t, 2)
	assign(t, s, 0, 1, "w1")
	fail(t, s, 0, 1, 10)
	assign(t, s, 1, 1, "w1")
	finish(t, s, 1, 1, 20)
	mustOwned(t, s, &pb.Record{Body: &pb.Record_InterferenceLearned{InterferenceLearned: &pb.InterferenceLearned{
		Service: "s", JobClass: "c", LoadBand: 2, SlowdownMilli: 1_500, Samples: 9,
	}}})
	data, err := s.Snapshot()
	assert.NilError(t, err)
	r := New()
	assert.NilError(t, r.Restore(data))
	for _, state := range []*State{s, r} {
		assert.Equal(t, state.Class("c").MeanMs, int64(700))
		assert.Equal(t, state.Class("c").Peak.CpuMilli, int64(300))
		assert.Equal(t, state.Interference()[0].SlowdownMilli, uint32(1_500))
		outcomes := state.Workers()["w1"].Outcomes
		assert.Equal(t, len(outcomes), 2)
		assert.Check(t, outcomes[0].Failed && !outcomes[1].Failed)
	}
	again, err := r.Snapshot()
	assert.NilError(t, err)
	assert.DeepEqual(t, again, data)
}

// TestInterferenceOutOfRange: a record without a service or class is void.
func TestInterferenceOutOfRange(t *testing.T) {
	s := withTasks(t, 1)
	for _, l := range []*pb.InterferenceLearned{{JobClass: "c"}, {Service: "s"}, {Service: "s", JobClass: "c", SlowdownMilli: 2_000_000}} {
		rej := s.Apply(&pb.Record{Epoch: 1, Body: &pb.Record_InterferenceLearned{InterferenceLearned: l}})
		assert.Check(t, rej != nil)
	}
	assert.Equal(t, len(s.Interference()), 0)
}

// TestProbation: a worker leaves quarantine on probation, which its first
// finished task ends; its older failures are forgotten.
func TestProbation(t *testing.T) {
	s := withTasks(t, 2)
	assign(t, s, 0, 1, "w1")
	fail(t, s, 0, 1, 1)
	quarantine := func(in bool, reason string) {
		mustOwned(t, s, &pb.Record{Body: &pb.Record_WorkerQuarantined{WorkerQuarantined: &pb.WorkerQuarantined{Worker: "w1", Quarantined: in, Reason: reason}}})
	}
	w := s.Workers()["w1"]
	quarantine(true, "fails")
	assert.Check(t, w.Quarantined && !w.Probation() && len(w.Outcomes) == 0)
	quarantine(false, "try")
	assert.Check(t, w.Probation())
	assign(t, s, 0, 2, "w1")
	finish(t, s, 0, 2, 2)
	assert.Check(t, !w.Probation())
}

// TestStoppedJobRunsNoMore: a running task of a stopped job does not wait again.
func TestStoppedJobRunsNoMore(t *testing.T) {
	s := withTasks(t, 1)
	assign(t, s, 0, 1, "w1")
	mustOwned(t, s, &pb.Record{Body: &pb.Record_JobRejected{JobRejected: &pb.JobRejected{JobId: "j", Reason: "bad"}}})
	fail(t, s, 0, 1, 1)
	_, task := s.Task(TaskRef{"j", 0})
	assert.Equal(t, task.State, pb.TaskState_TASK_STATE_FAILED)
	assert.Equal(t, len(s.Pending()), 0)
}

// TestHistories collects what judging blame needs.
func TestHistories(t *testing.T) {
	s := withTasks(t, 3)
	assign(t, s, 0, 1, "w1")
	fail(t, s, 0, 1, 1)
	assign(t, s, 0, 2, "w2")
	fail(t, s, 0, 2, 2)
	assign(t, s, 1, 1, "w2")
	finish(t, s, 1, 1, 3)
	workers, jobs := s.Histories()
	assert.Equal(t, len(workers), 2)
	assert.Equal(t, len(jobs), 1)
	assert.DeepEqual(t, jobs[0].FailedOn, []string{"w1", "w2"})
	assert.Equal(t, jobs[0].Finished, 1)
}

// TestEchoTeachesNothing: a platform that reports what was reserved has measured
// nothing; taking it for a size would let reservations grow without end.
func TestEchoTeachesNothing(t *testing.T) {
	s := withTasks(t, 1)
	assign(t, s, 0, 1, "w1")
	mustOwned(t, s, &pb.Record{Body: &pb.Record_TaskFinished{TaskFinished: &pb.TaskFinished{
		JobId: "j", Index: 0, Attempt: 1, RanMs: 700, Used: &pb.Resources{CpuMilli: 1_000},
	}}})
	assert.Equal(t, s.Class("c").MeanMs, int64(700))
	assert.Check(t, s.Class("c").Peak == nil)
}
