package grants

import (
	"context"
	"fmt"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fixedseed"
	"chervilridge/internal/platform"
	"chervilridge/internal/shard"
	"chervilridge/internal/standin/worker"
)

func TestMain(m *testing.M) {
	os.Exit(fixedseed.Run(m, fixedseed.Options{Seed: 5402, Checks: 2000, Steps: 80}))
}

// world is one shard's ledger and two workers with their agents. Messages are
// lost, doubled and reordered; agents restart; owners change. What the ledger
// releases is decided by the agents' answers alone, as an owner does.
type world struct {
	ledger   *shard.State
	recorder *worker.Recorder
	agents   map[string]*agentLife
	mail     []message
	jobs     int
}

type agentLife struct {
	name   string
	lives  int
	worker *doubtfulWorker
	grants *Grants
}

// message is a call to an agent that may be delivered at any later time.
type message struct {
	agent string
	epoch uint64
	start *pb.StartTaskRequest
	stop  *pb.StopTaskRequest
	fence *pb.FenceTaskRequest
}

var agentNames = []string{"w1", "w2"}

func newWorld() *world {
	w := &world{ledger: shard.New(), recorder: worker.NewRecorder(), agents: map[string]*agentLife{}}
	w.claim()
	for _, name := range agentNames {
		size := &pb.Resources{CpuMilli: 3}
		a := &agentLife{name: name, worker: &doubtfulWorker{Worker: worker.New(worker.Options{
			Recorder: w.recorder, Info: platform.WorkerInfo{Name: name, Capacity: size},
		})}}
		a.restart()
		w.agents[name] = a
		w.write(&pb.Record{Body: &pb.Record_WorkerRegistered{WorkerRegistered: &pb.WorkerRegistered{Worker: name, Capacity: size}}})
	}
	return w
}

// restart begins a new life of an agent: what its predecessor had under way on
// the worker takes effect or never will.
func (a *agentLife) restart() {
	a.lives++
	a.landAll(context.Background())
	a.grants = New(Options{Incarnation: fmt.Sprint(a.lives), Began: time.Now().Add(-time.Minute), CallDelay: testCallDelay}, a.worker)
}

func (a *agentLife) landAll(ctx context.Context) {
	for _, spec := range a.worker.late {
		_ = a.worker.Worker.Start(ctx, spec)
	}
	a.worker.late = nil
}

func (w *world) claim() {
	epoch := w.ledger.Epoch() + 1
	w.ledger.Apply(&pb.Record{Epoch: epoch, Body: &pb.Record_ShardClaim{ShardClaim: &pb.ShardClaim{Epoch: epoch, Owner: "o"}}})
}

func (w *world) write(rec *pb.Record) bool {
	rec.Epoch = w.ledger.Epoch()
	return w.ledger.Apply(rec) == nil
}

func (w *world) submit() {
	w.jobs++
	w.ledger.Apply(&pb.Record{Body: &pb.Record_JobSubmitted{JobSubmitted: &pb.JobSubmitted{
		JobId: fmt.Sprint("j", w.jobs), Spec: &pb.JobSpec{Team: "t", JobClass: "c", Tasks: 1, Resources: &pb.Resources{CpuMilli: 1}},
	}}})
}

// assign grants a waiting task and puts its start into the mail.
func (w *world) assign(t *rapid.T) {
	ref, task := w.pick(t, pb.TaskState_TASK_STATE_PENDING)
	if task == nil {
		return
	}
	name := rapid.SampledFrom(agentNames).Draw(t, "agent")
	need := &pb.Resources{CpuMilli: rapid.Int64Range(1, 2).Draw(t, "cpu")}
	attempt := &pb.Attempt{JobId: ref.JobID, Index: ref.Index, Attempt: task.Attempt + 1}
	if !w.write(&pb.Record{Body: &pb.Record_TaskAssigned{TaskAssigned: &pb.TaskAssigned{
		JobId: ref.JobID, Index: ref.Index, Attempt: attempt.Attempt, Worker: name, Reserved: need,
	}}}) {
		return
	}
	a := w.agents[name]
	w.mail = append(w.mail, message{agent: name, epoch: w.ledger.Epoch(), start: &pb.StartTaskRequest{
		Attempt: attempt, Epoch: w.ledger.Epoch(), Incarnation: a.grants.options.Incarnation, Reserved: need,
		Checkpoint: task.Checkpoint, NotAfterMs: (a.grants.Clock() + time.Minute).Milliseconds(),
		GrantMs: time.Hour.Milliseconds(), DurationMs: time.Hour.Milliseconds(),
	}})
}

// ask puts a stop or a fence of a granted attempt into the mail.
func (w *world) ask(t *rapid.T) {
	ref, task := w.pick(t, pb.TaskState_TASK_STATE_ASSIGNED)
	if task == nil {
		return
	}
	attempt := &pb.Attempt{JobId: ref.JobID, Index: ref.Index, Attempt: task.Attempt}
	m := message{agent: task.Worker, epoch: w.ledger.Epoch()}
	if rapid.Bool().Draw(t, "stop") {
		m.stop = &pb.StopTaskRequest{Attempt: attempt, Epoch: m.epoch, Reason: pb.ReleaseReason_RELEASE_REASON_DRAINED}
	} else {
		m.fence = &pb.FenceTaskRequest{Attempt: attempt, Epoch: m.epoch}
	}
	w.mail = append(w.mail, m)
}

func (w *world) pick(t *rapid.T, state pb.TaskState) (shard.TaskRef, *pb.Task) {
	var refs []shard.TaskRef
	for _, id := range w.ledger.Jobs() {
		if w.ledger.Job(id).Tasks[0].State == state {
			refs = append(refs, shard.TaskRef{JobID: id})
		}
	}
	if len(refs) == 0 {
		return shard.TaskRef{}, nil
	}
	ref := rapid.SampledFrom(refs).Draw(t, "task")
	_, task := w.ledger.Task(ref)
	return ref, task
}

// deliver hands over any message; it may stay in the mail, and its answer may be
// lost.
func (w *world) deliver(t *rapid.T) {
	if len(w.mail) == 0 {
		return
	}
	i := rapid.IntRange(0, len(w.mail)-1).Draw(t, "message")
	m := w.mail[i]
	if rapid.IntRange(0, 2).Draw(t, "keep") > 0 {
		w.mail = append(w.mail[:i], w.mail[i+1:]...)
	}
	a := w.agents[m.agent]
	a.worker.lose = rapid.IntRange(0, 3).Draw(t, "worker answer lost") == 0
	heard := rapid.IntRange(0, 3).Draw(t, "answer heard") > 0 && m.epoch == w.ledger.Epoch()
	switch {
	case m.start != nil:
		reply, err := a.grants.StartTask(context.Background(), m.start)
		if heard && err == nil && !reply.Started {
			w.release(m.start.Attempt, nil)
		}
	case m.stop != nil:
		report, err := a.grants.StopTask(context.Background(), m.stop)
		w.believe(heard && err == nil, report)
	default:
		report, err := a.grants.FenceTask(context.Background(), m.fence)
		w.believe(heard && err == nil, report)
	}
}

func (w *world) believe(heard bool, r *pb.AttemptReport) {
	ended := r.GetState() == pb.AttemptState_ATTEMPT_STATE_NEVER_STARTED || r.GetState() == pb.AttemptState_ATTEMPT_STATE_STOPPED
	if heard && ended && r.Epoch <= w.ledger.Epoch() {
		w.release(r.Attempt, r.Checkpoint)
	}
}

func (w *world) release(a *pb.Attempt, checkpoint []byte) {
	w.write(&pb.Record{Body: &pb.Record_TaskReleased{TaskReleased: &pb.TaskReleased{
		JobId: a.JobId, Index: a.Index, Attempt: a.Attempt, Reason: pb.ReleaseReason_RELEASE_REASON_NOT_STARTED, Checkpoint: checkpoint,
	}}})
}

// TestTaskProtocol looks for two attempts of one task that run at once, and for
// a worker that is given more than it has.
func TestTaskProtocol(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		w := newWorld()
		agent := func(rt *rapid.T) *agentLife { return w.agents[rapid.SampledFrom(agentNames).Draw(rt, "agent")] }
		rt.Repeat(map[string]func(*rapid.T){
			"submit":       func(*rapid.T) { w.submit() },
			"assign":       w.assign,
			"assign more":  w.assign,
			"ask":          w.ask,
			"deliver":      w.deliver,
			"deliver more": w.deliver,
			"deliver most": w.deliver,
			"land":         func(rt *rapid.T) { agent(rt).landAll(context.Background()) },
			"restart":      func(rt *rapid.T) { agent(rt).restart() },
			"claim":        func(*rapid.T) { w.claim() },
			"": func(rt *rapid.T) {
				if v := w.recorder.Violations(); len(v) > 0 {
					rt.Fatalf("%v", v)
				}
			},
		})
	})
}
