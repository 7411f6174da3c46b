// Package send hands a request off to the agent of its target. If the call fails, it
// resolves the outcome over a new connection.
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
	// answeredRequests is the number of requests that a reply's load no longer counts
	// but the member's InFlight still does: the one just answered.
	answeredRequests = 1
	ejectThreshold   = 3 // consecutive failed hand-offs
	// ejectDuration is the length of the first ejection; membership doubles it for repeated
	// failures.
	ejectDuration = 2 * time.Second
	// retryAfter is the delay that a client is asked to wait after an overload.
	retryAfter = time.Second
)

// Stage is the last stage of the pipeline, which calls the agent.
type Stage struct {
	pool *peer.Pool
}

// New returns a Stage that takes its connections from pool.
func New(pool *peer.Pool) *Stage { return &Stage{pool: pool} }

// Handle makes one hand-off. An error with outcome "not run" guarantees that the target
// has not run the request and never will.
func (s *Stage) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	conn, err := s.pool.Get(r.Target.Endpoint.Address)
	if err != nil {
		return nil, err
	}
	callCtx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	tracked, call := peer.TrackCall(callCtx)
	start := time.Now()
	reply, err := pb.NewRunnerClient(conn).Execute(tracked, s.executeRequest(r))
	if err == nil {
		r.Target.RecordSuccess()
		if reply.Outcome == pb.Outcome_OUTCOME_DONE {
			r.Target.RecordLoad(int64(reply.Running), int64(reply.Queued), answeredRequests, time.Now())
		}
		return answerFromReply(r, reply)
	}
	if ctx.Err() == nil {
		r.Target.RecordFailure(time.Now(), ejectThreshold, ejectDuration)
	}
	if !call.StreamOpened() {
		return nil, notSentError(r, err)
	}
	return s.resolve(callCtx, r, start, err)
}

func (s *Stage) executeRequest(r *request.Request) *pb.ExecuteRequest {
	return &pb.ExecuteRequest{
		RequestId: r.ID, Service: r.Service, Client: r.Client,
		Incarnation: r.Target.Endpoint.Incarnation,
		RemainingMs: r.Remaining(time.Now()).Milliseconds(),
		Repeatable:  r.Repeatable, Body: r.Body, ContentType: r.ContentType,
		Weight: r.Weight, ClientLimit: r.ClientLimit,
	}
}

// notSentError returns an error with outcome "not run" for a request of which no byte was
// sent.
func notSentError(r *request.Request, cause error) error {
	agent := r.Target.Endpoint.Agent
	events.RequestNotSent.LogError(cause, "request", r.ID, "peer", agent)
	code := fault.CodePeerUnreachable
	if r.Remaining(time.Now()) <= 0 {
		code = fault.CodeTooLate
	}
	return fault.Wrap(cause, code, fault.StepSend, agent, "no connection to the agent, request not sent").WithRequest(r.ID)
}

// answerFromReply converts an agent's reply into an answer or a *fault.Error.
func answerFromReply(r *request.Request, reply *pb.ExecuteReply) (*request.Answer, error) {
	switch {
	case reply.Outcome == pb.Outcome_OUTCOME_DONE && reply.AnswerGone:
		return nil, fault.New(fault.CodeAnswerGone, fault.StepExecute, r.Target.Endpoint.Agent, reply.Detail).
			WithOutcome(fault.Done).WithRequest(r.ID)
	case reply.Outcome == pb.Outcome_OUTCOME_DONE:
		return ToAnswer(reply, r.Target.Endpoint.Agent, len(r.Tried)), nil
	case reply.Outcome == pb.Outcome_OUTCOME_NOT_RUN:
		return nil, rejectionError(r, reply)
	}
	return nil, unknownOutcomeError(r, fault.New(fault.CodeOutcomeUnknown, fault.StepExecute, r.Target.Endpoint.Agent, reply.Detail))
}

// ToAnswer returns the answer in an agent's reply, of which the caller has checked that
// the outcome is "done".
func ToAnswer(reply *pb.ExecuteReply, agent string, attempts int) *request.Answer {
	return &request.Answer{
		RequestID: reply.RequestId, Status: int(reply.Status), Body: reply.Body, ContentType: reply.ContentType,
		Agent: agent, Attempts: attempts, Length: reply.Length, Digest: reply.Digest,
	}
}

// rejectionCodes maps an agent's reason for rejecting a request to a fault code.
var rejectionCodes = map[pb.Refusal]fault.Code{
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

// rejectionError returns the error for a request that the agent did not run.
func rejectionError(r *request.Request, reply *pb.ExecuteReply) error {
	code, ok := rejectionCodes[reply.Refusal]
	if !ok {
		code = fault.CodeInternal
	}
	e := fault.New(code, fault.StepExecute, r.Target.Endpoint.Agent, reply.Detail).WithRequest(r.ID)
	if code == fault.CodeOverloaded {
		e = e.WithRetryAfter(retryAfter)
	}
	return e
}

// unknownOutcomeError returns an error that names the agent incarnation, so that the
// client can query the outcome later.
func unknownOutcomeError(r *request.Request, cause error) error {
	return fault.Wrap(cause, fault.CodeOutcomeUnknown, fault.StepSend, r.Target.Endpoint.Agent, "outcome of the request could not be determined").
		WithOutcome(fault.Unknown).WithRequest(r.ID).WithAgent(request.AgentRef(r.Target.Endpoint))
}
