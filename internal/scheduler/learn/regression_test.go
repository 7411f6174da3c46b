package learn

import (
	"math"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
)

// TestInstrument: the value is lowered whenever the noise is high, as control
// does. With the instrument the slope is found; the value alone as its own
// instrument gives far too little.
func TestInstrument(t *testing.T) {
	slope := func(instrumented bool) float64 {
		r := &regression{}
		level, effect := r.add(0, levelVariance), r.add(0, effectVariance)
		rng := rand.New(rand.NewPCG(1, 1))
		for range 5_000 {
			work, noise := rng.Float64()*0.5, 0.1*rng.NormFloat64()
			value := work
			if noise > 0 {
				value *= 0.5
			}
			instrument := value
			if instrumented {
				instrument = work
			}
			r.update([]term{{level, 1, 1}, {effect, value, instrument}}, 3+0.8*value+noise)
		}
		return r.mean[effect]
	}
	assert.Check(t, math.Abs(slope(true)-0.8) < 0.1, "%f", slope(true))
	assert.Check(t, slope(false) < 0.5, "%f", slope(false))
}

// TestForgettingIsBounded: a coefficient that long had no evidence is not moved
// more by new noise than one that never had any.
func TestForgettingIsBounded(t *testing.T) {
	r := &regression{}
	level, effect := r.add(0, levelVariance), r.add(0, effectVariance)
	for range 200_000 {
		r.update([]term{{level, 1, 1}}, 3)
	}
	assert.Check(t, r.covariance[effect][effect] <= effectVariance*(1+1e-9), "%f", r.covariance[effect][effect])
}
