package peer

import (
	"context"
	"strings"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/status"

	"chervilridge/internal/events"
)

// A connection is unresponsive when a heartbeat on it is not answered within
// heartbeatTimeout. With a call in flight this is detected at most heartbeatInterval +
// heartbeatTimeout after the other end stopped answering.
const (
	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = time.Second
)

const healthMethodPrefix = "/grpc.health.v1.Health/"

// connMonitor sends heartbeats on one connection while calls are in flight on it. TCP
// keepalives do not suffice: a middlebox between the two ends may still answer them.
type connMonitor struct {
	address  string
	health   grpc_health_v1.HealthClient
	dropConn func() // closes the connection and removes it from its pool

	mu          sync.Mutex
	activeCalls int
	probing     bool // whether the heartbeat goroutine is active
}

// intercept counts the calls in flight on the connection; heartbeats do not count. It is
// a grpc.UnaryClientInterceptor.
func (m *connMonitor) intercept(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn,
	invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	if strings.HasPrefix(method, healthMethodPrefix) {
		return invoke(ctx, method, req, reply, cc, opts...)
	}
	m.callStarted()
	defer m.callEnded()
	return invoke(ctx, method, req, reply, cc, opts...)
}

func (m *connMonitor) callStarted() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activeCalls++
	if !m.probing {
		m.probing = true
		go m.run()
	}
}

func (m *connMonitor) callEnded() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activeCalls--
}

// stopIfIdle reports whether no call is in flight, and marks the heartbeats as stopped if so.
func (m *connMonitor) stopIfIdle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.probing = m.activeCalls > 0
	return !m.probing
}

// run sends heartbeats until no call is in flight, or drops the connection when one is not
// answered.
func (m *connMonitor) run() {
	t := time.NewTicker(heartbeatInterval)
	defer t.Stop()
	for range t.C {
		if m.stopIfIdle() {
			return
		}
		if m.probe() {
			continue
		}
		events.ConnectionUnresponsive.Log("peer", m.address, "timeout", heartbeatTimeout)
		m.dropConn()
		return
	}
}

// probe sends one heartbeat and reports whether the connection is responsive. Any answer
// counts, and so does a broken connection, since calls on it fail by themselves.
func (m *connMonitor) probe() bool {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	_, err := m.health.Check(ctx, &grpc_health_v1.HealthCheckRequest{})
	return status.Code(err) != codes.DeadlineExceeded
}
