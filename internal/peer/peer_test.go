package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/standin/proxy"
)

// pingServer answers pings after the delay.
type pingServer struct {
	chervilv2.UnimplementedSchedulerServer
	delay time.Duration
}

func (s pingServer) Ping(ctx context.Context, _ *chervilv2.PingRequest) (*chervilv2.PingReply, error) {
	select {
	case <-time.After(s.delay):
		return &chervilv2.PingReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err() // an answer now would race with the caller's own deadline
	}
}

// serve starts a server that answers pings after the delay, behind a proxy.
func serve(t *testing.T, delay time.Duration) *proxy.Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer()
	chervilv2.RegisterSchedulerServer(server, pingServer{delay: delay})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	p, err := proxy.Listen(l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}

// ping calls Ping as an entry does when it checks the owner of the schedule.
func ping(pool *Pool, address string, timeout time.Duration) (*CallTracker, error) {
	conn, err := pool.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	tracked, call := TrackCall(ctx)
	_, err = chervilv2.NewSchedulerClient(conn).Ping(tracked, &chervilv2.PingRequest{})
	return call, err
}

// TestPingsRecoverFromUnresponsiveConnection makes the connection to an owner unresponsive
// while new ones work. Pings must succeed over a new connection within the documented 2 s.
func TestPingsRecoverFromUnresponsiveConnection(t *testing.T) {
	const interval, timeout, maxRecovery = 500 * time.Millisecond, time.Second, 2 * time.Second
	p := serve(t, 0)
	pool := NewPool()
	defer pool.Close()
	_, err := ping(pool, p.Address(), timeout)
	assert.NilError(t, err)
	p.Blackhole()
	began := time.Now()
	for {
		if _, err = ping(pool, p.Address(), timeout); err == nil {
			break
		}
		assert.Assert(t, time.Since(began) < maxRecovery, "%v", err)
		time.Sleep(interval / 10)
	}
	assert.Assert(t, time.Since(began) < maxRecovery, "took %v", time.Since(began))
	assert.Equal(t, p.Accepted(), 2)
}

// TestSlowCallKeepsItsConnection checks that a call that takes longer than the detection of
// an unresponsive connection does not get its connection dropped.
func TestSlowCallKeepsItsConnection(t *testing.T) {
	p := serve(t, 2*(heartbeatInterval+heartbeatTimeout))
	pool := NewPool()
	defer pool.Close()
	_, err := ping(pool, p.Address(), time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, p.Accepted(), 1)
}

// TestStreamOpenedReportsWhetherCallMayHaveArrived checks that StreamOpened distinguishes a
// call that may have arrived from one that got no connection.
func TestStreamOpenedReportsWhetherCallMayHaveArrived(t *testing.T) {
	p := serve(t, time.Minute)
	pool := NewPool()
	defer pool.Close()
	reached, err := ping(pool, p.Address(), 100*time.Millisecond)
	assert.Assert(t, err != nil)
	assert.Assert(t, reached.StreamOpened())
	p.Close()
	pool.Close()
	refused, err := ping(pool, p.Address(), time.Minute)
	assert.Assert(t, err != nil)
	assert.Assert(t, !refused.StreamOpened())
}

// openWithoutHandshake connects to the server and sends nothing, as a client does that is suspended
// just after it has connected.
func openWithoutHandshake(t *testing.T, server *grpc.Server) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() { _ = server.Serve(l) }()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	_, err = conn.Read(make([]byte, 1)) // the server's first bytes: it is in the handshake
	assert.NilError(t, err)
}

// TestStopOfServerIsNotHeldUpByAnUnfinishedHandshake guards against a stop that waits for a client
// which has connected and sends nothing.
func TestStopOfServerIsNotHeldUpByAnUnfinishedHandshake(t *testing.T) {
	const maxStop = 6 * time.Second // the platform's grace until SIGKILL
	for name, stop := range map[string]func(*grpc.Server){
		"graceful": func(server *grpc.Server) {
			ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
			defer cancel()
			StopServer(ctx, server)
		},
		"at once": CloseServer,
	} {
		t.Run(name, func(t *testing.T) {
			server := NewServer()
			openWithoutHandshake(t, server)
			stopped := make(chan struct{})
			go func() {
				stop(server)
				close(stopped)
			}()
			select {
			case <-stopped:
			case <-time.After(maxStop):
				t.Fatal("the stop has not returned")
			}
		})
	}
}
