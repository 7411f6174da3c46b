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
	// maxEjectedShare is the largest share of the usable endpoints that may be ejected
	// at the same time.
	maxEjectedShare = 0.4
	// maxFailingShare is the share of failing endpoints above which none is ejected: the
	// fault is then more likely in the entry than in the endpoints.
	maxFailingShare = 0.5
	// slowStartDuration is how long a new or returning endpoint gets a reduced share of
	// the requests.
	slowStartDuration = 2 * time.Second
	// slowStartInitialShare is the fraction of its fair share that it gets at first.
	slowStartInitialShare = 0.1
	// dataCentreCacheSize is the number of data centres whose state is cached in a scan.
	dataCentreCacheSize = 8
)

// Exclusions counts, by reason, the endpoints that were excluded for a request.
type Exclusions struct {
	Tried         int // already tried for this request
	DataCentreOut int // in a data centre that is out of service
	NotAllowed    int // in a data centre that the service does not allow
	Ejected       int // ejected after failures
	// Readmitted counts ejected endpoints that are candidates all the same, because too
	// many endpoints are ejected.
	Readmitted int
	// SlowStartLimited counts endpoints in slow start that are at their request limit.
	SlowStartLimited int
}

// String implements fmt.Stringer.
func (e Exclusions) String() string {
	return fmt.Sprintf("tried=%d centreOut=%d notAllowed=%d ejected=%d readmitted=%d ramping=%d",
		e.Tried, e.DataCentreOut, e.NotAllowed, e.Ejected, e.Readmitted, e.SlowStartLimited)
}

// scan selects the candidates for one request. Scans are pooled to avoid allocating their
// slices for each request.
type scan struct {
	candidates   []*membership.Member
	ejected      []*membership.Member
	triedEjected int // ejected members among those already tried
	slowStarting int // candidates in slow start
	excluded     Exclusions
	dataCentres  dataCentreCache
}

// run selects the candidates among members. Members that must never be picked are excluded
// first. Ejection, which has an upper limit, and slow start, which is ignored if all
// candidates are in it, apply to the rest.
func (s *scan) run(members []*membership.Member, r *request.Request, dataCentres DataCentres, now time.Time) {
	s.candidates, s.ejected = s.candidates[:0], s.ejected[:0]
	s.triedEjected, s.slowStarting, s.excluded = 0, 0, Exclusions{}
	s.dataCentres.reset(dataCentres)
	for _, m := range members {
		s.classify(m, r, now)
	}
	s.readmit()
	s.limitSlowStart(now)
}

// classify adds the member to the candidates or the ejected members, or counts it as
// excluded.
func (s *scan) classify(m *membership.Member, r *request.Request, now time.Time) {
	dc := m.Endpoint.DataCentre
	serving := m.TimeInService(now)
	switch {
	case s.dataCentres.isOut(dc):
		m.RecordDataCentreOut(now)
		s.excluded.DataCentreOut++
	case len(r.Allowed) > 0 && !slices.Contains(r.Allowed, dc):
		s.excluded.NotAllowed++
	case r.WasTried(m):
		s.excluded.Tried++
		if serving < 0 {
			s.triedEjected++
		}
	case serving < 0:
		s.ejected = append(s.ejected, m)
	default:
		s.candidates = append(s.candidates, m)
		if serving < slowStartDuration {
			s.slowStarting++
		}
	}
}

// readmit makes ejected members beyond maxEjectedShare candidates again, in the order in
// which their ejection ends. If more than maxFailingShare of the usable members are failing,
// it readmits all. Tried members count as usable, so that a retry applies the same limits as
// the first attempt.
func (s *scan) readmit() {
	if len(s.ejected) == 0 {
		return
	}
	failing := len(s.ejected) + s.triedEjected
	usable := len(s.ejected) + len(s.candidates) + s.excluded.Tried
	allowed := int(maxEjectedShare * float64(usable))
	if float64(failing) > maxFailingShare*float64(usable) {
		allowed = 0
	}
	readmitted := min(max(0, failing-allowed), len(s.ejected))
	if readmitted > 0 {
		slices.SortFunc(s.ejected, func(a, b *membership.Member) int {
			return cmp.Compare(a.EjectedUntil(), b.EjectedUntil())
		})
	}
	s.candidates = append(s.candidates, s.ejected[:readmitted]...)
	s.excluded.Readmitted = readmitted
	s.excluded.Ejected = len(s.ejected) - readmitted
}

// limitSlowStart excludes members in slow start that have reached their limit of this
// entry's requests. If all candidates are in slow start, all stay.
func (s *scan) limitSlowStart(now time.Time) {
	if s.slowStarting == 0 || s.slowStarting == len(s.candidates) {
		return
	}
	inFlight := int64(0)
	for _, m := range s.candidates {
		inFlight += m.InFlight.Load()
	}
	fairShare := float64(inFlight+1) / float64(len(s.candidates))
	kept := s.candidates[:0]
	for _, m := range s.candidates {
		share := slowStartShare(m, now)
		if share < 1 && m.InFlight.Load() >= slowStartLimit(share, fairShare) {
			s.excluded.SlowStartLimited++
			continue
		}
		kept = append(kept, m)
	}
	s.candidates = kept
}

// slowStartLimit returns how many of this entry's requests may be in flight at a member
// that gets a fraction of the fair share; at least one, or it would never get any.
func slowStartLimit(share, fairShare float64) int64 {
	return max(1, int64(math.Floor(share*fairShare)))
}

// slowStartShare returns the fraction of the fair share that a member may get. It grows
// linearly from slowStartInitialShare to 1 during slow start.
func slowStartShare(m *membership.Member, now time.Time) float64 {
	age := float64(m.TimeInService(now)) / float64(slowStartDuration)
	if age < 0 {
		return 1 // readmitted before its ejection ended
	}
	return min(1, slowStartInitialShare+(1-slowStartInitialShare)*age)
}

// dataCentreCache caches the state of data centres during one scan.
type dataCentreCache struct {
	source DataCentres
	names  [dataCentreCacheSize]string
	out    [dataCentreCacheSize]bool
	count  int
}

func (c *dataCentreCache) reset(source DataCentres) {
	c.source = source
	c.count = 0
}

func (c *dataCentreCache) isOut(name string) bool {
	for i := range c.count {
		if c.names[i] == name {
			return c.out[i]
		}
	}
	out := c.source.DataCentreOut(name)
	if c.count < dataCentreCacheSize {
		c.names[c.count], c.out[c.count] = name, out
		c.count++
	}
	return out
}
