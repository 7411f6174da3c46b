// Package latency measures the endpoint's answers in line over a short window.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestMicros  = 1
	highestMicros = 60_000_000 // one minute
	digits        = 2
	percentile    = 99
)

// Window keeps the latencies of the current and the previous half window. One
// lock guards both histograms.
type Window struct {
	half time.Duration

	mu      sync.Mutex
	current *hdrhistogram.Histogram
	last    *hdrhistogram.Histogram
	began   time.Time
}

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration) *Window {
	return &Window{half: length / 2, current: newHistogram(), last: newHistogram(), began: time.Now()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, digits)
}

// Observe adds one latency.
func (w *Window) Observe(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate(time.Now())
	_ = w.current.RecordValue(min(max(d.Microseconds(), lowestMicros), highestMicros))
}

// P99 returns the 99th percentile and the number of latencies in the window.
func (w *Window) P99() (time.Duration, int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.rotate(time.Now())
	merged := newHistogram()
	merged.Merge(w.last)
	merged.Merge(w.current)
	return time.Duration(merged.ValueAtPercentile(percentile)) * time.Microsecond, merged.TotalCount()
}

func (w *Window) rotate(now time.Time) {
	age := now.Sub(w.began)
	if age < w.half {
		return
	}
	w.last, w.current = w.current, w.last
	w.current.Reset()
	if age >= 2*w.half {
		w.last.Reset()
	}
	w.began = now
}

// Windows observes into several windows of different lengths.
type Windows []*Window

// Observe adds one latency to each window.
func (ws Windows) Observe(d time.Duration) {
	for _, w := range ws {
		w.Observe(d)
	}
}
