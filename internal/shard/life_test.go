package shard

import (
	"bytes"
	"fmt"
	"os"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fixedseed"
)

func TestMain(m *testing.M) {
	os.Exit(fixedseed.Run(m, fixedseed.Options{Seed: 5401, Checks: 2000, Steps: 60}))
}

// oracle is the life of tasks in the plainest form: who may do what when.
type oracle struct {
	epoch     uint64
	jobs      map[string]bool // value: cancelled
	rejected  map[string]bool
	tasks     map[TaskRef]*oracleTask
	workers   map[string]int64 // processors
	results   map[TaskRef]int
	maxFailed int
}

type oracleTask struct {
	attempt    uint32
	worker     string // of the granted attempt; empty if none
	cpu        int64
	ended      bool
	checkpoint string
	failedOn   map[string]int
}

const tasksPerJob = 2

func newOracle() *oracle {
	return &oracle{
		jobs: map[string]bool{}, rejected: map[string]bool{}, tasks: map[TaskRef]*oracleTask{},
		workers: map[string]int64{}, results: map[TaskRef]int{}, maxFailed: 2,
	}
}

func (o *oracle) used(worker string) int64 {
	sum := int64(0)
	for _, t := range o.tasks {
		if t.worker == worker {
			sum += t.cpu
		}
	}
	return sum
}

// apply returns whether the record must be accepted, and takes it if so.
func (o *oracle) apply(rec *pb.Record) bool {
	switch b := rec.Body.(type) {
	case *pb.Record_ShardClaim:
		ok := b.ShardClaim.Epoch == o.epoch+1
		if ok {
			o.epoch++
		}
		return ok
	case *pb.Record_JobSubmitted:
		return o.submit(b.JobSubmitted.JobId)
	case *pb.Record_JobsCancelled:
		return o.endJob(b.JobsCancelled.JobIds[0], o.jobs)
	}
	return rec.Epoch == o.epoch && o.owned(rec)
}

func (o *oracle) submit(id string) bool {
	if _, known := o.jobs[id]; known {
		return false
	}
	o.jobs[id] = false
	for i := range uint32(tasksPerJob) {
		o.tasks[TaskRef{id, i}] = &oracleTask{failedOn: map[string]int{}}
	}
	return true
}

func (o *oracle) endJob(id string, mark map[string]bool) bool {
	if _, known := o.jobs[id]; !known {
		return false
	}
	mark[id] = true
	for ref, t := range o.tasks {
		t.ended = t.ended || (ref.JobID == id && t.worker == "")
	}
	return true
}

func (o *oracle) owned(rec *pb.Record) bool {
	switch b := rec.Body.(type) {
	case *pb.Record_WorkerRegistered:
		o.workers[b.WorkerRegistered.Worker] = b.WorkerRegistered.Capacity.CpuMilli
		return true
	case *pb.Record_JobRejected:
		return o.endJob(b.JobRejected.JobId, o.rejected)
	case *pb.Record_TaskAssigned:
		a := b.TaskAssigned
		t := o.tasks[TaskRef{a.JobId, a.Index}]
		size, known := o.workers[a.Worker]
		if t == nil || !known || t.ended || t.worker != "" || a.Attempt != t.attempt+1 || o.used(a.Worker)+a.Reserved.CpuMilli > size {
			return false
		}
		t.attempt, t.worker, t.cpu = a.Attempt, a.Worker, a.Reserved.CpuMilli
		return true
	case *pb.Record_TaskFinished:
		f := b.TaskFinished
		t := o.granted(f.JobId, f.Index, f.Attempt)
		if t == nil {
			return false
		}
		o.results[TaskRef{f.JobId, f.Index}]++
		t.worker, t.ended, t.checkpoint = "", true, ""
		return true
	case *pb.Record_TaskReleased:
		r := b.TaskReleased
		t := o.granted(r.JobId, r.Index, r.Attempt)
		if t == nil {
			return false
		}
		o.release(r, t)
		return true
	}
	return false
}

func (o *oracle) release(r *pb.TaskReleased, t *oracleTask) {
	if len(r.Checkpoint) > 0 {
		t.checkpoint = string(r.Checkpoint)
	}
	if r.Reason == pb.ReleaseReason_RELEASE_REASON_FAILED {
		t.failedOn[t.worker]++
	}
	failed := 0
	for _, n := range t.failedOn {
		failed += n
	}
	t.worker = ""
	t.ended = o.jobs[r.JobId] || o.rejected[r.JobId] || len(t.failedOn) >= o.maxFailed || failed >= 2*o.maxFailed
}

func (o *oracle) granted(job string, index, attempt uint32) *oracleTask {
	t := o.tasks[TaskRef{job, index}]
	if t == nil || t.worker == "" || t.attempt != attempt {
		return nil
	}
	return t
}

// draws makes records near the present state, right and wrong ones.
type draws struct {
	t     *rapid.T
	state *State
}

func (d draws) epoch() uint64 {
	return d.state.Epoch() + uint64(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 0, 1}).Draw(d.t, "ahead")) -
		min(d.state.Epoch(), uint64(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1}).Draw(d.t, "behind")))
}

func (d draws) job() string { return rapid.SampledFrom([]string{"j1", "j2", "j3"}).Draw(d.t, "job") }
func (d draws) worker() string {
	return rapid.SampledFrom([]string{"w1", "w2", "w3"}).Draw(d.t, "worker")
}

// task draws a task, mostly one in the wanted state, with its last attempt.
func (d draws) task(wanted pb.TaskState) (job string, index, last uint32) {
	var refs []TaskRef
	for _, id := range d.state.Jobs() {
		for _, task := range d.state.Job(id).Tasks {
			if task.State == wanted {
				refs = append(refs, TaskRef{id, task.Index})
			}
		}
	}
	ref := TaskRef{d.job(), rapid.Uint32Range(0, tasksPerJob).Draw(d.t, "index")}
	if len(refs) > 0 && rapid.IntRange(0, 9).Draw(d.t, "wild") > 0 {
		ref = rapid.SampledFrom(refs).Draw(d.t, "ref")
	}
	_, task := d.state.Task(ref)
	return ref.JobID, ref.Index, task.GetAttempt()
}

func (d draws) attempt(usual uint32) uint32 {
	return usual + rapid.SampledFrom([]uint32{0, 0, 0, 0, 1}).Draw(d.t, "off") - min(usual, rapid.SampledFrom([]uint32{0, 0, 0, 1}).Draw(d.t, "old"))
}

func (d draws) assigned() *pb.Record {
	job, index, last := d.task(pb.TaskState_TASK_STATE_PENDING)
	return &pb.Record{Epoch: d.epoch(), Body: &pb.Record_TaskAssigned{TaskAssigned: &pb.TaskAssigned{
		JobId: job, Index: index, Attempt: d.attempt(last + 1), Worker: d.worker(),
		Reserved: &pb.Resources{CpuMilli: rapid.Int64Range(1, 3).Draw(d.t, "cpu")},
	}}}
}

func (d draws) finished() *pb.Record {
	job, index, last := d.task(pb.TaskState_TASK_STATE_ASSIGNED)
	return &pb.Record{Epoch: d.epoch(), Body: &pb.Record_TaskFinished{TaskFinished: &pb.TaskFinished{
		JobId: job, Index: index, Attempt: d.attempt(last), Result: []byte(fmt.Sprint(job, index)),
	}}}
}

func (d draws) released() *pb.Record {
	job, index, last := d.task(pb.TaskState_TASK_STATE_ASSIGNED)
	reasons := []pb.ReleaseReason{
		pb.ReleaseReason_RELEASE_REASON_NOT_STARTED, pb.ReleaseReason_RELEASE_REASON_EVICTED,
		pb.ReleaseReason_RELEASE_REASON_LOST, pb.ReleaseReason_RELEASE_REASON_FAILED,
	}
	return &pb.Record{Epoch: d.epoch(), Body: &pb.Record_TaskReleased{TaskReleased: &pb.TaskReleased{
		JobId: job, Index: index, Attempt: d.attempt(last), Reason: rapid.SampledFrom(reasons).Draw(d.t, "reason"),
		Checkpoint: []byte(rapid.SampledFrom([]string{"", "c1", "c2"}).Draw(d.t, "checkpoint")),
	}}}
}

func (d draws) registered() *pb.Record {
	return &pb.Record{Epoch: d.epoch(), Body: &pb.Record_WorkerRegistered{WorkerRegistered: &pb.WorkerRegistered{
		Worker: d.worker(), Capacity: &pb.Resources{CpuMilli: rapid.Int64Range(1, 5).Draw(d.t, "capacity")},
	}}}
}

func (d draws) submitted() *pb.Record {
	return &pb.Record{Body: &pb.Record_JobSubmitted{JobSubmitted: &pb.JobSubmitted{JobId: d.job(), Spec: &pb.JobSpec{
		Team: "t", JobClass: "c", Tasks: tasksPerJob, MaxFailures: 2, Resources: &pb.Resources{CpuMilli: 1},
	}}}}
}

func (d draws) cancelled() *pb.Record {
	return &pb.Record{Body: &pb.Record_JobsCancelled{JobsCancelled: &pb.JobsCancelled{JobIds: []string{d.job()}}}}
}

func (d draws) rejected() *pb.Record {
	return &pb.Record{Epoch: d.epoch(), Body: &pb.Record_JobRejected{JobRejected: &pb.JobRejected{JobId: d.job(), Reason: "fits nowhere"}}}
}

func (d draws) claimed() *pb.Record {
	epoch := d.epoch() + 1
	return &pb.Record{Epoch: epoch, Body: &pb.Record_ShardClaim{ShardClaim: &pb.ShardClaim{Epoch: epoch, Owner: d.worker(), Address: "a"}}}
}

// TestTaskLifeAgainstOracle applies random records, some of them twice, and
// compares each verdict and the state after it with the oracle.
func TestTaskLifeAgainstOracle(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		state, want := New(), newOracle()
		apply := func(make func(draws) *pb.Record) func(*rapid.T) {
			return func(rt *rapid.T) {
				rec := make(draws{rt, state})
				for range rapid.SampledFrom([]int{1, 1, 1, 2}).Draw(rt, "copies") {
					accepted, rej := want.apply(rec), state.Apply(rec)
					if accepted != (rej == nil) {
						rt.Fatalf("%v: accepted should be %v, rejection %v", rec, accepted, rej)
					}
				}
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"assign": apply(draws.assigned), "assign more": apply(draws.assigned), "release more": apply(draws.released), "finish": apply(draws.finished),
			"release": apply(draws.released), "register": apply(draws.registered), "submit": apply(draws.submitted),
			"cancel": apply(draws.cancelled), "reject": apply(draws.rejected), "claim": apply(draws.claimed),
			"restore": func(rt *rapid.T) { restored(rt, state) },
			"":        func(rt *rapid.T) { compare(rt, state, want) },
		})
	})
}

// restored checks that a snapshot brings back the same state.
func restored(rt *rapid.T, state *State) {
	before, err := state.Snapshot()
	assert.NilError(rt, err)
	other := New()
	assert.NilError(rt, other.Restore(before))
	after, err := other.Snapshot()
	assert.NilError(rt, err)
	if !bytes.Equal(before, after) {
		rt.Fatalf("snapshot of the restored state differs")
	}
	for name, w := range state.Workers() {
		if w.Reserved.CpuMilli != other.Workers()[name].Reserved.CpuMilli {
			rt.Fatalf("worker %s has %v reserved, restored %v", name, w.Reserved, other.Workers()[name].Reserved)
		}
	}
	*state = *other
}

func compare(rt *rapid.T, state *State, want *oracle) {
	for name := range want.workers {
		if got, should := state.Workers()[name].Reserved.CpuMilli, want.used(name); got != should {
			rt.Fatalf("worker %s has %d reserved, want %d", name, got, should)
		}
	}
	for ref, w := range want.tasks {
		_, task := state.Task(ref)
		for name, worker := range state.Workers() {
			if _, on := worker.Assigned[ref]; on != (name == w.worker) {
				rt.Fatalf("task %v assigned to %s: %v, want %q", ref, name, on, w.worker)
			}
		}
		granted := task.State == pb.TaskState_TASK_STATE_ASSIGNED
		waits := task.State == pb.TaskState_TASK_STATE_PENDING
		_, pending := state.Pending()[ref]
		switch {
		case granted != (w.worker != ""), granted && task.Worker != w.worker, task.Attempt != w.attempt,
			waits != (!w.ended && w.worker == ""), pending != waits, string(task.Checkpoint) != w.checkpoint,
			want.results[ref] > 1:
			rt.Fatalf("task %v is %v (pending %v), want %+v", ref, task, pending, w)
		}
	}
}
