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

// Classify returns the class of a job and its rank within the class, lowest first. all and
// left are the steps on its critical path, task the mean duration of its tasks. The
// objective is stretch times the duration of the critical path plus target. The rank of a
// job in time is its slack, the time left before work on it must begin; that of a late job
// is the time until it expires; that of an expired job is its age.
func Classify(age time.Duration, all, left int, task time.Duration, stretch float64, target time.Duration) (Class, time.Duration) {
	longest := time.Duration(longestTaskFactor * float64(task))
	objective := time.Duration(stretch*float64(longest)*float64(all)) + target
	slack := objective - age - time.Duration(left)*longest
	switch {
	case slack >= 0:
		return InTime, slack
	case age < expiryFactor*objective:
		return Late, expiryFactor*objective - age
	}
	return Expired, age
}
