// Package observe records request counts and latencies as metrics, tagged with
// service and outcome.
package observe

import (
	"context"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"

	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// Filter is the pipeline stage that records metrics. It comes after classify, so that
// clients cannot create tag values by asking for services that don't exist.
type Filter struct {
	next            request.Handler
	scope           tally.Scope
	instrumentCache sync.Map // metricTags -> instruments
}

// metricTags is one combination of tag values.
type metricTags struct {
	service string
	outcome fault.Outcome
}

type instruments struct {
	count   tally.Counter
	latency tally.Timer
}

// New returns a Filter that records the requests passed to next in scope.
func New(next request.Handler, scope tally.Scope) *Filter {
	return &Filter{next: next, scope: scope}
}

// Handle passes the request to the next stage and records its outcome and latency.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	start := time.Now()
	answer, err := f.next.Handle(ctx, r)
	outcome := fault.Done
	if err != nil {
		outcome = fault.As(err).Outcome
	}
	i := f.instrumentsFor(metricTags{r.Service, outcome})
	i.count.Inc(1)
	i.latency.Record(time.Since(start))
	return answer, err
}

// instrumentsFor returns the cached instruments for the tags, which it creates on
// first use.
func (f *Filter) instrumentsFor(tags metricTags) instruments {
	if cached, ok := f.instrumentCache.Load(tags); ok {
		return cached.(instruments)
	}
	scope := f.scope.Tagged(map[string]string{"service": tags.service, "outcome": string(tags.outcome)})
	cached, _ := f.instrumentCache.LoadOrStore(tags, instruments{scope.Counter("requests"), scope.Timer("request_latency")})
	return cached.(instruments)
}
