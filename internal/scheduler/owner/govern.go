package owner

import (
	"context"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/scheduler/blame"
	"chervilridge/internal/scheduler/placement"
	"chervilridge/internal/shard"
	"chervilridge/internal/table"
)

const (
	judgeInterval = time.Second
	// Ended jobs are dropped forgetAtOnce at a time.
	forgetInterval = 10 * time.Second
	forgetAtOnce   = 1000
	// clockTolerance is how far wall and monotonic clock may drift apart.
	clockTolerance = time.Minute
	// publishInterval bounds the records spent on what was learned.
	publishInterval = 10 * time.Second
	publishSamples  = 8
	// A quarantined worker is tried again after firstProbe, and after twice as
	// long each further time.
	firstProbe = time.Minute
	lastProbe  = time.Hour

	probeReason = "tried again after quarantine"
)

// govern writes down what the history taught: workers to quarantine or to try
// again, jobs to stop, interference learned.
func (o *Owner) govern(ctx context.Context, epoch uint64) {
	now := time.Now()
	o.enterInsight(epoch, now)
	if o.due(&o.insight.judged, now, judgeInterval) {
		o.judgeBlame(ctx, epoch, now)
		o.watchCentres(now)
	}
	if o.due(&o.insight.forgot, now, forgetInterval) {
		o.forgetJobs(ctx, epoch, now)
	}
	if o.due(&o.insight.published, now, publishInterval) {
		o.publish(ctx, epoch)
	}
}

// forgetJobs drops jobs that ended longer ago than the retention, the oldest
// first and a bounded number in one record. It waits while the wall clock cannot
// be trusted: a clock set forward would make results look old.
func (o *Owner) forgetJobs(ctx context.Context, epoch uint64, now time.Time) {
	if !steady(o.began, now) {
		return
	}
	var ids []string
	before := now.Add(-o.options.JobRetention).UnixMilli()
	o.state.View(func(s *shard.State) { ids = s.EndedBefore(before, forgetAtOnce) })
	if len(ids) == 0 {
		return
	}
	rec := &pb.Record{Body: &pb.Record_JobsForgotten{JobsForgotten: &pb.JobsForgotten{JobIds: ids}}}
	go func() {
		if v, err := o.commit(ctx, epoch, rec); err == nil && v.Rejection == nil {
			events.JobsForgotten.Log("jobs", len(ids), "shard", o.options.Shard, "retention", o.options.JobRetention)
		}
	}()
}

// steady reports whether the wall clock has run as fast as the monotonic clock
// between two readings.
func steady(began, now time.Time) bool {
	return steadyBetween(now.UnixMilli()-began.UnixMilli(), now.Sub(began))
}

func steadyBetween(wallMs int64, monotonic time.Duration) bool {
	step := time.Duration(wallMs)*time.Millisecond - monotonic
	return step.Abs() <= clockTolerance
}

// watchCentres notices data centres that come back also while no task waits.
func (o *Owner) watchCentres(now time.Time) {
	o.insight.mu.Lock()
	defer o.insight.mu.Unlock()
	o.table.View(func(t *table.Table) { o.insight.dataCentres(t, now) })
}

func (o *Owner) due(last *time.Time, now time.Time, interval time.Duration) bool {
	o.insight.mu.Lock()
	defer o.insight.mu.Unlock()
	if now.Sub(*last) < interval {
		return false
	}
	*last = now
	return true
}

func (o *Owner) judgeBlame(ctx context.Context, epoch uint64, now time.Time) {
	var verdict blame.Verdict
	quarantined := []string{}
	stopped := map[string]bool{}
	o.state.View(func(s *shard.State) {
		verdict = blame.Judge(s.Histories())
		for name, w := range s.Workers() {
			if w.Quarantined {
				quarantined = append(quarantined, name)
			}
		}
		for _, id := range verdict.Jobs {
			stopped[id] = s.Job(id).Rejected != ""
		}
	})
	for _, name := range verdict.Workers {
		o.quarantine(ctx, epoch, name, true, "failed attempts of several jobs in a row")
	}
	for _, name := range o.probes(quarantined, now) {
		o.quarantine(ctx, epoch, name, false, probeReason)
	}
	for _, id := range verdict.Jobs {
		if !stopped[id] {
			o.stopJob(ctx, epoch, id)
		}
	}
}

// probes returns the quarantined workers whose time is over. A new owner counts
// the time anew.
func (o *Owner) probes(quarantined []string, now time.Time) []string {
	o.insight.mu.Lock()
	defer o.insight.mu.Unlock()
	var out []string
	for _, name := range quarantined {
		v := o.insight.quarantines[name]
		if v == nil {
			v = &quarantineView{}
			o.insight.quarantines[name] = v
		}
		if v.since.IsZero() {
			v.since, v.times = now, v.times+1
		}
		if now.Sub(v.since) >= blame.ProbePeriod(firstProbe, lastProbe, v.times) {
			v.since = time.Time{}
			out = append(out, name)
		}
	}
	return out
}

func (o *Owner) quarantine(ctx context.Context, epoch uint64, name string, in bool, reason string) {
	o.background(ctx, epoch, "worker/"+name, &pb.Record{Body: &pb.Record_WorkerQuarantined{WorkerQuarantined: &pb.WorkerQuarantined{
		Worker: name, Quarantined: in, Reason: reason,
	}}}, func() {
		if in {
			events.WorkerQuarantined.Log("worker", name, "reason", reason)
			return
		}
		events.WorkerProbed.Log("worker", name)
	})
}

func (o *Owner) stopJob(ctx context.Context, epoch uint64, id string) {
	const reason = "the job fails on several workers that run other jobs"
	o.background(ctx, epoch, "job/"+id, &pb.Record{Body: &pb.Record_JobRejected{JobRejected: &pb.JobRejected{
		JobId: id, Reason: reason,
	}}}, func() { events.JobStopped.Log("job", id, "reason", reason) })
}

func (o *Owner) publish(ctx context.Context, epoch uint64) {
	o.insight.mu.Lock()
	learned := o.insight.learner.Publish(publishSamples)
	o.insight.mu.Unlock()
	for _, l := range learned {
		key := "effect/" + l.Service + "/" + l.JobClass + "/" + string(rune('0'+l.LoadBand))
		o.background(ctx, epoch, key, &pb.Record{Body: &pb.Record_InterferenceLearned{InterferenceLearned: l}}, func() {
			events.InterferenceLearned.Log("service", l.Service, "jobClass", l.JobClass, "loadBand", l.LoadBand,
				"slowdownMilli", l.SlowdownMilli, "samples", l.Samples)
		})
	}
}

// background commits a record without holding up the round, once at a time for
// each key, and runs done when replay has accepted it.
func (o *Owner) background(ctx context.Context, epoch uint64, name string, rec *pb.Record, done func()) {
	key := attemptKey{ref: shard.TaskRef{JobID: name}}
	if !o.occupy(key) {
		return
	}
	go func() {
		defer o.vacate(key)
		if v, err := o.commit(ctx, epoch, rec); err == nil && v.Rejection == nil {
			done()
		}
	}()
}

// Planning pauses for planShare times as long as the newest plan took, within
// bounds, so that a long queue does not take the node's processors: each change
// of the ledger asks for a plan.
const (
	planShare        = 20
	longestPlanPause = 500 * time.Millisecond
	shortestPause    = 10 * time.Millisecond
)

func planPause(took time.Duration) time.Duration {
	return min(max(planShare*took, shortestPause), longestPlanPause)
}

// planDue reports whether it is time for another plan.
func (o *Owner) planDue(now time.Time) bool {
	o.insight.mu.Lock()
	defer o.insight.mu.Unlock()
	return now.Sub(o.insight.planned) >= planPause(o.insight.planTook)
}

// plan makes a plan and logs what waits and why.
func (o *Owner) plan(s placement.Snapshot) placement.Plan {
	began := time.Now()
	p := placement.Make(s)
	o.insight.logWaiting(p)
	o.insight.mu.Lock()
	defer o.insight.mu.Unlock()
	o.insight.planned = time.Now()
	o.insight.planTook = o.insight.planned.Sub(began)
	return p
}
