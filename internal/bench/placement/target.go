package placement

import (
	"time"

	"chervilridge/internal/standin/interference"
)

// targetRule gives the p99 target of the service at its present load.
type targetRule func(load float64) time.Duration

// usualLoad is the top of the daily swing, with no data centre out.
const usualLoad = 0.6

// aloneTarget is one figure as an operator measures it: the target over the p99
// of a whole run without batch work, a data centre's absence included.
func aloneTarget(d Deployment, load serviceLoad) targetRule {
	w := newWorld(d, load, nil, 0, func() Controller { return noControl{} })
	for second := range horizon {
		w.advance(second)
	}
	micros := float64(w.result.alone.ValueAtPercentile(percentile))
	return constant(time.Duration(targetSlowdown * micros * float64(time.Microsecond)))
}

// usualTarget is one figure for the usual load; alone, the service misses it
// where more load comes.
func usualTarget(d Deployment, _ serviceLoad) targetRule {
	return constant(targetAt(d.Service, usualLoad))
}

// highestTarget is one figure that the service keeps alone at any load.
func highestTarget(d Deployment, _ serviceLoad) targetRule {
	return constant(targetAt(d.Service, highestLoad))
}

// presentTarget follows the load, which the product's table cannot say.
func presentTarget(d Deployment, _ serviceLoad) targetRule {
	return func(load float64) time.Duration { return targetAt(d.Service, load) }
}

func constant(target time.Duration) targetRule {
	return func(float64) time.Duration { return target }
}

func targetAt(s Service, load float64) time.Duration {
	return milliseconds(targetSlowdown * s.MedianMs * tailFactor * interference.Alone(load))
}
