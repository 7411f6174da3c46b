// Package jobs carries submissions, cancellations and questions from an entry
// to the owners of the shards.
package jobs

import (
	"context"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/ident"
	"chervilridge/internal/ledger"
	"chervilridge/internal/peer"
	"chervilridge/internal/shard"
)

// Owners finds the owner of a shard; nil if none is known.
type Owners interface {
	Owner(shard uint32) *pb.ShardOwner
}

// Client calls the owners. It is safe for concurrent use.
type Client struct {
	owners Owners
	pool   *peer.Pool
	shards uint32
}

// New returns a client for a system of that many shards.
func New(owners Owners, pool *peer.Pool, shards uint32) *Client {
	return &Client{owners: owners, pool: pool, shards: shards}
}

// Submission is the outcome of a submit.
type Submission struct {
	JobID     string `json:"job_id"`
	Duplicate bool   `json:"duplicate"`
}

// Submit enters a job. The same key of the same team always gets the same job,
// so a submission whose outcome is unknown can be repeated; Submit does so
// itself until the context ends.
func (c *Client) Submit(ctx context.Context, key string, spec *pb.JobSpec) (Submission, error) {
	if err := shard.CheckSpec(spec); err != nil {
		return Submission{}, fault.New(fault.CodeBadRequest, fault.StepSubmit, spec.GetTeam(), err.Error())
	}
	id := ident.New()
	if key != "" {
		id = ident.FromKey(spec.Team, key)
	}
	reply, doubted, err := c.write(ctx, id, func(ctx context.Context, owner *pb.ShardOwner, to pb.ShardOwnerServiceClient) (*pb.LedgerReply, error) {
		return to.SubmitJob(ctx, &pb.SubmitJobRequest{Shard: owner.Shard, JobId: id, Spec: spec})
	})
	if err != nil {
		return Submission{}, err
	}
	switch ledger.Reason(reply.Rejection) {
	case "":
		events.JobAccepted.Log("job", id, "team", spec.Team, "tasks", spec.Tasks)
	case ledger.ReasonDuplicate:
		// After a doubted try, the known job may be this one.
		return Submission{JobID: id, Duplicate: !doubted}, nil
	default:
		events.JobRefused.Log("job", id, "team", spec.Team, "reason", reply.Detail)
		return Submission{}, fault.New(fault.CodeBadRequest, fault.StepSubmit, spec.Team, reply.Detail)
	}
	return Submission{JobID: id}, nil
}

// Cancel cancels jobs, one record for each shard.
func (c *Client) Cancel(ctx context.Context, ids []string) error {
	byShard := map[uint32][]string{}
	for _, id := range ids {
		s := ident.Shard(id, c.shards)
		byShard[s] = append(byShard[s], id)
	}
	for _, group := range byShard {
		if err := c.cancelGroup(ctx, group); err != nil {
			return err
		}
	}
	return nil
}

func (c *Client) cancelGroup(ctx context.Context, ids []string) error {
	reply, _, err := c.write(ctx, ids[0], func(ctx context.Context, owner *pb.ShardOwner, to pb.ShardOwnerServiceClient) (*pb.LedgerReply, error) {
		return to.CancelJobs(ctx, &pb.CancelJobsRequest{Shard: owner.Shard, JobIds: ids})
	})
	if err != nil {
		return err
	}
	if reply.Rejection != "" {
		return fault.New(fault.CodeNotFound, fault.StepSubmit, "", reply.Detail)
	}
	events.JobCancelled.Log("jobs", len(ids))
	return nil
}

// Get returns a job as its owner's ledger has it.
func (c *Client) Get(ctx context.Context, id string) (*pb.Job, error) {
	owner, client, err := c.owner(id)
	if err != nil {
		return nil, err
	}
	reply, err := client.GetJob(ctx, &pb.GetJobRequest{Shard: owner.Shard, JobId: id})
	if err != nil {
		return nil, fault.Wrap(err, fault.CodePeerUnreachable, fault.StepRead, owner.Agent, "shard owner did not answer")
	}
	if !reply.Found {
		return nil, fault.Newf(fault.CodeNotFound, fault.StepRead, owner.Agent, "no job %s", id)
	}
	return reply.Job, nil
}

func (c *Client) owner(jobID string) (*pb.ShardOwner, pb.ShardOwnerServiceClient, error) {
	s := ident.Shard(jobID, c.shards)
	owner := c.owners.Owner(s)
	if owner == nil {
		return nil, nil, fault.Newf(fault.CodeNotOwner, fault.StepSubmit, "", "shard %d has no known owner", s)
	}
	conn, err := c.pool.Get(owner.Address)
	if err != nil {
		return nil, nil, err
	}
	return owner, pb.NewShardOwnerServiceClient(conn), nil
}
