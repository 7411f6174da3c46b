package load

import (
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chervilridge/internal/fault"
)

const (
	maxLatencyMicros  = 600_000_000 // ten minutes; upper end of the histogram
	significantDigits = 3           // of the histogram
)

// Report counts the results of a run. Its methods are safe for concurrent use.
type Report struct {
	mu         sync.Mutex
	latency    *hdrhistogram.Histogram // microseconds, of answered requests
	outcomes   map[fault.Outcome]int64
	codes      map[fault.Code]int64
	badAnswers int64
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		latency:  hdrhistogram.New(1, maxLatencyMicros, significantDigits),
		outcomes: map[fault.Outcome]int64{}, codes: map[fault.Code]int64{},
	}
}

func (r *Report) add(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[res.outcome]++
	if res.badAnswer {
		r.badAnswers++
	}
	if res.outcome == fault.Done {
		_ = r.latency.RecordValue(max(res.latency.Microseconds(), 1))
		return
	}
	r.codes[res.code]++
}

// Percentile returns a latency percentile, 0 to 100, of the answered requests.
func (r *Report) Percentile(percent float64) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	return time.Duration(r.latency.ValueAtPercentile(percent)) * time.Microsecond
}

// Count returns how many requests ended with the outcome.
func (r *Report) Count(o fault.Outcome) int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outcomes[o]
}

// BadAnswers returns how many answers were truncated or belonged to another request.
func (r *Report) BadAnswers() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.badAnswers
}

// Print writes the report as text, with the fault codes in alphabetical order.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "done %d, not run %d, unknown %d, wrong or cut answers %d\n",
		r.Count(fault.Done), r.Count(fault.NotRun), r.Count(fault.Unknown), r.BadAnswers())
	fmt.Fprintf(w, "latency p50 %v, p99 %v, p99.9 %v\n", r.Percentile(50), r.Percentile(99), r.Percentile(99.9))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, code := range slices.Sorted(maps.Keys(r.codes)) {
		fmt.Fprintf(w, "  %s: %d\n", code, r.codes[code])
	}
}
