package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	longestLatency    = int64(10 * time.Second / time.Microsecond)
	significantDigits = 3
)

// Figures are what one policy did in one case. A request that got no answer
// counts with the deadline as its latency at least, so that a quick refusal
// does not look like a quick answer.
type Figures struct {
	Policy   string
	Requests int
	InTime   int
	Retries  int
	// Refusals counts agents' refusals, including those that a retry made good.
	Refusals int

	latencies *hdrhistogram.Histogram // microseconds
}

func newFigures(policy string) *Figures {
	return &Figures{Policy: policy, latencies: hdrhistogram.New(1, longestLatency, significantDigits)}
}

func (f *Figures) record(latency time.Duration, answered bool) {
	f.Requests++
	if !answered {
		latency = max(latency, deadline+time.Microsecond)
	}
	if latency <= deadline {
		f.InTime++
	}
	_ = f.latencies.RecordValue(min(latency.Microseconds(), longestLatency))
}

// Quantile returns the latency that the given part of the requests, 0 to 1,
// did not exceed.
func (f *Figures) Quantile(q float64) time.Duration {
	return time.Duration(f.latencies.ValueAtQuantile(100*q)) * time.Microsecond
}

// InTimeShare returns the part of the requests that were answered in time.
func (f *Figures) InTimeShare() float64 { return float64(f.InTime) / float64(max(f.Requests, 1)) }
