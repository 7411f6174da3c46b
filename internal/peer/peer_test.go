package peer

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/standin/proxy"
)

// owner answers pings after a while.
type owner struct {
	chervilv2.UnimplementedSchedulerServer
	takes time.Duration
}

func (o owner) Ping(ctx context.Context, _ *chervilv2.PingRequest) (*chervilv2.PingReply, error) {
	select {
	case <-time.After(o.takes):
		return &chervilv2.PingReply{}, nil
	case <-ctx.Done():
		return nil, ctx.Err() // an answer now would race with the caller's own deadline
	}
}

func serve(t *testing.T, takes time.Duration) *proxy.Proxy {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := NewServer()
	chervilv2.RegisterSchedulerServer(server, owner{takes: takes})
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	p, err := proxy.Listen(l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	return p
}

// ping calls as an entry does that looks at the owner.
func ping(pool *Pool, address string, timeout time.Duration) (*HandOver, error) {
	conn, err := pool.Get(address)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	tracked, handOver := TrackHandOver(ctx)
	_, err = chervilv2.NewSchedulerClient(conn).Ping(tracked, &chervilv2.PingRequest{})
	return handOver, err
}

// TestSilentPings lets the connection to an owner go silent: pings reach
// it over a new one within the stated 2 s.
func TestSilentPings(t *testing.T) {
	const every, timeout, noticed = 500 * time.Millisecond, time.Second, 2 * time.Second
	p := serve(t, 0)
	pool := NewPool()
	defer pool.Close()
	_, err := ping(pool, p.Address(), timeout)
	assert.NilError(t, err)
	p.Silence()
	began := time.Now()
	for {
		if _, err = ping(pool, p.Address(), timeout); err == nil {
			break
		}
		assert.Assert(t, time.Since(began) < noticed, "%v", err)
		time.Sleep(every / 10)
	}
	assert.Assert(t, time.Since(began) < noticed, "took %v", time.Since(began))
	assert.Equal(t, p.Accepted(), 2)
}

// TestSlowCallKeepsItsConnection has a call that takes longer than a silent
// connection would be borne with.
func TestSlowCallKeepsItsConnection(t *testing.T) {
	p := serve(t, 2*(heartbeatEvery+heartbeatTimeout))
	pool := NewPool()
	defer pool.Close()
	_, err := ping(pool, p.Address(), time.Minute)
	assert.NilError(t, err)
	assert.Equal(t, p.Accepted(), 1)
}

// TestHandOver tells a call that no connection took from one that may have arrived.
func TestHandOver(t *testing.T) {
	p := serve(t, time.Minute)
	pool := NewPool()
	defer pool.Close()
	reached, err := ping(pool, p.Address(), 100*time.Millisecond)
	assert.Assert(t, err != nil)
	assert.Assert(t, reached.Began())
	p.Close()
	pool.Close()
	refused, err := ping(pool, p.Address(), time.Minute)
	assert.Assert(t, err != nil)
	assert.Assert(t, !refused.Began())
}
