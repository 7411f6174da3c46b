package learn

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	capacity = 32_000
	aloneP99 = 50 * time.Millisecond
	// newest is the weight of the newest second in an agent's latency window.
	newest = 0.22
)

// feed lets workers with changing work be measured; excess is the true effect of
// each class when it holds every processor.
func feed(l *Learner, rounds int, noise float64, excess map[string]float64) {
	rng := rand.New(rand.NewPCG(1, 2))
	at := time.Duration(0)
	classes := []string{"noisy", "quiet"}
	for range rounds {
		uses := []Use{}
		truth := 0.0
		for _, c := range classes {
			cpu := int64(rng.IntN(4)) * 4_000
			if cpu > 0 {
				uses = append(uses, Use{c, cpu, 1})
				truth += excess[c] * float64(cpu) / capacity
			}
		}
		for range 10 {
			at += time.Second
			p99 := float64(aloneP99) * math.Exp(truth) * (1 + noise*(rng.Float64()*2-1))
			l.Observe(Sample{Worker: "w", Service: "s", P99: time.Duration(p99), LoadMilli: 100, CapacityMilli: capacity, Uses: uses, At: at})
		}
	}
}

// TestLearnsEachClass: the effects of classes that share workers are told apart,
// also when measurements are noisy.
func TestLearnsEachClass(t *testing.T) {
	for _, noise := range []float64{0, 0.1} {
		t.Run(fmt.Sprintf("noise %.1f", noise), func(t *testing.T) {
			l := New(nil)
			feed(l, 300, noise, map[string]float64{"noisy": 1.5, "quiet": 0.1})
			noisy, quiet := l.Table().Effect("s", "noisy", 0), l.Table().Effect("s", "quiet", 0)
			assert.Check(t, noisy.Excess > 1.2 && noisy.Excess < 1.8, "%v", noisy)
			assert.Check(t, quiet.Excess < 0.3, "%v", quiet)
			assert.Check(t, noisy.Samples > 100)
		})
	}
}

// TestLatencyLags: the work changes each second while the latency is that of a
// window, as under throttling; the effect is learned all the same.
func TestLatencyLags(t *testing.T) {
	l := New(nil)
	rng := rand.New(rand.NewPCG(5, 6))
	window := 0.0
	for i := range 3_000 {
		cpu := int64(rng.IntN(5)) * 4_000
		if i%40 < 8 {
			cpu = 0
		}
		window += newest * (1.5*float64(cpu)/capacity - window)
		l.Observe(Sample{
			Worker: "w", Service: "s", P99: time.Duration(float64(aloneP99) * math.Exp(window)), LoadMilli: 100,
			CapacityMilli: capacity, Uses: []Use{{"c", cpu, 1}}, At: time.Duration(i) * time.Second,
		})
	}
	got := l.Table().Effect("s", "c", 0).Excess
	assert.Check(t, got > 1.4 && got < 1.6, "%f", got)
}

// TestThrottleIsNotTheEffect: control lowers the share whenever noise makes the
// latency high. The effect of the class must not be taken for less because of it.
func TestThrottleIsNotTheEffect(t *testing.T) {
	l := New(nil)
	rng := rand.New(rand.NewPCG(8, 9))
	cpu, share, window := int64(0), 1.0, 0.0
	for i := range 4_000 {
		if i%15 == 0 {
			cpu = int64(rng.IntN(4)) * 2_000
		}
		excess := 1.5 * float64(cpu) / capacity * share
		window += newest * (excess + 0.12*(rng.Float64()*2-1) - window)
		l.Observe(Sample{
			Worker: "w", Service: "s", P99: time.Duration(float64(aloneP99) * math.Exp(window)), LoadMilli: 100,
			CapacityMilli: capacity, Uses: []Use{{"c", cpu, share}}, At: time.Duration(i) * time.Second,
		})
		switch {
		case window > 0.15:
			share = max(0.3, share*0.8)
		case window < 0.1:
			share = min(1, share*1.1)
		}
	}
	got := l.Table().Effect("s", "c", 0).Excess
	assert.Check(t, got > 1.2 && got < 1.8, "%f", got)
}

// TestBands: loads fall into bands, and an effect learned at one load holds for a
// band that was never seen, so that a new load does not stop all placement.
func TestBands(t *testing.T) {
	assert.Equal(t, Band(0), uint32(0))
	assert.Equal(t, Band(250), uint32(1))
	assert.Equal(t, Band(1_000), uint32(Bands-1))
	l := New(nil)
	feed(l, 100, 0, map[string]float64{"noisy": 1})
	known, high := l.Table().Effect("s", "noisy", 0), l.Table().Effect("s", "noisy", 3)
	assert.Check(t, high.Excess > 0.5*known.Excess, "%v", high)
	assert.Equal(t, high.Samples, known.Samples)
	assert.Equal(t, l.Table().Effect("s", "other", 0).Samples, uint32(0))
}

// TestServiceNeverAlone: workers always hold work, in changing amounts; the
// latency alone is told apart from the effect of the classes all the same.
func TestServiceNeverAlone(t *testing.T) {
	l := New(nil)
	rng := rand.New(rand.NewPCG(3, 4))
	at := time.Duration(0)
	load := func() uint32 { return uint32(100 + rng.IntN(800)) }
	for range 400 {
		noisy, quiet := int64(1+rng.IntN(4))*2_000, int64(1+rng.IntN(6))*3_000
		milliLoad := load()
		for range 12 {
			at += time.Second
			own := 1 + 0.8*float64(milliLoad)/1000*float64(milliLoad)/1000
			truth := (1 + 1.5*float64(noisy)/capacity + 0.1*float64(quiet)/capacity) * own * (1 + 0.05*(rng.Float64()*2-1))
			l.Observe(Sample{
				Worker: "w", Service: "s", P99: time.Duration(float64(aloneP99) * truth), LoadMilli: milliLoad,
				CapacityMilli: capacity, Uses: []Use{{"noisy", noisy, 1}, {"quiet", quiet, 1}}, At: at,
			})
		}
	}
	got := l.Observe(Sample{Worker: "idle", Service: "s", P99: time.Duration(float64(aloneP99) * 1.2), LoadMilli: 500, CapacityMilli: capacity, At: at})
	assert.Check(t, got.Slowdown > 0.95 && got.Slowdown < 1.05, "slowdown of a service alone is %f", got.Slowdown)
}

// TestPublish: a change is published once, and a learner that starts from what
// was published knows it.
func TestPublish(t *testing.T) {
	l := New(nil)
	feed(l, 100, 0, map[string]float64{"noisy": 1.5})
	out := l.Publish(8)
	assert.Equal(t, len(out), 2*Bands)
	assert.Equal(t, len(l.Publish(8)), 0)
	again := New(out)
	got, want := again.Table().Effect("s", "noisy", 0), l.Table().Effect("s", "noisy", 0)
	assert.Check(t, got.Samples == want.Samples && got.Excess > want.Excess-0.01 && got.Excess < want.Excess+0.01)
	assert.Equal(t, len(again.Publish(8)), 0)
}

// TestSlowdown: the slowdown comes to the latency over the latency alone.
func TestSlowdown(t *testing.T) {
	l := New(nil)
	s := Sample{Worker: "w", Service: "s", P99: aloneP99, LoadMilli: 100, CapacityMilli: capacity}
	for i := range 400 {
		s.At = time.Duration(i) * time.Second
		l.Observe(s)
	}
	s.P99 = 2 * aloneP99
	s.Worker = "another"
	s.Uses = []Use{{"c", 8_000, 1}}
	got := 0.0
	for i := range 100 {
		s.At += time.Duration(i) * time.Second
		got = l.Observe(s).Slowdown
	}
	assert.Check(t, got > 1.99 && got < 2.01, "%f", got)
}
