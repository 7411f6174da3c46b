// Package membership is an entry's view of the endpoints: they announce
// themselves and hold leases; there is no list of them.
package membership

import (
	"sync/atomic"
	"time"

	pb "chervilridge/api/chervil/v1"
)

// Member is one incarnation of an endpoint. Its description never changes; the
// counters are atomic and shared by all requests.
type Member struct {
	Endpoint *pb.Endpoint

	// InFlight counts the requests that this entry has handed over and not got back.
	InFlight atomic.Int64
	// Running and Queued are what the agent reported last.
	Running atomic.Int64
	Queued  atomic.Int64

	joinedAt     time.Time
	ejectedUntil atomic.Int64 // nanoseconds since 1970
	failures     atomic.Int64 // consecutive
}

// Age returns how long the member has been known.
func (m *Member) Age(now time.Time) time.Duration { return now.Sub(m.joinedAt) }

// Ejected reports whether the member is set aside after failures.
func (m *Member) Ejected(now time.Time) bool { return now.UnixNano() < m.ejectedUntil.Load() }

// NoteSuccess clears the member's failures.
func (m *Member) NoteSuccess() { m.failures.Store(0) }

// NoteFailure counts a failed hand-over; after threshold in a row the member is
// set aside for the pause.
func (m *Member) NoteFailure(now time.Time, threshold int64, pause time.Duration) {
	if m.failures.Add(1) < threshold {
		return
	}
	m.failures.Store(0)
	m.ejectedUntil.Store(now.Add(pause).UnixNano())
}
