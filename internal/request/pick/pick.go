// Package pick chooses the endpoint for a hand-over by a routing policy.
package pick

import (
	"context"
	"slices"
	"time"

	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/membership"
	"chervilridge/internal/request"
)

// Members lists the endpoints of a service that take new work.
type Members interface {
	Members(service string) []*membership.Member
}

// DataCentres tells which data centres are out of service.
type DataCentres interface {
	DataCentreOut(name string) bool
}

// Policy picks one of the candidates, of which there is at least one. It is
// safe for concurrent use.
type Policy interface {
	Name() string
	Pick(candidates []*membership.Member, r *request.Request) *membership.Member
}

// Filter is the stage.
type Filter struct {
	next    request.Handler
	members Members
	centres DataCentres
	policy  Policy
}

// New returns the stage in front of next.
func New(next request.Handler, members Members, centres DataCentres, policy Policy) *Filter {
	return &Filter{next: next, members: members, centres: centres, policy: policy}
}

// Handle sets the request's target and counts it as in flight there.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	candidates := f.candidates(r)
	if len(candidates) == 0 {
		return nil, fault.Newf(fault.CodeNoEndpoint, fault.StepPick, r.Service, "no endpoint left after %d tries", len(r.Tried))
	}
	m := f.policy.Pick(candidates, r)
	r.Target = m
	r.Tried = append(r.Tried, m)
	events.RequestRouted.Log("request", r.ID, "service", r.Service, "client", r.Client, "peer", m.Endpoint.Agent,
		"dataCentre", m.Endpoint.DataCentre, "policy", f.policy.Name(), "candidates", len(candidates), "try", len(r.Tried))
	m.InFlight.Add(1)
	defer m.InFlight.Add(-1)
	return f.next.Handle(ctx, r)
}

// candidates leaves out endpoints that were tried, are set aside, or stand in a
// data centre that is out or not allowed. If all are set aside, it takes them
// anyway: refusing everyone is worse than trying.
func (f *Filter) candidates(r *request.Request) []*membership.Member {
	now := time.Now()
	var good, aside []*membership.Member
	for _, m := range f.members.Members(r.Service) {
		dc := m.Endpoint.DataCentre
		if r.WasTried(m) || f.centres.DataCentreOut(dc) || !allowed(r, dc) {
			continue
		}
		if m.Ejected(now) {
			aside = append(aside, m)
			continue
		}
		good = append(good, m)
	}
	if len(good) == 0 {
		return aside
	}
	return good
}

func allowed(r *request.Request, dataCentre string) bool {
	return len(r.Allowed) == 0 || slices.Contains(r.Allowed, dataCentre)
}
