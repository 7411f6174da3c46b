// Package membership is an entry's view of the endpoints: they announce
// themselves and hold leases; there is no list of them.
package membership

import (
	"sync"
	"sync/atomic"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
)

// maxPauseDoublings bounds the growth of the pause of a member that fails again
// right after each pause.
const maxPauseDoublings = 4

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
	pauses       atomic.Int64 // ejections without a success in between
	outAt        atomic.Int64 // nanoseconds since 1970; last seen in a data centre that is out

	others     atomic.Int64 // requests of other entries at the last load report
	reportedAt atomic.Int64 // nanoseconds since 1970

	mu         sync.Mutex    // serialises observations and failures
	service    atomic.Uint64 // smoothed service time, bits of a float64 in nanoseconds
	observedAt atomic.Int64  // nanoseconds since 1970; 0 before the first observation
}

// NewMember returns a member that joined at the given time.
func NewMember(endpoint *pb.Endpoint, joinedAt time.Time) *Member {
	return &Member{Endpoint: endpoint, joinedAt: joinedAt}
}

// Age returns how long the member has been known.
func (m *Member) Age(now time.Time) time.Duration { return now.Sub(m.joinedAt) }

// ServingFor returns how long the member has taken work without a break: since
// it joined, its pause ended, or its data centre came back, whichever is latest.
// It is negative during a pause.
func (m *Member) ServingFor(now time.Time) time.Duration {
	since := max(m.joinedAt.UnixNano(), m.ejectedUntil.Load(), m.outAt.Load())
	return time.Duration(now.UnixNano() - since)
}

// NoteOut records that the member's data centre is out of service at now.
func (m *Member) NoteOut(now time.Time) { m.outAt.Store(now.UnixNano()) }

// Ejected reports whether the member is set aside after failures.
func (m *Member) Ejected(now time.Time) bool { return now.UnixNano() < m.ejectedUntil.Load() }

// EjectedUntil returns the end of the last pause, in nanoseconds since 1970.
func (m *Member) EjectedUntil() int64 { return m.ejectedUntil.Load() }

// NoteSuccess clears the member's failures.
func (m *Member) NoteSuccess() {
	m.failures.Store(0)
	m.pauses.Store(0)
}

// NoteFailure counts a failed hand-over; after threshold in a row the member is
// set aside for the pause. A member that fails again right after a pause is set
// aside at once, each time for twice as long.
func (m *Member) NoteFailure(now time.Time, threshold int64, pause time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.failures.Add(1) < threshold || m.Ejected(now) {
		return
	}
	m.failures.Store(threshold - 1)
	doublings := min(m.pauses.Add(1)-1, maxPauseDoublings)
	m.Eject(now, pause<<doublings)
}

// Eject sets the member aside until the pause ends. It never shortens a pause.
func (m *Member) Eject(now time.Time, pause time.Duration) {
	until := now.Add(pause).UnixNano()
	for {
		old := m.ejectedUntil.Load()
		if old >= until {
			return
		}
		if m.ejectedUntil.CompareAndSwap(old, until) {
			events.EndpointEjected.Log("agent", m.Endpoint.GetAgent(), "incarnation", m.Endpoint.GetIncarnation(),
				"dataCentre", m.Endpoint.GetDataCentre(), "pause", pause)
			return
		}
	}
}
