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
	"chervilridge/internal/peer"
	"chervilridge/internal/request/parse"
)

// Headers of an answer.
const (
	HeaderAgent   = "X-Chervil-Agent"
	HeaderOutcome = "X-Chervil-Outcome"
)

const askTimeout = time.Second

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
		"peer", answer.Agent, "status", answer.Status, "tries", answer.Hops, "took", time.Since(began))
	c.Header(parse.HeaderRequestID, r.ID)
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
	pool     *peer.Pool
}

// NewAsker returns an asker.
func NewAsker(registry *membership.Registry, pool *peer.Pool) *Asker {
	return &Asker{registry: registry, pool: pool}
}

// Outcome is the JSON form of a request's outcome.
type Outcome struct {
	RequestID string        `json:"request_id"`
	Outcome   fault.Outcome `json:"outcome"`
	Agent     string        `json:"agent,omitempty"`
	Detail    string        `json:"detail,omitempty"`
}

// Ask asks one agent by name.
func (k *Asker) Ask(ctx context.Context, agent, requestID string) (*pb.ExecuteReply, error) {
	for _, m := range k.registry.Statuses() {
		if m.Agent == agent {
			return k.ask(ctx, m, requestID)
		}
	}
	return nil, fault.Newf(fault.CodeOutcomeUnknown, fault.StepResolve, agent, "agent %q has no live lease", agent).
		WithOutcome(fault.Unknown).WithRequest(requestID)
}

func (k *Asker) ask(ctx context.Context, m membership.Status, requestID string) (*pb.ExecuteReply, error) {
	conn, err := k.pool.Get(m.Address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	reply, err := pb.NewRunnerClient(conn).Resolve(ctx, &pb.ResolveRequest{RequestId: requestID, Incarnation: m.Incarnation})
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeOutcomeUnknown, fault.StepResolve, m.Agent, "agent did not answer").
			WithOutcome(fault.Unknown).WithRequest(requestID)
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
	out := Outcome{RequestID: id, Agent: agent, Detail: reply.Detail, Outcome: fault.Unknown}
	switch reply.Outcome {
	case pb.Outcome_OUTCOME_DONE:
		c.Header(HeaderOutcome, string(fault.Done))
		c.Data(int(reply.Status), reply.ContentType, reply.Body)
		return
	case pb.Outcome_OUTCOME_NOT_RUN:
		out.Outcome = fault.NotRun
	}
	c.JSON(http.StatusOK, out)
}
