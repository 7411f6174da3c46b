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

// doubtLimit is how long after the end of its lease an endpoint is kept in doubt.
const doubtLimit = 30 * time.Second

// registryShard holds some of the services. Its lock guards all but the lists
// that readers take.
type registryShard struct {
	lease    time.Duration
	mu       sync.Mutex
	records  map[string]*record // by agent
	doubted  map[string]bool    // services most of whose leases ended at once
	services sync.Map           // service -> *atomic.Pointer[[]*Member]
}

// record is a member with its lease.
type record struct {
	member       *Member
	sequence     uint64
	leaving      bool
	healthy      bool
	leaseEnd     time.Time
	lapsedAt     time.Time // when the end was noticed; zero while the lease lasts
	tableVersion uint64
	worker       string
}

func (rec *record) lapsed() bool { return !rec.lapsedAt.IsZero() }

// standing is what decides whether readers see a member.
type standing struct {
	leaving, healthy, lapsed bool
}

func (rec *record) standing() standing {
	return standing{rec.leaving, rec.healthy, rec.lapsed()}
}

// renew adds or extends a lease. An older incarnation or heartbeat is ignored;
// incarnations are ULIDs and sort by time. Only once the lease of the newest has
// lapsed does another one take over: the clock of its instance was set back.
func (sh *registryShard) renew(req *pb.AnnounceRequest, now time.Time) {
	e := req.Endpoint
	rec := sh.records[e.Agent]
	joined := false
	if rec == nil || rec.member.Endpoint.Incarnation < e.Incarnation || rec.lapsed() && rec.member.Endpoint.Incarnation != e.Incarnation {
		rec = &record{member: &Member{Endpoint: e, joinedAt: now}}
		sh.records[e.Agent] = rec
		joined = true
		events.EndpointJoined.Log("agent", e.Agent, "incarnation", e.Incarnation, "service", e.Service, "dataCentre", e.DataCentre, "peer", e.Address)
	}
	if rec.member.Endpoint.Incarnation != e.Incarnation || req.Sequence <= rec.sequence {
		return
	}
	before := rec.standing()
	if req.Leaving && !rec.leaving {
		events.EndpointLeaving.Log("agent", e.Agent, "incarnation", e.Incarnation, "service", e.Service)
	}
	rec.sequence = req.Sequence
	rec.leaving = rec.leaving || req.Leaving
	rec.healthy = req.Healthy
	rec.leaseEnd = now.Add(sh.lease)
	rec.lapsedAt = time.Time{}
	rec.tableVersion = req.TableVersion
	rec.worker = req.Worker
	rec.member.NoteLoad(int64(req.Running), int64(req.Queued), 0, now)
	if joined || before != rec.standing() {
		sh.publish(e.Service)
	}
}

// publish rebuilds the list that readers of the service see. When most leases
// have ended, the entry itself or its network is the likelier cause: it keeps
// all endpoints, and those that really went are found out by trying them.
func (sh *registryShard) publish(service string) {
	doubt := sh.noteDoubt(service)
	list := []*Member{}
	for _, rec := range sh.records {
		if rec.member.Endpoint.Service == service && !rec.leaving && rec.healthy && (!rec.lapsed() || doubt) {
			list = append(list, rec.member)
		}
	}
	slices.SortFunc(list, func(a, b *Member) int { return strings.Compare(a.Endpoint.Agent, b.Endpoint.Agent) })
	v, _ := sh.services.LoadOrStore(service, &atomic.Pointer[[]*Member]{})
	v.(*atomic.Pointer[[]*Member]).Store(&list)
}

// noteDoubt reports whether more than half of the leases have ended.
func (sh *registryShard) noteDoubt(service string) bool {
	total, lapsed := 0, 0
	for _, rec := range sh.records {
		if rec.member.Endpoint.Service != service || rec.leaving {
			continue
		}
		total++
		if rec.lapsed() {
			lapsed++
		}
	}
	doubt := 2*lapsed > total
	switch {
	case doubt && !sh.doubted[service]:
		sh.doubted[service] = true
		events.MembershipDoubt.Log("service", service, "expired", lapsed, "known", total)
	case !doubt && sh.doubted[service]:
		delete(sh.doubted, service)
		events.DoubtEnded.Log("service", service, "expired", lapsed, "known", total)
	}
	return doubt
}

// sweep ends leases. A lapsed record is remembered for another lease, so that
// endpoints that vanish within that time count as vanished at once. The time runs
// from when the end was noticed: the entry itself may have been paused.
func (sh *registryShard) sweep(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	changed := map[string]bool{}
	for agent, rec := range sh.records {
		service := rec.member.Endpoint.Service
		if !rec.lapsed() && rec.leaseEnd.Before(now) {
			rec.lapsedAt = now
			changed[service] = true
		}
		if !rec.lapsed() {
			continue
		}
		gone := now.Sub(rec.lapsedAt)
		if gone > doubtLimit || gone > sh.lease && !sh.doubted[service] {
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
