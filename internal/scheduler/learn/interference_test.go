package learn

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const (
	capacity = 32_000
	aloneP99 = 50 * time.Millisecond
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
				uses = append(uses, Use{c, cpu})
				truth += excess[c] * float64(cpu) / capacity
			}
		}
		for range 10 {
			at += time.Second
			p99 := float64(aloneP99) * (1 + truth) * (1 + noise*(rng.Float64()*2-1))
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
			assert.Check(t, quiet.Excess < 0.4, "%v", quiet)
			assert.Check(t, noisy.Samples > 100)
		})
	}
}

// TestUnsettledIsIgnored: a latency measured while the work changed says nothing.
func TestUnsettledIsIgnored(t *testing.T) {
	l := New(nil)
	for i := range 100 {
		l.Observe(Sample{
			Worker: "w", Service: "s", P99: aloneP99, LoadMilli: 100, CapacityMilli: capacity,
			Uses: []Use{{"c", int64(i/3%2+1) * 4_000}}, At: time.Duration(i) * time.Second,
		})
	}
	assert.Equal(t, l.Table().Effect("s", "c", 0).Samples, uint32(0))
}

// TestBandsAndGuess: each load band is learned on its own; one above all that is
// known takes the effect of the next lower one, but still counts as unknown.
func TestBandsAndGuess(t *testing.T) {
	assert.Equal(t, Band(0), uint32(0))
	assert.Equal(t, Band(250), uint32(1))
	assert.Equal(t, Band(1_000), uint32(Bands-1))
	l := New(nil)
	feed(l, 50, 0, map[string]float64{"noisy": 1})
	known := l.Table().Effect("s", "noisy", 0)
	guess := l.Table().Effect("s", "noisy", 3)
	assert.Equal(t, guess.Excess, known.Excess)
	assert.Equal(t, guess.Samples, uint32(0))
}

// TestPublish: a change is published once, and a learner that starts from what
// was published knows it.
func TestPublish(t *testing.T) {
	l := New(nil)
	feed(l, 100, 0, map[string]float64{"noisy": 1.5})
	out := l.Publish(8)
	assert.Equal(t, len(out), 2)
	assert.Equal(t, len(l.Publish(8)), 0)
	again := New(out)
	got, want := again.Table().Effect("s", "noisy", 0), l.Table().Effect("s", "noisy", 0)
	assert.Check(t, got.Samples == want.Samples && got.Excess > want.Excess-0.01 && got.Excess < want.Excess+0.01)
	assert.Equal(t, len(again.Publish(8)), 0)
}

// TestSlowdown is the latency over the latency alone.
func TestSlowdown(t *testing.T) {
	l := New(nil)
	s := Sample{Worker: "w", Service: "s", P99: aloneP99, LoadMilli: 100, CapacityMilli: capacity}
	for i := range 20 {
		s.At = time.Duration(i) * time.Second
		l.Observe(s)
	}
	s.P99 = 2 * aloneP99
	s.Uses = []Use{{"c", 8_000}}
	got := l.Observe(s)
	assert.Check(t, got > 1.99 && got < 2.01, "%f", got)
}
