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

// Headers of an answer.
const (
	HeaderAgent   = "X-Chervil-Agent"
	HeaderOutcome = "X-Chervil-Outcome"
)

func (a *api) serve(c *gin.Context) {
	r, err := parse.Parse(c.Request, c.Param("service"), a.Limits)
	if err != nil {
		fail(c, err)
		return
	}
	began := time.Now()
	answer, err := a.Pipeline.Handle(c.Request.Context(), r)
	if err != nil {
		fail(c, fault.As(err).WithRequest(requestID(fault.As(err), r.ID)))
		return
	}
	events.RequestAnswered.Log("request", r.ID, "service", r.Service, "client", r.Client,
		"peer", answer.Agent, "status", answer.Status, "tries", answer.Attempts, "took", time.Since(began))
	c.Header(parse.HeaderRequestID, answer.RequestID)
	c.Header(HeaderAgent, answer.Agent)
	c.Header(HeaderOutcome, string(fault.Done))
	c.Data(answer.Status, answer.ContentType, answer.Body)
}

// requestID prefers the id that the error names: that of an earlier request
// with the same idempotency key.
func requestID(e *fault.Error, own string) string {
	if e.RequestID != "" {
		return e.RequestID
	}
	return own
}

// Asker asks agents what became of a request.
type Asker struct {
	registry *membership.Registry
}

// NewAsker returns an asker.
func NewAsker(registry *membership.Registry) *Asker { return &Asker{registry: registry} }

// Outcome is the JSON form of a request's outcome.
type Outcome struct {
	RequestID string        `json:"request_id"`
	Outcome   fault.Outcome `json:"outcome"`
	Agent     string        `json:"agent,omitempty"`
	Detail    string        `json:"detail,omitempty"`
}

// Ask asks an agent, named as name/incarnation. Only the incarnation that had
// the request can say that it did not run; another one only looks.
func (k *Asker) Ask(ctx context.Context, ref, requestID string) (*pb.ExecuteReply, error) {
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

// askOutcome returns the whole answer of a request that is done, or its outcome.
func (a *api) askOutcome(c *gin.Context) {
	id, agent := c.Param("id"), c.Query("agent")
	if !ident.Valid(id) || agent == "" {
		fail(c, fault.New(fault.CodeBadRequest, fault.StepParse, "", "a request id and ?agent= are needed"))
		return
	}
	reply, err := a.Asker.Ask(c.Request.Context(), agent, id)
	if err != nil {
		fail(c, err)
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
