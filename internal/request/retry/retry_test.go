package retry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// scriptedHandler returns the given errors in turn, then keeps returning the last one.
type scriptedHandler struct {
	errors []error
	calls  int
}

func (s *scriptedHandler) Handle(context.Context, *request.Request) (*request.Answer, error) {
	err := s.errors[min(s.calls, len(s.errors)-1)]
	s.calls++
	if err != nil {
		return nil, err
	}
	return &request.Answer{}, nil
}

func newFault(code fault.Code, step fault.Step, outcome fault.Outcome) error {
	return fault.New(code, step, "agent-1", "").WithOutcome(outcome)
}

// TestRetries checks which failures are retried and which outcome the caller gets.
func TestRetries(t *testing.T) {
	notRun := newFault(fault.CodeLeaving, fault.StepExecute, fault.NotRun)
	unknown := newFault(fault.CodeOutcomeUnknown, fault.StepSend, fault.Unknown)
	cases := []struct {
		name       string
		repeatable bool
		errors     []error
		calls      int
		want       fault.Outcome // empty if answered
	}{
		{"not run, once", false, []error{notRun, nil}, 2, ""},
		{"unknown, once", false, []error{unknown, nil}, 1, fault.Unknown},
		{"unknown, repeatable", true, []error{unknown, nil}, 2, ""},
		{"not run, then unknown, once", false, []error{notRun, unknown, nil}, 2, fault.Unknown},
		{"unknown, then not run: may have run", true, []error{unknown, notRun}, 3, fault.Unknown},
		{"too late", true, []error{newFault(fault.CodeTooLate, fault.StepExecute, fault.NotRun), nil}, 1, fault.NotRun},
		{"none left", true, []error{newFault(fault.CodeNoEndpoint, fault.StepPick, fault.NotRun), nil}, 1, fault.NotRun},
		{"endpoint down", false, []error{newFault(fault.CodeNoEndpoint, fault.StepExecute, fault.NotRun), nil}, 2, ""},
		{"id reused", true, []error{newFault(fault.CodeConflict, fault.StepExecute, fault.NotRun), nil}, 1, fault.NotRun},
		{"ran, answer gone", true, []error{newFault(fault.CodeAnswerGone, fault.StepExecute, fault.Done), nil}, 1, fault.Done},
		{"log down", false, []error{newFault(fault.CodeLogDown, fault.StepClaim, fault.NotRun), nil}, 1, fault.NotRun},
	}
	for _, c := range cases {
		next := &scriptedHandler{errors: c.errors}
		f := New(next, NewBudget(0.1, 50), 3)
		_, err := f.Handle(context.Background(), &request.Request{Repeatable: c.repeatable, Deadline: time.Now().Add(time.Hour)})
		assert.Equal(t, next.calls, c.calls, c.name)
		if c.want == "" {
			assert.NilError(t, err, c.name)
			continue
		}
		assert.Equal(t, fault.As(err).Outcome, c.want, c.name)
	}
}

// TestBudgetLimitsRetries guards against retry storms: when every hand-off fails,
// the retries stay within the budget's share of the requests plus its burst, however
// many attempts each request may make.
func TestBudgetLimitsRetries(t *testing.T) {
	const requests, share, burst, maxAttempts = 10_000, 0.1, 50, 10
	next := &scriptedHandler{errors: []error{newFault(fault.CodeOverloaded, fault.StepExecute, fault.NotRun)}}
	f := New(next, NewBudget(share, burst), maxAttempts)
	for range requests {
		_, err := f.Handle(context.Background(), &request.Request{Repeatable: true, Deadline: time.Now().Add(time.Hour)})
		assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
	}
	retries := next.calls - requests
	assert.Assert(t, retries <= requests*share+burst, "%d retries", retries)
}
