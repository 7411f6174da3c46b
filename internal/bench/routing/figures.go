package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros  = int64(10 * time.Second / time.Microsecond)
	significantDigits = 3
)

// Figures holds the results of one policy in one case. A request without an answer counts
// with a latency above the deadline, so that a quick rejection does not look like a quick
// answer.
type Figures struct {
	Policy   string
	Requests int
	InTime   int
	Retries  int
	// Rejections counts the rejections by agents, also those that a retry made up for.
	Refusals int

	latencies *hdrhistogram.Histogram // microseconds
}

func newStats(policy string) *Figures {
	return &Figures{Policy: policy, latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

func (f *Figures) record(latency time.Duration, answered bool) {
	f.Requests++
	if !answered {
		latency = max(latency, requestDeadline+time.Microsecond)
	}
	if latency <= requestDeadline {
		f.InTime++
	}
	_ = f.latencies.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
}

// Quantile returns the latency that the share q of the requests, 0 to 1, did not exceed.
func (f *Figures) Quantile(q float64) time.Duration {
	return time.Duration(f.latencies.ValueAtQuantile(100*q)) * time.Microsecond
}

// InTimeShare returns the share of the requests, 0 to 1, that were answered
// within their deadline.
func (f *Figures) InTimeShare() float64 { return float64(f.InTime) / float64(max(f.Requests, 1)) }
