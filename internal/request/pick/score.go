package pick

import (
	"time"

	"chervilridge/internal/membership"
)

// slowerFactor is the ratio to the typical service time from which a member counts as
// slower. Smaller differences are noise, and following them would concentrate the
// requests on a few members.
const slowerFactor = 1.3

// defaultServiceTime is the typical service time assumed until one is observed.
const defaultServiceTime = 10 * time.Millisecond

// ScoreContext holds the inputs of a score besides the member.
type ScoreContext struct {
	Now time.Time
	// TypicalServiceTime is the harmonic mean of the candidates' service times in
	// nanoseconds, on which a few slow members have little influence.
	TypicalServiceTime float64
}

// ScoreFunc computes the score of a member; lower is better.
type ScoreFunc func(m *membership.Member, s ScoreContext) float64

// OwnLoad returns the requests per slot that this entry has in flight at the member.
func OwnLoad(m *membership.Member, _ ScoreContext) float64 {
	return float64(m.InFlight.Load()) / slots(m)
}

// ReportedLoad returns the requests per slot of this entry and, as last reported by the
// agent, of all other entries.
func ReportedLoad(m *membership.Member, s ScoreContext) float64 {
	return m.EstimatedLoad(s.Now) / slots(m)
}

// BusyLoad returns 0 for a member with a free slot, and the value of ReportedLoad for
// any other.
func BusyLoad(m *membership.Member, s ScoreContext) float64 {
	load := m.EstimatedLoad(s.Now)
	if load < slots(m) {
		return 0
	}
	return load / slots(m)
}

// Distance determines the network delay between this entry and an endpoint.
type Distance struct {
	// DataCentre is the data centre of this entry; if empty, all delays are 0.
	DataCentre string
	// OneWayDelay is the one-way delay to another data centre.
	OneWayDelay time.Duration
}

// RoundTrip returns the network delay to the member and back.
func (d Distance) RoundTrip(m *membership.Member) time.Duration {
	if d.DataCentre == "" || d.DataCentre == m.Endpoint.DataCentre {
		return 0
	}
	return 2 * d.OneWayDelay
}

// ExpectedTime estimates the time to the answer in nanoseconds: round trip, wait for a
// slot and service time, plus a cost for each of this entry's requests at the member,
// which spreads requests before any queue builds up. Requests of other entries count
// for the wait only: by the time a report arrives, most of them have been answered,
// and entries that spread requests by the same stale report would all pick the same
// member.
func (d Distance) ExpectedTime(m *membership.Member, s ScoreContext) float64 {
	service := m.EstimatedServiceTime(s.TypicalServiceTime, s.Now)
	if service > 0 && service < slowerFactor*s.TypicalServiceTime {
		service = s.TypicalServiceTime
	}
	roundTrip := float64(d.RoundTrip(m))
	own := float64(m.InFlight.Load())
	inTransit := own * inTransitShare(roundTrip, service)
	busyShare := min((own-inTransit)/slots(m), 1)
	return roundTrip + service*(1+busyShare+queuedServiceTimes(m, m.EstimatedLoad(s.Now)-inTransit))
}

// inTransitShare returns the fraction of the requests in flight that are on the network
// rather than in a slot.
func inTransitShare(roundTrip, service float64) float64 {
	if roundTrip == 0 {
		return 0
	}
	return roundTrip / (roundTrip + service)
}

// queuedServiceTimes returns the expected wait for a slot at the given load in requests,
// in units of the service time.
func queuedServiceTimes(m *membership.Member, load float64) float64 {
	return max(0, load+1-slots(m)) / slots(m)
}

// slots returns the number of the member's slots, at least 1.
func slots(m *membership.Member) float64 { return float64(max(m.Endpoint.Slots, 1)) }

// typicalServiceTime returns the harmonic mean of the known service times in nanoseconds,
// or defaultServiceTime if none is known.
func typicalServiceTime(c []*membership.Member) float64 {
	var known, sum float64
	for _, m := range c {
		if t := m.ServiceTime(); t > 0 {
			known++
			sum += 1 / t
		}
	}
	if known == 0 {
		return float64(defaultServiceTime)
	}
	return known / sum
}
