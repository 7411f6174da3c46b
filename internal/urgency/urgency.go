// Package urgency orders jobs by what their callers can still get. It answers for more
// work than the workers can do in time: a job that can still be done within its
// objective goes before one that is late already, and one that nobody waits for any more
// comes last.
package urgency

import (
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/work"
)

const (
	// lateFactor is up to how many objectives late a job is still of use.
	lateFactor = 3
	// unknownTask is assumed of a task whose queue has not ended any yet.
	unknownTask = 1500 * time.Millisecond
	// longestFactor is how much longer than the mean the longest task of a step is.
	longestFactor = 1.4
	// learnRate is how much of a deviation one ended task corrects.
	learnRate = 0.1
)

// Class orders jobs; the lowest comes first.
type Class int

// Classes of jobs.
const (
	InTime Class = iota
	Late
	Hopeless
)

// Durations learns how long tasks of a queue take. Its owner guards it.
type Durations struct{ mean map[string]time.Duration }

// NewDurations returns an estimate that knows nothing.
func NewDurations() *Durations { return &Durations{mean: map[string]time.Duration{}} }

// Observe takes in the time that a task took at full pace.
func (d *Durations) Observe(queue string, took time.Duration) {
	old, ok := d.mean[queue]
	if !ok {
		d.mean[queue] = took
		return
	}
	d.mean[queue] = old + time.Duration(learnRate*float64(took-old))
}

// Task returns how long a task of the queue takes.
func (d *Durations) Task(queue string) time.Duration {
	if m, ok := d.mean[queue]; ok {
		return m
	}
	return unknownTask
}

// Chain returns how many steps the longest chain of an occurrence has, in all and
// without those that are done. Steps that last count for nothing.
func Chain(o *work.Occurrence, steps []*chervilv2.Step) (all, left int) {
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

// Classify returns the class of a job of the age given, and the time that is left until
// work on it has to begin for it to be in time.
func Classify(age time.Duration, all, left int, task time.Duration, stretch float64, target time.Duration) (Class, time.Duration) {
	longest := time.Duration(longestFactor * float64(task))
	objective := time.Duration(stretch*float64(longest)*float64(all)) + target
	slack := objective - age - time.Duration(left)*longest
	switch {
	case slack >= 0:
		return InTime, slack
	case age < lateFactor*objective:
		return Late, lateFactor*objective - age
	}
	return Hopeless, age
}
