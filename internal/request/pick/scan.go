package pick

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"time"

	"chervilridge/internal/membership"
	"chervilridge/internal/request"
)

const (
	// ejectionCeiling is the largest share of the usable endpoints that may be
	// set aside at once.
	ejectionCeiling = 0.4
	// doubtShare is the share of failing endpoints above which the entry takes
	// itself for the cause and sets none aside.
	doubtShare = 0.5
	// rampTime is how long a new or returning endpoint gets less than its share.
	rampTime = 2 * time.Second
	// rampFloor is the part of its even share that it gets at the start.
	rampFloor = 0.1
	// centreCacheSize bounds the data centres remembered during one scan.
	centreCacheSize = 8
)

// LeftOut counts the endpoints that a request could not use, by reason.
type LeftOut struct {
	Tried      int
	CentreOut  int
	NotAllowed int
	Ejected    int
	// Readmitted were set aside, but are used since too many are.
	Readmitted int
	// Ramping have all the requests that their slow start allows.
	Ramping int
}

// String implements fmt.Stringer.
func (l LeftOut) String() string {
	return fmt.Sprintf("tried=%d centreOut=%d notAllowed=%d ejected=%d readmitted=%d ramping=%d",
		l.Tried, l.CentreOut, l.NotAllowed, l.Ejected, l.Readmitted, l.Ramping)
}

// scan finds the candidates of one request. It is reused, so that a request
// allocates no slices.
type scan struct {
	candidates []*membership.Member
	ejected    []*membership.Member
	// triedEjected counts the members set aside among those tried.
	triedEjected int
	ramping      int // candidates in slow start
	left         LeftOut
	centres      centreCache
}

// run applies the reasons in order: what must never be picked is left out for
// good; only then come ejection, which has a ceiling, and slow start, which
// yields when nothing else is left.
func (s *scan) run(members []*membership.Member, r *request.Request, centres DataCentres, now time.Time) {
	s.candidates, s.ejected = s.candidates[:0], s.ejected[:0]
	s.triedEjected, s.ramping, s.left = 0, 0, LeftOut{}
	s.centres.reset(centres)
	for _, m := range members {
		s.sort(m, r, now)
	}
	s.readmit()
	s.ramp(now)
}

func (s *scan) sort(m *membership.Member, r *request.Request, now time.Time) {
	dc := m.Endpoint.DataCentre
	serving := m.ServingFor(now)
	switch {
	case s.centres.isOut(dc):
		m.NoteOut(now)
		s.left.CentreOut++
	case len(r.Allowed) > 0 && !slices.Contains(r.Allowed, dc):
		s.left.NotAllowed++
	case r.WasTried(m):
		s.left.Tried++
		if serving < 0 {
			s.triedEjected++
		}
	case serving < 0:
		s.ejected = append(s.ejected, m)
	default:
		s.candidates = append(s.candidates, m)
		if serving < rampTime {
			s.ramping++
		}
	}
}

// readmit takes back ejected members above the ceiling, those first whose pause
// ends first, and all of them if most are failing. Tried members count as usable
// ones, so that a repeat judges by the same ceiling as a first try.
func (s *scan) readmit() {
	if len(s.ejected) == 0 {
		return
	}
	failing := len(s.ejected) + s.triedEjected
	usable := len(s.ejected) + len(s.candidates) + s.left.Tried
	allowed := int(ejectionCeiling * float64(usable))
	if float64(failing) > doubtShare*float64(usable) {
		allowed = 0
	}
	back := min(max(0, failing-allowed), len(s.ejected))
	if back > 0 {
		slices.SortFunc(s.ejected, func(a, b *membership.Member) int {
			return cmp.Compare(a.EjectedUntil(), b.EjectedUntil())
		})
	}
	s.candidates = append(s.candidates, s.ejected[:back]...)
	s.left.Readmitted = back
	s.left.Ejected = len(s.ejected) - back
}

// ramp leaves out members in slow start that hold their part of the requests of
// this entry already. If all are in slow start, all stay.
func (s *scan) ramp(now time.Time) {
	if s.ramping == 0 || s.ramping == len(s.candidates) {
		return
	}
	inFlight := int64(0)
	for _, m := range s.candidates {
		inFlight += m.InFlight.Load()
	}
	even := float64(inFlight+1) / float64(len(s.candidates))
	kept := s.candidates[:0]
	for _, m := range s.candidates {
		part := rampPart(m, now)
		if part < 1 && m.InFlight.Load() >= rampLimit(part, even) {
			s.left.Ramping++
			continue
		}
		kept = append(kept, m)
	}
	s.candidates = kept
}

// rampLimit returns how many requests of this entry a member may hold that is
// allowed a part of an even share; at least one, or it would never begin.
func rampLimit(part, even float64) int64 {
	return max(1, int64(math.Floor(part*even)))
}

// rampPart returns the part of an even share that a member may have.
func rampPart(m *membership.Member, now time.Time) float64 {
	age := float64(m.ServingFor(now)) / float64(rampTime)
	if age < 0 {
		return 1 // readmitted from a pause that has not ended
	}
	return min(1, rampFloor+(1-rampFloor)*age)
}

// centreCache asks about each data centre once per scan.
type centreCache struct {
	centres DataCentres
	names   [centreCacheSize]string
	out     [centreCacheSize]bool
	count   int
}

func (c *centreCache) reset(centres DataCentres) {
	c.centres = centres
	c.count = 0
}

func (c *centreCache) isOut(name string) bool {
	for i := range c.count {
		if c.names[i] == name {
			return c.out[i]
		}
	}
	out := c.centres.DataCentreOut(name)
	if c.count < centreCacheSize {
		c.names[c.count], c.out[c.count] = name, out
		c.count++
	}
	return out
}
