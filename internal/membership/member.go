// Package membership is an entry's view of the endpoints and of the other entries.
// Endpoints announce themselves and hold leases; there is no configured list of them.
package membership

import (
	"sync"
	"sync/atomic"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
)

// maxEjectionDoublings limits how often the ejection time doubles for a member that fails
// again right after each ejection.
const maxEjectionDoublings = 4

// Member is one incarnation of an endpoint. Endpoint is immutable; the counters are atomic
// and shared by all requests.
type Member struct {
	Endpoint *pb.Endpoint

	// InFlight is the number of requests that this entry has sent and that are unanswered.
	InFlight atomic.Int64
	// Running and Queued are the request counts in the agent's last report.
	Running atomic.Int64
	Queued  atomic.Int64

	joinedAt             time.Time
	ejectedUntil         atomic.Int64 // nanoseconds since 1970
	consecutiveFailures  atomic.Int64 // failed hand-offs since the last success; see RecordFailure
	consecutiveEjections atomic.Int64 // ejections since the last success
	dataCentreOutAt      atomic.Int64 // nanoseconds since 1970; when its data centre was last out of service

	otherLoad  atomic.Int64 // requests of other entries in the last load report
	reportedAt atomic.Int64 // nanoseconds since 1970

	mu              sync.Mutex    // serialises observations and failures
	serviceTimeBits atomic.Uint64 // smoothed service time, bits of a float64 in nanoseconds
	observedAt      atomic.Int64  // nanoseconds since 1970; 0 before the first observation
}

// NewMember returns a member that joined at the given time.
func NewMember(endpoint *pb.Endpoint, joinedAt time.Time) *Member {
	return &Member{Endpoint: endpoint, joinedAt: joinedAt}
}

// Age returns the time since the member joined.
func (m *Member) Age(now time.Time) time.Duration { return now.Sub(m.joinedAt) }

// TimeInService returns how long the member has been eligible for requests without a
// break: since it joined, its last ejection ended, or its data centre came back, whichever
// is latest. It is negative while the member is ejected.
func (m *Member) TimeInService(now time.Time) time.Duration {
	since := max(m.joinedAt.UnixNano(), m.ejectedUntil.Load(), m.dataCentreOutAt.Load())
	return time.Duration(now.UnixNano() - since)
}

// RecordDataCentreOut records that the member's data centre is out of service at now.
func (m *Member) RecordDataCentreOut(now time.Time) { m.dataCentreOutAt.Store(now.UnixNano()) }

// Ejected reports whether the member gets no requests because of failures.
func (m *Member) Ejected(now time.Time) bool { return now.UnixNano() < m.ejectedUntil.Load() }

// EjectedUntil returns the end of the last ejection, in nanoseconds since 1970, or 0 if
// there was none.
func (m *Member) EjectedUntil() int64 { return m.ejectedUntil.Load() }

// RecordSuccess resets the counts of consecutive failures and ejections.
func (m *Member) RecordSuccess() {
	m.consecutiveFailures.Store(0)
	m.consecutiveEjections.Store(0)
}

// RecordFailure counts a failed hand-off. After threshold consecutive failures the member
// is ejected for baseDuration. Failures during an ejection do not prolong it. Unless a success
// comes first, one more failure after it ejects the member again at once, each time for twice
// as long, up to maxEjectionDoublings.
func (m *Member) RecordFailure(now time.Time, threshold int64, baseDuration time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.consecutiveFailures.Add(1) < threshold || m.Ejected(now) {
		return
	}
	m.consecutiveFailures.Store(threshold - 1)
	doublings := min(m.consecutiveEjections.Add(1)-1, maxEjectionDoublings)
	m.Eject(now, baseDuration<<doublings)
}

// Eject withholds requests from the member for the duration. It never shortens an ejection
// that is already in effect.
func (m *Member) Eject(now time.Time, duration time.Duration) {
	until := now.Add(duration).UnixNano()
	for {
		old := m.ejectedUntil.Load()
		if old >= until {
			return
		}
		if m.ejectedUntil.CompareAndSwap(old, until) {
			events.EndpointEjected.Log("agent", m.Endpoint.GetAgent(), "incarnation", m.Endpoint.GetIncarnation(),
				"dataCentre", m.Endpoint.GetDataCentre(), "pause", duration)
			return
		}
	}
}
