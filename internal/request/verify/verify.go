// Package verify passes an answer on only if it is whole and belongs to the
// request.
package verify

import (
	"context"

	"github.com/cespare/xxhash/v2"

	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// Filter is the stage.
type Filter struct {
	next request.Handler
}

// New returns the stage in front of next.
func New(next request.Handler) *Filter { return &Filter{next: next} }

// Handle checks id, length and digest of the answer.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	a, err := f.next.Handle(ctx, r)
	if err != nil {
		return nil, err
	}
	if !Whole(a, r.ID) {
		events.AnswerCut.Log("request", r.ID, "peer", a.Agent, "got", len(a.Body), "announced", a.Length, "answerTo", a.RequestID)
		return nil, fault.New(fault.CodeOutcomeUnknown, fault.StepVerify, a.Agent, "answer is not whole or not to this request").
			WithOutcome(fault.Unknown).WithRequest(r.ID).WithAgent(request.AgentRef(r.Target.Endpoint))
	}
	return a, nil
}

// Whole reports whether the answer is complete and to the request of that id.
func Whole(a *request.Answer, id string) bool {
	return a.RequestID == id && uint64(len(a.Body)) == a.Length && xxhash.Sum64(a.Body) == a.Digest
}
