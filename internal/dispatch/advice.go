package dispatch

import (
	"cmp"
	"context"
	"fmt"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/plan"
)

// Advisor queries the placement policy of a queue: which workers may run a step.
type Advisor interface {
	// Advise returns the tickets of those workers that are permitted, by worker ID.
	Advise(ctx context.Context, step string, workers []string) (map[string]string, error)
}

const (
	// maxWorkersPerAdvice bounds the workers named in one request: the policy takes time
	// for each of them.
	maxWorkersPerAdvice = 30
	// adviceTimeoutMargin is added to the expected response time to get the timeout of a
	// request.
	adviceTimeoutMargin = time.Second
	// adviceTimeDivisor divides the time for which tickets are of use; the policy may take one part
	// of it for the workers of one request.
	adviceTimeDivisor = 2
	// minAdviceDelay is the delay before a request that follows failed ones or, for the same step, ones
	// whose tickets were of no use. It doubles with each of them up to maxAdviceDelay, which is
	// below the 3 s for which a job with room may have nothing running.
	minAdviceDelay = 250 * time.Millisecond
	maxAdviceDelay = 2 * time.Second
	// slowPolicyInterval is the interval at which a policy that is too slow is logged for a step.
	slowPolicyInterval = 10 * time.Second
)

// ticket permits one incarnation of a worker to run a step.
type ticket struct {
	value       string
	incarnation jobstate.WorkerKey
	expiresAt   boottime.Instant
}

// advisorState is the state of the calls to the placement policy. The policy handles one call of
// this process at a time, and the validity of a ticket is counted from its call. So one call is in
// flight, and the steps that need one wait here, where they don't use up the validity.
type advisorState struct {
	steps map[plan.StepKey]*placementAdvice
	// wantedSince is since when each waiting step needs advice.
	wantedSince map[plan.StepKey]boottime.Instant
	inFlight    bool
	failures    int // calls that failed since the last one that succeeded
	notBefore   boottime.Instant
}

// placementAdvice caches the policy's answers for one step.
type placementAdvice struct {
	tickets map[string]ticket // by worker ID
	denied  map[string]bool   // by worker ID; the policy for a step does not change
	// used is set once a run was granted with a ticket of the last answer. useless counts the
	// answers in a row of which no ticket could be used.
	used      bool
	useless   int
	notBefore boottime.Instant // of the next request
}

// adviceDelay returns the delay before the next request after a number of useless or failed ones.
// The first one may be repeated at once.
func adviceDelay(useless int) time.Duration {
	if useless <= 1 {
		return 0
	}
	return min(minAdviceDelay<<min(useless-2, 8), maxAdviceDelay)
}

// recordUseless delays the next request for the step, as the last one brought no ticket that could be used.
func (p *placementAdvice) recordUseless(now boottime.Instant) {
	p.useless++
	p.notBefore = max(p.notBefore, now.Add(adviceDelay(p.useless)))
}

// removeExpired removes the expired tickets.
func (p *placementAdvice) removeExpired(now boottime.Instant) {
	expired := false
	for id, t := range p.tickets {
		if !t.expiresAt.After(now) {
			expired = true
			delete(p.tickets, id)
		}
	}
	switch {
	case !expired || len(p.tickets) > 0:
	case p.used:
		p.useless, p.used = 0, false
	default:
		p.recordUseless(now)
	}
}

// adviceFor returns the cached advice for a step.
func (s *advisorState) adviceFor(key plan.StepKey) *placementAdvice {
	cached := s.steps[key]
	if cached == nil {
		cached = &placementAdvice{tickets: map[string]ticket{}, denied: map[string]bool{}}
		s.steps[key] = cached
	}
	return cached
}

// allowedWorkers returns the IDs of the workers for which there is a valid ticket.
func (e *Engine) allowedWorkers(key plan.StepKey) map[string]bool {
	cached := e.advisor.adviceFor(key)
	cached.removeExpired(e.clock())
	out := map[string]bool{}
	for id, t := range cached.tickets {
		if n := e.nodes[t.incarnation.Node]; n != nil && n.key == t.incarnation {
			out[id] = true
		}
	}
	return out
}

// adviceNeed is a step that needs advice about some workers.
type adviceNeed struct {
	request *plan.Request
	workers []jobstate.WorkerKey
	// roomNow is set if the workers have room for a task of the step at present.
	roomNow bool
	since   boottime.Instant
}

// compare orders needs: steps that could start at once, then by the priority of their queues, then
// those that have waited longest.
func (a adviceNeed) compare(b adviceNeed) int {
	if a.roomNow != b.roomNow {
		if a.roomNow {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(a.request.Priority, b.request.Priority), cmp.Compare(a.since, b.since))
}

// requestAdvice requests advice for the first step in order of those that the planning round has
// left waiting, unless a request is in flight. requests are those of the round, workersFor returns the workers
// that the round considers for one.
func (e *Engine) requestAdvice(requests []plan.Request, unplaced []plan.Unplaced, workersFor func(*plan.Request) []plan.Worker) {
	waiting := map[plan.StepKey]bool{}
	for _, u := range unplaced {
		waiting[u.Key] = true
	}
	now, earlier := e.clock(), e.advisor.wantedSince
	e.advisor.wantedSince = map[plan.StepKey]boottime.Instant{}
	var first *adviceNeed
	for i := range requests {
		r := &requests[i]
		if r.Allowed == nil || !waiting[r.Key] {
			continue
		}
		cached := e.advisor.adviceFor(r.Key)
		need := adviceNeed{request: r, since: now}
		need.workers, need.roomNow = r.UnadvisedWorkers(workersFor(r), cached.denied)
		if len(need.workers) == 0 {
			continue
		}
		if since, ok := earlier[r.Key]; ok {
			need.since = since
		}
		e.advisor.wantedSince[r.Key] = need.since
		if now >= cached.notBefore && (first == nil || need.compare(*first) < 0) {
			first = &need
		}
	}
	if first == nil || e.advisor.inFlight || now < e.advisor.notBefore {
		return
	}
	key := first.request.Key
	policy := e.jobs[key.Job].queue.Advisor
	most := workersPerAdvice(policy)
	if most == 0 {
		e.advisor.adviceFor(key).notBefore = now.Add(slowPolicyInterval)
		events.PlacementPolicyTooSlow.Log("job", key.Job, "step", key.Step, "decision", policy.DecisionTime, "perWorker", policy.TimePerWorker,
			"validity", policy.TicketValidity, "margin", operatorconfig.TicketExpiryMargin)
		return
	}
	e.callPolicy(key, policy, first.workers[:min(len(first.workers), most)])
}

// workersPerAdvice returns the most workers to name in one request, so that the tickets are of use for
// some time after they have arrived; 0 if they are not, even for one worker.
func workersPerAdvice(policy *operatorconfig.PlacementAdvisor) int {
	ofUse := policy.TicketValidity - operatorconfig.TicketExpiryMargin - policy.DecisionTime
	switch {
	case ofUse <= policy.TimePerWorker:
		return 0
	case policy.TimePerWorker <= 0:
		return maxWorkersPerAdvice
	}
	return int(min(max(ofUse/adviceTimeDivisor/policy.TimePerWorker, 1), maxWorkersPerAdvice))
}

// callPolicy queries the policy, in the background, about some of the workers.
func (e *Engine) callPolicy(key plan.StepKey, policy *operatorconfig.PlacementAdvisor, workers []jobstate.WorkerKey) {
	incarnations := map[string]jobstate.WorkerKey{}
	ids := make([]string, 0, len(workers))
	for _, w := range workers {
		incarnations[w.ID] = w
		ids = append(ids, w.ID)
	}
	e.advisor.inFlight = true
	expected := policy.DecisionTime + time.Duration(len(ids))*policy.TimePerWorker
	go e.fetchAdvice(key, policy.TicketValidity, expected+adviceTimeoutMargin, ids, incarnations)
}

// fetchAdvice sends one request to the policy and caches its answer.
func (e *Engine) fetchAdvice(key plan.StepKey, validity, timeout time.Duration, ids []string, incarnations map[string]jobstate.WorkerKey) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	requestedAt := e.clock()
	step := fmt.Sprintf("%s.%d.%d", key.Job, key.Occurrence, key.Step)
	tickets, err := e.settings.Advisor.Advise(ctx, step, ids)
	e.mu.Lock()
	defer e.mu.Unlock()
	defer e.replan()
	now := e.clock()
	e.advisor.inFlight = false
	delete(e.advisor.wantedSince, key) // waits behind the others if it needs more
	if err != nil {
		e.advisor.failures++
		e.advisor.notBefore = now.Add(adviceDelay(e.advisor.failures + 1)) // never at once
		events.PlacementPolicyFailed.LogError(err, "step", step, "workers", len(ids))
		return
	}
	e.advisor.failures = 0
	cached := e.advisor.steps[key]
	if cached == nil {
		return // the job has ended
	}
	expiresAt := requestedAt.Add(validity - operatorconfig.TicketExpiryMargin)
	for _, id := range ids {
		if value, ok := tickets[id]; ok {
			cached.tickets[id] = ticket{value: value, incarnation: incarnations[id], expiresAt: expiresAt}
		} else {
			cached.denied[id] = true
		}
	}
	cached.used = false
	events.PlacementPolicyAnswered.Log("step", step, "asked", len(ids), "permitted", len(tickets), "took", now.Sub(requestedAt))
	if len(tickets) > 0 && !expiresAt.After(now) {
		events.PlacementAdviceExpired.Log("step", step, "asked", len(ids), "took", now.Sub(requestedAt), "validity", validity)
	}
}

// ticketFor returns the ticket to start a run with, or "" if its queue has no placement
// policy.
func (e *Engine) ticketFor(r *jobstate.Run) string {
	if cached := e.advisor.steps[stepKey(r.Ref)]; cached != nil {
		if t, ok := cached.tickets[r.Worker.ID]; ok && t.incarnation == r.Worker {
			return t.value
		}
	}
	return ""
}

// recordTicketUse records that a run was granted with a ticket, if its queue has a placement policy.
func (e *Engine) recordTicketUse(r *jobstate.Run) {
	if cached := e.advisor.steps[stepKey(r.Ref)]; cached != nil {
		cached.used = true
	}
}

// discardTicket removes a ticket that the worker rejected.
func (e *Engine) discardTicket(r *jobstate.Run) {
	if cached := e.advisor.steps[stepKey(r.Ref)]; cached != nil {
		delete(cached.tickets, r.Worker.ID)
		cached.recordUseless(e.clock())
	}
}

// pruneAdvice removes the advice for jobs that are no longer active.
func (e *Engine) pruneAdvice() {
	for key := range e.advisor.steps {
		if e.activeJobs[key.Job] == nil {
			delete(e.advisor.steps, key)
		}
	}
}
