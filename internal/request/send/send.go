// Package send hands a request over to the agent of its target and, when the
// answer does not come, asks over a new connection what became of it.
package send

import (
	"context"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/peer"
	"chervilridge/internal/request"
)

const (
	// ownRequest is what a reply's load no longer counts but InFlight still does.
	ownRequest  = 1
	ejectAfter  = 3 // failed hand-overs in a row
	ejectPause  = 2 * time.Second
	retryAdvice = time.Second
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
	callCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	tracked, handOver := peer.TrackHandOver(callCtx)
	began := time.Now()
	reply, err := pb.NewRunnerClient(conn).Execute(tracked, s.message(r))
	if err == nil {
		r.Target.NoteSuccess()
		if reply.Outcome == pb.Outcome_OUTCOME_DONE {
			r.Target.NoteLoad(int64(reply.Running), int64(reply.Queued), ownRequest, time.Now())
		}
		return decide(r, reply)
	}
	if ctx.Err() == nil {
		r.Target.NoteFailure(time.Now(), ejectAfter, ejectPause)
	}
	if !handOver.Began() {
		return nil, notHandedOver(r, err)
	}
	return s.resolve(callCtx, r, began, err)
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

// notHandedOver says that no byte of the request left this process.
func notHandedOver(r *request.Request, cause error) error {
	agent := r.Target.Endpoint.Agent
	events.HandOverRefused.LogError(cause, "request", r.ID, "peer", agent)
	code := fault.CodePeerUnreachable
	if r.Remaining(time.Now()) <= 0 {
		code = fault.CodeTooLate
	}
	return fault.Wrap(cause, code, fault.StepSend, agent, "no connection, request not handed over").WithRequest(r.ID)
}

// decide turns an agent's reply into an answer or a typed error.
func decide(r *request.Request, reply *pb.ExecuteReply) (*request.Answer, error) {
	switch {
	case reply.Outcome == pb.Outcome_OUTCOME_DONE && reply.AnswerGone:
		return nil, fault.New(fault.CodeAnswerGone, fault.StepExecute, r.Target.Endpoint.Agent, reply.Detail).
			WithOutcome(fault.Done).WithRequest(r.ID)
	case reply.Outcome == pb.Outcome_OUTCOME_DONE:
		return ToAnswer(reply, r.Target.Endpoint.Agent, len(r.Tried)), nil
	case reply.Outcome == pb.Outcome_OUTCOME_NOT_RUN:
		return nil, refused(r, reply)
	}
	return nil, unknown(r, fault.New(fault.CodeOutcomeUnknown, fault.StepExecute, r.Target.Endpoint.Agent, reply.Detail))
}

// ToAnswer returns the answer that an agent's reply carries.
func ToAnswer(reply *pb.ExecuteReply, agent string, hops int) *request.Answer {
	return &request.Answer{
		RequestID: reply.RequestId, Status: int(reply.Status), Body: reply.Body, ContentType: reply.ContentType,
		Agent: agent, Hops: hops, Length: reply.Length, Digest: reply.Digest,
	}
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
	pb.Refusal_REFUSAL_ID_REUSED:         fault.CodeConflict,
}

func refused(r *request.Request, reply *pb.ExecuteReply) error {
	code, ok := refusalCodes[reply.Refusal]
	if !ok {
		code = fault.CodeInternal
	}
	e := fault.New(code, fault.StepExecute, r.Target.Endpoint.Agent, reply.Detail).WithRequest(r.ID)
	if code == fault.CodeOverloaded {
		e = e.WithRetryAfter(retryAdvice)
	}
	return e
}

func unknown(r *request.Request, cause error) error {
	return fault.Wrap(cause, fault.CodeOutcomeUnknown, fault.StepSend, r.Target.Endpoint.Agent, "no answer in time").
		WithOutcome(fault.Unknown).WithRequest(r.ID).WithAgent(request.AgentRef(r.Target.Endpoint))
}
