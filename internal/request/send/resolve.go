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
	resolvePause   = 100 * time.Millisecond
	resolveTimeout = time.Second
	// absentLimit ends the questions when for so long nothing listened at the
	// agent's address: its process has ended, and its memory with it.
	absentLimit = time.Second
	// refusalLimit tells a refused connection from one that got no answer.
	refusalLimit = resolveTimeout / 2
)

// contact says how a question to an agent went.
type contact int

const (
	answered contact = iota
	absent           // the connection was refused
	silent           // a connection, but no answer
)

// resolve asks the target for the outcome. The question itself keeps a request
// that the target has not seen from ever running. One that may be repeated is
// given up at the first question without an answer, another at the deadline.
func (s *Stage) resolve(ctx context.Context, r *request.Request, began time.Time, cause error) (*request.Answer, error) {
	events.RequestUnresolved.LogError(cause, "request", r.ID, "peer", r.Target.Endpoint.Agent)
	absentSince := time.Now()
	for ctx.Err() == nil {
		reply, how := askOnce(ctx, r, began)
		if how == answered && reply.Outcome != pb.Outcome_OUTCOME_RUNNING {
			events.RequestResolved.Log("request", r.ID, "peer", r.Target.Endpoint.Agent, "outcome", reply.Outcome.String())
			return decide(r, reply)
		}
		if how != absent {
			absentSince = time.Now()
		}
		if how != answered && (r.Repeatable || time.Since(absentSince) > absentLimit) {
			break
		}
		wait.For(ctx, resolvePause)
	}
	return nil, unknown(r, cause)
}

func askOnce(ctx context.Context, r *request.Request, began time.Time) (*pb.ExecuteReply, contact) {
	tracked, handOver := peer.TrackHandOver(ctx)
	asked := time.Now()
	reply, err := Ask(tracked, r.Target.Endpoint.Address, &pb.ResolveRequest{
		RequestId: r.ID, Incarnation: r.Target.Endpoint.Incarnation,
		WaitMs: (resolveTimeout / 2).Milliseconds(),
		AgeMs:  max(time.Since(began).Milliseconds(), 1),
		Once:   !r.Repeatable,
	})
	switch {
	case err == nil:
		return reply, answered
	case handOver.Began() || time.Since(asked) > refusalLimit:
		return nil, silent
	}
	return nil, absent
}

// Ask puts one question to an agent over a connection of its own, so that no
// older connection gone silent can swallow it.
func Ask(ctx context.Context, address string, question *pb.ResolveRequest) (*pb.ExecuteReply, error) {
	conn, err := peer.Dial(address)
	if err != nil {
		return nil, err
	}
	defer closeConn(conn)
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	return pb.NewRunnerClient(conn).Resolve(ctx, question)
}

func closeConn(c *grpc.ClientConn) { _ = c.Close() }
