package membership

import (
	"context"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
)

const (
	shardCount    = 16
	sweepInterval = 250 * time.Millisecond
)

// Registry holds the members by service, in shards with a lock each. Reading the members
// of a service takes no lock.
type Registry struct {
	pb.UnimplementedRegistryServer

	leaseDuration time.Duration
	entries       *EntryDirectory
	tableVersion  func() uint64 // of the active table
	shards        [shardCount]registryShard
}

// NewRegistry returns an empty registry that grants leases of the given length. Replies to
// agents carry the live entries and the version of the active table.
func NewRegistry(leaseDuration time.Duration, entries *EntryDirectory, tableVersion func() uint64) *Registry {
	r := &Registry{leaseDuration: leaseDuration, entries: entries, tableVersion: tableVersion}
	for i := range r.shards {
		r.shards[i].leaseDuration = leaseDuration
		r.shards[i].records = map[string]*record{}
		r.shards[i].massExpired = map[string]bool{}
	}
	return r
}

func (r *Registry) shard(service string) *registryShard {
	return &r.shards[xxhash.Sum64String(service)%shardCount]
}

// Members returns the endpoints of a service that accept new requests, sorted by agent
// name. The slice is shared and must not be modified.
func (r *Registry) Members(service string) []*Member {
	v, ok := r.shard(service).services.Load(service)
	if !ok {
		return nil
	}
	return *v.(*atomic.Pointer[[]*Member]).Load()
}

// Empty reports whether no endpoint has announced itself since the registry was created.
func (r *Registry) Empty() bool {
	for i := range r.shards {
		empty := true
		r.shards[i].services.Range(func(any, any) bool {
			empty = false
			return false
		})
		if !empty {
			return false
		}
	}
	return true
}

// Known reports whether any endpoint has ever announced the service.
func (r *Registry) Known(service string) bool {
	_, ok := r.shard(service).services.Load(service)
	return ok
}

// Find returns the registered endpoint of an agent, or nil if there is none. A shard keeps one
// endpoint per agent, that of the current incarnation; shards are searched in order.
func (r *Registry) Find(agent string) *pb.Endpoint {
	for i := range r.shards {
		if e := r.shards[i].find(agent); e != nil {
			return e
		}
	}
	return nil
}

// Announce implements the Registry service. A request that lists entries but has no
// endpoint is the announcement of another entry.
func (r *Registry) Announce(_ context.Context, req *pb.AnnounceRequest) (*pb.AnnounceReply, error) {
	now := time.Now()
	if req.Endpoint != nil || len(req.Entries) == 0 {
		if err := r.recordHeartbeat(req, now); err != nil {
			return nil, err
		}
	}
	r.entries.MarkSeen(req.Entries, now)
	return &pb.AnnounceReply{
		LeaseMs: r.leaseDuration.Milliseconds(), Entries: r.entries.LiveEntries(now), TableVersion: r.tableVersion(),
	}, nil
}

// recordHeartbeat validates the heartbeat of an agent and renews its lease.
func (r *Registry) recordHeartbeat(req *pb.AnnounceRequest, now time.Time) error {
	if err := validateAnnouncement(req); err != nil {
		return err
	}
	sh := r.shard(req.Endpoint.Service)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.renew(req, now)
	return nil
}

func validateAnnouncement(req *pb.AnnounceRequest) error {
	e := req.Endpoint
	if e == nil || e.Agent == "" || e.Incarnation == "" || e.Address == "" || e.Service == "" {
		return fault.New(fault.CodeBadRequest, fault.StepAnnounce, e.GetAgent(),
			"announcement lacks agent, incarnation, address or service")
	}
	return nil
}

// Run sweeps expired leases every sweepInterval until the context ends.
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

// Sweep expires the leases that ended before now and drops members that expired long
// enough ago.
func (r *Registry) Sweep(now time.Time) {
	for i := range r.shards {
		r.shards[i].sweep(now)
	}
}

// Status describes a member for operators.
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

// Statuses returns all members, sorted by agent name.
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
