// Package grants runs attempts of tasks on the worker beside the agent, as far
// as the shard's owner has granted them.
package grants

import (
	"context"
	"errors"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/platform"
	"chervilridge/internal/resources"
)

// tombstoneLife is how long a fenced attempt is remembered: far longer than a
// start of the same incarnation can be under way.
const tombstoneLife = 10 * time.Minute

// DefaultCallDelay is how long after it was sent a call may still take effect on
// the worker.
const DefaultCallDelay = 500 * time.Millisecond

// Options describe the agent.
type Options struct {
	Incarnation string
	Shard       uint32
	// Began is when the agent's clock was zero.
	Began time.Time
	// CallDelay bounds how late a call may take effect on the worker; 0 means
	// DefaultCallDelay.
	CallDelay time.Duration
	// CheckpointEvery is the time between checkpoints of a running attempt; 0
	// means DefaultCheckpointEvery.
	CheckpointEvery time.Duration
}

// Grants implements the TaskRunner service. One lock guards epoch, tombstones
// and what is known of attempts; starts, stops and fences are serialised by
// another, so that the question "did it start" has one answer.
type Grants struct {
	pb.UnimplementedTaskRunnerServer

	options Options
	worker  platform.Worker

	serial sync.Mutex // held over a start, a stop or a fence

	mu         sync.Mutex
	epoch      uint64
	tombstones map[platform.TaskKey]time.Time
	held       map[platform.TaskKey]*hold
}

// New returns grants with none given.
func New(options Options, worker platform.Worker) *Grants {
	if options.CallDelay <= 0 {
		options.CallDelay = DefaultCallDelay
	}
	if options.CheckpointEvery <= 0 {
		options.CheckpointEvery = DefaultCheckpointEvery
	}
	return &Grants{
		options: options, worker: worker,
		tombstones: map[platform.TaskKey]time.Time{},
		held:       map[platform.TaskKey]*hold{},
	}
}

// Clock returns the time on the agent's clock.
func (g *Grants) Clock() time.Duration { return time.Since(g.options.Began) }

func keyOf(a *pb.Attempt) platform.TaskKey {
	return platform.TaskKey{JobID: a.JobId, Index: a.Index, Attempt: a.Attempt}
}

// raise takes a newer epoch; it returns false for an older one.
func (g *Grants) raise(epoch uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if epoch < g.epoch {
		return false
	}
	g.epoch = epoch
	return true
}

func (g *Grants) addTombstone(key platform.TaskKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for k, at := range g.tombstones {
		if now.Sub(at) > tombstoneLife {
			delete(g.tombstones, k)
		}
	}
	g.tombstones[key] = now
	delete(g.held, key)
}

func (g *Grants) hasTombstone(key platform.TaskKey) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	_, ok := g.tombstones[key]
	return ok
}

// StartTask implements the TaskRunner service.
func (g *Grants) StartTask(ctx context.Context, req *pb.StartTaskRequest) (*pb.StartTaskReply, error) {
	g.serial.Lock()
	defer g.serial.Unlock()
	key := keyOf(req.Attempt)
	if begun, doubtful := g.begun(key); begun {
		return g.repeated(key, doubtful)
	}
	if reason := g.refusal(ctx, req, key); reason != "" {
		return g.refuse(ctx, req, key, reason)
	}
	lease := g.startLease(req)
	if lease <= 0 {
		return g.refuse(ctx, req, key, "start came too late")
	}
	return g.launch(ctx, req, key, lease)
}

// refuse answers that the attempt was not started and never will be, if that is
// so. A start that is meant for this incarnation and was not begun by it was
// begun by nobody; one meant for a predecessor may have been carried out by it,
// when this is a second copy.
func (g *Grants) refuse(ctx context.Context, req *pb.StartTaskRequest, key platform.TaskKey, reason string) (*pb.StartTaskReply, error) {
	if req.Incarnation != g.options.Incarnation {
		report, err := g.fate(ctx, req.Attempt, req.Epoch)
		if err != nil {
			return nil, err
		}
		if report.State != pb.AttemptState_ATTEMPT_STATE_NEVER_STARTED {
			return &pb.StartTaskReply{Started: true}, nil
		}
	}
	g.addTombstone(key)
	events.TaskStartRefused.Log("job", key.JobID, "index", key.Index, "attempt", key.Attempt, "epoch", req.Epoch, "reason", reason)
	return &pb.StartTaskReply{Reason: reason}, nil
}

// repeated answers a doubled start: the first copy decides, whatever the second
// would be told now.
func (g *Grants) repeated(key platform.TaskKey, doubtful bool) (*pb.StartTaskReply, error) {
	if doubtful {
		return nil, fault.New(fault.CodeOutcomeUnknown, fault.StepStart, key.JobID, "worker did not answer the first start").WithOutcome(fault.Unknown)
	}
	return &pb.StartTaskReply{Started: true}, nil
}

// startLease returns how long the attempt may run on the worker, so that it
// ends within the grant even if the start takes effect as late as it can.
func (g *Grants) startLease(req *pb.StartTaskRequest) time.Duration {
	grant := time.Duration(req.GrantMs) * time.Millisecond
	end := time.Duration(req.NotAfterMs)*time.Millisecond + grant
	return min(end-g.Clock()-g.options.CallDelay, grant)
}

// launch starts the attempt on the worker. The hold is taken before the call,
// so that an attempt in doubt counts from the moment it may run.
func (g *Grants) launch(ctx context.Context, req *pb.StartTaskRequest, key platform.TaskKey, lease time.Duration) (*pb.StartTaskReply, error) {
	sent := time.Now()
	g.hold(key, req, sent.Add(lease+g.options.CallDelay))
	callCtx, cancel := g.callContext(ctx)
	defer cancel()
	err := g.worker.Start(callCtx, platform.StartSpec{
		Key: key, JobClass: req.JobClass, Payload: req.Payload, Checkpoint: req.Checkpoint,
		Reserved: req.Reserved, Duration: time.Duration(req.DurationMs) * time.Millisecond,
		Lease: lease,
	})
	switch {
	case errors.Is(err, platform.ErrUnavailable), errors.Is(err, platform.ErrNoCapacity):
		g.addTombstone(key)
		return &pb.StartTaskReply{Reason: err.Error(), WorkerFault: true}, nil
	case err != nil && !errors.Is(err, platform.ErrExists):
		events.TaskStartDoubtful.LogError(err, "job", key.JobID, "index", key.Index, "attempt", key.Attempt, "epoch", req.Epoch)
		return nil, fault.Wrap(err, fault.CodeOutcomeUnknown, fault.StepStart, key.JobID, "worker did not answer the start").WithOutcome(fault.Unknown)
	case time.Since(sent) > g.options.CallDelay:
		return nil, g.undo(key)
	}
	g.settle(key)
	events.TaskStarted.Log("job", key.JobID, "index", key.Index, "attempt", key.Attempt, "epoch", req.Epoch)
	return &pb.StartTaskReply{Started: true}, nil
}

// undo stops an attempt whose start took effect later than its lease allows
// for, as when this process was paused in the middle of the call.
func (g *Grants) undo(key platform.TaskKey) error {
	ctx, cancel := g.callContext(context.Background())
	defer cancel()
	_, err := g.worker.Stop(ctx, key)
	if err == nil {
		g.settle(key)
		g.setReason(key, pb.ReleaseReason_RELEASE_REASON_NOT_STARTED)
	}
	return fault.New(fault.CodeTooLate, fault.StepStart, key.JobID, "start took longer than a call may take").WithOutcome(fault.Unknown)
}

// callContext bounds a call on the worker. It does not end with the caller's
// context: a call that was begun should get its answer.
func (g *Grants) callContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), g.options.CallDelay)
}

// refusal returns why the start must not happen, or nothing.
func (g *Grants) refusal(ctx context.Context, req *pb.StartTaskRequest, key platform.TaskKey) string {
	switch {
	case req.Incarnation != g.options.Incarnation:
		return "start is meant for another incarnation of the agent"
	case req.Attempt.Shard != g.options.Shard:
		return "worker belongs to another shard"
	case !g.raise(req.Epoch):
		return "start is of an older epoch"
	case g.Clock().Milliseconds() > req.NotAfterMs:
		return "start came too late"
	case g.hasTombstone(key):
		return "attempt is fenced"
	case g.young():
		return "agent started just now"
	}
	return g.conflict(ctx, req, key)
}

// conflict looks for another attempt of the task and for lack of room on the
// worker itself: the ledger's check comes first, this one is the last.
func (g *Grants) conflict(ctx context.Context, req *pb.StartTaskRequest, key platform.TaskKey) string {
	info, err := g.worker.Describe(ctx)
	if err != nil {
		return "worker does not answer: " + err.Error()
	}
	list, err := g.worker.List(ctx)
	if err != nil {
		return "worker does not answer: " + err.Error()
	}
	used := req.Reserved
	for _, h := range g.present(list) {
		if h.key == key {
			continue
		}
		if h.key.JobID == key.JobID && h.key.Index == key.Index {
			return "another attempt of the task runs or may run"
		}
		used = resources.Add(used, h.reserved)
	}
	if !resources.Fits(used, info.Capacity) {
		return "worker has no room"
	}
	return ""
}

// StopTask implements the TaskRunner service. A repeated stop returns the same
// report.
func (g *Grants) StopTask(ctx context.Context, req *pb.StopTaskRequest) (*pb.AttemptReport, error) {
	g.serial.Lock()
	defer g.serial.Unlock()
	if !g.raise(req.Epoch) {
		return &pb.AttemptReport{Attempt: req.Attempt, Epoch: g.Epoch(), Detail: "stop is of an older epoch"}, nil
	}
	key := keyOf(req.Attempt)
	status, err := g.end(ctx, key, req.Reason)
	if errors.Is(err, platform.ErrNoSuchTask) {
		return g.neverStarted(req.Attempt, req.Epoch)
	}
	if err != nil {
		return nil, err
	}
	return g.report(status), nil
}

// Evict stops a running attempt to keep the service beside the worker quick.
// The next heartbeat reports it with its checkpoint.
func (g *Grants) Evict(ctx context.Context, key platform.TaskKey) error {
	g.serial.Lock()
	defer g.serial.Unlock()
	_, err := g.end(ctx, key, pb.ReleaseReason_RELEASE_REASON_EVICTED)
	return err
}

// end stops an attempt on the worker and keeps why. The first reason stays: a
// repeated stop tells the same story.
func (g *Grants) end(ctx context.Context, key platform.TaskKey, reason pb.ReleaseReason) (platform.TaskStatus, error) {
	callCtx, cancel := g.callContext(ctx)
	defer cancel()
	status, err := g.worker.Stop(callCtx, key)
	if err != nil {
		return status, err
	}
	g.settle(key)
	g.setReason(key, reason)
	events.TaskStopped.Log("job", key.JobID, "index", key.Index, "attempt", key.Attempt, "reason", reason.String())
	return status, nil
}

// neverStarted answers for an attempt that the worker does not know. While a
// start of it may still take effect, there is no answer.
func (g *Grants) neverStarted(a *pb.Attempt, epoch uint64) (*pb.AttemptReport, error) {
	key := keyOf(a)
	if g.young() || g.doubtful(key) {
		return nil, fault.New(fault.CodeOutcomeUnknown, fault.StepFence, key.JobID, "a start may still take effect").WithOutcome(fault.Unknown)
	}
	g.addTombstone(key)
	events.TaskFenced.Log("job", key.JobID, "index", key.Index, "attempt", key.Attempt, "epoch", epoch)
	return &pb.AttemptReport{Attempt: a, State: pb.AttemptState_ATTEMPT_STATE_NEVER_STARTED, Epoch: g.Epoch()}, nil
}

// FenceTask implements the TaskRunner service.
func (g *Grants) FenceTask(ctx context.Context, req *pb.FenceTaskRequest) (*pb.AttemptReport, error) {
	g.serial.Lock()
	defer g.serial.Unlock()
	if !g.raise(req.Epoch) {
		return &pb.AttemptReport{Attempt: req.Attempt, Epoch: g.Epoch(), Detail: "fence is of an older epoch"}, nil
	}
	return g.fate(ctx, req.Attempt, req.Epoch)
}

// fate returns what became of an attempt; one that the worker does not know is
// fenced.
func (g *Grants) fate(ctx context.Context, a *pb.Attempt, epoch uint64) (*pb.AttemptReport, error) {
	key := keyOf(a)
	list, err := g.worker.List(ctx)
	if err != nil {
		return nil, err
	}
	for _, s := range list {
		if s.Key == key {
			return g.report(s), nil
		}
	}
	return g.neverStarted(a, epoch)
}

// Epoch returns the highest epoch seen.
func (g *Grants) Epoch() uint64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.epoch
}

var attemptStates = map[platform.TaskPhase]pb.AttemptState{
	platform.PhaseRunning:  pb.AttemptState_ATTEMPT_STATE_RUNNING,
	platform.PhaseFinished: pb.AttemptState_ATTEMPT_STATE_FINISHED,
	platform.PhaseFailed:   pb.AttemptState_ATTEMPT_STATE_FAILED,
	platform.PhaseStopped:  pb.AttemptState_ATTEMPT_STATE_STOPPED,
	platform.PhaseLapsed:   pb.AttemptState_ATTEMPT_STATE_STOPPED,
}

func (g *Grants) report(s platform.TaskStatus) *pb.AttemptReport {
	r := &pb.AttemptReport{
		Attempt: &pb.Attempt{Shard: g.options.Shard, JobId: s.Key.JobID, Index: s.Key.Index, Attempt: s.Key.Attempt},
		State:   attemptStates[s.Phase], Result: s.Result, Checkpoint: s.Checkpoint,
		Detail: s.Detail, RanMs: s.Ran.Milliseconds(), Used: s.Used, Epoch: g.Epoch(),
	}
	g.complete(s, r)
	return r
}
