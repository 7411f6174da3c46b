// Package send hands a request over to the agent of its target and, when the
// answer does not come, asks over a new connection what became of it.
package send

import (
	"context"
	"time"

	"google.golang.org/grpc"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/peer"
	"chervilridge/internal/request"
)

const (
	resolvePause   = 100 * time.Millisecond
	resolveTimeout = time.Second
	ejectAfter     = 3 // failed hand-overs in a row
	ejectPause     = 2 * time.Second
)

// Stage is the last stage.
type Stage struct {
	pool *peer.Pool
}

// New returns the stage.
func New(pool *peer.Pool) *Stage { return &Stage{pool: pool} }

// Handle runs one hand-over. An error with outcome "not run" is proof that the
// target did not run the request and never will.
func (s *Stage) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	conn, err := s.pool.Get(r.Target.Endpoint.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	reply, err := pb.NewRunnerClient(conn).Execute(ctx, s.message(r))
	if err == nil {
		r.Target.NoteSuccess()
		return decide(r, reply)
	}
	r.Target.NoteFailure(time.Now(), ejectAfter, ejectPause)
	s.pool.Drop(r.Target.Endpoint.Address, conn)
	return s.resolve(ctx, r, err)
}

func (s *Stage) message(r *request.Request) *pb.ExecuteRequest {
	return &pb.ExecuteRequest{
		RequestId: r.ID, Service: r.Service, Client: r.Client,
		Incarnation: r.Target.Endpoint.Incarnation,
		RemainingMs: r.Remaining(time.Now()).Milliseconds(),
		Repeatable:  r.Repeatable, Body: r.Body, ContentType: r.ContentType,
		Weight: r.Weight, ClientLimit: r.ClientLimit,
	}
}

// resolve asks the target for the outcome until the deadline. The question
// itself keeps a request that the target has not seen from ever running.
func (s *Stage) resolve(ctx context.Context, r *request.Request, cause error) (*request.Answer, error) {
	events.RequestUnresolved.LogError(cause, "request", r.ID, "peer", r.Target.Endpoint.Agent)
	for ctx.Err() == nil {
		reply, err := s.ask(ctx, r)
		if err == nil && reply.Outcome != pb.Outcome_OUTCOME_RUNNING {
			events.RequestResolved.Log("request", r.ID, "peer", r.Target.Endpoint.Agent, "outcome", reply.Outcome.String())
			return decide(r, reply)
		}
		sleep(ctx, resolvePause)
	}
	return nil, unknown(r, cause)
}

func (s *Stage) ask(ctx context.Context, r *request.Request) (*pb.ExecuteReply, error) {
	conn, err := peer.Dial(r.Target.Endpoint.Address)
	if err != nil {
		return nil, err
	}
	defer closeConn(conn)
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	return pb.NewRunnerClient(conn).Resolve(ctx, &pb.ResolveRequest{
		RequestId: r.ID, Incarnation: r.Target.Endpoint.Incarnation,
		WaitMs: (resolveTimeout / 2).Milliseconds(),
	})
}

func closeConn(c *grpc.ClientConn) { _ = c.Close() }

// decide turns an agent's reply into an answer or a typed error.
func decide(r *request.Request, reply *pb.ExecuteReply) (*request.Answer, error) {
	switch reply.Outcome {
	case pb.Outcome_OUTCOME_DONE:
		return &request.Answer{
			RequestID: reply.RequestId, Status: int(reply.Status), Body: reply.Body, ContentType: reply.ContentType,
			Agent: r.Target.Endpoint.Agent, Hops: len(r.Tried), Length: reply.Length, Digest: reply.Digest,
		}, nil
	case pb.Outcome_OUTCOME_NOT_RUN:
		return nil, refused(r, reply)
	}
	return nil, unknown(r, fault.New(fault.CodeOutcomeUnknown, fault.StepSend, r.Target.Endpoint.Agent, reply.Detail))
}

var refusalCodes = map[pb.Refusal]fault.Code{
	pb.Refusal_REFUSAL_LEAVING:           fault.CodeLeaving,
	pb.Refusal_REFUSAL_QUEUE_FULL:        fault.CodeOverloaded,
	pb.Refusal_REFUSAL_CLIENT_LIMIT:      fault.CodeOverloaded,
	pb.Refusal_REFUSAL_TOO_LATE:          fault.CodeTooLate,
	pb.Refusal_REFUSAL_WRONG_SERVICE:     fault.CodeUnknownService,
	pb.Refusal_REFUSAL_WRONG_INCARNATION: fault.CodeNoEndpoint,
	pb.Refusal_REFUSAL_FENCED:            fault.CodeFenced,
	pb.Refusal_REFUSAL_ENDPOINT_DOWN:     fault.CodeNoEndpoint,
}

func refused(r *request.Request, reply *pb.ExecuteReply) error {
	code, ok := refusalCodes[reply.Refusal]
	if !ok {
		code = fault.CodeInternal
	}
	return fault.New(code, fault.StepExecute, r.Target.Endpoint.Agent, reply.Detail).WithRequest(r.ID)
}

func unknown(r *request.Request, cause error) error {
	return fault.Wrap(cause, fault.CodeOutcomeUnknown, fault.StepSend, r.Target.Endpoint.Agent, "no answer in time").
		WithOutcome(fault.Unknown).WithRequest(r.ID)
}

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
