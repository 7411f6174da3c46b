package send

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/membership"
	"chervilridge/internal/request"
	"chervilridge/internal/standin/proxy"
)

// TestNothingIsQueriedAfterTheDeadline resolves a request whose deadline has passed while
// its context is not done yet, as happens when the agent's cancellation arrives first.
func TestNothingIsQueriedAfterTheDeadline(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { _ = listener.Close() }()
	agent, err := proxy.Listen(listener.Addr().String())
	assert.NilError(t, err)
	defer agent.Close()
	r := &request.Request{
		ID: "late", Deadline: time.Now(), Repeatable: true,
		Target: &membership.Member{Endpoint: &pb.Endpoint{Agent: "agent-1", Address: agent.Address()}},
	}
	_, err = (&Stage{}).resolve(context.Background(), r, r.Deadline, errors.New("cancelled by the agent"))
	assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
	assert.Equal(t, agent.Accepted(), 0)
}
