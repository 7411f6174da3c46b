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
	"chervilridge/internal/platform"
	"chervilridge/internal/resources"
)

// tombstoneLife is how long a fenced attempt is remembered: far longer than a
// start of the same incarnation can be under way.
const tombstoneLife = 10 * time.Minute

// Options describe the agent.
type Options struct {
	Incarnation string
	Shard       uint32
	// Began is when the agent's clock was zero.
	Began time.Time
}

// Grants implements the TaskRunner service. One lock guards epoch and
// tombstones; starts, stops and fences are serialised by another, so that the
// question "did it start" has one answer.
type Grants struct {
	pb.UnimplementedTaskRunnerServer

	options Options
	worker  platform.Worker

	serial sync.Mutex // held over a start, a stop or a fence

	mu         sync.Mutex
	epoch      uint64
	tombstones map[platform.TaskKey]time.Time
}

// New returns grants with none given.
func New(options Options, worker platform.Worker) *Grants {
	return &Grants{
		options: options, worker: worker,
		tombstones: map[platform.TaskKey]time.Time{},
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

func (g *Grants) bury(key platform.TaskKey) {
	g.mu.Lock()
	defer g.mu.Unlock()
	now := time.Now()
	for k, at := range g.tombstones {
		if now.Sub(at) > tombstoneLife {
			delete(g.tombstones, k)
		}
	}
	g.tombstones[key] = now
}

func (g *Grants) buried(key platform.TaskKey) bool {
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
	if reason := g.refusal(ctx, req, key); reason != "" {
		g.bury(key)
		events.TaskStartRefused.Log("job", key.JobID, "index", key.Index, "attempt", key.Attempt, "epoch", req.Epoch, "reason", reason)
		return &pb.StartTaskReply{Reason: reason}, nil
	}
	err := g.worker.Start(ctx, platform.StartSpec{
		Key: key, JobClass: req.JobClass, Payload: req.Payload, Checkpoint: req.Checkpoint,
		Reserved: req.Reserved, Duration: time.Duration(req.DurationMs) * time.Millisecond,
		Lease: time.Duration(req.GrantMs) * time.Millisecond,
	})
	if errors.Is(err, platform.ErrUnknownOutcome) {
		return nil, err
	}
	if err != nil && !errors.Is(err, platform.ErrExists) {
		g.bury(key)
		return &pb.StartTaskReply{Reason: err.Error(), WorkerFault: true}, nil
	}
	events.TaskStarted.Log("job", key.JobID, "index", key.Index, "attempt", key.Attempt, "epoch", req.Epoch)
	return &pb.StartTaskReply{Started: true}, nil
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
	case g.buried(key):
		return "attempt is fenced"
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
	for _, s := range list {
		if s.Phase != platform.PhaseRunning || s.Key == key {
			continue
		}
		if s.Key.JobID == key.JobID && s.Key.Index == key.Index {
			return "another attempt of the task runs"
		}
		used = resources.Add(used, s.Used)
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
	status, err := g.worker.Stop(ctx, key)
	if errors.Is(err, platform.ErrNoSuchTask) {
		g.bury(key)
		return &pb.AttemptReport{Attempt: req.Attempt, State: pb.AttemptState_ATTEMPT_STATE_NEVER_STARTED, Epoch: g.Epoch()}, nil
	}
	if err != nil {
		return nil, err
	}
	events.TaskStopped.Log("job", key.JobID, "index", key.Index, "attempt", key.Attempt, "reason", req.Reason.String())
	report := g.report(status)
	report.Reason = req.Reason
	return report, nil
}

// FenceTask implements the TaskRunner service.
func (g *Grants) FenceTask(ctx context.Context, req *pb.FenceTaskRequest) (*pb.AttemptReport, error) {
	g.serial.Lock()
	defer g.serial.Unlock()
	if !g.raise(req.Epoch) {
		return &pb.AttemptReport{Attempt: req.Attempt, Epoch: g.Epoch(), Detail: "fence is of an older epoch"}, nil
	}
	key := keyOf(req.Attempt)
	list, err := g.worker.List(ctx)
	if err != nil {
		return nil, err
	}
	for _, s := range list {
		if s.Key == key {
			return g.report(s), nil
		}
	}
	g.bury(key)
	events.TaskFenced.Log("job", key.JobID, "index", key.Index, "attempt", key.Attempt, "epoch", req.Epoch)
	return &pb.AttemptReport{Attempt: req.Attempt, State: pb.AttemptState_ATTEMPT_STATE_NEVER_STARTED, Epoch: g.Epoch()}, nil
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
	if s.Phase == platform.PhaseLapsed {
		r.Reason = pb.ReleaseReason_RELEASE_REASON_LOST
	}
	return r
}
