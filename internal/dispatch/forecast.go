package dispatch

import (
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/forecast"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/plan"
	"chervilridge/internal/urgency"
)

const (
	// forecastInterval is the minimum time between two forecasts, maxForecastAge the age from
	// which on a forecast refuses nothing.
	forecastInterval = 250 * time.Millisecond
	maxForecastAge   = time.Second
	// absentAfter is how long the agent of a worker may be silent until the worker's capacity
	// does not count. Most interruptions are shorter.
	absentAfter = 10 * time.Second
	// deliveredWeight is the weight of one round in the moving average of delivered cores,
	// which so covers some 2 s.
	deliveredWeight = 0.12
	// minDeliveredShare bounds the delivered cores from below, as a share of the capacity.
	minDeliveredShare = 0.05
	milliPerCore      = 1000
	percentPerWhole   = 100
)

// forecasts is the last forecast and what is remembered between forecasts. None of it is
// stored.
type forecasts struct {
	at       boottime.Instant // 0 if there is no forecast yet
	wallMs   int64
	services map[string]*serviceForecast
	// delivered is the moving average of the cores that worked on finite runs while tasks
	// waited, by service.
	delivered map[string]float64
	refusals  refusals
}

// serviceForecast is the forecast of one service.
type serviceForecast struct {
	jobs *forecast.Service
	// cores is an optimistic bound of the capacity for finite runs, at full pace. granted is
	// what these request, working what they use at their pace.
	cores, granted, working float64
	// delivered is the capacity by what recent rounds with waiting tasks delivered.
	delivered float64
	// waiting is set if finite tasks stayed waiting in the last planning round.
	waiting bool
	workers []workerOffer
	fitting map[stepNeeds]bool
}

// workerOffer is what an empty worker offered when the forecast was made. The forecast outlives the
// lock under which it is made, and a worker may be gone from its node by the time it is used.
type workerOffer struct {
	capacity plan.Resources
	labels   []string
}

// stepNeeds is what decides whether a task fits on an empty worker.
type stepNeeds struct {
	cpuMilli, memoryMB, gpus uint32
	label                    string
}

// updateForecast computes the forecast after a planning round, unless the last one is recent.
// unplaced are the tasks that the round left waiting.
func (e *Engine) updateForecast(view *operatorconfig.View, unplaced []plan.Unplaced) {
	f, now := &e.forecasts, e.clock()
	if f.at != 0 && now.Sub(f.at) < forecastInterval {
		return
	}
	f.at, f.wallMs = now, e.wall().UnixMilli()
	f.refusals.prune(now)
	f.services = map[string]*serviceForecast{}
	done := e.measureCapacity(view, now)
	for _, u := range unplaced {
		if en := e.jobs[u.Key.Job]; en != nil && en.queue != nil {
			s := f.services[en.queue.Service]
			if step := en.job.Spec.Steps[u.Key.Step]; s != nil && !step.LongRunning && s.fits(step) {
				s.waiting = true
			}
		}
	}
	e.updateDelivered()
	jobs := map[string][]forecast.Job{} // by service
	for id, en := range e.activeJobs {
		if en.queue == nil || en.job.Ended() || f.services[en.queue.Service] == nil {
			continue
		}
		job := e.forecastJob(en, f.services[en.queue.Service])
		job.Work = max(job.Work-done[id], 0)
		jobs[en.queue.Service] = append(jobs[en.queue.Service], job)
	}
	for name, s := range f.services {
		s.jobs = forecast.NewService(jobs[name], s.cores, s.delivered)
		e.recordExpectedEnds(s.jobs.ExpectedEnds(), now)
	}
}

// measureCapacity sets the capacity of each service and what runs there. It returns the work that
// unfinished runs have done, in core-seconds by job.
func (e *Engine) measureCapacity(view *operatorconfig.View, now boottime.Instant) map[string]float64 {
	done := map[string]float64{}
	for _, n := range e.nodes {
		if n.worker == nil || n.worker.Service == "" {
			continue
		}
		s := e.forecasts.services[n.worker.Service]
		if s == nil {
			s = &serviceForecast{fitting: map[stepNeeds]bool{}}
			e.forecasts.services[n.worker.Service] = s
		}
		reserved := 0.0
		for _, tr := range n.runs {
			cores := float64(tr.step.CpuMilli) / milliPerCore
			switch {
			case !tr.step.LongRunning:
				s.granted += cores
				if tr.startedAt != 0 {
					s.working += tr.pacedCores()
				}
				if en := e.jobs[tr.run.Ref.Job]; en != nil {
					percent := float64(min(tr.percent, percentPerWhole))
					done[tr.run.Ref.Job] += cores * e.durations.Estimate(en.job.Spec.Queue).Seconds() * percent / percentPerWhole
				}
			case tr.step.Fills: // gives way to finite runs
			case tr.step.TargetLatencyMs > 0:
				reserved += cores * servingUsePercent / percentPerWhole
			default:
				reserved += cores
			}
		}
		if n.offersCapacity(view, now) {
			s.workers = append(s.workers, workerOffer{capacity: n.capacity(), labels: n.worker.Labels})
			s.cores += max(float64(n.worker.CpuMilli)/milliPerCore-reserved, 0)
		}
	}
	return done
}

// pacedCores returns the cores that a run uses at its pace.
func (tr *trackedRun) pacedCores() float64 {
	cores := float64(tr.step.CpuMilli) / milliPerCore
	if !tr.paced {
		return cores
	}
	return cores * float64(min(tr.pacePercent, fullPacePercent)) / fullPacePercent
}

// offersCapacity reports whether the worker may run new tasks now or soon.
func (n *node) offersCapacity(view *operatorconfig.View, now boottime.Instant) bool {
	return n.outOfService(view) == "" && now.Sub(n.lastReport) <= absentAfter
}

// updateDelivered updates the delivered cores of each service. Without waiting tasks, runs use what
// they need, which does not show the capacity.
func (e *Engine) updateDelivered() {
	if e.forecasts.delivered == nil {
		e.forecasts.delivered = map[string]float64{}
	}
	for name, s := range e.forecasts.services {
		s.delivered = s.cores
		if !s.waiting {
			continue
		}
		mean, known := e.forecasts.delivered[name]
		if !known {
			mean = s.working
		}
		mean += deliveredWeight * (s.working - mean)
		e.forecasts.delivered[name] = mean
		s.delivered = min(max(mean, minDeliveredShare*s.cores), s.cores)
	}
}

// forecastJob returns the job as it was at the time of the forecast, without the progress of its
// runs.
func (e *Engine) forecastJob(en *jobEntry, s *serviceForecast) forecast.Job {
	queue, spec := en.queue, en.job.Spec
	task := e.durations.Estimate(queue.Name)
	class, rank := e.urgency(en, queue, e.forecasts.wallMs)
	all, left := urgency.CriticalPath(en.job.Occurrences[0], spec.Steps)
	job := forecast.Job{ID: spec.Id, Rank: forecast.Rank{Priority: queue.Priority, Class: class, InClass: rank}}
	if en.job.Scheduled() {
		left = all // of each occurrence
	} else {
		job.Age = time.Duration(e.forecasts.wallMs-spec.AcceptedUnixMs) * time.Millisecond
	}
	if queue.Stretch > 0 {
		job.Objective = urgency.Objective(all, task, queue.Stretch, queue.TargetLatency)
	}
	job.CriticalPath = time.Duration(left) * urgency.LongestTask(task)
	never := s.stepsThatNeverRun(spec.Steps)
	for i, step := range spec.Steps {
		if never[i] {
			continue
		}
		job.Work += float64(unfinishedTasks(en.job, i)) * float64(step.CpuMilli) / milliPerCore * task.Seconds()
	}
	return job
}

// unfinishedTasks returns the tasks of a step that are not done in the occurrences that have begun.
// A job that was not added has none of these, and all its tasks count.
func unfinishedTasks(job *jobstate.Job, step int) int {
	if len(job.Occurrences) == 0 {
		return int(job.Spec.Steps[step].Tasks)
	}
	sum := 0
	for _, o := range job.Occurrences {
		sum += o.Steps[step].Unfinished()
	}
	return sum
}

// stepsThatNeverRun returns which steps use no capacity for finite runs: those that are long-running
// or fit on no worker, and those that wait for one of these.
func (s *serviceForecast) stepsThatNeverRun(steps []*chervilv2.Step) []bool {
	never := make([]bool, len(steps))
	for i, step := range steps {
		never[i] = step.LongRunning || !s.fits(step)
		for _, a := range step.After {
			never[i] = never[i] || never[a]
		}
	}
	return never
}

// fits reports whether a worker has room for a task of the step if it is empty.
func (s *serviceForecast) fits(step *chervilv2.Step) bool {
	needs := stepNeeds{cpuMilli: step.CpuMilli, memoryMB: step.MemoryMb, gpus: step.Gpus, label: step.RequiredLabel}
	if step.Fills {
		needs.cpuMilli = 0 // runs at a lower pace
	}
	fits, known := s.fitting[needs]
	if !known {
		fits = slices.ContainsFunc(s.workers, func(w workerOffer) bool {
			return int64(needs.cpuMilli) <= w.capacity.CPUMilli && int64(needs.memoryMB) <= w.capacity.MemoryMB && int64(needs.gpus) <= w.capacity.GPUs &&
				(needs.label == "" || slices.Contains(w.labels, needs.label))
		})
		s.fitting[needs] = fits
	}
	return fits
}

// recordExpectedEnds remembers the first forecast end of each job.
func (e *Engine) recordExpectedEnds(ends []forecast.End, now boottime.Instant) {
	for _, end := range ends {
		if en := e.jobs[end.ID]; en != nil && en.expectedEnd == 0 {
			en.expectedEnd = now.Add(end.In)
		}
	}
}

// addToForecast adds a job that was accepted after the forecast, so that later submissions count it.
func (e *Engine) addToForecast(en *jobEntry) {
	if en.queue == nil {
		return
	}
	if s := e.forecasts.services[en.queue.Service]; s != nil {
		s.jobs.Add(e.forecastJob(en, s))
	}
}

// observeForecastError records by how much a completed job missed its first forecast end.
func (e *Engine) observeForecastError(en *jobEntry) {
	if en.expectedEnd == 0 || en.job.Phase != chervilv2.JobPhase_JOB_PHASE_COMPLETED || en.job.Scheduled() {
		return
	}
	if late := e.clock().Sub(en.expectedEnd); late >= 0 {
		forecastLate.observe(late)
	} else {
		forecastEarly.observe(-late)
	}
}
