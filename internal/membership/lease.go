package membership

import (
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
)

// massExpiryRetention is how long an endpoint whose lease expired stays registered while
// its service is in mass expiry (see publish).
const massExpiryRetention = 30 * time.Second

// registryShard holds a subset of the services. mu guards every field except services,
// whose member lists are read without a lock.
type registryShard struct {
	leaseDuration time.Duration
	mu            sync.Mutex
	records       map[string]*record // agent name -> lease record
	massExpired   map[string]bool    // services in mass expiry: most leases have expired
	services      sync.Map           // service -> *atomic.Pointer[[]*Member]
}

// record is a member and the state of its lease.
type record struct {
	member       *Member
	sequence     uint64
	leaving      bool
	healthy      bool
	leaseEnd     time.Time
	expiredAt    time.Time // when sweep detected the expiry; zero while the lease is valid
	tableVersion uint64
	worker       string
}

func (rec *record) expired() bool { return !rec.expiredAt.IsZero() }

// visibility is the part of a record that decides whether the member is published to
// readers.
type visibility struct {
	leaving, healthy, expired bool
}

func (rec *record) visibility() visibility {
	return visibility{rec.leaving, rec.healthy, rec.expired()}
}

// renew grants or extends the lease of an endpoint. Heartbeats of an older incarnation or
// with an old sequence number are ignored; incarnations are ULIDs, so they sort by start
// time. An incarnation that sorts lower replaces the current one only after the current
// lease has expired: the clock of its instance was then set back.
func (sh *registryShard) renew(req *pb.AnnounceRequest, now time.Time) {
	e := req.Endpoint
	rec := sh.records[e.Agent]
	joined := false
	if rec == nil || rec.member.Endpoint.Incarnation < e.Incarnation || rec.expired() && rec.member.Endpoint.Incarnation != e.Incarnation {
		rec = &record{member: &Member{Endpoint: e, joinedAt: now}}
		sh.records[e.Agent] = rec
		joined = true
		events.EndpointJoined.Log("agent", e.Agent, "incarnation", e.Incarnation, "service", e.Service, "dataCentre", e.DataCentre, "peer", e.Address)
	}
	if rec.member.Endpoint.Incarnation != e.Incarnation || req.Sequence <= rec.sequence {
		return
	}
	before := rec.visibility()
	if req.Leaving && !rec.leaving {
		events.EndpointLeaving.Log("agent", e.Agent, "incarnation", e.Incarnation, "service", e.Service)
	}
	rec.sequence = req.Sequence
	rec.leaving = rec.leaving || req.Leaving
	rec.healthy = req.Healthy
	rec.leaseEnd = now.Add(sh.leaseDuration)
	rec.expiredAt = time.Time{}
	rec.tableVersion = req.TableVersion
	rec.worker = req.Worker
	rec.member.RecordLoad(int64(req.Running), int64(req.Queued), 0, now)
	if joined || before != rec.visibility() {
		sh.publish(e.Service)
	}
}

// publish rebuilds the member list that readers of the service see. When most leases
// have expired, the likely cause is this entry or its network rather than the endpoints.
// All endpoints then stay listed, and those that are really down are detected by failing
// requests.
func (sh *registryShard) publish(service string) {
	keepExpired := sh.updateMassExpiry(service)
	list := []*Member{}
	for _, rec := range sh.records {
		if rec.member.Endpoint.Service == service && !rec.leaving && rec.healthy && (!rec.expired() || keepExpired) {
			list = append(list, rec.member)
		}
	}
	slices.SortFunc(list, func(a, b *Member) int { return strings.Compare(a.Endpoint.Agent, b.Endpoint.Agent) })
	v, _ := sh.services.LoadOrStore(service, &atomic.Pointer[[]*Member]{})
	v.(*atomic.Pointer[[]*Member]).Store(&list)
}

// updateMassExpiry reports whether more than half of the service's leases have expired,
// and logs when that state begins or ends. Leaving endpoints do not count.
func (sh *registryShard) updateMassExpiry(service string) bool {
	total, expired := 0, 0
	for _, rec := range sh.records {
		if rec.member.Endpoint.Service != service || rec.leaving {
			continue
		}
		total++
		if rec.expired() {
			expired++
		}
	}
	active := 2*expired > total
	switch {
	case active && !sh.massExpired[service]:
		sh.massExpired[service] = true
		events.MostEndpointsExpired.Log("service", service, "expired", expired, "known", total)
	case !active && sh.massExpired[service]:
		delete(sh.massExpired, service)
		events.EnoughEndpointsLive.Log("service", service, "expired", expired, "known", total)
	}
	return active
}

// sweep marks leases that have run out as expired. An expired record is kept for one more
// lease duration, so that endpoints that disappear within that time count together in
// updateMassExpiry. The time runs from when the expiry was detected, because the entry
// itself may have been paused.
func (sh *registryShard) sweep(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	changed := map[string]bool{}
	for agent, rec := range sh.records {
		service := rec.member.Endpoint.Service
		if !rec.expired() && rec.leaseEnd.Before(now) {
			rec.expiredAt = now
			changed[service] = true
		}
		if !rec.expired() {
			continue
		}
		sinceExpiry := now.Sub(rec.expiredAt)
		if sinceExpiry > massExpiryRetention || sinceExpiry > sh.leaseDuration && !sh.massExpired[service] {
			delete(sh.records, agent)
			changed[service] = true
			e := rec.member.Endpoint
			events.EndpointExpired.Log("agent", agent, "incarnation", e.Incarnation, "service", service)
		}
	}
	for service := range changed {
		sh.publish(service)
	}
}

func (sh *registryShard) find(agent string) *pb.Endpoint {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if rec := sh.records[agent]; rec != nil {
		return rec.member.Endpoint
	}
	return nil
}
