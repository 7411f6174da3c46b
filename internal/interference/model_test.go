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

// play lets services with a swinging load run beside filling tasks that come and go, and
// feeds a model with what workers would report. A service runs on as many of four workers
// as given.
func play(seed uint64, truth map[Pair]float64, samples, workers int) (*Model, map[string]float64) {
	const interval, period = 400 * time.Millisecond, 14.0
	random := rand.New(rand.NewPCG(seed, seed))
	m := New()
	now := boottime.Instant(time.Hour)
	use := make([]map[string]float64, workers)
	alone := map[string]float64{}
	for range samples {
		now = now.Add(interval)
		for w := range workers {
			if use[w] == nil || random.Float64() < 0.2 {
				use[w] = map[string]float64{fmt.Sprint("f", random.IntN(3)): 0.1 + 0.12*random.Float64(), fmt.Sprint("f", random.IntN(3)): 0.1 * random.Float64()}
			}
			for _, service := range []string{"s0", "s1"} {
				phase := 2 * math.Pi * (now.Sub(0).Seconds()/period + float64(len(service)+int(service[1]))/3)
				alone[service] = 2.75 + 1.1*math.Sin(phase)
				headroom := alone[service]
				for filling, share := range use[w] {
					headroom -= truth[Pair{service, filling}] * share
				}
				headroom *= 1 + 0.03*random.NormFloat64()
				m.Observe(Sample{At: now, Service: service, Image: service, Tasks: 3, Headroom: max(headroom, 0.1), Use: use[w]})
			}
		}
		m.Refresh(now)
	}
	return m, alone
}

// The load: filling images of which some take 5 to 6 of the headroom for a whole worker,
// others none, while the load of the serving tasks swings by more than that. On one worker
// alone there is nothing to compare with at the same time; it takes three times as long.
func TestHarmfulAndHarmlessPairsAreToldApart(t *testing.T) {
	truth := map[Pair]float64{{"s0", "f0"}: 4.8, {"s1", "f1"}: 6.4, {"s1", "f2"}: 3.2}
	for _, c := range []struct{ samples, workers int }{{100, 4}, {300, 1}} {
		for seed := range uint64(5) {
			m, _ := play(seed, truth, c.samples, c.workers)
			for _, serving := range []string{"s0", "s1"} {
				for _, filling := range []string{"f0", "f1", "f2"} {
					p := Pair{serving, filling}
					got := m.Slope(p)
					assert.Assert(t, math.Abs(got-truth[p]) < 1.6, "%d workers, seed %d: %v is %.1f, not %.1f", c.workers, seed, p, got, truth[p])
				}
			}
		}
	}
}

func TestUnknownPairsAreTried(t *testing.T) {
	assert.Equal(t, New().Slope(Pair{"s", "f"}), unknownSlope)
}

func TestNoiseCountsAsNoHarm(t *testing.T) {
	m := New()
	p := Pair{"s", "f"}
	m.Set(p, negligible-0.001)
	assert.Equal(t, m.Taken("s", map[string]float64{"f": 1}), 0.0)
	m.Set(p, negligible)
	assert.Assert(t, m.Taken("s", map[string]float64{"f": 0.5}) >= negligible/2)
}

func TestLoadIsToldFromDisturbedTasks(t *testing.T) {
	truth := map[Pair]float64{{"s0", "f0"}: 4.8, {"s1", "f1"}: 6.4, {"s1", "f2"}: 3.2}
	for seed := range uint64(5) {
		m, alone := play(seed, truth, 100, 4)
		now := m.settled
		for service, want := range alone {
			got, ok := m.Alone(service, service, now)
			assert.Assert(t, ok)
			assert.Assert(t, math.Abs(got-want) < 0.35, "seed %d: %s has %.2f, not %.2f", seed, service, got, want)
			_, ok = m.Alone(service, service, now.Add(time.Minute))
			assert.Assert(t, !ok, "an old sample tells nothing")
		}
	}
}

// Services come and go; what was learned of the images stays.
func TestServicesThatEndAreForgotten(t *testing.T) {
	f := newFilter(nil)
	now := boottime.Instant(time.Hour)
	for i := range 20 {
		now = now.Add(time.Second)
		f.observe(Sample{At: now, Service: fmt.Sprint("j", i), Headroom: 2, Tasks: 3, Use: map[string]float64{"f": 0.1}})
	}
	slope := f.state[f.filling["f"]]
	f.forget(now.Add(serviceKept / 2))
	assert.Equal(t, len(f.alone), int(serviceKept/time.Second)/2+1)
	assert.Equal(t, len(f.state), len(f.alone)+1)
	assert.Equal(t, f.state[f.filling["f"]], slope)
	for service, i := range f.alone {
		assert.Assert(t, i < len(f.state), service)
		assert.Equal(t, len(f.cov[i]), len(f.state))
	}
}
