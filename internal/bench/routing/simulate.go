package routing

import (
	"math/rand/v2"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/membership"
	"chervilridge/internal/request"
)

// Parameters of the retry budget and of the ejection of failing endpoints.
const (
	maxAttempts        = 3
	retryBudgetRatio   = 0.1 // retries for each request
	retryBudgetBurst   = 50  // largest number of saved retries
	ejectAfterFailures = 3
	ejectionDuration   = 2 * time.Second
)

// Options of a simulation.
type Options struct {
	Seed uint64
	// ReplyLoad makes each reply carry the load of its agent. Heartbeats always do.
	ReplyLoad bool
}

// simulation is the run of one policy in one case.
type simulation struct {
	fleet   *fleet
	entries []*entry
	options Options
	stats   *Stats
}

// Simulate runs one policy in one case and returns its results.
func Simulate(d Deployment, c Case, policy string, o Options) *Stats {
	f := newFleet(d, c)
	s := &simulation{fleet: f, options: o, stats: newStats(policy)}
	// Each kind of event has its own random stream, so that all policies get the same
	// arrivals and disturbances.
	heartbeatRand := rand.New(rand.NewPCG(o.Seed, 100))
	for i := range c.Entries {
		e := newEntry(f, i, o, policy)
		e.startHeartbeats(heartbeatRand)
		s.entries = append(s.entries, e)
	}
	if c.Disturb != nil {
		c.Disturb(f, rand.New(rand.NewPCG(o.Seed, 200)))
	}
	f.scheduleArrivals(arrivals(c, rand.New(rand.NewPCG(o.Seed, 300))), func(a arrival) { s.handleArrival(a, c.pastWarmUp(a.at)) })
	f.clock.runAll()
	return s.stats
}

// inFlight is one request through all its attempts.
type inFlight struct {
	request  *request.Request
	entry    *entry
	sent     time.Time     // by the client
	work     time.Duration // service time at an endpoint that is not slowed down
	counted  bool          // arrived after the warm-up
	attempts int
}

func (s *simulation) handleArrival(a arrival, counted bool) {
	sent := s.fleet.start.Add(a.at)
	fl := &inFlight{
		request: &request.Request{Service: service, Repeatable: true, Deadline: sent.Add(requestDeadline - s.fleet.deployment.ClientDelay)},
		entry:   s.entries[a.entry], sent: sent, work: a.work, counted: counted,
	}
	fl.entry.retryTokens = min(fl.entry.retryTokens+retryBudgetRatio, retryBudgetBurst)
	s.attempt(fl)
}

// attempt lets the real pick stage choose an endpoint and hands the request off to it. The
// attempt ends with the reply or, without one, at the deadline of the request.
func (s *simulation) attempt(fl *inFlight) {
	fl.attempts++
	h, err := fl.entry.filter.BeginHandoff(fl.request)
	if err != nil {
		s.finish(fl, false)
		return
	}
	p := s.modelOf(h.Member)
	delay := fl.entry.oneWayDelay(p)
	pending := true
	settle := func(r agentReply, failed bool) {
		if !pending {
			return
		}
		pending = false
		err := s.recordResult(fl, h.Member, r, failed)
		fl.entry.filter.EndHandoff(&h, err)
		s.finishOrRetry(fl, r, err)
	}
	reply := func(r agentReply) { s.fleet.clock.after(delay, func() { settle(r, r.connectionLost) }) }
	modelled := &handoff{work: fl.work, deadline: fl.request.Deadline, respond: reply}
	s.fleet.clock.after(delay, func() { p.admit(modelled) })
	s.fleet.clock.at(fl.request.Deadline, func() { settle(agentReply{}, true) })
}

// recordResult updates the member as the send stage does after a reply or a failure, and
// returns the error of the attempt.
func (s *simulation) recordResult(fl *inFlight, m *membership.Member, r agentReply, failed bool) error {
	now := s.fleet.clock.now
	if failed {
		m.RecordFailure(now, ejectAfterFailures, ejectionDuration)
		return fault.New(fault.CodeOutcomeUnknown, fault.StepSend, m.Endpoint.Agent, "hand-off failed").WithOutcome(fault.Unknown)
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

// finishOrRetry finishes the request, or retries it within the limits on attempts, deadline
// and retry budget.
func (s *simulation) finishOrRetry(fl *inFlight, r agentReply, err error) {
	if err == nil {
		s.finish(fl, true)
		return
	}
	if fl.counted && r.refusal != pb.Refusal_REFUSAL_UNSPECIFIED {
		s.stats.Rejections++
	}
	late := !s.fleet.clock.now.Before(fl.request.Deadline) || fault.Is(err, fault.CodeTooLate)
	if late || fl.attempts >= maxAttempts || fl.entry.retryTokens < 1 {
		s.finish(fl, false)
		return
	}
	fl.entry.retryTokens--
	if fl.counted {
		s.stats.Retries++
	}
	s.attempt(fl)
}

// finish records the result of a request with its latency at the client.
func (s *simulation) finish(fl *inFlight, answered bool) {
	if !fl.counted {
		return
	}
	s.stats.record(s.fleet.clock.now.Add(s.fleet.deployment.ClientDelay).Sub(fl.sent), answered)
}

// modelOf returns the modelled endpoint of a member.
func (s *simulation) modelOf(m *membership.Member) *endpoint {
	for i, p := range s.fleet.endpoints {
		if p.info == m.Endpoint {
			return s.fleet.endpoints[i]
		}
	}
	return nil
}
