package grants

import (
	"context"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/peer"
	"chervilridge/internal/platform"
)

const beatTimeout = time.Second

// Owners finds the owner of a shard; nil if none is known.
type Owners interface {
	Owner(shard uint32) *pb.ShardOwner
}

// Service tells how the service beside the worker does.
type Service interface {
	// Latency returns the 99th percentile and its target; 0 without a target.
	Latency() (p99, target time.Duration)
	// LoadMilli returns the share of the slots in use in thousandths.
	LoadMilli() uint32
	Name() string
	Leaving() bool
	// NoteAlone takes the latency that the service would have without batch work.
	NoteAlone(alone time.Duration)
}

// Beater reports the worker's attempts to the shard's owner and renews their
// leases on the worker.
type Beater struct {
	grants   *Grants
	owners   Owners
	service  Service
	pool     *peer.Pool
	address  string
	interval time.Duration
}

// NewBeater returns a beater; address is the agent's own gRPC address.
func NewBeater(grants *Grants, owners Owners, service Service, pool *peer.Pool, address string, interval time.Duration) *Beater {
	return &Beater{grants: grants, owners: owners, service: service, pool: pool, address: address, interval: interval}
}

// Run beats until the context ends.
func (b *Beater) Run(ctx context.Context) {
	t := time.NewTicker(b.interval)
	defer t.Stop()
	for {
		select {
		case <-t.C:
			b.Beat(ctx)
			b.grants.Tend(ctx, b.interval+b.grants.options.CallDelay)
		case <-ctx.Done():
			return
		}
	}
}

// Beat sends one report and carries out the reply. Without an owner or a worker
// it does nothing: leases then run out by themselves.
func (b *Beater) Beat(ctx context.Context) {
	owner := b.owners.Owner(b.grants.options.Shard)
	if owner == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	req, err := b.message(ctx)
	if err != nil {
		return
	}
	sent := time.Now()
	conn, err := b.pool.Get(owner.Address)
	if err != nil {
		return
	}
	reply, err := pb.NewShardOwnerServiceClient(conn).Beat(ctx, req)
	if err != nil {
		return
	}
	if !b.grants.raise(reply.Epoch) {
		return
	}
	b.service.NoteAlone(time.Duration(reply.ServiceAloneUs) * time.Microsecond)
	b.carryOut(ctx, reply, sent)
}

func (b *Beater) message(ctx context.Context) (*pb.BeatRequest, error) {
	g := b.grants
	info, err := g.worker.Describe(ctx)
	if err != nil {
		return nil, err
	}
	list, err := g.worker.List(ctx)
	if err != nil {
		return nil, err
	}
	usage, err := g.worker.Usage(ctx)
	if err != nil {
		return nil, err
	}
	p99, target := b.service.Latency()
	req := &pb.BeatRequest{
		Shard: g.options.Shard, Incarnation: g.options.Incarnation,
		Worker: &pb.WorkerRegistered{
			Worker: info.Name, DataCentre: info.DataCentre, Rack: info.Rack, Capacity: info.Capacity, Address: b.address,
		},
		Used: usage.Used, UsedAgeMs: usage.Age.Milliseconds(),
		ServiceP99Us: p99.Microseconds(), ServiceTargetUs: target.Microseconds(), ServiceLoadMilli: b.service.LoadMilli(),
		Service: b.service.Name(), Leaving: b.service.Leaving(), ClockMs: g.Clock().Milliseconds(),
	}
	for _, s := range list {
		req.Attempts = append(req.Attempts, g.report(s))
	}
	return req, nil
}

// carryOut renews, forgets and stops. The renewal counts from when the beat was
// sent, so that the owner's own count never ends first.
func (b *Beater) carryOut(ctx context.Context, reply *pb.BeatReply, sent time.Time) {
	worker := b.grants.worker
	end := sent.Add(time.Duration(reply.GrantMs) * time.Millisecond)
	for _, a := range reply.Renewed {
		b.grants.renew(ctx, keyOf(a), end)
	}
	for _, a := range reply.Recorded {
		b.forget(ctx, keyOf(a))
	}
	for _, a := range reply.Revoked {
		b.revoke(ctx, worker, keyOf(a))
	}
}

func (b *Beater) revoke(ctx context.Context, worker platform.Worker, key platform.TaskKey) {
	if _, err := worker.Stop(ctx, key); err == nil {
		events.TaskStopped.Log("job", key.JobID, "index", key.Index, "attempt", key.Attempt, "reason", "revoked")
		b.forget(ctx, key)
	}
}

// forget leaves a tombstone first: a doubled start that arrives after the
// worker has forgotten the attempt must not run it again.
func (b *Beater) forget(ctx context.Context, key platform.TaskKey) {
	b.grants.addTombstone(key)
	_ = b.grants.worker.Forget(ctx, key)
}
