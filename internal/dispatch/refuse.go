package dispatch

import (
	"fmt"
	"math"
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/forecast"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/urgency"
)

const (
	// minOwnerAge is the age of the epoch from which on jobs are refused. Before that, agents
	// may not have attached and durations are not learned.
	minOwnerAge = 5 * time.Second
	// minGrantedShare is the share of the capacity that finite runs must request for a refusal.
	// While they request less, something else than capacity keeps tasks waiting.
	minGrantedShare = 0.5
	// maxEstimateFactor bounds the client's estimate of a task's duration, as a multiple of the
	// learned mean.
	maxEstimateFactor = 4
	// refusalLastsPercent is the part of Retry-After for which a refused ID is refused again. The
	// rest allows for clocks that run at different rates.
	refusalLastsPercent = 95
	// returnWithin is how long after its Retry-After a refused job may come back and keep its age.
	returnWithin = 30 * time.Second
	// maxRefusedIDs bounds the refused IDs that are remembered; see refusals.
	maxRefusedIDs = 4096
)

// Reasons of refusals, as in the metric and the log.
const (
	refusedTooLate  = "too-late"
	refusedRepeated = "repeated"
)

// refusals are the IDs of refused jobs, and the line of those to come back by service. An ID is
// refused again for most of its Retry-After, so that a copy of the same submission that is still
// under way is not accepted after the response to its caller that the job never runs. A job that comes
// back is judged like a new one, but served by its age since it was first refused: by the age of a
// new one, it would take the place of jobs that can still be in time.
type refusals struct {
	ids   map[string]refusal
	lines map[string]*forecast.Line
}

type refusal struct {
	first   boottime.Instant // when it was first refused
	until   boottime.Instant // refused again until then
	retryAt boottime.Instant
}

func (r *refusals) add(id string, now boottime.Instant, retryAfter time.Duration) {
	if r.ids == nil {
		r.ids = map[string]refusal{}
	}
	first := now
	if earlier, ok := r.ids[id]; ok {
		first = earlier.first
	}
	r.ids[id] = refusal{first: first, until: now.Add(retryAfter * refusalLastsPercent / percentPerWhole), retryAt: now.Add(retryAfter)}
}

// prune forgets the refused jobs that have not come back in time.
func (r *refusals) prune(now boottime.Instant) {
	for id, refused := range r.ids {
		if now.After(refused.retryAt.Add(returnWithin)) {
			delete(r.ids, id)
		}
	}
}

// takeAge returns the time since a job was first refused, and forgets it; 0 if it was not refused.
func (r *refusals) takeAge(id string, now boottime.Instant) time.Duration {
	refused, ok := r.ids[id]
	if !ok {
		return 0
	}
	delete(r.ids, id)
	return now.Sub(refused.first)
}

// line returns the line of a service.
func (r *refusals) line(service string) *forecast.Line {
	if r.lines == nil {
		r.lines = map[string]*forecast.Line{}
	}
	if r.lines[service] == nil {
		r.lines[service] = &forecast.Line{}
	}
	return r.lines[service]
}

// refuseNewJob returns the reply that refuses a new job because it would end after it is of use,
// or nil. The job must be neither known nor possibly stored.
func (e *Engine) refuseNewJob(spec *chervilv2.JobSpec) *chervilv2.JobReply {
	now := e.clock()
	if earlier, ok := e.forecasts.refusals.ids[spec.Id]; ok && !now.After(earlier.until) {
		return e.refuse(spec.Id, refusedRepeated, max(earlier.retryAt.Sub(now), forecast.MinRetryAfter), "queue", spec.Queue)
	}
	en, s := e.refusable(spec, now)
	if s == nil {
		return nil
	}
	job := e.forecastJob(en, s)
	job.Cores = job.Work / e.durations.Estimate(spec.Queue).Seconds() // all of its tasks at once, at most
	if estimate := longestEstimate(spec.Steps); estimate > 0 {
		mean := e.durations.Estimate(spec.Queue)
		task := max(mean, min(estimate, maxEstimateFactor*mean))
		steps, _ := urgency.CriticalPath(nil, spec.Steps)
		job.Objective = urgency.Objective(steps, task, en.queue.Stretch, en.queue.TargetLatency)
	}
	d := s.jobs.Decide(job)
	if !d.Refused {
		return nil
	}
	after := e.forecasts.refusals.line(en.queue.Service).Join(now, d.Wait, job.Work, s.delivered)
	return e.refuse(spec.Id, refusedTooLate, after,
		"queue", spec.Queue, "service", en.queue.Service, "end", d.InTimeOrder.End, "endWhenLate", d.LateOrder.End,
		"alone", d.InTimeOrder.Alone, "objective", job.Objective, "useful", d.Useful, "expected", d.Expected,
		"jobsAhead", d.InTimeOrder.JobsAhead, "workAhead", rounded(d.InTimeOrder.WorkAhead),
		"jobsAheadWhenLate", d.LateOrder.JobsAhead, "workAheadWhenLate", rounded(d.LateOrder.WorkAhead), "work", rounded(job.Work), "cores", rounded(s.cores),
		"granted", rounded(s.granted), "delivered", rounded(s.delivered), "forecastAge", now.Sub(e.forecasts.at))
}

// refusable returns the job as if it were added, and the forecast of its service. The forecast is
// nil if the job must not be refused.
func (e *Engine) refusable(spec *chervilv2.JobSpec, now boottime.Instant) (*jobEntry, *serviceForecast) {
	f := &e.forecasts
	if f.at == 0 || now.Sub(f.at) > maxForecastAge || now.Sub(e.epochStart) < minOwnerAge || len(f.refusals.ids) >= maxRefusedIDs {
		return nil, nil
	}
	settings := e.configuredSettings(spec)
	if settings == nil {
		settings = spec.QueueSettings
	}
	// The caller may repeat its call with the same specification, so it is not changed.
	trial := &chervilv2.JobSpec{
		Id: spec.Id, Queue: spec.Queue, Steps: spec.Steps, Occurrences: spec.Occurrences,
		AcceptedUnixMs: e.wall().UnixMilli(), QueueSettings: settings,
	}
	en := &jobEntry{job: jobstate.NewJob(trial), queue: storedQueue(trial)}
	if en.queue == nil || en.queue.Stretch <= 0 || en.job.Scheduled() || !e.durations.Learned(spec.Queue) {
		return nil, nil
	}
	s := f.services[en.queue.Service]
	if s == nil || !s.waiting || s.cores <= 0 || s.granted < minGrantedShare*s.cores || slices.Contains(s.stepsThatNeverRun(spec.Steps), true) {
		return nil, nil
	}
	return en, s
}

// refuse logs, counts and remembers a refusal, and returns the reply.
func (e *Engine) refuse(id, reason string, retryAfter time.Duration, inputs ...any) *chervilv2.JobReply {
	e.forecasts.refusals.add(id, e.clock(), retryAfter)
	jobsRefused.increment(reason)
	events.JobRefused.Log(append([]any{"job", id, "reason", reason, "retryAfter", retryAfter, "epoch", e.Epoch()}, inputs...)...)
	return &chervilv2.JobReply{
		Outcome: chervilv2.Outcome_OUTCOME_REJECTED, Epoch: e.Epoch(), RetryAfterMs: retryAfter.Milliseconds(),
		Reason: fmt.Sprintf("the job would end too late to be of use, there may be room in %v", retryAfter.Round(time.Second)),
	}
}

// longestEstimate returns the largest duration of a task that the client estimates; 0 if none.
func longestEstimate(steps []*chervilv2.Step) time.Duration {
	longest := time.Duration(0)
	for _, s := range steps {
		longest = max(longest, time.Duration(s.EstimateMs)*time.Millisecond)
	}
	return longest
}

// rounded returns cores or core-seconds with one digit, for the log.
func rounded(v float64) float64 { return math.Round(v*10) / 10 }
