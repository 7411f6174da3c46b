// Package admit bounds what an entry has in flight, in all, per service and per
// client, and refuses new work when the entry is leaving.
package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

const retryAdvice = time.Second

// Filter is the stage. One lock guards the counters by client and service.
type Filter struct {
	next        request.Handler
	maxInFlight int64

	leaving   atomic.Bool
	inFlight  atomic.Int64
	mu        sync.Mutex
	byClient  counter
	byService counter
}

// counter holds what is in flight by name.
type counter map[string]uint32

func (c counter) full(name string, limit uint32) bool { return limit > 0 && c[name] >= limit }

func (c counter) drop(name string) {
	c[name]--
	if c[name] == 0 {
		delete(c, name)
	}
}

// New returns the stage in front of next.
func New(next request.Handler, maxInFlight int64) *Filter {
	return &Filter{next: next, maxInFlight: maxInFlight, byClient: counter{}, byService: counter{}}
}

// Leave makes the stage refuse all new requests.
func (f *Filter) Leave() { f.leaving.Store(true) }

// Leaving reports whether new requests are refused.
func (f *Filter) Leaving() bool { return f.leaving.Load() }

// InFlight returns the number of requests between this stage and their answer.
func (f *Filter) InFlight() int64 { return f.inFlight.Load() }

// Handle passes the request on if there is room for it.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	if err := f.enter(r); err != nil {
		return nil, err
	}
	defer f.leave(r)
	if r.Remaining(time.Now()) <= 0 {
		return nil, fault.New(fault.CodeTooLate, fault.StepAdmit, r.Client, "deadline has passed")
	}
	return f.next.Handle(ctx, r)
}

// enter counts the request before it looks at leaving, so that a planned stop
// that sees no request in flight has not missed one.
func (f *Filter) enter(r *request.Request) error {
	if f.inFlight.Add(1) > f.maxInFlight {
		f.inFlight.Add(-1)
		return fault.New(fault.CodeOverloaded, fault.StepAdmit, r.Client, "entry has too many requests in flight").WithRetryAfter(retryAdvice)
	}
	if f.leaving.Load() {
		f.inFlight.Add(-1)
		return fault.New(fault.CodeLeaving, fault.StepAdmit, r.Client, "entry is leaving")
	}
	if err := f.count(r); err != nil {
		f.inFlight.Add(-1)
		return err
	}
	return nil
}

// count enters the request under its client and its service.
func (f *Filter) count(r *request.Request) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byClient.full(r.Client, r.ClientLimit) {
		return fault.Newf(fault.CodeOverloaded, fault.StepAdmit, r.Client, "client is at its limit of %d", r.ClientLimit).WithRetryAfter(retryAdvice)
	}
	if f.byService.full(r.Service, r.ServiceLimit) {
		return fault.Newf(fault.CodeOverloaded, fault.StepAdmit, r.Service, "service is at its limit of %d", r.ServiceLimit).WithRetryAfter(retryAdvice)
	}
	f.byClient[r.Client]++
	f.byService[r.Service]++
	return nil
}

func (f *Filter) leave(r *request.Request) {
	f.inFlight.Add(-1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byClient.drop(r.Client)
	f.byService.drop(r.Service)
}
