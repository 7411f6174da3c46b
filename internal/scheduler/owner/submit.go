package owner

import (
	"context"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
)

// SubmitJob implements the ShardOwnerService.
func (o *Owner) SubmitJob(ctx context.Context, req *pb.SubmitJobRequest) (*pb.LedgerReply, error) {
	return o.write(ctx, req.Shard, &pb.Record{Body: &pb.Record_JobSubmitted{JobSubmitted: &pb.JobSubmitted{
		JobId: req.JobId, Spec: req.Spec,
	}}}), nil
}

// CancelJobs implements the ShardOwnerService.
func (o *Owner) CancelJobs(ctx context.Context, req *pb.CancelJobsRequest) (*pb.LedgerReply, error) {
	return o.write(ctx, req.Shard, &pb.Record{Body: &pb.Record_JobsCancelled{JobsCancelled: &pb.JobsCancelled{
		JobIds: req.JobIds,
	}}}), nil
}

// write commits a caller's record and says whether it is in the log.
func (o *Owner) write(ctx context.Context, shard uint32, rec *pb.Record) *pb.LedgerReply {
	epoch, held := o.lease.Held()
	if !held || shard != o.options.Shard {
		return &pb.LedgerReply{Outcome: pb.Outcome_OUTCOME_NOT_RUN, Detail: "this agent does not own the shard", NotOwner: true}
	}
	v, err := o.commit(ctx, epoch, rec)
	if err != nil {
		return failed(epoch, err)
	}
	reply := &pb.LedgerReply{Outcome: pb.Outcome_OUTCOME_DONE, Epoch: epoch}
	if v.Rejection != nil {
		reply.Rejection, reply.Detail = string(v.Rejection.Reason), v.Rejection.Detail
	}
	return reply
}

func failed(epoch uint64, err error) *pb.LedgerReply {
	reply := &pb.LedgerReply{Outcome: pb.Outcome_OUTCOME_UNKNOWN, Detail: err.Error(), Epoch: epoch}
	if fault.As(err).Outcome == fault.NotRun {
		reply.Outcome = pb.Outcome_OUTCOME_NOT_RUN
	}
	return reply
}
