package owner

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/shard"
)

// verdict is what a reported attempt gets in the reply to a beat.
type verdict int

const (
	verdictWait   verdict = iota // nothing yet
	verdictRenew                 // runs as granted
	verdictRecord                // ended and not yet in the ledger
	verdictForget                // ended and in the ledger
	verdictRevoke                // runs but is not granted
)

// Beat implements the ShardOwnerService.
func (o *Owner) Beat(_ context.Context, req *pb.BeatRequest) (*pb.BeatReply, error) {
	epoch, held := o.lease.Held()
	if !held || req.Shard != o.options.Shard || req.Worker == nil {
		return nil, fault.New(fault.CodeNotOwner, fault.StepBeat, req.Worker.GetWorker(), "shard lease is not held")
	}
	o.enter(epoch)
	o.seeWorker(epoch, req)
	alone := o.observe(epoch, req)
	reply := &pb.BeatReply{Epoch: epoch, GrantMs: o.options.Grant.Milliseconds(), ServiceAloneUs: alone.Microseconds()}
	for _, r := range req.Attempts {
		o.answer(epoch, req, r, reply)
	}
	if now, valid := o.lease.Held(); !valid || now != epoch {
		return nil, fault.New(fault.CodeNotOwner, fault.StepBeat, req.Worker.Worker, "shard lease lapsed")
	}
	return reply, nil
}

// seeWorker takes the beat into the worker's view and registers a worker that
// the ledger does not know as it is.
func (o *Owner) seeWorker(epoch uint64, req *pb.BeatRequest) {
	name := req.Worker.Worker
	o.mu.Lock()
	o.workers[name] = &workerView{
		incarnation: req.Incarnation, address: req.Worker.Address, leaving: req.Leaving,
		clock: time.Duration(req.ClockMs) * time.Millisecond, seen: time.Now(),
	}
	o.mu.Unlock()
	known := false
	o.state.View(func(s *shard.State) {
		w := s.Workers()[name]
		known = w != nil && proto.Equal(w.Registered, req.Worker)
	})
	if !known {
		go o.register(epoch, req.Worker)
	}
}

func (o *Owner) register(epoch uint64, w *pb.WorkerRegistered) {
	key := attemptKey{ref: shard.TaskRef{JobID: "worker/" + w.Worker}}
	if !o.occupy(key) {
		return
	}
	defer o.vacate(key)
	v, err := o.commit(context.Background(), epoch, &pb.Record{Body: &pb.Record_WorkerRegistered{WorkerRegistered: w}})
	if err == nil && v.Rejection == nil {
		events.WorkerJoined.Log("worker", w.Worker, "dataCentre", w.DataCentre, "rack", w.Rack, "peer", w.Address)
	}
}

func (o *Owner) answer(epoch uint64, req *pb.BeatRequest, r *pb.AttemptReport, reply *pb.BeatReply) {
	if r.Epoch > epoch {
		return // the agent has heard from a newer owner
	}
	key := attemptKey{shard.TaskRef{JobID: r.Attempt.JobId, Index: r.Attempt.Index}, r.Attempt.Attempt}
	switch o.judge(key, req.Worker.Worker, r) {
	case verdictRenew:
		reply.Renewed = append(reply.Renewed, r.Attempt)
	case verdictForget:
		reply.Recorded = append(reply.Recorded, r.Attempt)
	case verdictRevoke:
		reply.Revoked = append(reply.Revoked, r.Attempt)
	case verdictRecord:
		if o.occupy(key) {
			go func() {
				defer o.vacate(key)
				o.record(context.Background(), epoch, key, r, pb.ReleaseReason_RELEASE_REASON_LOST)
			}()
		}
	}
}

// judge compares a report with the ledger. Only a granted attempt is renewed,
// and the renewal is noted before it is sent.
func (o *Owner) judge(key attemptKey, worker string, r *pb.AttemptReport) verdict {
	granted := false
	o.state.View(func(s *shard.State) {
		_, task := s.Task(key.ref)
		granted = task != nil && task.State == pb.TaskState_TASK_STATE_ASSIGNED &&
			task.Attempt == key.attempt && task.Worker == worker
	})
	running := r.State == pb.AttemptState_ATTEMPT_STATE_RUNNING
	switch {
	case running && !granted:
		return verdictRevoke
	case !running && !granted:
		return verdictForget
	case !running:
		return verdictRecord
	}
	return o.renew(key, r)
}

// renew extends a granted attempt, unless its grant has ended: from then on it is
// being released.
func (o *Owner) renew(key attemptKey, r *pb.AttemptReport) verdict {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view(key)
	now := time.Now()
	if now.After(v.mayRunUntil) {
		return verdictWait
	}
	if len(r.Checkpoint) > 0 {
		v.checkpoint = r.Checkpoint
	}
	v.confirmed = now
	v.mayRunUntil = now.Add(o.options.Grant + o.margin())
	return verdictRenew
}
