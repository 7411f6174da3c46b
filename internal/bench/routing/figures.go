package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicros  = int64(10 * time.Second / time.Microsecond)
	significantDigits = 3
)

// Stats holds the results of one policy in one case. A request without an answer counts
// with a latency above the deadline, so that a quick rejection does not look like a quick
// answer.
type Stats struct {
	Policy         string
	Requests       int
	WithinDeadline int
	Retries        int
	// Rejections counts the rejections by agents, also those that a retry made up for.
	Rejections int

	latencies *hdrhistogram.Histogram // microseconds
}

func newStats(policy string) *Stats {
	return &Stats{Policy: policy, latencies: hdrhistogram.New(1, maxLatencyMicros, significantDigits)}
}

func (s *Stats) record(latency time.Duration, answered bool) {
	s.Requests++
	if !answered {
		latency = max(latency, requestDeadline+time.Microsecond)
	}
	if latency <= requestDeadline {
		s.WithinDeadline++
	}
	_ = s.latencies.RecordValue(min(latency.Microseconds(), maxLatencyMicros))
}

// Quantile returns the latency that the share q of the requests, 0 to 1, did not exceed.
func (s *Stats) Quantile(q float64) time.Duration {
	return time.Duration(s.latencies.ValueAtQuantile(100*q)) * time.Microsecond
}

// WithinDeadlineShare returns the share of the requests, 0 to 1, that were answered
// within their deadline.
func (s *Stats) WithinDeadlineShare() float64 {
	return float64(s.WithinDeadline) / float64(max(s.Requests, 1))
}
