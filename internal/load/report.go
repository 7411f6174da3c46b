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
	highestMicros = 600_000_000 // ten minutes
	digits        = 3
)

// Report counts the results of a run. It is safe for concurrent use.
type Report struct {
	mu       sync.Mutex
	latency  *hdrhistogram.Histogram
	outcomes map[fault.Outcome]int64
	codes    map[fault.Code]int64
	wrong    int64
}

// NewReport returns an empty report.
func NewReport() *Report {
	return &Report{
		latency:  hdrhistogram.New(1, highestMicros, digits),
		outcomes: map[fault.Outcome]int64{}, codes: map[fault.Code]int64{},
	}
}

func (r *Report) add(res result) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.outcomes[res.outcome]++
	if res.wrong {
		r.wrong++
	}
	if res.outcome == fault.Done {
		_ = r.latency.RecordValue(max(res.took.Microseconds(), 1))
		return
	}
	r.codes[res.code]++
}

// Quantile returns a percentile of the answered requests' latency.
func (r *Report) Quantile(percent float64) time.Duration {
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

// Wrong returns how many answers were cut or belonged to another request.
func (r *Report) Wrong() int64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.wrong
}

// Print writes the report.
func (r *Report) Print(w io.Writer) {
	fmt.Fprintf(w, "done %d, not run %d, unknown %d, wrong or cut answers %d\n",
		r.Count(fault.Done), r.Count(fault.NotRun), r.Count(fault.Unknown), r.Wrong())
	fmt.Fprintf(w, "latency p50 %v, p99 %v, p99.9 %v\n", r.Quantile(50), r.Quantile(99), r.Quantile(99.9))
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, code := range slices.Sorted(maps.Keys(r.codes)) {
		fmt.Fprintf(w, "  %s: %d\n", code, r.codes[code])
	}
}
