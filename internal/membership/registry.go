package membership

import (
	"context"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
)

const (
	shardCount    = 16
	sweepInterval = 250 * time.Millisecond
)

// Registry holds the members by service, in shards with a lock each. Readers of
// a service's members take no lock.
type Registry struct {
	pb.UnimplementedRegistryServer

	lease  time.Duration
	info   func() EntryInfo
	shards [shardCount]registryShard

	ownersMu sync.Mutex
	owners   map[uint32]*pb.ShardOwner
}

// EntryInfo is what an entry tells each agent that announces to it.
type EntryInfo struct {
	Entries      []string
	TableVersion uint64
}

type registryShard struct {
	mu       sync.Mutex
	records  map[string]*record // by agent
	services sync.Map           // service -> *atomic.Pointer[[]*Member]
}

// record is a member with its lease. The registry shard's lock guards it.
type record struct {
	member       *Member
	sequence     uint64
	leaving      bool
	healthy      bool
	leaseEnd     time.Time
	tableVersion uint64
	worker       string
}

// NewRegistry returns an empty registry whose leases last that long.
func NewRegistry(lease time.Duration, info func() EntryInfo) *Registry {
	r := &Registry{lease: lease, info: info, owners: map[uint32]*pb.ShardOwner{}}
	for i := range r.shards {
		r.shards[i].records = map[string]*record{}
	}
	return r
}

func (r *Registry) shard(service string) *registryShard {
	return &r.shards[xxhash.Sum64String(service)%shardCount]
}

// Members returns the endpoints of a service that take new work. The slice is
// shared and must not be changed.
func (r *Registry) Members(service string) []*Member {
	v, ok := r.shard(service).services.Load(service)
	if !ok {
		return nil
	}
	return *v.(*atomic.Pointer[[]*Member]).Load()
}

// Known reports whether any endpoint ever announced the service.
func (r *Registry) Known(service string) bool {
	_, ok := r.shard(service).services.Load(service)
	return ok
}

// Find returns the newest endpoint of an agent, or nil if it has no lease.
func (r *Registry) Find(agent string) *pb.Endpoint {
	for i := range r.shards {
		if e := r.shards[i].find(agent); e != nil {
			return e
		}
	}
	return nil
}

func (sh *registryShard) find(agent string) *pb.Endpoint {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if rec := sh.records[agent]; rec != nil {
		return rec.member.Endpoint
	}
	return nil
}

// Owner returns the owner of a shard as agents announced it, or nil.
func (r *Registry) Owner(shard uint32) *pb.ShardOwner {
	r.ownersMu.Lock()
	defer r.ownersMu.Unlock()
	return r.owners[shard]
}

// Announce implements the Registry service.
func (r *Registry) Announce(_ context.Context, req *pb.AnnounceRequest) (*pb.AnnounceReply, error) {
	if err := checkAnnouncement(req); err != nil {
		return nil, err
	}
	r.noteOwner(req)
	sh := r.shard(req.Endpoint.Service)
	sh.mu.Lock()
	sh.renew(req, time.Now().Add(r.lease))
	sh.mu.Unlock()
	info := r.info()
	return &pb.AnnounceReply{
		LeaseMs: r.lease.Milliseconds(), Owners: r.Owners(),
		Entries: info.Entries, TableVersion: info.TableVersion,
	}, nil
}

func checkAnnouncement(req *pb.AnnounceRequest) error {
	e := req.Endpoint
	if e == nil || e.Agent == "" || e.Incarnation == "" || e.Address == "" || e.Service == "" {
		return fault.New(fault.CodeBadRequest, fault.StepAnnounce, e.GetAgent(),
			"an announcement names agent, incarnation, address and service")
	}
	return nil
}

// renew adds or extends a lease. An older incarnation or heartbeat is ignored;
// incarnations are ULIDs and sort by time.
func (sh *registryShard) renew(req *pb.AnnounceRequest, leaseEnd time.Time) {
	e := req.Endpoint
	rec := sh.records[e.Agent]
	if rec == nil || rec.member.Endpoint.Incarnation < e.Incarnation {
		rec = &record{member: &Member{Endpoint: e, joinedAt: time.Now()}}
		sh.records[e.Agent] = rec
		events.EndpointJoined.Log("agent", e.Agent, "incarnation", e.Incarnation, "service", e.Service, "dataCentre", e.DataCentre, "peer", e.Address)
	}
	if rec.member.Endpoint.Incarnation != e.Incarnation || req.Sequence <= rec.sequence {
		return
	}
	if req.Leaving && !rec.leaving {
		events.EndpointLeaving.Log("agent", e.Agent, "incarnation", e.Incarnation, "service", e.Service)
	}
	rec.sequence = req.Sequence
	rec.leaving = rec.leaving || req.Leaving
	rec.healthy = req.Healthy
	rec.leaseEnd = leaseEnd
	rec.tableVersion = req.TableVersion
	rec.worker = req.Worker
	rec.member.Running.Store(int64(req.Running))
	rec.member.Queued.Store(int64(req.Queued))
	sh.publish(e.Service)
}

// publish rebuilds the list that readers of the service see.
func (sh *registryShard) publish(service string) {
	list := []*Member{}
	for _, rec := range sh.records {
		if rec.member.Endpoint.Service == service && !rec.leaving && rec.healthy {
			list = append(list, rec.member)
		}
	}
	slices.SortFunc(list, func(a, b *Member) int { return strings.Compare(a.Endpoint.Agent, b.Endpoint.Agent) })
	v, _ := sh.services.LoadOrStore(service, &atomic.Pointer[[]*Member]{})
	v.(*atomic.Pointer[[]*Member]).Store(&list)
}

// Run ends leases until the context ends.
func (r *Registry) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case now := <-t.C:
			r.Sweep(now)
		case <-ctx.Done():
			return
		}
	}
}

// Sweep drops the members whose lease ended before now.
func (r *Registry) Sweep(now time.Time) {
	for i := range r.shards {
		r.shards[i].sweep(now)
	}
}

func (sh *registryShard) sweep(now time.Time) {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for agent, rec := range sh.records {
		if !rec.leaseEnd.Before(now) {
			continue
		}
		delete(sh.records, agent)
		e := rec.member.Endpoint
		events.EndpointExpired.Log("agent", agent, "incarnation", e.Incarnation, "service", e.Service)
		sh.publish(e.Service)
	}
}

func (r *Registry) noteOwner(req *pb.AnnounceRequest) {
	r.ownersMu.Lock()
	defer r.ownersMu.Unlock()
	for _, s := range req.Shards {
		held := r.owners[s.Shard]
		if held != nil && held.Epoch >= s.Epoch {
			continue
		}
		r.owners[s.Shard] = &pb.ShardOwner{Shard: s.Shard, Epoch: s.Epoch, Agent: req.Endpoint.Agent, Address: req.Endpoint.Address}
		events.OwnerLearned.Log("shard", s.Shard, "epoch", s.Epoch, "agent", req.Endpoint.Agent)
	}
}

func (r *Registry) Owners() []*pb.ShardOwner {
	r.ownersMu.Lock()
	defer r.ownersMu.Unlock()
	out := make([]*pb.ShardOwner, 0, len(r.owners))
	for _, o := range r.owners {
		out = append(out, o)
	}
	slices.SortFunc(out, func(a, b *pb.ShardOwner) int { return int(a.Shard) - int(b.Shard) })
	return out
}

// Status is a member as operators see it.
type Status struct {
	Agent        string `json:"agent"`
	Incarnation  string `json:"incarnation"`
	Address      string `json:"address"`
	Service      string `json:"service"`
	DataCentre   string `json:"data_centre"`
	Worker       string `json:"worker"`
	Leaving      bool   `json:"leaving"`
	Healthy      bool   `json:"healthy"`
	Running      int64  `json:"running"`
	Queued       int64  `json:"queued"`
	TableVersion uint64 `json:"table_version"`
}

// Statuses returns all members by agent name.
func (r *Registry) Statuses() []Status {
	var out []Status
	for i := range r.shards {
		out = r.shards[i].statuses(out)
	}
	slices.SortFunc(out, func(a, b Status) int { return strings.Compare(a.Agent, b.Agent) })
	return out
}

func (sh *registryShard) statuses(out []Status) []Status {
	sh.mu.Lock()
	defer sh.mu.Unlock()
	for _, rec := range sh.records {
		e := rec.member.Endpoint
		out = append(out, Status{
			Agent: e.Agent, Incarnation: e.Incarnation, Address: e.Address, Service: e.Service,
			DataCentre: e.DataCentre, Worker: rec.worker, Leaving: rec.leaving, Healthy: rec.healthy,
			Running: rec.member.Running.Load(), Queued: rec.member.Queued.Load(), TableVersion: rec.tableVersion,
		})
	}
	return out
}
