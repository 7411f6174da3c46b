package admission

import "time"

const (
	smoothingFactor = 0.1 // weight of a new observation
	// deviationMargin is how many mean deviations above the mean service time a request must
	// have left when it gets a slot: a slot whose answer comes too late is wasted.
	deviationMargin = 3
)

// serviceTimeEstimate holds exponentially smoothed values of the service time: its mean and
// its mean deviation.
type serviceTimeEstimate struct {
	mean      time.Duration
	deviation time.Duration
}

func newServiceTimeEstimate(initial time.Duration) serviceTimeEstimate {
	return serviceTimeEstimate{mean: initial, deviation: initial / 2}
}

func (e *serviceTimeEstimate) observe(took time.Duration) {
	diff := took - e.mean
	e.mean += time.Duration(smoothingFactor * float64(diff))
	e.deviation += time.Duration(smoothingFactor * float64(diff.Abs()-e.deviation))
}

// requiredTime returns the time left at which an answer in time is likely.
func (e *serviceTimeEstimate) requiredTime() time.Duration {
	return e.mean + deviationMargin*e.deviation
}
