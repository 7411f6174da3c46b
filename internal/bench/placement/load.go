package placement

import (
	"math"
	"math/rand/v2"

	"chervilridge/internal/scheduler/placement/model"
	"chervilridge/internal/shard"
)

// The run, in seconds.
const (
	horizon      = 1800
	warmUp       = 180 // not measured: nothing is learned yet
	waveEvery    = 300
	waveLength   = 150
	centreOutAt  = 930
	centreBackAt = 1230
	// centreDone ends the window in which a data centre leaves and returns.
	centreDone = 1380
	outCentre  = 1
	secondMs   = 1000
)

func waveAt(second int) bool { return second%waveEvery < waveLength && second >= waveEvery }

// serviceLoad is the load of each worker's service at each second, 0 to 1,
// before a data centre that is out moves its part to the others.
type serviceLoad [][]float64

// newServiceLoad draws a slow swing, shifts that come at random, and jitter.
func newServiceLoad(rng *rand.Rand) serviceLoad {
	out := make(serviceLoad, workers)
	for w := range out {
		out[w] = make([]float64, horizon)
	}
	shift := 0.0
	for s := range horizon {
		if rng.IntN(120) == 0 {
			shift = (rng.Float64()*2 - 1) * 0.2
		}
		swing := 0.4 + 0.2*math.Sin(2*math.Pi*float64(s)/900)
		for w := range out {
			out[w][s] = min(max(swing+shift+(rng.Float64()*2-1)*0.04, 0.05), 0.95)
		}
	}
	return out
}

// arrival is one batch task as it will be submitted.
type arrival struct {
	second int
	class  *class
	ref    shard.TaskRef
	need   model.Amount
	work   float64 // seconds at full speed
}

// newArrivals draws the tasks of a run for a number of cores.
func newArrivals(rng *rand.Rand, cores float64, kinds []*class) []arrival {
	var out []arrival
	scale := cores / 1000
	add := func(second, n int, c *class) {
		for range n {
			out = append(out, newArrival(rng, second, len(out), c))
		}
	}
	for s := range horizon {
		for _, c := range kinds {
			add(s, poisson(rng, c.perMinute*scale/60), c)
			if s == 0 {
				add(s, int(c.perMinute*scale), c)
			}
			if s > 0 && s%waveEvery == 0 {
				add(s, int(c.wave*scale), c)
			}
		}
	}
	return out
}

func newArrival(rng *rand.Rand, second, n int, c *class) arrival {
	vary := 0.85 + 0.3*rng.Float64()
	return arrival{
		second: second, class: c, ref: shard.TaskRef{JobID: jobID(n)},
		need: model.Amount{CPUMilli: int64(float64(c.need.CPUMilli) * vary), MemoryMB: int64(float64(c.need.MemoryMB) * vary)},
		work: c.seconds * (0.5 + rng.ExpFloat64()*0.5),
	}
}

func jobID(n int) string {
	digits := []byte("job-000000")
	for i := len(digits) - 1; n > 0; i, n = i-1, n/10 {
		digits[i] = byte('0' + n%10)
	}
	return string(digits)
}

func poisson(rng *rand.Rand, mean float64) int {
	n, p, limit := 0, rng.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= rng.Float64()
	}
	return n
}
