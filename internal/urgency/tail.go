package urgency

import "time"

const (
	// tailDeviations is the number of mean deviations above the mean that the tail lies, as for
	// retransmission timers (RFC 6298).
	tailDeviations = 4
	// firstDeviation divides the first sample into the deviation that is assumed for it.
	firstDeviation = 2
	// overdueDivisor: a run that is older than its forecast is expected to last for its age over
	// this again.
	overdueDivisor = 2
)

// TailEstimator estimates a long duration of tasks by queue: the mean and four mean deviations,
// as moving averages. It is not safe for concurrent use.
type TailEstimator struct{ queues map[string]tailEstimate }

type tailEstimate struct{ mean, deviation time.Duration }

// NewTailEstimator returns an estimator without samples.
func NewTailEstimator() *TailEstimator { return &TailEstimator{queues: map[string]tailEstimate{}} }

// Observe adds the duration of a task that ran at full pace.
func (t *TailEstimator) Observe(queue string, took time.Duration) {
	old, ok := t.queues[queue]
	if !ok {
		t.queues[queue] = tailEstimate{took, took / firstDeviation}
		return
	}
	off := took - old.mean
	t.queues[queue] = tailEstimate{
		mean:      old.mean + time.Duration(learningRate*float64(off)),
		deviation: old.deviation + time.Duration(learningRate*float64(max(off, -off)-old.deviation)),
	}
}

// Tail returns the duration that few tasks of the queue exceed, or 0 if none has ended yet.
func (t *TailEstimator) Tail(queue string) time.Duration {
	q := t.queues[queue]
	return q.mean + tailDeviations*q.deviation
}

// Remaining returns how long a run of the age is expected to last if few last longer than the
// forecast.
func Remaining(forecast, age time.Duration) time.Duration {
	if age < forecast {
		return forecast - age
	}
	return age / overdueDivisor
}
