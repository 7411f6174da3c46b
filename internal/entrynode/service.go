package entrynode

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/election"
	"chervilridge/internal/events"
	"chervilridge/internal/operator"
)

// Service answers other processes of the system.
type Service struct {
	chervilv2.UnimplementedSchedulerServer
	elector  *election.Elector
	router   *Router
	operator *operator.Follower
	peers    *Peers
}

// NewService returns the service of an entry.
func NewService(elector *election.Elector, router *Router, operator *operator.Follower, peers *Peers) *Service {
	return &Service{elector: elector, router: router, operator: operator, peers: peers}
}

// Submit passes a job to the owner.
func (s *Service) Submit(ctx context.Context, r *chervilv2.SubmitRequest) (*chervilv2.JobReply, error) {
	return s.pass(ctx, submitCall(r.Spec), r.Relayed)
}

// Cancel passes a cancel to the owner.
func (s *Service) Cancel(ctx context.Context, r *chervilv2.JobRequest) (*chervilv2.JobReply, error) {
	return s.pass(ctx, cancelCall(r.Id), r.Relayed)
}

// Lookup passes a question for a job to the owner.
func (s *Service) Lookup(ctx context.Context, r *chervilv2.JobRequest) (*chervilv2.JobReply, error) {
	return s.pass(ctx, lookupCall(r.Id), r.Relayed)
}

// pass carries a call out if this entry owns the schedule, and passes it on to the owner
// unless it was passed on once already.
func (s *Service) pass(ctx context.Context, c call, relayed bool) (*chervilv2.JobReply, error) {
	if engine := s.elector.Engine(); engine != nil {
		return c.local(ctx, engine), nil
	}
	if relayed {
		return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	return s.router.atOwner(ctx, c, true)
}

// CountPending counts the waiting jobs of a queue.
func (s *Service) CountPending(ctx context.Context, r *chervilv2.CountRequest) (*chervilv2.CountReply, error) {
	if engine := s.elector.Engine(); engine != nil {
		return engine.CountPending(r.Queue), nil
	}
	if r.Relayed {
		return &chervilv2.CountReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	return s.router.countAtOwner(ctx, r.Queue, true)
}

// Ping tells who owns the schedule.
func (s *Service) Ping(_ context.Context, r *chervilv2.PingRequest) (*chervilv2.PingReply, error) {
	s.peers.Heard(r.EntryAddress)
	s.elector.Observe(r.Owner)
	reply := &chervilv2.PingReply{
		Owner: s.elector.Owner(), Entries: s.peers.Live(), OperatorOffset: s.operator.Offset(), OwnerSeenMs: s.elector.OwnerSeen().Milliseconds(),
	}
	if engine := s.elector.Engine(); engine != nil {
		reply.Leads = true
		reply.StoreSilentMs = engine.ConfirmationAge().Milliseconds()
	}
	return reply, nil
}

// Operator returns the operator's records that the caller lacks.
func (s *Service) Operator(_ context.Context, r *chervilv2.OperatorRequest) (*chervilv2.OperatorReply, error) {
	return s.operator.Since(r.KnownOffset), nil
}

// Attach serves an agent while this entry owns the schedule; otherwise it passes the
// agent on to the owner, for agents that cannot reach it themselves.
func (s *Service) Attach(stream chervilv2.Scheduler_AttachServer) error {
	if engine := s.elector.Engine(); engine != nil {
		return engine.Attach(stream, s.peers.Live)
	}
	owner := s.elector.Owner()
	if owner == nil || owner.Released || owner.Address == s.peers.self || isRelayed(stream.Context()) {
		return status.Error(codes.FailedPrecondition, "this entry does not own the schedule")
	}
	events.AgentRelayed.Log("owner", owner.Node, "address", owner.Address, "epoch", owner.Epoch)
	return relay(stream, owner.Address)
}
