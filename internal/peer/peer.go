// Package peer manages gRPC connections between the system's processes: one for each
// address that this process calls.
package peer

import (
	"context"
	"net"
	"strconv"
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

// MaxMessageBytes is the maximum size of a message between the system's own processes.
const MaxMessageBytes = 16 << 20

const (
	dialTimeout          = time.Second
	reconnectBaseDelay   = 50 * time.Millisecond
	reconnectMaxDelay    = time.Second
	tcpKeepAliveInterval = time.Second
	tcpKeepAliveCount    = 2
	// idleTimeout closes connections without calls before middleboxes such as NAT drop their
	// state for idle connections.
	idleTimeout = 10 * time.Second
	// The server pings idle clients to free the resources of connections whose other end
	// no longer answers.
	serverPingIdle    = 20 * time.Second
	serverPingTimeout = 5 * time.Second
	// ServerUserTimeout bounds how long bytes that a server sent stay unacknowledged. gRPC sets
	// the same by itself where a listener's connections are not wrapped.
	ServerUserTimeout = serverPingTimeout
	// handshakeTimeout bounds the time from the accept of a connection to its first settings;
	// the default of gRPC is two minutes.
	handshakeTimeout = 5 * time.Second
	// maxStreams bounds the calls in progress on one connection. An entry sends all requests to
	// an agent over one, at most 4,096 with the default of its limit on requests in flight.
	maxStreams = 16_384
	// maxHeaderListBytes bounds the metadata of a call; the system's own calls send less than 1 KB.
	maxHeaderListBytes = 64 << 10
	// CloseTimeout bounds CloseServer.
	CloseTimeout = 50 * time.Millisecond
)

// ValidAddress reports whether the address is HOST:PORT, with a port from 1 to 65535.
func ValidAddress(address string) bool {
	host, port, err := net.SplitHostPort(address)
	if err != nil || host == "" {
		return false
	}
	n, err := strconv.ParseUint(port, 10, 16)
	return err == nil && n != 0
}

// Pool holds one connection for each address. It drops a connection that becomes
// unresponsive while calls are in flight on it. It is safe for concurrent use.
type Pool struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

// NewPool returns an empty pool.
func NewPool() *Pool { return &Pool{conns: map[string]*grpc.ClientConn{}} }

// Get returns the connection to an address, creating it if there is none. It does not wait
// until the connection is established.
func (p *Pool) Get(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if c, ok := p.conns[address]; ok {
		return c, nil
	}
	monitor := &connMonitor{address: address}
	c, err := dial(address, grpc.WithUnaryInterceptor(monitor.intercept))
	if err != nil {
		return nil, err
	}
	monitor.dropConn = func() { p.Drop(address, c) }
	monitor.health = grpc_health_v1.NewHealthClient(c)
	p.conns[address] = c
	return c, nil
}

// Drop closes conn and removes it from the pool if it is still the connection to the
// address. Calls on it fail, and the next Get creates a new connection.
func (p *Pool) Drop(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] != conn {
		return
	}
	delete(p.conns, address)
	_ = conn.Close()
}

// Close closes and removes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for a, c := range p.conns {
		_ = c.Close()
		delete(p.conns, a)
	}
}

// Dial returns a connection outside any pool. It is established at the first call.
func Dial(address string) (*grpc.ClientConn, error) { return dial(address) }

func dial(address string, extra ...grpc.DialOption) (*grpc.ClientConn, error) {
	options := append([]grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(dialTCP),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBaseDelay, Multiplier: 2, MaxDelay: reconnectMaxDelay},
			MinConnectTimeout: dialTimeout,
		}),
		grpc.WithDisableRetry(),
		grpc.WithDisableServiceConfig(),
		grpc.WithIdleTimeout(idleTimeout),
		grpc.WithStatsHandler(streamRecorder{}),
	}, extra...)
	conn, err := grpc.NewClient("passthrough:///"+address, options...)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodePeerUnreachable, fault.StepSend, address, "invalid address")
	}
	return conn, nil
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{
		Timeout: dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: tcpKeepAliveInterval, Interval: tcpKeepAliveInterval, Count: tcpKeepAliveCount,
		},
	}
	return d.DialContext(ctx, "tcp", address)
}

// NewServer returns a gRPC server with the message size limits of the pool. It includes the
// health service, which answers the heartbeats of clients.
func NewServer() *grpc.Server {
	s := grpc.NewServer(
		grpc.MaxRecvMsgSize(MaxMessageBytes), grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxConcurrentStreams(maxStreams), grpc.MaxHeaderListSize(maxHeaderListBytes),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingIdle, Timeout: serverPingTimeout}),
	)
	grpc_health_v1.RegisterHealthServer(s, health.NewServer())
	return s
}

// StopServer stops the server gracefully. Calls that are still in flight when the context
// ends are cancelled.
func StopServer(ctx context.Context, server *grpc.Server) {
	done := make(chan struct{})
	go func() {
		server.GracefulStop()
		close(done)
	}()
	select {
	case <-done:
	case <-ctx.Done():
		CloseServer(server)
	}
}

// CloseServer closes the server and cancels its calls, for at most CloseTimeout. grpc.Server.Stop
// alone waits for clients that have connected and sent nothing, up to two minutes.
func CloseServer(server *grpc.Server) {
	done := make(chan struct{})
	go func() {
		server.Stop()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(CloseTimeout):
	}
}
