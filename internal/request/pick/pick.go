// Package pick chooses the endpoint of a hand-off: it excludes endpoints that must not or
// should not be used and lets a routing policy choose among the rest.
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

// rejectionEjectDuration is how long an endpoint is ejected after its agent replied that
// it is down, leaving or of another incarnation: long enough for the next heartbeats to
// report that state.
const rejectionEjectDuration = 2 * time.Second

var errHandoffUnfinished error = fault.New(fault.CodeInternal, fault.StepPick, "", "hand-off did not finish").WithOutcome(fault.Unknown)

// Members lists the endpoints of a service that accept new requests.
type Members interface {
	Members(service string) []*membership.Member
}

// DataCentres reports which data centres are out of service.
type DataCentres interface {
	DataCentreOut(name string) bool
}

// Options configures the stage.
type Options struct {
	Policy Policy
	// Distance is used to subtract the round trip from observed service times.
	Distance Distance
	// Now returns the current time; time.Now if nil.
	Now func() time.Time
}

// Filter is the pipeline stage that picks the endpoint. It is safe for concurrent use.
type Filter struct {
	next        request.Handler
	members     Members
	dataCentres DataCentres
	options     Options
	scanPool    sync.Pool // of *scan
	overrides   ejectionOverrides
}

// New returns a Filter that passes requests with a target to next.
func New(next request.Handler, members Members, dataCentres DataCentres, options Options) *Filter {
	if options.Now == nil {
		options.Now = time.Now
	}
	f := &Filter{next: next, members: members, dataCentres: dataCentres, options: options}
	f.scanPool.New = func() any { return new(scan) }
	return f
}

// Handle picks the request's target, passes the request to the next stage and counts it
// as in flight at the target until that stage returns.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	h, err := f.beginHandoff(r, true)
	if err != nil {
		return nil, err
	}
	f.logDecision(r, &h)
	err = errHandoffUnfinished // reported to EndHandoff if a later stage panics
	defer func() { f.EndHandoff(&h, err) }()
	var a *request.Answer
	a, err = f.next.Handle(ctx, r)
	return a, err
}

// Handoff is one hand-off of a request to a member.
type Handoff struct {
	Decision
	Excluded Exclusions
	// Scores is set only by Handle, for the log.
	Scores CandidateScores

	startedAt          time.Time
	queuedServiceTimes float64 // expected wait for a slot, in service times
	candidateCount     int
}

// BeginHandoff picks the target and counts the request as in flight there until EndHandoff
// is called.
func (f *Filter) BeginHandoff(r *request.Request) (Handoff, error) { return f.beginHandoff(r, false) }

// beginHandoff implements BeginHandoff; withScores also sets Handoff.Scores.
func (f *Filter) beginHandoff(r *request.Request, withScores bool) (Handoff, error) {
	now := f.options.Now()
	s := f.scanPool.Get().(*scan)
	defer f.scanPool.Put(s)
	s.run(f.members.Members(r.Service), r, f.dataCentres, now)
	f.overrides.record(r.Service, s.excluded)
	if len(s.candidates) == 0 {
		return Handoff{}, fault.Newf(fault.CodeNoEndpoint, fault.StepPick, r.Service,
			"no usable endpoint after %d attempts, excluded: %s", len(r.Tried), s.excluded)
	}
	h := Handoff{Excluded: s.excluded, startedAt: now, candidateCount: len(s.candidates)}
	h.Decision = f.options.Policy.Pick(s.candidates, now)
	if withScores {
		// Before this request adds to the load.
		h.Scores = scoreCandidates(f.options.Policy, s.candidates, now)
	}
	h.queuedServiceTimes = queuedServiceTimes(h.Member, h.Member.EstimatedLoad(now))
	h.Member.InFlight.Add(1)
	r.Target = h.Member
	r.Tried = append(r.Tried, h.Member)
	return h, nil
}

// EndHandoff records the outcome of a hand-off; err is nil for a complete answer. Only
// answers update the service time: a rejection is fast at an overloaded endpoint too.
func (f *Filter) EndHandoff(h *Handoff, err error) {
	m := h.Member
	m.InFlight.Add(-1)
	now := f.options.Now()
	if err == nil {
		roundTrip := f.options.Distance.RoundTrip(m)
		took := max(now.Sub(h.startedAt)-roundTrip, time.Microsecond)
		m.ObserveServiceTime(time.Duration(float64(took)/(1+h.queuedServiceTimes)), now)
		return
	}
	e := fault.As(err)
	if e.Step == fault.StepExecute && (e.Code == fault.CodeNoEndpoint || e.Code == fault.CodeLeaving) {
		m.Eject(now, rejectionEjectDuration)
	}
}

// logDecision logs the chosen endpoint with the scores and exclusions behind the choice.
func (f *Filter) logDecision(r *request.Request, h *Handoff) {
	runnerUp := ""
	if h.RunnerUp != nil {
		runnerUp = h.RunnerUp.Endpoint.Agent
	}
	events.RequestRouted.Log("request", r.ID, "service", r.Service, "client", r.Client,
		"peer", h.Member.Endpoint.Agent, "dataCentre", h.Member.Endpoint.DataCentre, "try", len(r.Tried),
		"policy", f.options.Policy.Name(), "score", h.Score, "runnerUp", runnerUp, "runnerUpScore", h.RunnerUpScore,
		"candidates", h.candidateCount, "scores", h.Scores, "leftOut", h.Excluded)
}
