// Package urgency orders jobs by their deadlines when the workers are overloaded: a job that
// can still meet its objective comes first, then jobs that are already late, and last those
// so late that their result is of no use any more.
package urgency

import (
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobstate"
)

const (
	// expiryFactor is the age, in multiples of a job's objective, from which on the job is of
	// no use.
	expiryFactor = 3
	// defaultTaskDuration is assumed for queues of which no task has ended yet.
	defaultTaskDuration = 1500 * time.Millisecond
	// longestTaskFactor is the ratio of a step's longest task to the mean task.
	longestTaskFactor = 1.4
	// learningRate is the weight of one sample in the moving average.
	learningRate = 0.1
)

// Class ranks jobs; the lowest comes first.
type Class int

// Classes of jobs: those that can meet their objective, those that cannot but are still of
// use, and those of no use.
const (
	InTime Class = iota
	Late
	Expired
)

// DurationEstimator estimates the duration of tasks by queue, as a moving average. It is not
// safe for concurrent use.
type DurationEstimator struct{ mean map[string]time.Duration }

// NewDurationEstimator returns an estimator without samples.
func NewDurationEstimator() *DurationEstimator {
	return &DurationEstimator{mean: map[string]time.Duration{}}
}

// Observe adds the duration of a task that ran at full pace.
func (d *DurationEstimator) Observe(queue string, took time.Duration) {
	old, ok := d.mean[queue]
	if !ok {
		d.mean[queue] = took
		return
	}
	d.mean[queue] = old + time.Duration(learningRate*float64(took-old))
}

// Estimate returns the expected duration of a task of the queue.
func (d *DurationEstimator) Estimate(queue string) time.Duration {
	if m, ok := d.mean[queue]; ok {
		return m
	}
	return defaultTaskDuration
}

// CriticalPath returns the number of steps on the longest path through the steps of an
// occurrence: of all steps, and of those not done. Long-running steps do not count. o is nil
// if the occurrence has not begun.
func CriticalPath(o *jobstate.Occurrence, steps []*chervilv2.Step) (all, left int) {
	depthAll := make([]int, len(steps))
	depthLeft := make([]int, len(steps))
	for i, s := range steps {
		for _, a := range s.After {
			depthAll[i] = max(depthAll[i], depthAll[a])
			depthLeft[i] = max(depthLeft[i], depthLeft[a])
		}
		if s.LongRunning {
			continue
		}
		depthAll[i]++
		if o == nil || !o.Steps[i].Done {
			depthLeft[i]++
		}
		all, left = max(all, depthAll[i]), max(left, depthLeft[i])
	}
	return all, left
}

// WorkLeft returns the part of an occurrence's CPU time, as far as the steps request it, whose
// tasks are not done: 1 if none is. o is nil if the occurrence has not begun.
func WorkLeft(o *jobstate.Occurrence, steps []*chervilv2.Step) float64 {
	total, left := 0.0, 0.0
	for i, s := range steps {
		unfinished := int(s.Tasks)
		if o != nil {
			unfinished = o.Steps[i].Unfinished()
		}
		total += float64(s.Tasks) * float64(s.CpuMilli)
		left += float64(unfinished) * float64(s.CpuMilli)
	}
	if total == 0 {
		return 1
	}
	return left / total
}

const (
	// progressLevels is the number of levels into which jobs in time are divided by the work
	// that is left. Within a level, slack decides.
	progressLevels = 10
	// progressLevelRank is the distance in rank between two levels. It exceeds every slack.
	progressLevelRank = 1000 * time.Hour
)

// RankInTime returns the rank of a job in time from its slack and from the part of its work
// that is left. It answers more work than there is room for: the jobs of which the most is done
// free their room first, and each job that ends in time counts, while a little progress on all of
// them makes all late. The part of the work, unlike its amount, does not favour small jobs.
func RankInTime(slack time.Duration, workLeft float64) time.Duration {
	return time.Duration(workLeft*progressLevels)*progressLevelRank + slack
}

// Objective returns the time from its acceptance within which a job should end: stretch times
// the duration of its critical path, of all steps, plus target. task is the mean duration of a task.
// It neither overflows nor is negative.
func Objective(all int, task time.Duration, stretch float64, target time.Duration) time.Duration {
	return saturate(stretch*float64(LongestTask(task))*float64(all) + float64(target))
}

// Classify returns the class of a job and its rank within the class, lowest first. all and
// left are the steps on its critical path, task the mean duration of its tasks; see Objective. The rank of a
// job in time is its slack, the time left before work on it must begin; that of a late job
// is the time until it expires; that of an expired job is its age.
func Classify(age time.Duration, all, left int, task time.Duration, stretch float64, target time.Duration) (Class, time.Duration) {
	longest := time.Duration(longestTaskFactor * float64(task))
	objective := Objective(all, task, stretch, target)
	slack := objective - age - time.Duration(left)*longest
	switch {
	case slack >= 0:
		return InTime, slack
	case age < expiryFactor*objective:
		return Late, expiryFactor*objective - age
	}
	return Expired, age
}
