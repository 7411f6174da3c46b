// Package admit limits the requests that an entry has in flight, in total, per service
// and per client, and rejects new requests while the entry shuts down.
package admit

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// retryAfter is the delay that a rejected client is asked to wait.
const retryAfter = time.Second

// Filter is the pipeline stage for admission control. mu guards byClient and
// byService.
type Filter struct {
	next        request.Handler
	maxInFlight int64

	leaving   atomic.Bool
	inFlight  atomic.Int64
	mu        sync.Mutex
	byClient  inFlightCounts
	byService inFlightCounts
}

// inFlightCounts holds the number of requests in flight by client or service name.
type inFlightCounts map[string]uint32

// atLimit reports whether the name has reached its limit; a limit of 0 is no limit.
func (c inFlightCounts) atLimit(name string, limit uint32) bool { return limit > 0 && c[name] >= limit }

func (c inFlightCounts) decrement(name string) {
	c[name]--
	if c[name] == 0 {
		delete(c, name)
	}
}

// New returns a Filter that lets at most maxInFlight requests at a time pass to next.
func New(next request.Handler, maxInFlight int64) *Filter {
	return &Filter{next: next, maxInFlight: maxInFlight, byClient: inFlightCounts{}, byService: inFlightCounts{}}
}

// StopAdmitting makes the stage reject all new requests.
func (f *Filter) StopAdmitting() { f.leaving.Store(true) }

// Leaving reports whether new requests are rejected.
func (f *Filter) Leaving() bool { return f.leaving.Load() }

// InFlight returns the number of admitted requests that have not been answered yet.
func (f *Filter) InFlight() int64 { return f.inFlight.Load() }

// Handle passes the request to the next stage if no limit is reached and its deadline
// has not passed.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	if err := f.admit(r); err != nil {
		return nil, err
	}
	defer f.release(r)
	if r.Remaining(time.Now()) <= 0 {
		return nil, fault.New(fault.CodeTooLate, fault.StepAdmit, r.Client, "deadline has passed")
	}
	return f.next.Handle(ctx, r)
}

// admit counts the request before it checks leaving: a planned stop sets leaving and
// then waits for InFlight to reach 0, and must not miss a request in between.
func (f *Filter) admit(r *request.Request) error {
	if f.inFlight.Add(1) > f.maxInFlight {
		f.inFlight.Add(-1)
		return fault.New(fault.CodeOverloaded, fault.StepAdmit, r.Client, "entry has too many requests in flight").WithRetryAfter(retryAfter)
	}
	if f.leaving.Load() {
		f.inFlight.Add(-1)
		return fault.New(fault.CodeLeaving, fault.StepAdmit, r.Client, "entry is shutting down")
	}
	if err := f.countRequest(r); err != nil {
		f.inFlight.Add(-1)
		return err
	}
	return nil
}

// countRequest counts the request for its client and its service, or returns an error
// if one of them is at its limit.
func (f *Filter) countRequest(r *request.Request) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.byClient.atLimit(r.Client, r.ClientLimit) {
		return fault.Newf(fault.CodeOverloaded, fault.StepAdmit, r.Client, "client is at its limit of %d requests in flight", r.ClientLimit).WithRetryAfter(retryAfter)
	}
	if f.byService.atLimit(r.Service, r.ServiceLimit) {
		return fault.Newf(fault.CodeOverloaded, fault.StepAdmit, r.Service, "service is at its limit of %d requests in flight", r.ServiceLimit).WithRetryAfter(retryAfter)
	}
	f.byClient[r.Client]++
	f.byService[r.Service]++
	return nil
}

// release undoes the counting of admit.
func (f *Filter) release(r *request.Request) {
	f.inFlight.Add(-1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.byClient.decrement(r.Client)
	f.byService.decrement(r.Service)
}
