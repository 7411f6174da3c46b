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

// Registry holds the members by service, in shards with a lock each. Readers of
// a service's members take no lock.
type Registry struct {
	pb.UnimplementedRegistryServer

	lease   time.Duration
	entries *Entries
	version func() uint64 // of the table in force
	shards  [shardCount]registryShard
}

// NewRegistry returns an empty registry whose leases last that long. Agents are
// told the entries and the version of the table in force.
func NewRegistry(lease time.Duration, entries *Entries, version func() uint64) *Registry {
	r := &Registry{lease: lease, entries: entries, version: version}
	for i := range r.shards {
		r.shards[i].lease = lease
		r.shards[i].records = map[string]*record{}
		r.shards[i].doubted = map[string]bool{}
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

// Empty reports whether no endpoint has announced itself so far.
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

// Announce implements the Registry service. Without an endpoint it is the
// greeting of another entry.
func (r *Registry) Announce(_ context.Context, req *pb.AnnounceRequest) (*pb.AnnounceReply, error) {
	now := time.Now()
	if req.Endpoint != nil || len(req.Entries) == 0 {
		if err := r.take(req, now); err != nil {
			return nil, err
		}
	}
	r.entries.Note(req.Entries, now)
	return &pb.AnnounceReply{
		LeaseMs: r.lease.Milliseconds(), Entries: r.entries.Live(now), TableVersion: r.version(),
	}, nil
}

// take enters the heartbeat of an agent.
func (r *Registry) take(req *pb.AnnounceRequest, now time.Time) error {
	if err := checkAnnouncement(req); err != nil {
		return err
	}
	sh := r.shard(req.Endpoint.Service)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.renew(req, now)
	return nil
}

func checkAnnouncement(req *pb.AnnounceRequest) error {
	e := req.Endpoint
	if e == nil || e.Agent == "" || e.Incarnation == "" || e.Address == "" || e.Service == "" {
		return fault.New(fault.CodeBadRequest, fault.StepAnnounce, e.GetAgent(),
			"an announcement names agent, incarnation, address and service")
	}
	return nil
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
