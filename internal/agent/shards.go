package agent

import (
	"context"
	"sync"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/ledger"
	"chervilridge/internal/peer"
	"chervilridge/internal/platform"
	"chervilridge/internal/process"
	"chervilridge/internal/scheduler/owner"
	"chervilridge/internal/scheduler/ownership"
	"chervilridge/internal/shard"
	"chervilridge/internal/table"
)

// pollsPerLease keeps the view of a shard young enough to tell its owner's
// silence: between two answers it grows to two polls old.
const pollsPerLease = 8

// shardOwners are the shards that this agent is a candidate for. It hands each
// call of the ShardOwnerService to the shard it names.
type shardOwners struct {
	pb.UnimplementedShardOwnerServiceServer

	owners map[uint32]*owner.Owner
	leases map[uint32]*ownership.Lease
}

func newShardOwners(o *Options, id Identity, log platform.Log, rows *ledger.Follower[*table.Table],
	pool *peer.Pool, bg *process.Background) *shardOwners {
	s := &shardOwners{owners: map[uint32]*owner.Owner{}, leases: map[uint32]*ownership.Lease{}}
	for _, n := range ownership.Candidacies(id.Name, uint32(*o.Shards), uint32(*o.Candidacies)) {
		s.add(o, id, n, log, rows, pool, bg)
	}
	return s
}

func (s *shardOwners) add(o *Options, id Identity, n uint32, log platform.Log, rows *ledger.Follower[*table.Table],
	pool *peer.Pool, bg *process.Background) {
	name := id.Name + "/" + id.Incarnation
	state := ledger.NewFollower(log, shard.Stream(n), min(*o.TablePoll, *o.ShardLease/pollsPerLease), shard.New)
	bg.Go(state.Run)
	committer := ledger.NewCommitter(log, state, name, *o.AppendBudget)
	bg.Go(committer.Run)
	lease := ownership.New(ownership.Options{
		Shard: n, Owner: name, Address: *o.GRPCAddress, Lease: *o.ShardLease,
	}, state, committer)
	bg.Go(lease.Run)
	bg.Go(ledger.NewSnapshotter(ledger.SnapshotOptions{
		Every: *o.SnapshotEvery, Entries: uint64(*o.SnapshotEntries),
		May: func() bool { _, held := lease.Held(); return held },
	}, state, committer).Run)
	scheduler := owner.New(owner.Options{
		Shard: n, Grant: *o.Grant, WorkerSilence: 4 * *o.BeatEvery, Lease: *o.ShardLease,
		JobRetention: *o.JobRetention,
	}, lease, state, rows, committer, pool)
	bg.Go(scheduler.Run)
	s.owners[n] = scheduler
	s.leases[n] = lease
}

// held returns the shards whose lease is held now.
func (s *shardOwners) held() []*pb.OwnedShard {
	var out []*pb.OwnedShard
	for n, l := range s.leases {
		if epoch, ok := l.Held(); ok {
			out = append(out, &pb.OwnedShard{Shard: n, Epoch: epoch})
		}
	}
	return out
}

// release gives up the shards that are held, so that others take over at once.
func (s *shardOwners) release(ctx context.Context) {
	var wg sync.WaitGroup
	for _, l := range s.leases {
		wg.Go(func() { l.Release(ctx) })
	}
	wg.Wait()
}

func (s *shardOwners) find(n uint32) (*owner.Owner, error) {
	held := s.owners[n]
	if held == nil {
		return nil, fault.Newf(fault.CodeNotOwner, fault.StepSubmit, "", "agent is no candidate for shard %d", n)
	}
	return held, nil
}

// Beat implements the ShardOwnerService.
func (s *shardOwners) Beat(ctx context.Context, req *pb.BeatRequest) (*pb.BeatReply, error) {
	o, err := s.find(req.Shard)
	if err != nil {
		return nil, err
	}
	return o.Beat(ctx, req)
}

// GetJob implements the ShardOwnerService.
func (s *shardOwners) GetJob(ctx context.Context, req *pb.GetJobRequest) (*pb.GetJobReply, error) {
	o, err := s.find(req.Shard)
	if err != nil {
		return nil, err
	}
	return o.GetJob(ctx, req)
}

// SubmitJob implements the ShardOwnerService.
func (s *shardOwners) SubmitJob(ctx context.Context, req *pb.SubmitJobRequest) (*pb.LedgerReply, error) {
	o, err := s.find(req.Shard)
	if err != nil {
		return nil, err
	}
	return o.SubmitJob(ctx, req)
}

// CancelJobs implements the ShardOwnerService.
func (s *shardOwners) CancelJobs(ctx context.Context, req *pb.CancelJobsRequest) (*pb.LedgerReply, error) {
	o, err := s.find(req.Shard)
	if err != nil {
		return nil, err
	}
	return o.CancelJobs(ctx, req)
}
