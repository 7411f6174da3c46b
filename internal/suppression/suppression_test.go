package suppression

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFewActAtOnce counts, for 1 to 4400 processes, how many act before they can
// see the first one's action, which takes a twentieth of the maximum delay.
func TestFewActAtOnce(t *testing.T) {
	const (
		maxDelay   = 2 * time.Second
		noticeTime = maxDelay / 20
		rounds     = 200
	)
	for _, n := range []int{1, 11, 100, 1000, 4400} {
		r := rand.New(rand.NewPCG(1, uint64(n)))
		acts := 0
		for range rounds {
			draws := make([]time.Duration, n)
			for i := range draws {
				draws[i] = Delay(maxDelay, r.Float64())
			}
			first := slices.Min(draws)
			for _, d := range draws {
				if d <= first+noticeTime {
					acts++
				}
			}
		}
		mean := float64(acts) / rounds
		t.Logf("%d processes: %.2f act on average", n, mean)
		assert.Assert(t, mean <= 4, "%d processes: %.2f act on average, want at most 4", n, mean)
	}
}

func TestDelayIsAtMostMaxDelay(t *testing.T) {
	assert.Equal(t, Delay(time.Second, 0), time.Duration(0))
	assert.Assert(t, Delay(time.Second, 0.999999) <= time.Second)
	assert.Equal(t, Delay(0, 0.5), time.Duration(0))
}
