package jobs

import (
	"context"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/wait"
)

const (
	// writeTimeout bounds all tries of one record; a shard changes hands within it.
	writeTimeout = 12 * time.Second
	tryTimeout   = 3 * time.Second
	tryPause     = 200 * time.Millisecond
)

// call sends one record to an owner.
type call func(ctx context.Context, owner *pb.ShardOwner, to pb.ShardOwnerServiceClient) (*pb.LedgerReply, error)

// write sends a record to the owner of the job's shard until an owner has
// written it or refused it. The record must be void when it is written twice.
// doubted tells that an earlier try may have taken effect.
func (c *Client) write(ctx context.Context, jobID string, send call) (reply *pb.LedgerReply, doubted bool, err error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	for {
		reply, err := c.try(ctx, jobID, send)
		if err == nil {
			return reply, doubted, nil
		}
		e := fault.As(err)
		doubted = doubted || e.Outcome == fault.Unknown
		if e.Code == fault.CodeLogDown && !doubted {
			return nil, false, e
		}
		if !wait.For(ctx, tryPause) {
			return nil, doubted, last(e, doubted, jobID)
		}
	}
}

// last keeps the doubt of earlier tries: what may have taken effect is never
// reported as not run.
func last(e *fault.Error, doubted bool, jobID string) error {
	if doubted {
		e = e.WithOutcome(fault.Unknown)
	}
	return e.WithRequest(jobID)
}

func (c *Client) try(ctx context.Context, jobID string, send call) (*pb.LedgerReply, error) {
	owner, to, err := c.owner(jobID)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, tryTimeout)
	defer cancel()
	reply, err := send(ctx, owner, to)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeOutcomeUnknown, fault.StepSubmit, owner.Agent, "shard owner did not answer").
			WithOutcome(fault.Unknown)
	}
	switch {
	case reply.Outcome == pb.Outcome_OUTCOME_DONE:
		return reply, nil
	case reply.NotOwner:
		return nil, fault.New(fault.CodeNotOwner, fault.StepSubmit, owner.Agent, reply.Detail)
	case reply.Outcome == pb.Outcome_OUTCOME_NOT_RUN:
		return nil, fault.New(fault.CodeLogDown, fault.StepSubmit, owner.Agent, reply.Detail)
	}
	return nil, fault.New(fault.CodeOutcomeUnknown, fault.StepSubmit, owner.Agent, reply.Detail).WithOutcome(fault.Unknown)
}
