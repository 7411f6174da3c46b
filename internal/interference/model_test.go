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
// feeds a model with what workers would report.
func play(seed uint64, truth map[Pair]float64, samples int) *Model {
	const workers, interval, period = 4, 400 * time.Millisecond, 14.0
	random := rand.New(rand.NewPCG(seed, seed))
	m := New()
	now := boottime.Instant(time.Hour)
	use := make([]map[string]float64, workers)
	for range samples {
		now = now.Add(interval)
		for w := range workers {
			if use[w] == nil || random.Float64() < 0.2 {
				use[w] = map[string]float64{fmt.Sprint("f", random.IntN(3)): 3 + 4*random.Float64(), fmt.Sprint("f", random.IntN(3)): 3 * random.Float64()}
			}
			for _, service := range []string{"s0", "s1"} {
				phase := 2 * math.Pi * (boottime.Instant(now).Sub(0).Seconds()/period + float64(len(service)+int(service[1]))/3)
				headroom := 2.75 + 1.1*math.Sin(phase)
				for filling, cores := range use[w] {
					headroom -= truth[Pair{service, filling}] * cores
				}
				headroom *= 1 + 0.03*random.NormFloat64()
				m.Observe(Sample{
					At: now, Service: service, Task: fmt.Sprint(service, ".", w), Worker: fmt.Sprint(w), Image: service,
					Headroom: max(headroom, 0.1), Use: use[w],
				})
			}
		}
		m.Solve(now)
	}
	return m
}

// The load: filling images of which some take 0.15 of the headroom a core, others none,
// while the load of the serving tasks swings by more than that.
func TestHarmfulAndHarmlessPairsAreToldApart(t *testing.T) {
	truth := map[Pair]float64{{"s0", "f0"}: 0.15, {"s1", "f1"}: 0.2, {"s1", "f2"}: 0.1}
	for seed := range uint64(5) {
		m := play(seed, truth, 100)
		for _, serving := range []string{"s0", "s1"} {
			for _, filling := range []string{"f0", "f1", "f2"} {
				p := Pair{serving, filling}
				got := m.Slope(p)
				assert.Assert(t, math.Abs(got-truth[p]) < 0.05, "seed %d: %v is %.3f, not %.3f", seed, p, got, truth[p])
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
	assert.Equal(t, m.Taken("s", map[string]float64{"f": 10}), 0.0)
	m.Set(p, negligible)
	assert.Assert(t, m.Taken("s", map[string]float64{"f": 10}) > 0.4)
}

func TestLoadIsToldByTheLeastDisturbedTask(t *testing.T) {
	m := New()
	m.Set(Pair{"s", "f"}, 0.2)
	now := boottime.Instant(time.Hour)
	m.Observe(Sample{At: now, Service: "j", Task: "1", Worker: "a", Image: "s", Headroom: 1.0, Use: map[string]float64{"f": 5}})
	alone, ok := m.Alone("j", now)
	assert.Assert(t, ok)
	assert.Assert(t, math.Abs(alone-2.0) < 1e-9)
	m.Observe(Sample{At: now, Service: "j", Task: "2", Worker: "b", Image: "s", Headroom: 2.2})
	alone, _ = m.Alone("j", now)
	assert.Equal(t, alone, 2.2)
	_, ok = m.Alone("j", now.Add(time.Minute))
	assert.Assert(t, !ok, "an old sample tells nothing")
}
