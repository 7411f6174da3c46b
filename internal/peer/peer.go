// Package peer keeps one gRPC connection to each process that this one calls.
package peer

import (
	"context"
	"net"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/health"
	"google.golang.org/grpc/health/grpc_health_v1"
	"google.golang.org/grpc/keepalive"

	"chervilridge/internal/fault"
)

// MaxMessageBytes bounds one message between the system's own processes.
const MaxMessageBytes = 16 << 20

const (
	dialTimeout    = time.Second
	reconnectBase  = 50 * time.Millisecond
	reconnectLimit = time.Second
	keepAliveIdle  = time.Second
	keepAliveCount = 2
	// idleLimit closes a connection without calls: what stands between the two
	// ends loses track of idle connections first.
	idleLimit = 10 * time.Second
	// The server's own pings free what is left of connections gone silent.
	serverPingIdle    = 20 * time.Second
	serverPingTimeout = 5 * time.Second
)

// Pool holds the connections by address and drops one that goes silent while
// calls wait on it. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{conns: map[string]*grpc.ClientConn{}} }

// Get returns the connection to an address, opening it if there is none.
func (p *Pool) Get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	w := &watch{address: address}
	c, err := dial(address, grpc.WithUnaryInterceptor(w.intercept))
	if err != nil {
		return nil, err
	}
	w.silent = func() { p.Drop(address, c) }
	w.health = grpc_health_v1.NewHealthClient(c)
	p.conns[address] = c
	return c, nil
}

// Drop closes the connection to an address if it is still the given one; calls
// on it fail and the next Get opens a new one.
func (p *Pool) Drop(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] != conn {
		return
	}
	delete(p.conns, address)
	_ = conn.Close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		_ = c.Close()
		delete(p.conns, a)
	}
}

// Dial returns a connection outside any pool; it connects at the first call.
func Dial(address string) (*grpc.ClientConn, error) { return dial(address) }

func dial(address string, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialTCP),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBase, Multiplier: 2, MaxDelay: reconnectLimit},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleLimit),
		grpc.WithStatsHandler(handOverRecorder{}),
	}, extra...)
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodePeerUnreachable, fault.StepSend, address, "bad address")
	}
	return conn, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveIdle, Count: keepAliveCount,
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// NewServer returns a gRPC server with the message bounds of the pool that
// answers the heartbeats of its clients.
func NewServer() *grpc.Server {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingIdle, Timeout: serverPingTimeout}),
	)
	grpc_health_v1.RegisterHealthServer(s, health.NewServer())
	return s
}

// StopServer lets the calls under way end, and cuts them when the context ends.
func StopServer(ctx context.Context, server *grpc.Server) {
	done := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		server.Stop()
	}
}
