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

// A connection is silent when a heartbeat on it has no answer within the
// timeout: at most the sum of both after it went silent with a call on it.
const (
	heartbeatEvery   = 400 * time.Millisecond
	heartbeatTimeout = time.Second
)

const healthMethodPrefix = "/grpc.health.v1.Health/"

// watch sends heartbeats on one connection while calls wait on it. The kernel's
// keepalives do not do: something between the two ends may still answer them.
type watch struct {
	address string
	health  grpc_health_v1.HealthClient
	silent  func() // drops the connection

	mu     sync.Mutex
	calls  int
	active bool // whether a goroutine sends heartbeats
}

// intercept counts the calls on the connection. It is a
// grpc.UnaryClientInterceptor.
func (w *watch) intercept(ctx context.Context, method string, req, reply any, cc *grpc.ClientConn,
	invoke grpc.UnaryInvoker, opts ...grpc.CallOption) error {
	if strings.HasPrefix(method, healthMethodPrefix) {
		return invoke(ctx, method, req, reply, cc, opts...)
	}
	w.begin()
	defer w.end()
	return invoke(ctx, method, req, reply, cc, opts...)
}

func (w *watch) begin() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls++
	if !w.active {
		w.active = true
		go w.run()
	}
}

func (w *watch) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.calls--
}

// rest reports whether no call waits, and ends the heartbeats if so.
func (w *watch) rest() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.active = w.calls > 0
	return !w.active
}

func (w *watch) run() {
	t := time.NewTicker(heartbeatEvery)
	defer t.Stop()
	for range t.C {
		if w.rest() {
			return
		}
		if w.beat() {
			continue
		}
		events.ConnectionSilent.Log("peer", w.address, "timeout", heartbeatTimeout)
		w.silent()
		return
	}
}

// beat reports whether the other end answered. Any answer counts, and so does a
// broken connection: calls on it fail by themselves.
func (w *watch) beat() bool {
	ctx, cancel := context.WithTimeout(context.Background(), heartbeatTimeout)
	defer cancel()
	_, err := w.health.Check(ctx, &grpc_health_v1.HealthCheckRequest{})
	return status.Code(err) != codes.DeadlineExceeded
}
