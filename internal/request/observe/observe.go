// Package observe measures requests for the metrics: how many ended with which
// outcome, and how long they took, by service.
package observe

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// Filter is the stage. It stands behind classify, so that only known services
// become tags.
type Filter struct {
	next  request.Handler
	scope tally.Scope
	cache sync.Map // series -> instruments
}

// series is one combination of tags.
type series struct {
	service string
	outcome fault.Outcome
}

type instruments struct {
	count   tally.Counter
	latency tally.Timer
}

// New returns the stage in front of next.
func New(next request.Handler, scope tally.Scope) *Filter {
	return &Filter{next: next, scope: scope}
}

// Handle passes the request on and records its outcome and latency.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	began := time.Now()
	answer, err := f.next.Handle(ctx, r)
	outcome := fault.Done
	if err != nil {
		outcome = fault.As(err).Outcome
	}
	i := f.instruments(series{r.Service, outcome})
	i.count.Inc(1)
	i.latency.Record(time.Since(began))
	return answer, err
}

func (f *Filter) instruments(s series) instruments {
	if held, ok := f.cache.Load(s); ok {
		return held.(instruments)
	}
	scope := f.scope.Tagged(map[string]string{"service": s.service, "outcome": string(s.outcome)})
	held, _ := f.cache.LoadOrStore(s, instruments{scope.Counter("requests"), scope.Timer("request_latency")})
	return held.(instruments)
}
