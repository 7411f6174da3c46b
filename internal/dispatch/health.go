package dispatch

import (
	"time"

	"chervilridge/internal/boottime"
)

const (
	// scorePerFailure is added to a worker's failure score by a failed run; a successful
	// run halves the score.
	scorePerFailure = 1.0
	// quarantineScore is the failure score at which a worker is quarantined. One run in
	// fifty fails on a healthy worker, so that this many failures in a row point to the
	// worker.
	quarantineScore = 4.0
	maxFailureScore = 16.0
	// soundScore is the failure score below which earlier quarantines no longer count. It
	// takes seven successes in a row from quarantineScore.
	soundScore = 0.05
	// firstQuarantine is how long the first quarantine lasts; each further one lasts
	// twice as long, up to maxQuarantine.
	firstQuarantine = 1500 * time.Millisecond
	maxQuarantine   = 12 * time.Second
)

// health tracks the failures and the slowness of a worker.
type health struct {
	failureScore     float64
	quarantinedUntil boottime.Instant
	quarantineTime   time.Duration
	// slowness is the smoothed ratio of run durations on this worker to the queue's usual
	// duration; 0 if no run has ended yet. slownessSeen is the time of its last update.
	slowness     float64
	slownessSeen boottime.Instant
}

const (
	// slownessGain is the weight of the latest run in the smoothed slowness.
	slownessGain = 0.25
	// slownessThreshold is the slowness from which other workers are preferred. The work
	// of tasks varies by half, so that the mean over some runs of a healthy worker stays
	// well below it.
	slownessThreshold = 2.0
	// slownessTTL is how long a slowness counts after the last run that was measured.
	slownessTTL = 5 * time.Second
	// maxDurationRatio caps the ratio of one run, which may just have had a lot of work.
	maxDurationRatio = 6.0
)

// recordDuration updates the slowness with the duration of a run relative to the usual
// one.
func (h *health) recordDuration(ratio float64, now boottime.Instant) {
	ratio = min(ratio, maxDurationRatio)
	if h.slowness == 0 || now.Sub(h.slownessSeen) > slownessTTL {
		h.slowness = 1
	}
	h.slowness += slownessGain * (ratio - h.slowness)
	h.slownessSeen = now
}

// currentSlowness returns the slowness, or 0 if it is outdated or below the threshold.
func (h *health) currentSlowness(now boottime.Instant) float64 {
	if h.slowness < slownessThreshold || now.Sub(h.slownessSeen) > slownessTTL {
		return 0
	}
	return h.slowness
}

// recordSuccess halves the failure score after a successful run. Once the worker counts as
// sound, its next quarantine is a first one again.
func (h *health) recordSuccess() {
	h.failureScore /= 2
	if h.failureScore < soundScore {
		h.quarantineTime = 0
	}
}

// recordFailure adds a failed run to the score and reports whether that starts a
// quarantine.
func (h *health) recordFailure(now boottime.Instant) bool {
	h.failureScore = min(h.failureScore+scorePerFailure, maxFailureScore)
	if h.failureScore < quarantineScore || h.quarantinedUntil.After(now) {
		return false
	}
	h.quarantineTime = min(max(2*h.quarantineTime, firstQuarantine), maxQuarantine)
	h.quarantinedUntil = now.Add(h.quarantineTime)
	return true
}

// quarantined reports whether the worker must not get new tasks.
func (h *health) quarantined(now boottime.Instant) bool { return h.quarantinedUntil.After(now) }
