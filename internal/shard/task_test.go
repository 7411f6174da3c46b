package shard

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
)

// newCase returns a state of epoch 1 with workers a, b, c and a job of one task.
func newCase(t *testing.T) *State {
	t.Helper()
	s := New()
	mustApply(t, s, &pb.Record{Body: &pb.Record_ShardClaim{ShardClaim: &pb.ShardClaim{Epoch: 1, Owner: "o", Address: "x"}}})
	for _, name := range []string{"a", "b", "c"} {
		mustApply(t, s, &pb.Record{Epoch: 1, Body: &pb.Record_WorkerRegistered{WorkerRegistered: &pb.WorkerRegistered{
			Worker: name, Capacity: &pb.Resources{CpuMilli: 2},
		}}})
	}
	mustApply(t, s, &pb.Record{Body: &pb.Record_JobSubmitted{JobSubmitted: &pb.JobSubmitted{JobId: "j", Spec: &pb.JobSpec{
		Team: "t", JobClass: "c", Tasks: 1, MaxFailures: 2, Resources: &pb.Resources{CpuMilli: 1},
	}}}})
	return s
}

func mustApply(t *testing.T, s *State, rec *pb.Record) {
	t.Helper()
	if rej := s.Apply(rec); rej != nil {
		t.Fatal(rej)
	}
}

func assignTo(t *testing.T, s *State, worker string, attempt uint32) {
	t.Helper()
	mustApply(t, s, &pb.Record{Epoch: 1, Body: &pb.Record_TaskAssigned{TaskAssigned: &pb.TaskAssigned{
		JobId: "j", Attempt: attempt, Worker: worker, Reserved: &pb.Resources{CpuMilli: 1},
	}}})
}

func releaseAs(t *testing.T, s *State, attempt uint32, reason pb.ReleaseReason) {
	t.Helper()
	mustApply(t, s, &pb.Record{Epoch: 1, Body: &pb.Record_TaskReleased{TaskReleased: &pb.TaskReleased{
		JobId: "j", Attempt: attempt, Reason: reason, Detail: "d",
	}}})
}

func TestFailuresThatStopATask(t *testing.T) {
	cases := []struct {
		workers string
		want    pb.TaskState
	}{
		{"a", pb.TaskState_TASK_STATE_PENDING},
		{"ab", pb.TaskState_TASK_STATE_FAILED},
		{"aa", pb.TaskState_TASK_STATE_PENDING},
		{"aaa", pb.TaskState_TASK_STATE_PENDING},
		{"aaab", pb.TaskState_TASK_STATE_FAILED},
		{"aaaa", pb.TaskState_TASK_STATE_FAILED},
	}
	for _, c := range cases {
		t.Run(c.workers, func(t *testing.T) {
			s := newCase(t)
			for i, worker := range c.workers {
				assignTo(t, s, string(worker), uint32(i+1))
				releaseAs(t, s, uint32(i+1), pb.ReleaseReason_RELEASE_REASON_FAILED)
			}
			_, task := s.Task(TaskRef{"j", 0})
			assert.Equal(t, task.State, c.want)
		})
	}
}

func TestSmallerWorkerIsTakenAndGetsNothingNew(t *testing.T) {
	s := newCase(t)
	assignTo(t, s, "a", 1)
	mustApply(t, s, &pb.Record{Epoch: 1, Body: &pb.Record_WorkerRegistered{WorkerRegistered: &pb.WorkerRegistered{
		Worker: "a", Capacity: &pb.Resources{CpuMilli: 1},
	}}})
	assert.Equal(t, s.Workers()["a"].Free().CpuMilli, int64(0))
	rej := s.Apply(&pb.Record{Epoch: 1, Body: &pb.Record_TaskAssigned{TaskAssigned: &pb.TaskAssigned{
		JobId: "j", Attempt: 2, Worker: "a", Reserved: &pb.Resources{CpuMilli: 1},
	}}})
	assert.Check(t, rej != nil)
}

func TestRejectedJobDoesNotWaitAgain(t *testing.T) {
	s := newCase(t)
	assignTo(t, s, "a", 1)
	mustApply(t, s, &pb.Record{Epoch: 1, Body: &pb.Record_JobRejected{JobRejected: &pb.JobRejected{JobId: "j", Reason: "fits nowhere"}}})
	releaseAs(t, s, 1, pb.ReleaseReason_RELEASE_REASON_LOST)
	_, task := s.Task(TaskRef{"j", 0})
	assert.Equal(t, task.State, pb.TaskState_TASK_STATE_FAILED)
	assert.Equal(t, task.Reason, "fits nowhere")
}

// TestWholeLifeIsTold reads the history as an operator does.
func TestWholeLifeIsTold(t *testing.T) {
	s := newCase(t)
	mustApply(t, s, &pb.Record{Epoch: 1, Body: &pb.Record_TaskAssigned{TaskAssigned: &pb.TaskAssigned{
		JobId: "j", Attempt: 1, Worker: "a", Reserved: &pb.Resources{CpuMilli: 1}, Detail: "most room of 3",
	}}})
	mustApply(t, s, &pb.Record{Body: &pb.Record_JobsCancelled{JobsCancelled: &pb.JobsCancelled{JobIds: []string{"j"}}}})
	mustApply(t, s, &pb.Record{Epoch: 1, Body: &pb.Record_TaskReleased{TaskReleased: &pb.TaskReleased{
		JobId: "j", Attempt: 1, Reason: pb.ReleaseReason_RELEASE_REASON_CANCELLED, Detail: "job cancelled", Checkpoint: []byte("12345"),
	}}})
	_, task := s.Task(TaskRef{"j", 0})
	var got []string
	for _, e := range task.History {
		got = append(got, fmt.Sprintf("%s|%d|%s|%d|%s", e.What, e.Attempt, e.Worker, e.Epoch, e.Detail))
	}
	assert.DeepEqual(t, got, []string{
		"submitted|0||0|by team t as job class c",
		"assigned|1|a|1|most room of 3",
		"cancel requested|1|a|0|",
		"released: cancelled|1|a|1|job cancelled, checkpoint of 5 bytes",
		"ended: cancelled|1|a|1|job cancelled",
	})
}

// TestWaveOfCancellationsIsOneRecord cancels a thousand jobs at once.
func TestWaveOfCancellationsIsOneRecord(t *testing.T) {
	const jobs = 1000
	s := newCase(t)
	wave := &pb.JobsCancelled{JobIds: []string{"j"}}
	for i := range jobs {
		id := fmt.Sprint("wave", i)
		mustApply(t, s, &pb.Record{Body: &pb.Record_JobSubmitted{JobSubmitted: &pb.JobSubmitted{JobId: id, Spec: &pb.JobSpec{
			Team: "t", JobClass: "c", Tasks: 1, Resources: &pb.Resources{CpuMilli: 1},
		}}}})
		wave.JobIds = append(wave.JobIds, id)
	}
	assignTo(t, s, "a", 1)
	mustApply(t, s, &pb.Record{Body: &pb.Record_JobsCancelled{JobsCancelled: wave}})
	assert.Equal(t, len(s.Pending()), 0)
	_, running := s.Task(TaskRef{"j", 0})
	assert.Equal(t, running.State, pb.TaskState_TASK_STATE_ASSIGNED, "ends when its worker has stopped it")
	releaseAs(t, s, 1, pb.ReleaseReason_RELEASE_REASON_CANCELLED)
	assert.Equal(t, running.State, pb.TaskState_TASK_STATE_CANCELLED)
}

func TestResultTooLargeIsRejected(t *testing.T) {
	s := newCase(t)
	assignTo(t, s, "a", 1)
	rej := s.Apply(&pb.Record{Epoch: 1, Body: &pb.Record_TaskFinished{TaskFinished: &pb.TaskFinished{
		JobId: "j", Attempt: 1, Result: make([]byte, MaxResultBytes+1),
	}}})
	assert.Check(t, rej != nil)
}
