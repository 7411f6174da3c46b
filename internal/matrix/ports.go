package matrix

import (
	"context"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/platform"
)

// directive is what a fault asks of the very call that met it.
type directive struct {
	loseAnswer bool          // the call takes effect, its caller learns nothing
	double     bool          // the call takes effect twice
	late       bool          // the call takes effect late, its caller learns nothing
	hold       time.Duration // the call is kept back that long
}

const (
	secondCopyAfter = 30 * time.Millisecond
	slowBy          = 30 * time.Millisecond
	// lateEffect is later than the owner's first question about the attempt.
	lateEffect  = confirmAfter + 200*time.Millisecond
	clockStepMs = -3_600_000
)

// logPort is the platform's log as one process reaches it.
type logPort struct {
	cluster *cluster
	gate    *gate
	node    string
}

func (p *logPort) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	p.cluster.crawl()
	if !p.gate.pass() {
		return 0, platform.ErrUnavailable
	}
	batch := &pb.Batch{}
	if err := proto.Unmarshal(payload, batch); err != nil {
		return 0, err
	}
	d := p.meet(batch)
	p.cluster.sleep(d.hold)
	if !p.gate.pass() {
		return 0, platform.ErrUnavailable
	}
	payload, err := p.cluster.stepClocks(batch)
	if err != nil {
		return 0, err
	}
	if d.double {
		_, _ = p.cluster.store.Append(ctx, stream, payload)
	}
	offset, err := p.cluster.store.Append(context.WithoutCancel(ctx), stream, payload)
	if !p.gate.pass() || d.loseAnswer {
		return 0, platform.ErrUnknownOutcome
	}
	return offset, err
}

func (p *logPort) meet(batch *pb.Batch) directive {
	for _, rec := range batch.Records {
		if d, met := p.cluster.meet(stepOfRecord(rec), p.node); met {
			return d
		}
	}
	return directive{}
}

func (p *logPort) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.ReadResult, error) {
	p.cluster.crawl()
	if !p.gate.pass() {
		return platform.ReadResult{}, platform.ErrUnavailable
	}
	res, err := p.cluster.store.Read(ctx, stream, from, limit, wait)
	if !p.gate.pass() {
		return platform.ReadResult{}, platform.ErrUnavailable
	}
	return res, err
}

func stepOfRecord(rec *pb.Record) Step {
	switch rec.Body.(type) {
	case *pb.Record_ShardClaim:
		return StepClaim
	case *pb.Record_TaskAssigned:
		return StepAssign
	case *pb.Record_TaskReleased:
		return StepRelease
	case *pb.Record_TaskFinished:
		return StepComplete
	case *pb.Record_JobsCancelled:
		return StepCancel
	case *pb.Record_DataCentreChange:
		return StepConfigure
	}
	return ""
}

// workerPort is a worker as the agent beside it reaches it.
type workerPort struct {
	platform.Worker

	cluster *cluster
	gate    *gate
	node    string
}

// call carries out one call on the worker with the fault that meets it.
func (p *workerPort) call(step Step, do func() error) error {
	if !p.gate.pass() {
		return platform.ErrUnavailable
	}
	d, _ := p.cluster.meet(step, p.node)
	if !p.gate.pass() {
		return platform.ErrUnavailable
	}
	if d.late {
		time.AfterFunc(lateEffect, func() { _ = do() })
		return platform.ErrUnknownOutcome
	}
	err := do()
	if d.double {
		_ = do()
	}
	if !p.gate.pass() || d.loseAnswer {
		return platform.ErrUnknownOutcome
	}
	return err
}

func (p *workerPort) Start(ctx context.Context, spec platform.StartSpec) error {
	step := StepWorkerStart
	if len(spec.Checkpoint) > 0 {
		step = StepWorkerResume
	}
	return p.call(step, func() error { return p.Worker.Start(context.WithoutCancel(ctx), spec) })
}

func (p *workerPort) Renew(ctx context.Context, key platform.TaskKey, lease time.Duration) error {
	return p.call(StepWorkerRenew, func() error { return p.Worker.Renew(context.WithoutCancel(ctx), key, lease) })
}

func (p *workerPort) Checkpoint(ctx context.Context, key platform.TaskKey) ([]byte, error) {
	var handle []byte
	err := p.call(StepCheckpoint, func() error {
		var err error
		handle, err = p.Worker.Checkpoint(context.WithoutCancel(ctx), key)
		return err
	})
	return handle, err
}

func (p *workerPort) Stop(ctx context.Context, key platform.TaskKey) (platform.TaskStatus, error) {
	var s platform.TaskStatus
	err := p.call(StepEvict, func() error {
		var err error
		s, err = p.Worker.Stop(context.WithoutCancel(ctx), key)
		return err
	})
	return s, err
}

// intercept stands before every service of a process.
func (n *node) intercept(ctx context.Context, req any, _ *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (any, error) {
	n.cluster.crawl()
	sender := n.cluster.sender(req)
	if sender != nil && (!sender.sends() || !sender.pass()) {
		<-ctx.Done()
		return nil, errGone
	}
	if !n.gate.receives() || !n.gate.pass() {
		return nil, errGone
	}
	d, _ := n.cluster.meet(stepOfMessage(req), n.name)
	n.cluster.sleep(d.hold)
	if (sender != nil && !sender.pass()) || !n.gate.pass() {
		return nil, errGone
	}
	ctx = context.WithoutCancel(ctx)
	reply, err := handler(ctx, req)
	if d.double {
		time.AfterFunc(secondCopyAfter, func() { _, _ = handler(ctx, req) })
	}
	if !n.gate.pass() || !n.gate.sends() || d.loseAnswer {
		return nil, errGone
	}
	return reply, err
}

func stepOfMessage(req any) Step {
	switch m := req.(type) {
	case *pb.StartTaskRequest:
		if len(m.Checkpoint) > 0 {
			return StepResume
		}
		return StepStart
	case *pb.StopTaskRequest:
		return StepStop
	case *pb.BeatRequest:
		for _, a := range m.Attempts {
			if a.State == pb.AttemptState_ATTEMPT_STATE_RUNNING {
				return StepRenew
			}
		}
	}
	return ""
}
