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

// health judges a worker by how its runs end.
type health struct {
	doubt   float64
	until   boottime.Instant
	penalty time.Duration
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
