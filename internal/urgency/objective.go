package urgency

import (
	"math"
	"time"
)

// Learned reports whether a task of the queue has been observed.
func (d *DurationEstimator) Learned(queue string) bool {
	_, ok := d.mean[queue]
	return ok
}

// LongestTask returns the duration of the longest task of a step whose mean task takes task.
func LongestTask(task time.Duration) time.Duration {
	return saturate(longestTaskFactor * float64(task))
}

// UsefulAge returns the age from which on a job with the objective is of no use.
func UsefulAge(objective time.Duration) time.Duration {
	return saturate(expiryFactor * float64(objective))
}

// saturate converts nanoseconds to a duration: 0 if they are negative or not a number, the
// largest duration if they exceed it.
func saturate(ns float64) time.Duration {
	switch {
	case !(ns > 0):
		return 0
	case ns >= math.MaxInt64:
		return math.MaxInt64
	}
	return time.Duration(ns)
}
