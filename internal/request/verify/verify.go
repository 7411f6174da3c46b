// Package verify rejects an answer that is truncated, corrupted or belongs to another
// request.
package verify

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// Filter is the pipeline stage that verifies answers.
type Filter struct {
	next request.Handler
}

// New returns a Filter that verifies the answers of next.
func New(next request.Handler) *Filter { return &Filter{next: next} }

// Handle checks request id, length and digest of the answer. A mismatch is an error
// with unknown outcome, since the request may have run.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	a, err := f.next.Handle(ctx, r)
	if err != nil {
		return nil, err
	}
	if !Valid(a, r.ID) {
		events.AnswerInvalid.Log("request", r.ID, "peer", a.Agent, "got", len(a.Body), "announced", a.Length, "answerTo", a.RequestID)
		return nil, fault.New(fault.CodeOutcomeUnknown, fault.StepVerify, a.Agent, "answer is incomplete, corrupted or for another request").
			WithOutcome(fault.Unknown).WithRequest(r.ID).WithAgent(request.AgentRef(r.Target.Endpoint))
	}
	return a, nil
}

// Valid reports whether the answer belongs to the request id and its body matches
// the announced length and digest.
func Valid(a *request.Answer, id string) bool {
	return a.RequestID == id && uint64(len(a.Body)) == a.Length && xxhash.Sum64(a.Body) == a.Digest
}
