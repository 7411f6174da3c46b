package jobentry

import (
	"context"
	"errors"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/election"
	"chervilridge/internal/events"
	"chervilridge/internal/operator"
)

// Service implements the gRPC Scheduler service for agents and other entries.
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

// Submit submits a job to the owner.
func (s *Service) Submit(ctx context.Context, r *chervilv2.SubmitRequest) (*chervilv2.JobReply, error) {
	return s.executeOrForward(ctx, submitCall(r.Spec), r.Relayed)
}

// Cancel cancels a job at the owner.
func (s *Service) Cancel(ctx context.Context, r *chervilv2.JobRequest) (*chervilv2.JobReply, error) {
	return s.executeOrForward(ctx, cancelCall(r.Id), r.Relayed)
}

// Lookup queries the state of a job at the owner.
func (s *Service) Lookup(ctx context.Context, r *chervilv2.JobRequest) (*chervilv2.JobReply, error) {
	return s.executeOrForward(ctx, lookupCall(r.Id), r.Relayed)
}

// executeOrForward executes a call if this entry owns the schedule. Otherwise it forwards
// the call to the owner, unless another entry has already forwarded it.
func (s *Service) executeOrForward(ctx context.Context, c jobCall, relayed bool) (*chervilv2.JobReply, error) {
	if engine := s.elector.Engine(); engine != nil {
		return c.local(ctx, engine), nil
	}
	if relayed {
		return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	reply, err := s.router.callOwner(ctx, c, true)
	if errors.Is(err, errNoPeer) { // the call has not left this entry
		return &chervilv2.JobReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	return reply, err
}

// CountPending returns the number of jobs in a queue that have not started.
func (s *Service) CountPending(ctx context.Context, r *chervilv2.CountRequest) (*chervilv2.CountReply, error) {
	if engine := s.elector.Engine(); engine != nil {
		return engine.CountPending(r.Queue), nil
	}
	if r.Relayed {
		return &chervilv2.CountReply{Outcome: chervilv2.Outcome_OUTCOME_NOT_OWNER}, nil
	}
	return s.router.countAtOwner(ctx, r.Queue, true)
}

// Ping exchanges what the caller and this entry know about the owner of the schedule
// and the live entries.
func (s *Service) Ping(_ context.Context, r *chervilv2.PingRequest) (*chervilv2.PingReply, error) {
	s.peers.MarkSeen(r.EntryAddress)
	s.elector.Observe(r.Owner)
	reply := s.elector.State()
	reply.Entries, reply.OperatorOffset = s.peers.LiveEntries(), s.operator.Offset()
	return reply, nil
}

// Operator returns the operator's records from the caller's known offset on.
func (s *Service) Operator(_ context.Context, r *chervilv2.OperatorRequest) (*chervilv2.OperatorReply, error) {
	return s.operator.RecordsSince(r.KnownOffset), nil
}

// Attach serves an agent's stream while this entry owns the schedule. Otherwise it
// relays the stream to the owner, for agents that cannot reach the owner themselves.
func (s *Service) Attach(stream chervilv2.Scheduler_AttachServer) error {
	if engine := s.elector.Engine(); engine != nil {
		return engine.Attach(stream, s.peers.LiveEntries)
	}
	owner := s.elector.Owner()
	if owner == nil || owner.Released || owner.Address == s.peers.self || isRelayed(stream.Context()) {
		return status.Error(codes.FailedPrecondition, "this entry does not own the schedule")
	}
	events.AgentRelayed.Log("owner", owner.Node, "address", owner.Address, "epoch", owner.Epoch)
	return relay(stream, owner.Address)
}
