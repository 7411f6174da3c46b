// Package retry retries hand-offs that certainly did not run, and those with an
// unknown outcome if the request is repeatable. A budget bounds the retries.
package retry

import (
	"context"
	"sync"
	"time"

	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// Budget is a token bucket that limits retries to a share of the requests. It is safe
// for concurrent use.
type Budget struct {
	mu               sync.Mutex
	tokens           float64
	tokensPerRequest float64
	maxTokens        float64
}

// NewBudget returns a full budget that gains tokensPerRequest for each request and
// holds at most maxTokens. A retry costs one token.
func NewBudget(tokensPerRequest, maxTokens float64) *Budget {
	return &Budget{tokens: maxTokens, tokensPerRequest: tokensPerRequest, maxTokens: maxTokens}
}

// deposit credits the budget for one request.
func (b *Budget) deposit() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.tokens = min(b.tokens+b.tokensPerRequest, b.maxTokens)
}

// tryWithdraw takes the token for one retry and reports whether there was one.
func (b *Budget) tryWithdraw() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Filter is the pipeline stage that retries hand-offs.
type Filter struct {
	next        request.Handler
	budget      *Budget
	maxAttempts int
}

// New returns a Filter that passes a request to next at most maxAttempts times.
func New(next request.Handler, budget *Budget, maxAttempts int) *Filter {
	return &Filter{next: next, budget: budget, maxAttempts: maxAttempts}
}

// Handle passes the request to the next stage until it is answered, may not be
// retried, or attempts or budget are exhausted.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	f.budget.deposit()
	var failure *fault.Error
	for attempt := 1; ; attempt++ {
		a, err := f.next.Handle(ctx, r)
		if err == nil {
			return a, nil
		}
		failure = preferUnknown(failure, fault.As(err))
		if attempt >= f.maxAttempts || !f.mayRetry(r, fault.As(err)) || !f.budget.tryWithdraw() {
			return nil, failure
		}
		events.RequestRetried.LogError(err, "request", r.ID, "service", r.Service, "try", attempt)
	}
}

// mayRetry reports whether to retry after e: the request has time left, another attempt
// could succeed, and the request either did not run or is repeatable.
func (f *Filter) mayRetry(r *request.Request, e *fault.Error) bool {
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

// preferUnknown returns the latest failure, unless an earlier attempt has an unknown
// outcome and the latest did not run: then the request as a whole may have run.
func preferUnknown(previous, latest *fault.Error) *fault.Error {
	if previous != nil && previous.Outcome == fault.Unknown && latest.Outcome == fault.NotRun {
		return previous
	}
	return latest
}
