package routing

import (
	"math/rand/v2"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/membership"
	"chervilridge/internal/request"
)

// The rules of the stages around the pick: retries and ejection.
const (
	maxTries   = 3
	retryShare = 0.1
	retryBurst = 50
	ejectAfter = 3
	ejectPause = 2 * time.Second
)

// Options of a run.
type Options struct {
	Seed uint64
	// ReplyLoad lets each answer carry the agent's load, besides the heartbeats.
	ReplyLoad bool
}

// simulation is one policy in one case.
type simulation struct {
	fleet   *fleet
	entries []*entry
	options Options
	figures *Figures
}

// Simulate runs one policy in one case and returns its figures.
func Simulate(d Deployment, c Case, policy string, o Options) *Figures {
	f := newFleet(d, c)
	s := &simulation{fleet: f, options: o, figures: newFigures(policy)}
	beats := rand.New(rand.NewPCG(o.Seed, 100))
	for i := range c.Entries {
		e := newEntry(f, i, o, policy)
		e.heartbeats(beats)
		s.entries = append(s.entries, e)
	}
	if c.Disturb != nil {
		c.Disturb(f, rand.New(rand.NewPCG(o.Seed, 200)))
	}
	f.feed(arrivals(c, rand.New(rand.NewPCG(o.Seed, 300))), func(a arrival) { s.arrive(a, c.counts(a.at)) })
	f.clock.runAll()
	return s.figures
}

// flight is one request through all its tries.
type flight struct {
	request *request.Request
	entry   *entry
	sent    time.Time
	work    time.Duration
	counted bool
	tries   int
}

func (s *simulation) arrive(a arrival, counted bool) {
	sent := s.fleet.begin.Add(a.at)
	fl := &flight{
		request: &request.Request{Service: service, Repeatable: true, Deadline: sent.Add(deadline - s.fleet.deployment.Client)},
		entry:   s.entries[a.entry], sent: sent, work: a.work, counted: counted,
	}
	fl.entry.tokens = min(fl.entry.tokens+retryShare, retryBurst)
	s.try(fl)
}

// try hands the request over by the real pick stage.
func (s *simulation) try(fl *flight) {
	fl.tries++
	h, err := fl.entry.filter.BeginHandoff(fl.request)
	if err != nil {
		s.end(fl, false)
		return
	}
	p := s.endpointOf(h.Member)
	way := fl.entry.way(p)
	open := true
	settle := func(r result, failed bool) {
		if !open {
			return
		}
		open = false
		err := s.note(fl, h.Member, r, failed)
		fl.entry.filter.EndHandoff(&h, err)
		s.decide(fl, r, err)
	}
	reply := func(r result) { s.fleet.clock.after(way, func() { settle(r, r.cut) }) }
	over := &handover{work: fl.work, deadline: fl.request.Deadline, reply: reply}
	s.fleet.clock.after(way, func() { p.enter(over) })
	s.fleet.clock.at(fl.request.Deadline, func() { settle(result{}, true) })
}

// note does what the send stage does with a reply or a failure.
func (s *simulation) note(fl *flight, m *membership.Member, r result, failed bool) error {
	now := s.fleet.clock.now
	if failed {
		m.RecordFailure(now, ejectAfter, ejectPause)
		return fault.New(fault.CodeOutcomeUnknown, fault.StepSend, m.Endpoint.Agent, "hand-over failed").WithOutcome(fault.Unknown)
	}
	m.RecordSuccess()
	if s.options.ReplyLoad {
		m.RecordLoad(r.running, r.queued, 1, now)
	}
	switch r.refusal {
	case pb.Refusal_REFUSAL_UNSPECIFIED:
		return nil
	case pb.Refusal_REFUSAL_TOO_LATE:
		return fault.New(fault.CodeTooLate, fault.StepExecute, m.Endpoint.Agent, "no slot in time")
	}
	return fault.New(fault.CodeOverloaded, fault.StepExecute, m.Endpoint.Agent, "queue full")
}

// decide answers the request, repeats it within the budget, or gives up.
func (s *simulation) decide(fl *flight, r result, err error) {
	if err == nil {
		s.end(fl, true)
		return
	}
	if fl.counted && r.refusal != pb.Refusal_REFUSAL_UNSPECIFIED {
		s.figures.Refusals++
	}
	late := !s.fleet.clock.now.Before(fl.request.Deadline) || fault.Is(err, fault.CodeTooLate)
	if late || fl.tries >= maxTries || fl.entry.tokens < 1 {
		s.end(fl, false)
		return
	}
	fl.entry.tokens--
	if fl.counted {
		s.figures.Retries++
	}
	s.try(fl)
}

func (s *simulation) end(fl *flight, answered bool) {
	if !fl.counted {
		return
	}
	s.figures.record(s.fleet.clock.now.Add(s.fleet.deployment.Client).Sub(fl.sent), answered)
}

func (s *simulation) endpointOf(m *membership.Member) *endpoint {
	for i, p := range s.fleet.endpoints {
		if p.info == m.Endpoint {
			return s.fleet.endpoints[i]
		}
	}
	return nil
}
