package retry

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// scripted fails with the given errors in turn, and the last one for ever.
type scripted struct {
	errors []error
	calls  int
}

func (s *scripted) Handle(context.Context, *request.Request) (*request.Answer, error) {
	err := s.errors[min(s.calls, len(s.errors)-1)]
	s.calls++
	if err != nil {
		return nil, err
	}
	return &request.Answer{}, nil
}

func failure(code fault.Code, step fault.Step, outcome fault.Outcome) error {
	return fault.New(code, step, "agent-1", "").WithOutcome(outcome)
}

// TestRepeats tells which failures are repeated and what the caller gets.
func TestRepeats(t *testing.T) {
	notRun := failure(fault.CodeLeaving, fault.StepExecute, fault.NotRun)
	unknown := failure(fault.CodeOutcomeUnknown, fault.StepSend, fault.Unknown)
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
		{"too late", true, []error{failure(fault.CodeTooLate, fault.StepExecute, fault.NotRun), nil}, 1, fault.NotRun},
		{"none left", true, []error{failure(fault.CodeNoEndpoint, fault.StepPick, fault.NotRun), nil}, 1, fault.NotRun},
		{"endpoint down", false, []error{failure(fault.CodeNoEndpoint, fault.StepExecute, fault.NotRun), nil}, 2, ""},
		{"id reused", true, []error{failure(fault.CodeConflict, fault.StepExecute, fault.NotRun), nil}, 1, fault.NotRun},
		{"ran, answer gone", true, []error{failure(fault.CodeAnswerGone, fault.StepExecute, fault.Done), nil}, 1, fault.Done},
		{"log down", false, []error{failure(fault.CodeLogDown, fault.StepClaim, fault.NotRun), nil}, 1, fault.NotRun},
	}
	for _, c := range cases {
		next := &scripted{errors: c.errors}
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

// TestBudgetCannotFeedAStorm fails every hand-over: the repeats stay at the
// budget's share of the requests and its burst, whatever each request may try.
func TestBudgetCannotFeedAStorm(t *testing.T) {
	const requests, share, burst, tries = 10_000, 0.1, 50, 10
	next := &scripted{errors: []error{failure(fault.CodeOverloaded, fault.StepExecute, fault.NotRun)}}
	f := New(next, NewBudget(share, burst), tries)
	for range requests {
		_, err := f.Handle(context.Background(), &request.Request{Repeatable: true, Deadline: time.Now().Add(time.Hour)})
		assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
	}
	repeats := next.calls - requests
	assert.Assert(t, repeats <= requests*share+burst, "%d repeats", repeats)
}
