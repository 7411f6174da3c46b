package dispatch

import (
	"time"

	"chervilridge/internal/boottime"
)

const (
	// doubtPerFailure is what one failed run adds to the doubt of a worker, a done run
	// halves it.
	doubtPerFailure = 1.0
	// doubtLimit is the doubt at which a worker is set aside: a run in fifty fails on a
	// sound one, so that this many in a row are the worker's fault.
	doubtLimit = 4.0
	doubtCap   = 16.0
	// firstPenalty is how long a doubted worker gets no new tasks, doubled each time.
	firstPenalty = 1500 * time.Millisecond
	penaltyLimit = 12 * time.Second
)

// health judges a worker by how its runs end and how long they take.
type health struct {
	doubt   float64
	until   boottime.Instant
	penalty time.Duration
	// slowness is how many times as long as usual runs take here, smoothed; 0 if none
	// has ended yet. It was last seen at the time given.
	slowness float64
	timed    boottime.Instant
}

const (
	// slowRate is how much of a deviation one run corrects.
	slowRate = 0.25
	// slowLimitFactor is the slowness from which other workers are preferred: the work of
	// tasks varies by half, so that the mean of some runs stays well below it.
	slowLimitFactor = 2.0
	// slowMemory is how long a slowness counts without a new sight of it.
	slowMemory = 5 * time.Second
	// maxRatio caps one run, which may just have had much work.
	maxRatio = 6.0
)

// took takes in how long a run took against the usual time.
func (h *health) took(ratio float64, now boottime.Instant) {
	ratio = min(ratio, maxRatio)
	if h.slowness == 0 || now.Sub(h.timed) > slowMemory {
		h.slowness = 1
	}
	h.slowness += slowRate * (ratio - h.slowness)
	h.timed = now
}

// slow returns the slowness if it counts, or 0.
func (h *health) slow(now boottime.Instant) float64 {
	if h.slowness < slowLimitFactor || now.Sub(h.timed) > slowMemory {
		return 0
	}
	return h.slowness
}

// done takes in a run that did its work.
func (h *health) done() { h.doubt /= 2 }

// failed takes in a failed run and reports whether the worker is now set aside.
func (h *health) failed(now boottime.Instant) bool {
	h.doubt = min(h.doubt+doubtPerFailure, doubtCap)
	if h.doubt < doubtLimit || h.until.After(now) {
		return false
	}
	h.penalty = min(max(2*h.penalty, firstPenalty), penaltyLimit)
	h.until = now.Add(h.penalty)
	return true
}

// aside reports whether the worker gets no new tasks.
func (h *health) aside(now boottime.Instant) bool { return h.until.After(now) }
