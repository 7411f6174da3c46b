package observe

import (
	"context"
	"testing"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// stubHandler returns err, or an empty answer if err is nil.
type stubHandler struct{ err error }

func (h stubHandler) Handle(context.Context, *request.Request) (*request.Answer, error) {
	return &request.Answer{}, h.err
}

func TestOutcomesAreCountedByService(t *testing.T) {
	scope := tally.NewTestScope("", nil)
	rejection := fault.New(fault.CodeOverloaded, fault.StepAdmit, "", "full")
	for _, err := range []error{nil, nil, rejection, rejection.WithOutcome(fault.Unknown)} {
		f := New(stubHandler{}, scope)
		if err != nil {
			f = New(stubHandler{err}, scope)
		}
		_, _ = f.Handle(context.Background(), &request.Request{Service: "quotedesk"})
	}
	counters := scope.Snapshot().Counters()
	for key, want := range map[string]int64{
		"requests+outcome=done,service=quotedesk":    2,
		"requests+outcome=not run,service=quotedesk": 1,
		"requests+outcome=unknown,service=quotedesk": 1,
	} {
		assert.Equal(t, counters[key].Value(), want, key)
	}
}
