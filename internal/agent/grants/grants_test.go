package grants

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/agent/colocation"
	"chervilridge/internal/platform"
	"chervilridge/internal/standin/worker"
)

const (
	testCallDelay = 2 * time.Second
	testGrant     = 10 * time.Second
)

// doubtfulWorker keeps starts back: their answer is lost, and they take effect
// only when land is called.
type doubtfulWorker struct {
	*worker.Worker

	mu   sync.Mutex
	late []platform.StartSpec
	lose bool
	// pause is how long a call takes to come back.
	pause time.Duration
}

func (w *doubtfulWorker) Start(ctx context.Context, spec platform.StartSpec) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.lose {
		w.late = append(w.late, spec)
		return platform.ErrUnknownOutcome
	}
	err := w.Worker.Start(ctx, spec)
	time.Sleep(w.pause)
	return err
}

func (w *doubtfulWorker) land(t *testing.T) {
	t.Helper()
	for _, spec := range w.late {
		assert.NilError(t, w.Worker.Start(t.Context(), spec))
	}
}

type bench struct {
	grants   *Grants
	worker   *doubtfulWorker
	recorder *worker.Recorder
}

func newBench(age time.Duration) *bench {
	rec := worker.NewRecorder()
	w := &doubtfulWorker{Worker: worker.New(worker.Options{
		Recorder: rec,
		Info:     platform.WorkerInfo{Name: "w", DataCentre: "a", Capacity: &pb.Resources{CpuMilli: 2000, MemoryMb: 100}},
	})}
	g := New(Options{Incarnation: "i1", Began: time.Now().Add(-age), CallDelay: testCallDelay}, w)
	return &bench{g, w, rec}
}

func start(g *Grants, job string, attempt uint32) *pb.StartTaskRequest {
	return &pb.StartTaskRequest{
		Attempt: &pb.Attempt{JobId: job, Attempt: attempt}, Epoch: 1, Incarnation: "i1",
		Reserved:   &pb.Resources{CpuMilli: 1500, MemoryMb: 10},
		NotAfterMs: (g.Clock() + time.Second).Milliseconds(), GrantMs: testGrant.Milliseconds(),
		DurationMs: time.Hour.Milliseconds(),
	}
}

func TestStartInDoubtIsNeverCalledNotStarted(t *testing.T) {
	b := newBench(time.Minute)
	b.worker.lose = true
	req := start(b.grants, "j", 1)
	_, err := b.grants.StartTask(t.Context(), req)
	assert.ErrorContains(t, err, "did not answer")

	_, err = b.grants.FenceTask(t.Context(), &pb.FenceTaskRequest{Attempt: req.Attempt, Epoch: 1})
	assert.ErrorContains(t, err, "may still take effect", "fence")
	_, err = b.grants.StopTask(t.Context(), &pb.StopTaskRequest{Attempt: req.Attempt, Epoch: 1})
	assert.ErrorContains(t, err, "may still take effect", "stop")

	b.worker.land(t)
	report, err := b.grants.FenceTask(t.Context(), &pb.FenceTaskRequest{Attempt: req.Attempt, Epoch: 1})
	assert.NilError(t, err)
	assert.Equal(t, report.State, pb.AttemptState_ATTEMPT_STATE_RUNNING)
}

func TestStartInDoubtKeepsRoomAndTask(t *testing.T) {
	b := newBench(time.Minute)
	b.worker.lose = true
	_, err := b.grants.StartTask(t.Context(), start(b.grants, "j", 1))
	assert.ErrorContains(t, err, "did not answer")
	b.worker.lose = false
	reply, err := b.grants.StartTask(t.Context(), start(b.grants, "k", 1))
	assert.NilError(t, err)
	assert.Equal(t, reply.Reason, "worker has no room")
	small := start(b.grants, "j", 2)
	small.Reserved.CpuMilli = 100
	reply, err = b.grants.StartTask(t.Context(), small)
	assert.NilError(t, err)
	assert.Equal(t, reply.Reason, "another attempt of the task runs or may run")
	b.worker.land(t)
	assert.Equal(t, len(b.recorder.Violations()), 0, "%v", b.recorder.Violations())
}

func TestYoungAgentDoesNotAnswerForItsPredecessor(t *testing.T) {
	b := newBench(0)
	b.grants.options.Began = time.Now().Add(time.Hour) // far from old enough
	a := &pb.Attempt{JobId: "j", Attempt: 1}
	_, err := b.grants.FenceTask(t.Context(), &pb.FenceTaskRequest{Attempt: a, Epoch: 1})
	assert.ErrorContains(t, err, "may still take effect")
	reply, err := b.grants.StartTask(t.Context(), start(b.grants, "k", 1))
	assert.NilError(t, err)
	assert.Equal(t, reply.Reason, "agent started just now")
	assert.Equal(t, len(b.worker.Running()), 0)
}

// TestRefusalIsNoProofAfterARestart covers a doubled start whose first copy was
// carried out by the agent's predecessor.
func TestRefusalIsNoProofAfterARestart(t *testing.T) {
	b := newBench(time.Minute)
	req := start(b.grants, "j", 1)
	_, err := b.grants.StartTask(t.Context(), req)
	assert.NilError(t, err)
	next := New(Options{Incarnation: "i2", Began: time.Now().Add(-time.Minute), CallDelay: testCallDelay}, b.worker)
	reply, err := next.StartTask(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, reply.Started, true)
}

func TestDoubledStartIsAnsweredLikeTheFirst(t *testing.T) {
	b := newBench(time.Minute)
	req := start(b.grants, "j", 1)
	for range 2 {
		reply, err := b.grants.StartTask(t.Context(), req)
		assert.NilError(t, err)
		assert.Equal(t, reply.Started, true)
		req.NotAfterMs = 0 // the second copy comes late
	}
	assert.Equal(t, len(b.worker.Running()), 1)
}

func TestRefusedStarts(t *testing.T) {
	cases := []struct {
		name   string
		change func(*pb.StartTaskRequest)
		want   string
	}{
		{"other incarnation", func(r *pb.StartTaskRequest) { r.Incarnation = "i0" }, "start is meant for another incarnation of the agent"},
		{"other shard", func(r *pb.StartTaskRequest) { r.Attempt.Shard = 7 }, "worker belongs to another shard"},
		{"older epoch", func(r *pb.StartTaskRequest) { r.Epoch = 0 }, "start is of an older epoch"},
		{"late", func(r *pb.StartTaskRequest) { r.NotAfterMs = 0 }, "start came too late"},
		{"grant used up under way", func(r *pb.StartTaskRequest) { r.NotAfterMs, r.GrantMs = time.Minute.Milliseconds()+5, 1 }, "start came too late"},
		{"too large", func(r *pb.StartTaskRequest) { r.Reserved.CpuMilli = 2001 }, "worker has no room"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			b := newBench(time.Minute)
			b.grants.raise(1)
			req := start(b.grants, "j", 1)
			c.change(req)
			reply, err := b.grants.StartTask(t.Context(), req)
			assert.NilError(t, err)
			assert.Equal(t, reply.Reason, c.want)
			assert.Equal(t, len(b.worker.Running()), 0)
		})
	}
}

func TestFencedAttemptNeverStarts(t *testing.T) {
	b := newBench(time.Minute)
	req := start(b.grants, "j", 1)
	report, err := b.grants.FenceTask(t.Context(), &pb.FenceTaskRequest{Attempt: req.Attempt, Epoch: 2})
	assert.NilError(t, err)
	assert.Equal(t, report.State, pb.AttemptState_ATTEMPT_STATE_NEVER_STARTED)
	req.Epoch = 2
	reply, err := b.grants.StartTask(t.Context(), req)
	assert.NilError(t, err)
	assert.Equal(t, reply.Reason, "attempt is fenced")
}

func TestStartThatTookTooLongIsStopped(t *testing.T) {
	b := newBench(time.Minute)
	b.grants.options.CallDelay = 200 * time.Millisecond
	b.worker.pause = 400 * time.Millisecond
	_, err := b.grants.StartTask(t.Context(), start(b.grants, "j", 1))
	assert.ErrorContains(t, err, "took longer")
	assert.Equal(t, len(b.worker.Running()), 0)
}

func TestStopKeepsItsFirstReason(t *testing.T) {
	b := newBench(time.Minute)
	req := start(b.grants, "j", 1)
	_, err := b.grants.StartTask(t.Context(), req)
	assert.NilError(t, err)
	assert.NilError(t, b.grants.Evict(t.Context(), keyOf(req.Attempt)))
	report, err := b.grants.StopTask(t.Context(), &pb.StopTaskRequest{
		Attempt: req.Attempt, Epoch: 1, Reason: pb.ReleaseReason_RELEASE_REASON_DRAINED,
	})
	assert.NilError(t, err)
	assert.Equal(t, report.Reason, pb.ReleaseReason_RELEASE_REASON_EVICTED)
	assert.Check(t, len(report.Checkpoint) > 0)
}

func TestUnrenewedAttemptIsStoppedInTime(t *testing.T) {
	b := newBench(time.Minute)
	req := start(b.grants, "j", 1)
	_, err := b.grants.StartTask(t.Context(), req)
	assert.NilError(t, err)
	b.grants.Tend(t.Context(), time.Second)
	assert.Equal(t, len(b.worker.Running()), 1, "far from the end of the grant")
	b.grants.Tend(t.Context(), 2*testGrant)
	assert.Equal(t, len(b.worker.Running()), 1, "no guard takes a whole grant")
	b.grants.change(keyOf(req.Attempt), func(h *hold) { h.until = time.Now().Add(testGrant / 10); h.since = h.until.Add(-testGrant) })
	b.grants.Tend(t.Context(), testGrant/5)
	assert.Equal(t, len(b.worker.Running()), 0, "guard reaches the end of the grant")
	list, err := b.worker.List(t.Context())
	assert.NilError(t, err)
	report := b.grants.report(list[0])
	assert.Equal(t, report.Reason, pb.ReleaseReason_RELEASE_REASON_LOST)
	assert.Check(t, len(report.Checkpoint) > 0)
}

func TestRunningAttemptIsCheckpointed(t *testing.T) {
	b := newBench(time.Minute)
	b.grants.options.CheckpointEvery = time.Nanosecond
	_, err := b.grants.StartTask(t.Context(), start(b.grants, "j", 1))
	assert.NilError(t, err)
	b.grants.Tend(t.Context(), 0)
	list, err := b.worker.List(t.Context())
	assert.NilError(t, err)
	assert.Check(t, len(b.grants.report(list[0]).Checkpoint) > 0)
}

// TestRenewalNeverOutlivesTheGrant covers a renewal that is carried out late, as
// after a pause between the answer of the owner and the call on the worker.
func TestRenewalNeverOutlivesTheGrant(t *testing.T) {
	now := time.Now()
	rec := worker.NewRecorder()
	w := worker.New(worker.Options{Recorder: rec, Now: func() time.Time { return now },
		Info: platform.WorkerInfo{Name: "w", Capacity: &pb.Resources{CpuMilli: 2000, MemoryMb: 100}}})
	g := New(Options{Incarnation: "i1", Began: now.Add(-time.Minute), CallDelay: testCallDelay}, w)
	req := start(g, "j", 1)
	_, err := g.StartTask(t.Context(), req)
	assert.NilError(t, err)
	end := time.Now().Add(time.Minute)
	g.renew(t.Context(), keyOf(req.Attempt), end)
	now = end.Add(time.Millisecond)
	assert.Equal(t, len(w.Running()), 0, "runs beyond the end of the grant")
}

// troubled is a service far over its target.
type troubled struct{}

func (troubled) Recent() (p99, target time.Duration, samples int64) {
	return time.Second, 100 * time.Millisecond, 1000
}
func (troubled) LoadMilli() uint32    { return 500 }
func (troubled) Name() string         { return "s" }
func (troubled) Alone() time.Duration { return 0 }

// TestControlThrottlesThenEvicts runs the control over the real grants: the
// eviction is reported with its reason and checkpoint.
func TestControlThrottlesThenEvicts(t *testing.T) {
	b := newBench(time.Minute)
	req := start(b.grants, "j", 1)
	_, err := b.grants.StartTask(t.Context(), req)
	assert.NilError(t, err)
	policy := colocation.DefaultPolicy()
	policy.Settle, policy.MinRun = 0, 0
	control := colocation.New(policy, troubled{}, b.grants)
	control.Round(t.Context())
	attempts, err := b.grants.Attempts(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, attempts[0].ShareMilli, policy.FloorMilli, "throttled first")
	for range policy.EvictRounds {
		control.Round(t.Context())
	}
	list, err := b.worker.List(t.Context())
	assert.NilError(t, err)
	report := b.grants.report(list[0])
	assert.Equal(t, report.State, pb.AttemptState_ATTEMPT_STATE_STOPPED)
	assert.Equal(t, report.Reason, pb.ReleaseReason_RELEASE_REASON_EVICTED)
	assert.Check(t, len(report.Checkpoint) > 0)
}
