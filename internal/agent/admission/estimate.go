package admission

import "time"

const (
	smoothing = 0.1 // weight of the newest service time
	// spread is how many mean deviations above the mean a request must have left
	// when it gets a slot: a slot that ends in a late answer is wasted.
	spread = 3
)

// estimate follows the service time: its mean and its mean deviation.
type estimate struct {
	mean      time.Duration
	deviation time.Duration
}

func newEstimate(first time.Duration) estimate { return estimate{mean: first, deviation: first / 2} }

func (e *estimate) observe(took time.Duration) {
	off := took - e.mean
	e.mean += time.Duration(smoothing * float64(off))
	e.deviation += time.Duration(smoothing * float64(off.Abs()-e.deviation))
}

// needed is the time left that makes an answer in time likely.
func (e *estimate) needed() time.Duration { return e.mean + spread*e.deviation }
