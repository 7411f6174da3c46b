// Package latency measures the latency of the endpoint's answers over a sliding window.
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	lowestMicros      = 1
	highestMicros     = 60_000_000 // one minute
	significantDigits = 2
	percentile        = 99
)

// Window keeps histograms of the current and the previous half window, so that a query covers
// between half a window and a whole one. mu guards both.
type Window struct {
	halfLength time.Duration

	mu        sync.Mutex
	current   *hdrhistogram.Histogram
	previous  *hdrhistogram.Histogram
	rotatedAt time.Time
}

// NewWindow returns an empty window of the given length.
func NewWindow(length time.Duration) *Window {
	return &Window{halfLength: length / 2, current: newHistogram(), previous: newHistogram(), rotatedAt: time.Now()}
}

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(lowestMicros, highestMicros, significantDigits)
}

// Observe records one latency, limited to the range of the histogram.
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
	merged.Merge(w.previous)
	merged.Merge(w.current)
	return time.Duration(merged.ValueAtPercentile(percentile)) * time.Microsecond, merged.TotalCount()
}

// rotate starts a new half window if the current one is over.
func (w *Window) rotate(now time.Time) {
	age := now.Sub(w.rotatedAt)
	if age < w.halfLength {
		return
	}
	w.previous, w.current = w.current, w.previous
	w.current.Reset()
	if age >= 2*w.halfLength {
		w.previous.Reset()
	}
	w.rotatedAt = now
}

// Windows records latencies in several windows of different lengths.
type Windows []*Window

// Observe records one latency in each window.
func (ws Windows) Observe(d time.Duration) {
	for _, w := range ws {
		w.Observe(d)
	}
}
