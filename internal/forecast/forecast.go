// Package forecast estimates when the open jobs of a service end, and decides whether a new job
// would end while it is still of use. It is a pure function of a snapshot and uses neither the
// clock nor the network.
package forecast

import (
	"cmp"
	"slices"
	"sort"
	"strings"
	"time"

	"chervilridge/internal/urgency"
)

// Rank is the place of a job in the service order: that of plan.SortRequests.
type Rank struct {
	Priority int
	Class    urgency.Class
	InClass  time.Duration
}

// Job is an open job or a submitted one.
type Job struct {
	ID   string
	Rank Rank
	// Work is the unfinished work in core-seconds, CriticalPath the time that the unfinished
	// steps take with unlimited capacity.
	Work         float64
	CriticalPath time.Duration
	// Cores is the most that the job can use at once; 0 stands for Work divided by CriticalPath.
	Cores float64
	// Age is the job's age at the time of the snapshot, negative if it is submitted later.
	// Objective is the age by which the job should end; 0 if it has none.
	Age, Objective time.Duration
}

// compare orders jobs by rank and ID.
func compare(a, b *Job) int {
	return cmp.Or(
		cmp.Compare(a.Rank.Priority, b.Rank.Priority), cmp.Compare(a.Rank.Class, b.Rank.Class),
		cmp.Compare(a.Rank.InClass, b.Rank.InClass), strings.Compare(a.ID, b.ID),
	)
}

// usefulFor returns how many seconds the job is still of use.
func (j *Job) usefulFor() float64 {
	if j.Objective <= 0 {
		return 0
	}
	return clamp(urgency.UsefulAge(j.Objective).Seconds()-j.Age.Seconds(), horizon)
}

func (j *Job) work() float64 { return clamp(j.Work, maxWork) }

// parallelism returns the most cores that the job can use at once.
func (j *Job) parallelism() float64 {
	if c := clamp(j.Cores, maxCores); c > 0 {
		return c
	}
	if j.CriticalPath <= 0 {
		return maxCores
	}
	return clamp(j.work()/j.CriticalPath.Seconds(), maxCores)
}

// Forecast is the open jobs of a service and the cores that serve them. It is not safe for
// concurrent use.
type Forecast struct {
	jobs   []*Job // in service order once sorted is set
	sorted bool
	cores  float64
	work   float64 // of all jobs
	// ahead is the capacity that the first aheadOf jobs leave, aheadWork the core-seconds that
	// they take. It is kept because most new jobs of a queue rank behind the same jobs.
	ahead     profile
	aheadOf   int
	aheadWork float64
}

// New returns a forecast for the jobs, in any order, on a number of cores.
func New(jobs []Job, cores float64) *Forecast {
	f := &Forecast{jobs: make([]*Job, len(jobs)), cores: clamp(cores, maxCores)}
	for i := range jobs {
		f.jobs[i] = &jobs[i]
		f.work += jobs[i].work()
	}
	return f
}

// sort brings the jobs into service order. It is done on first use, which decisions without
// overload don't reach; see endsBy.
func (f *Forecast) sort() {
	if !f.sorted {
		slices.SortFunc(f.jobs, compare)
		f.sorted = true
		f.resetAhead()
	}
}

func (f *Forecast) resetAhead() {
	f.ahead, f.aheadOf, f.aheadWork = newProfile(f.cores), 0, 0
}

// Add adds a job that was accepted after the snapshot.
func (f *Forecast) Add(job Job) {
	f.work += job.work()
	if !f.sorted {
		f.jobs = append(f.jobs, &job)
		return
	}
	at := f.position(&job)
	f.jobs = slices.Insert(f.jobs, at, &job)
	if at < f.aheadOf {
		f.resetAhead()
	}
}

// position returns the number of jobs that come before the job.
func (f *Forecast) position(job *Job) int {
	return sort.Search(len(f.jobs), func(i int) bool { return compare(f.jobs[i], job) >= 0 })
}

// End is the forecast end of a job, from the time of the snapshot.
type End struct {
	ID string
	In time.Duration
}

// Ends returns when each job ends, in service order. A job that does not end while it is of use
// continues after all others; one that never ends does so at the horizon of some 115 days.
func (f *Forecast) Ends() []End {
	f.sort()
	out := make([]End, len(f.jobs))
	p := newProfile(f.cores)
	type rest struct {
		index      int
		work, from float64
	}
	var unfinished []rest
	for i, j := range f.jobs {
		s := p.find(j.work(), j.parallelism(), 0, j.usefulFor())
		p.take(s)
		out[i] = End{ID: j.ID, In: j.endAt(s.end)}
		if s.left > 0 {
			unfinished = append(unfinished, rest{i, s.left, s.end})
		}
	}
	for _, r := range unfinished {
		j := f.jobs[r.index]
		s := p.find(r.work, j.parallelism(), r.from, horizon)
		p.take(s)
		out[r.index].In = j.endAt(s.end)
	}
	return out
}

// endAt returns the end of the job if its work is done at a time in seconds.
func (j *Job) endAt(seconds float64) time.Duration {
	return min(max(time.Duration(seconds*float64(time.Second)), j.CriticalPath, 0), horizon*time.Second)
}

// Estimate is the forecast of a job that is not among the open ones.
type Estimate struct {
	// End is when it would end, Alone when it would if it were the only one.
	End, Alone time.Duration
	// JobsAhead and WorkAhead are the jobs before it, and what they do before they end or are
	// of no use, in core-seconds.
	JobsAhead int
	WorkAhead float64
}

// Estimate returns when the job would end if it were added.
func (f *Forecast) Estimate(job Job) Estimate {
	f.sort()
	at := f.position(&job)
	if at < f.aheadOf {
		f.resetAhead()
	}
	for ; f.aheadOf < at; f.aheadOf++ {
		j := f.jobs[f.aheadOf]
		s := f.ahead.find(j.work(), j.parallelism(), 0, j.usefulFor())
		f.ahead.take(s)
		f.aheadWork += j.work() - s.left
	}
	alone := newProfile(f.cores)
	return Estimate{
		End:       job.endAt(f.ahead.find(job.work(), job.parallelism(), 0, horizon).end),
		Alone:     job.endAt(alone.find(job.work(), job.parallelism(), 0, horizon).end),
		JobsAhead: at, WorkAhead: f.aheadWork,
	}
}

// endsBy reports whether the job certainly ends by a time, without the cost of an estimate. At
// any time until its end, either all cores work on the open jobs or the job runs at its full
// parallelism.
func (f *Forecast) endsBy(job *Job, by time.Duration) bool {
	if f.cores <= 0 {
		return false
	}
	parallel := job.parallelism()
	bound := (f.work + job.work()) / f.cores
	if parallel > 0 {
		bound += job.work() / parallel
	}
	return bound+job.Age.Seconds() < by.Seconds() && job.CriticalPath < by
}
