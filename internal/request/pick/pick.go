// Package pick chooses the endpoint for a hand-over by a routing policy.
package pick

import (
	"context"
	"sync"
	"time"

	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/membership"
	"chervilridge/internal/request"
)

// refusedPause sets an endpoint aside whose agent says that it is down, leaving
// or gone, until the next heartbeats show it.
const refusedPause = 2 * time.Second

var errUnfinished error = fault.New(fault.CodeInternal, fault.StepPick, "", "hand-over not finished").WithOutcome(fault.Unknown)

// Members lists the endpoints of a service that take new work.
type Members interface {
	Members(service string) []*membership.Member
}

// DataCentres tells which data centres are out of service.
type DataCentres interface {
	DataCentreOut(name string) bool
}

// Options of the stage.
type Options struct {
	Policy   Policy
	Distance Distance
	// Now is the clock; time.Now if nil.
	Now func() time.Time
}

// Filter is the stage. It is safe for concurrent use.
type Filter struct {
	next    request.Handler
	members Members
	centres DataCentres
	options Options
	scans   sync.Pool // of *scan
	doubts  doubts
}

// New returns the stage in front of next.
func New(next request.Handler, members Members, centres DataCentres, options Options) *Filter {
	if options.Now == nil {
		options.Now = time.Now
	}
	f := &Filter{next: next, members: members, centres: centres, options: options}
	f.scans.New = func() any { return new(scan) }
	return f
}

// Handle sets the request's target and counts it as in flight there.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	h, err := f.Begin(r)
	if err != nil {
		return nil, err
	}
	f.log(r, &h)
	err = errUnfinished // what End sees if a later stage panics
	defer func() { f.End(&h, err) }()
	var a *request.Answer
	a, err = f.next.Handle(ctx, r)
	return a, err
}

// Handover is one request on its way to a member.
type Handover struct {
	Decision
	Left    LeftOut
	began   time.Time
	turns   float64 // service times that the request was expected to wait
	members int     // candidates
}

// Begin picks the target and counts the request as in flight there until End.
func (f *Filter) Begin(r *request.Request) (Handover, error) {
	now := f.options.Now()
	s := f.scans.Get().(*scan)
	defer f.scans.Put(s)
	s.run(f.members.Members(r.Service), r, f.centres, now)
	f.doubts.note(r.Service, s.left)
	if len(s.candidates) == 0 {
		return Handover{}, fault.Newf(fault.CodeNoEndpoint, fault.StepPick, r.Service,
			"no endpoint left after %d tries: %s", len(r.Tried), s.left)
	}
	h := Handover{Left: s.left, began: now, members: len(s.candidates)}
	h.Decision = f.options.Policy.Pick(s.candidates, now)
	h.turns = turns(h.Member, h.Member.Load(now))
	h.Member.InFlight.Add(1)
	r.Target = h.Member
	r.Tried = append(r.Tried, h.Member)
	return h, nil
}

// End takes the outcome of a hand-over; err is nil for a whole answer. Only
// answers tell the service time: a refusal is quick at the worst endpoint too.
func (f *Filter) End(h *Handover, err error) {
	m := h.Member
	m.InFlight.Add(-1)
	now := f.options.Now()
	if err == nil {
		way := f.options.Distance.RoundTrip(m)
		took := max(now.Sub(h.began)-way, time.Microsecond)
		m.ObserveService(time.Duration(float64(took)/(1+h.turns)), now)
		return
	}
	e := fault.As(err)
	if e.Step == fault.StepExecute && (e.Code == fault.CodeNoEndpoint || e.Code == fault.CodeLeaving) {
		m.Eject(now, refusedPause)
	}
}

func (f *Filter) log(r *request.Request, h *Handover) {
	runnerUp := ""
	if h.RunnerUp != nil {
		runnerUp = h.RunnerUp.Endpoint.Agent
	}
	events.RequestRouted.Log("request", r.ID, "service", r.Service, "client", r.Client,
		"peer", h.Member.Endpoint.Agent, "dataCentre", h.Member.Endpoint.DataCentre, "try", len(r.Tried),
		"policy", f.options.Policy.Name(), "score", h.Score, "runnerUp", runnerUp, "runnerUpScore", h.RunnerUpScore,
		"candidates", h.members, "leftOut", h.Left)
}
