// Package retry repeats a hand-over that certainly did not run, and one with an
// unknown outcome if the request may be repeated. A budget bounds the repeats.
package retry

import (
	"context"
	"sync"
	"time"

	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// Budget allows a share of the requests to be repeated. It is safe for
// concurrent use.
type Budget struct {
	mu     sync.Mutex
	tokens float64
	gain   float64
	limit  float64
}

// NewBudget returns a budget that gains a token for each request times gain and
// holds at most limit tokens.
func NewBudget(gain, limit float64) *Budget {
	return &Budget{tokens: limit, gain: gain, limit: limit}
}

func (b *Budget) earn() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.gain, b.limit)
}

func (b *Budget) spend() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Filter is the stage.
type Filter struct {
	next     request.Handler
	budget   *Budget
	maxTries int
}

// New returns the stage in front of next.
func New(next request.Handler, budget *Budget, maxTries int) *Filter {
	return &Filter{next: next, budget: budget, maxTries: maxTries}
}

// Handle passes the request on until it is answered, may not be repeated, or
// the budget is spent.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	f.budget.earn()
	var last *fault.Error
	for try := 1; ; try++ {
		a, err := f.next.Handle(ctx, r)
		if err == nil {
			return a, nil
		}
		last = worse(last, fault.As(err))
		if try >= f.maxTries || !f.mayRepeat(r, fault.As(err)) || !f.budget.spend() {
			return nil, last
		}
		events.RequestRetried.LogError(err, "request", r.ID, "service", r.Service, "try", try)
	}
}

// mayRepeat allows a repeat if the request has time left and either did not run
// or may run again.
func (f *Filter) mayRepeat(r *request.Request, e *fault.Error) bool {
	if r.Remaining(time.Now()) <= 0 || e.Outcome == fault.Done {
		return false
	}
	switch e.Code {
	case fault.CodeTooLate, fault.CodeUnknownService, fault.CodeBadRequest, fault.CodeConflict, fault.CodeLogDown:
		return false
	case fault.CodeNoEndpoint:
		return e.Step != fault.StepPick
	}
	return e.Outcome == fault.NotRun || r.Repeatable
}

// worse keeps an unknown outcome over a later "not run": the request as a whole
// may have run.
func worse(old, now *fault.Error) *fault.Error {
	if old != nil && old.Outcome == fault.Unknown && now.Outcome == fault.NotRun {
		return old
	}
	return now
}
