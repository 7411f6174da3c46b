package interference

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/boottime"
)

// simulate runs two services with a periodic load beside best-effort tasks that change at
// random, on the given number of workers, and feeds a model with the samples that the
// workers would report. It returns the model and the last true baselines by service.
func simulate(seed uint64, truth map[Pair]float64, samples, workers int) (*Model, map[string]float64) {
	const interval, period = 400 * time.Millisecond, 14.0
	random := rand.New(rand.NewPCG(seed, seed))
	m := New()
	now := boottime.Instant(time.Hour)
	use := make([]map[string]float64, workers)
	baselines := map[string]float64{}
	for range samples {
		now = now.Add(interval)
		for w := range workers {
			if use[w] == nil || random.Float64() < 0.2 {
				use[w] = map[string]float64{fmt.Sprint("f", random.IntN(3)): 0.1 + 0.12*random.Float64(), fmt.Sprint("f", random.IntN(3)): 0.1 * random.Float64()}
			}
			for _, service := range []string{"s0", "s1"} {
				phase := 2 * math.Pi * (now.Sub(0).Seconds()/period + float64(len(service)+int(service[1]))/3)
				baselines[service] = 2.75 + 1.1*math.Sin(phase)
				headroom := baselines[service]
				for bestEffort, share := range use[w] {
					headroom -= truth[Pair{service, bestEffort}] * share
				}
				headroom *= 1 + 0.03*random.NormFloat64()
				m.Observe(Sample{At: now, Service: service, Image: service, Tasks: 3, Headroom: max(headroom, 0.1), BestEffortUse: use[w]})
			}
		}
		m.Refresh(now)
	}
	return m, baselines
}

// Some best-effort images cost a headroom of 3.2 to 6.4 on a whole worker, others none, while
// the load of the serving tasks changes the headroom by 2.2. A single worker has no other
// to compare with at the same time and needs three times as many samples.
func TestHarmfulAndHarmlessPairsAreDistinguished(t *testing.T) {
	truth := map[Pair]float64{{"s0", "f0"}: 4.8, {"s1", "f1"}: 6.4, {"s1", "f2"}: 3.2}
	for _, c := range []struct{ samples, workers int }{{100, 4}, {300, 1}} {
		for seed := range uint64(5) {
			m, _ := simulate(seed, truth, c.samples, c.workers)
			for _, serving := range []string{"s0", "s1"} {
				for _, bestEffort := range []string{"f0", "f1", "f2"} {
					p := Pair{serving, bestEffort}
					got := m.Slope(p)
					assert.Assert(t, math.Abs(got-truth[p]) < 1.6, "%d workers, seed %d: %v is %.1f, not %.1f", c.workers, seed, p, got, truth[p])
				}
			}
		}
	}
}

func TestUnknownPairsAreTried(t *testing.T) {
	assert.Equal(t, New().Slope(Pair{"s", "f"}), priorSlope)
}

func TestNoiseCountsAsNoHarm(t *testing.T) {
	m := New()
	p := Pair{"s", "f"}
	m.SetSlope(p, minSignificantSlope-0.001)
	assert.Equal(t, m.HeadroomLoss("s", map[string]float64{"f": 1}), 0.0)
	m.SetSlope(p, minSignificantSlope)
	assert.Assert(t, m.HeadroomLoss("s", map[string]float64{"f": 0.5}) >= minSignificantSlope/2)
}

func TestLoadIsEstimatedFromSlowedTasks(t *testing.T) {
	truth := map[Pair]float64{{"s0", "f0"}: 4.8, {"s1", "f1"}: 6.4, {"s1", "f2"}: 3.2}
	for seed := range uint64(5) {
		m, baselines := simulate(seed, truth, 100, 4)
		now := m.lastRefresh
		for service, want := range baselines {
			got, ok := m.BaselineHeadroom(service, service, now)
			assert.Assert(t, ok)
			assert.Assert(t, math.Abs(got-want) < 0.35, "seed %d: %s has %.2f, not %.2f", seed, service, got, want)
			_, ok = m.BaselineHeadroom(service, service, now.Add(time.Minute))
			assert.Assert(t, !ok, "an old sample gives no baseline")
		}
	}
}

// The state must not grow with ended services, and the slopes of images must survive them.
func TestServicesThatEndAreForgotten(t *testing.T) {
	f := newFilter(nil)
	now := boottime.Instant(time.Hour)
	for i := range 20 {
		now = now.Add(time.Second)
		f.observe(Sample{At: now, Service: fmt.Sprint("j", i), Headroom: 2, Tasks: 3, BestEffortUse: map[string]float64{"f": 0.1}})
	}
	slope := f.state[f.slopeIndex["f"]]
	f.forgetServices(now.Add(serviceRetention / 2))
	assert.Equal(t, len(f.baselineIndex), int(serviceRetention/time.Second)/2+1)
	assert.Equal(t, len(f.state), len(f.baselineIndex)+1)
	assert.Equal(t, f.state[f.slopeIndex["f"]], slope)
	for service, i := range f.baselineIndex {
		assert.Assert(t, i < len(f.state), service)
		assert.Equal(t, len(f.cov[i]), len(f.state))
	}
}
