package jobs

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/ledger"
	"chervilridge/internal/peer"
)

// ledgerFake is a shard's owner that keeps submitted ids and plays one fault a
// call, in order.
type ledgerFake struct {
	pb.UnimplementedShardOwnerServiceServer

	mu     sync.Mutex
	faults []string
	jobs   map[string]int
	calls  int
}

func (l *ledgerFake) SubmitJob(_ context.Context, req *pb.SubmitJobRequest) (*pb.LedgerReply, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.calls++
	fault := ""
	if len(l.faults) > 0 {
		fault, l.faults = l.faults[0], l.faults[1:]
	}
	switch fault {
	case "not owner":
		return &pb.LedgerReply{Outcome: pb.Outcome_OUTCOME_NOT_RUN, NotOwner: true}, nil
	case "log down":
		return &pb.LedgerReply{Outcome: pb.Outcome_OUTCOME_NOT_RUN}, nil
	}
	l.jobs[req.JobId]++
	reply := &pb.LedgerReply{Outcome: pb.Outcome_OUTCOME_DONE}
	if l.jobs[req.JobId] > 1 {
		l.jobs[req.JobId]--
		reply.Rejection = string(ledger.ReasonDuplicate)
	}
	if fault == "answer lost" {
		return nil, status.Error(codes.Unavailable, "lost")
	}
	return reply, nil
}

type oneOwner struct{ owner *pb.ShardOwner }

func (o oneOwner) Owner(uint32) *pb.ShardOwner { return o.owner }

func serve(t *testing.T, fake *ledgerFake) *Client {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.NewServer()
	pb.RegisterShardOwnerServiceServer(server, fake)
	go func() { _ = server.Serve(l) }()
	pool := peer.NewPool()
	t.Cleanup(func() {
		pool.Close()
		server.Stop()
	})
	return New(oneOwner{&pb.ShardOwner{Agent: "agent-1", Address: l.Addr().String()}}, pool, 1)
}

func spec() *pb.JobSpec {
	return &pb.JobSpec{Team: "cascade", JobClass: "c", Tasks: 1, Resources: &pb.Resources{CpuMilli: 1}}
}

func TestSubmitUnderFaults(t *testing.T) {
	cases := []struct {
		name    string
		faults  []string
		calls   int
		code    fault.Code // of the error; empty for none
		outcome fault.Outcome
	}{
		{"no fault", nil, 1, "", ""},
		{"answer lost after effect", []string{"answer lost"}, 2, "", ""},
		{"owner moved", []string{"not owner", "not owner"}, 3, "", ""},
		{"log down is refused at once", []string{"log down"}, 1, fault.CodeLogDown, fault.NotRun},
		{"log down after a doubt is tried again", []string{"answer lost", "log down"}, 3, "", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			fake := &ledgerFake{faults: c.faults, jobs: map[string]int{}}
			out, err := serve(t, fake).Submit(context.Background(), "key", spec())
			assert.Equal(t, fake.calls, c.calls)
			if c.code != "" {
				assert.Assert(t, fault.Is(err, c.code), "%v", err)
				assert.Equal(t, fault.As(err).Outcome, c.outcome)
				assert.Equal(t, len(fake.jobs), 0)
				return
			}
			assert.NilError(t, err)
			assert.Equal(t, out.Duplicate, false)
			assert.Equal(t, fake.jobs[out.JobID], 1)
		})
	}
}

func TestDoubtIsNeverReportedAsNotRun(t *testing.T) {
	fake := &ledgerFake{faults: []string{"answer lost", "log down", "log down", "log down", "log down", "log down", "log down"}, jobs: map[string]int{}}
	ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
	defer cancel()
	_, err := serve(t, fake).Submit(ctx, "key", spec())
	assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
	assert.Assert(t, fault.As(err).RequestID != "")
}

func TestSameKeyIsTheSameJob(t *testing.T) {
	fake := &ledgerFake{jobs: map[string]int{}}
	client := serve(t, fake)
	first, err := client.Submit(context.Background(), "key", spec())
	assert.NilError(t, err)
	second, err := client.Submit(context.Background(), "key", spec())
	assert.NilError(t, err)
	assert.Equal(t, first.JobID, second.JobID)
	assert.Equal(t, second.Duplicate, true)
}
