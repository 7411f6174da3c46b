package send

import (
	"context"
	"time"

	"google.golang.org/grpc"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/peer"
	"chervilridge/internal/request"
	"chervilridge/internal/wait"
)

const (
	resolveRetryInterval = 100 * time.Millisecond
	resolveTimeout       = time.Second
	// unreachableLimit ends resolving when connections have been refused for this long:
	// the agent's process has ended, and its record of outcomes is lost.
	unreachableLimit = time.Second
	// connRefusedLimit is the longest time in which a refused connection fails; a later
	// failure counts as a missing reply.
	connRefusedLimit = resolveTimeout / 2
)

// resolveResult is the result of one Resolve call at the transport level.
type resolveResult int

const (
	answered    resolveResult = iota
	connRefused               // connection refused
	noReply                   // connected, or connecting, without a reply
)

// resolve queries the target for the outcome of the request. The query also makes the
// target reject the request if it arrives later. After a query without a reply, resolve
// gives up on a repeatable request at once, and on any other at the deadline or when
// the target has been unreachable for unreachableLimit. At the deadline the agent cancels
// the call too, and the cancellation may arrive before ctx is done; nothing is queried then.
func (s *Stage) resolve(ctx context.Context, r *request.Request, start time.Time, cause error) (*request.Answer, error) {
	events.RequestOutcomeUnknown.LogError(cause, "request", r.ID, "peer", r.Target.Endpoint.Agent)
	connRefusedSince := time.Now()
	for ctx.Err() == nil && r.Remaining(time.Now()) > 0 {
		reply, result := resolveOnce(ctx, r, start)
		if result == answered && reply.Outcome != pb.Outcome_OUTCOME_RUNNING {
			events.RequestOutcomeResolved.Log("request", r.ID, "peer", r.Target.Endpoint.Agent, "outcome", reply.Outcome.String())
			return answerFromReply(r, reply)
		}
		if result != connRefused {
			connRefusedSince = time.Now()
		}
		if result != answered && (r.Repeatable || time.Since(connRefusedSince) > unreachableLimit) {
			break
		}
		wait.For(ctx, resolveRetryInterval)
	}
	return nil, unknownOutcomeError(r, cause)
}

// resolveOnce makes one Resolve call; the reply is nil unless the result is answered.
func resolveOnce(ctx context.Context, r *request.Request, start time.Time) (*pb.ExecuteReply, resolveResult) {
	tracked, call := peer.TrackCall(ctx)
	sentAt := time.Now()
	reply, err := Resolve(tracked, r.Target.Endpoint.Address, &pb.ResolveRequest{
		RequestId: r.ID, Incarnation: r.Target.Endpoint.Incarnation,
		WaitMs: (resolveTimeout / 2).Milliseconds(),
		AgeMs:  max(time.Since(start).Milliseconds(), 1),
		Once:   !r.Repeatable,
	})
	switch {
	case err == nil:
		return reply, answered
	case call.StreamOpened() || time.Since(sentAt) > connRefusedLimit:
		return nil, noReply
	}
	return nil, connRefused
}

// Resolve makes one Resolve call to an agent. It opens a new connection, because a pooled
// one may have become unresponsive. It gives up after resolveTimeout.
func Resolve(ctx context.Context, address string, query *pb.ResolveRequest) (*pb.ExecuteReply, error) {
	conn, err := peer.Dial(address)
	if err != nil {
		return nil, err
	}
	defer closeConn(conn)
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	return pb.NewRunnerClient(conn).Resolve(ctx, query)
}

func closeConn(c *grpc.ClientConn) { _ = c.Close() }
