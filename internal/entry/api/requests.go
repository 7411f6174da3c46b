package api

import (
	"context"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/ident"
	"chervilridge/internal/membership"
	"chervilridge/internal/request"
	"chervilridge/internal/request/parse"
	"chervilridge/internal/request/send"
	"chervilridge/internal/request/verify"
)

// Response headers.
const (
	HeaderAgent   = "X-Chervil-Agent"
	HeaderOutcome = "X-Chervil-Outcome"
)

// postRequest passes a request through the pipeline and writes the endpoint's answer.
func (a *api) postRequest(c *gin.Context) {
	r, body, err := parse.Parse(c.Writer, c.Request, c.Param("service"), a.Limits, a.Bodies)
	if err != nil {
		writeError(c, err)
		return
	}
	defer body.Release()
	started := time.Now()
	answer, err := a.Pipeline.Handle(c.Request.Context(), r)
	if err != nil {
		writeError(c, fault.As(err).WithRequest(requestID(fault.As(err), r.ID)))
		return
	}
	events.RequestAnswered.Log("request", r.ID, "service", r.Service, "client", r.Client,
		"peer", answer.Agent, "status", answer.Status, "tries", answer.Attempts, "took", time.Since(started))
	c.Header(parse.HeaderRequestID, answer.RequestID)
	c.Header(HeaderAgent, answer.Agent)
	c.Header(HeaderOutcome, string(fault.Done))
	c.Data(answer.Status, answer.ContentType, answer.Body)
}

// requestID returns the ID in the error, that of an earlier request with the same
// idempotency key, or else defaultID.
func requestID(e *fault.Error, defaultID string) string {
	if e.RequestID != "" {
		return e.RequestID
	}
	return defaultID
}

// OutcomeResolver resolves the outcome of a request by asking its agent.
type OutcomeResolver struct {
	registry *membership.Registry
}

// NewOutcomeResolver returns a resolver that finds agents in the registry.
func NewOutcomeResolver(registry *membership.Registry) *OutcomeResolver {
	return &OutcomeResolver{registry: registry}
}

// Outcome is the JSON form of a request's outcome.
type Outcome struct {
	RequestID string        `json:"request_id"`
	Outcome   fault.Outcome `json:"outcome"`
	Agent     string        `json:"agent,omitempty"`
	Detail    string        `json:"detail,omitempty"`
}

// Resolve asks the agent that ref names as name/incarnation. Only the incarnation that got
// the request can state that it did not run; a later one only looks it up. If the agent
// cannot be reached, it fails with CodeOutcomeUnknown.
func (k *OutcomeResolver) Resolve(ctx context.Context, ref, requestID string) (*pb.ExecuteReply, error) {
	agent, incarnation := request.SplitAgentRef(ref)
	endpoint := k.registry.Find(agent)
	if endpoint == nil {
		return nil, fault.Newf(fault.CodeOutcomeUnknown, fault.StepResolve, agent, "agent %q has no live lease", agent).
			WithOutcome(fault.Unknown).WithRequest(requestID).WithAgent(ref)
	}
	reply, err := send.Resolve(ctx, endpoint.Address, &pb.ResolveRequest{RequestId: requestID, Incarnation: incarnation})
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeOutcomeUnknown, fault.StepResolve, agent, "agent did not answer").
			WithOutcome(fault.Unknown).WithRequest(requestID).WithAgent(ref)
	}
	return reply, nil
}

// getOutcome writes the stored answer of a request that is done, or else its outcome.
func (a *api) getOutcome(c *gin.Context) {
	id, agent := c.Param("id"), c.Query("agent")
	if !ident.Valid(id) || agent == "" {
		writeError(c, fault.New(fault.CodeBadRequest, fault.StepParse, "", "a valid request ID and the query parameter agent are required"))
		return
	}
	reply, err := a.Outcomes.Resolve(c.Request.Context(), agent, id)
	if err != nil {
		writeError(c, err)
		return
	}
	answer := send.ToAnswer(reply, agent, 0)
	if reply.Outcome == pb.Outcome_OUTCOME_DONE && !reply.AnswerGone && verify.Valid(answer, id) {
		c.Header(parse.HeaderRequestID, id)
		c.Header(HeaderAgent, agent)
		c.Header(HeaderOutcome, string(fault.Done))
		c.Data(answer.Status, answer.ContentType, answer.Body)
		return
	}
	c.JSON(http.StatusOK, Outcome{RequestID: id, Agent: agent, Detail: reply.Detail, Outcome: outcomeOf(reply)})
}

func outcomeOf(reply *pb.ExecuteReply) fault.Outcome {
	switch reply.Outcome {
	case pb.Outcome_OUTCOME_DONE:
		return fault.Done
	case pb.Outcome_OUTCOME_NOT_RUN:
		return fault.NotRun
	}
	return fault.Unknown
}
