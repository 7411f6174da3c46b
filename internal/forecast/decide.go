package forecast

import (
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/urgency"
)

const (
	// capacityMargin is the factor on the capacity by which a job must still end too late to be
	// refused. Sizes and durations are estimates, and a wrong refusal costs more than a late
	// answer. The margin is not on the end: jobs ahead give way once they are of no use, so that
	// a job of their queue never ends much later than it is of use, however many they are.
	capacityMargin = 1.5
	// MinRetryAfter exceeds the default deadline of a client's request, 3 s, for which an entry
	// may repeat it: copies of a refused submission arrive before its caller may repeat it.
	MinRetryAfter = 4 * time.Second
	// MaxRetryAfter bounds the wait by a forecast that may be wrong.
	MaxRetryAfter = 30 * time.Second
)

// Service is the forecasts of a service. It is not safe for concurrent use.
type Service struct {
	// bound has the capacity with the margin, and late too, with the jobs in the order in which
	// they come once they are late. expected has the capacity that was delivered lately.
	bound, late, expected *Forecast
}

// NewService returns the forecasts for the jobs, in any order. cores is a bound of the capacity at
// full pace, delivered what recent rounds delivered.
func NewService(jobs []Job, cores, delivered float64) *Service {
	late := make([]Job, len(jobs))
	for i := range jobs {
		late[i] = jobs[i].whenLate()
	}
	return &Service{bound: New(jobs, capacityMargin*cores), late: New(late, capacityMargin*cores), expected: New(jobs, delivered)}
}

// whenLate returns the job with the rank that it has once it is late: by the time until it is of no
// use, as in urgency.Classify.
func (j *Job) whenLate() Job {
	out := *j
	out.Rank = Rank{Priority: j.Rank.Priority, InClass: time.Duration(j.usefulFor() * float64(time.Second))}
	return out
}

// Add adds a job that was accepted after the snapshot.
func (s *Service) Add(job Job) {
	s.bound.Add(job)
	s.expected.Add(job)
	s.late.Add(job.whenLate())
}

// ExpectedEnds returns when each job ends if as much capacity is delivered as lately.
func (s *Service) ExpectedEnds() []End { return s.expected.Ends() }

// Decision is whether a new job is refused, and why.
type Decision struct {
	Refused bool
	// InTimeOrder and LateOrder are the estimates by the bound, in the order of service and in that
	// of late jobs; the second is missing if the job can be in time by the first. Ends are from
	// the time of submission.
	InTimeOrder, LateOrder Estimate
	// Useful is the age at which the job is of no use any more.
	Useful time.Duration
	// Expected is the end with the capacity delivered lately, Wait the time after which the job
	// would end in its objective by that. Both are set for refused jobs only.
	Expected, Wait time.Duration
}

// Decide refuses a new job that would end neither in its objective nor, in the order in which it
// comes once it is late, while it is of use, because of the jobs ahead of it.
func (s *Service) Decide(job Job) Decision {
	d := Decision{Useful: min(urgency.UsefulAge(job.Objective), horizon*time.Second)}
	if s.bound.cores <= 0 || d.Useful <= 0 || s.bound.endsBy(&job, job.Objective) {
		return d
	}
	d.InTimeOrder = s.bound.estimateFromSubmission(job)
	if d.InTimeOrder.End <= job.Objective || d.InTimeOrder.Alone > d.Useful {
		return d
	}
	d.LateOrder = s.late.estimateFromSubmission(job.whenLate())
	if d.LateOrder.End <= d.Useful {
		return d
	}
	d.Refused = true
	d.Expected = s.expected.estimateFromSubmission(job).End
	d.Wait = max(d.Expected-job.Objective, 0)
	return d
}

// estimateFromSubmission returns the estimate of a job with its end from its submission, which is
// the negative of its age after the snapshot.
func (f *Forecast) estimateFromSubmission(job Job) Estimate {
	e := f.Estimate(job)
	e.End += min(max(job.Age, -e.End), 0)
	return e
}

// Line spreads the times at which the refused jobs of a service come back. It keeps only the
// time at which the last of them will have been served.
type Line struct{ end boottime.Instant }

// Join returns the time after which a refused job is to come back: once there is room, and after
// those that joined before it. work is that of the job in core-seconds, delivered the cores that
// serve it.
func (l *Line) Join(now boottime.Instant, wait time.Duration, work, delivered float64) time.Duration {
	at := max(now.Add(min(wait, MaxRetryAfter)), l.end)
	after := min(max(at.Sub(now), MinRetryAfter), MaxRetryAfter)
	if delivered > 0 {
		takes := time.Duration(min(clamp(work, maxWork)/delivered, MaxRetryAfter.Seconds()) * float64(time.Second))
		l.end = min(now.Add(after+takes), now.Add(MaxRetryAfter))
	}
	return after
}
