package announce

import (
	"context"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/membership"
	"chervilridge/internal/peer"
	"chervilridge/internal/standin/proxy"
)

const (
	interval = 100 * time.Millisecond
	lease    = 3 * time.Second
	maxWait  = 10 * time.Second // for steps without a documented bound
)

// entry is the part of an entry that handles announcements.
type entry struct {
	*membership.Registry
	address string
	stop    func()
}

func newEntry(t *testing.T, seeds ...string) *entry {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	known := membership.NewEntryDirectory(l.Addr().String(), seeds)
	e := &entry{Registry: membership.NewRegistry(lease, known, func() uint64 { return 0 }), address: l.Addr().String()}
	server := peer.NewServer()
	pb.RegisterRegistryServer(server, e.Registry)
	go func() { _ = server.Serve(l) }()
	pool := peer.NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	go known.Run(ctx, pool)
	e.stop = func() {
		cancel()
		server.Stop()
	}
	t.Cleanup(func() {
		e.stop()
		pool.Close()
	})
	return e
}

func newAnnouncer(t *testing.T, seeds ...string) *Announcer {
	pool := peer.NewPool()
	ctx, cancel := context.WithCancel(context.Background())
	a := New(pool, seeds, interval, func() *pb.AnnounceRequest {
		return &pb.AnnounceRequest{Healthy: true, Endpoint: &pb.Endpoint{
			Agent: "agent-1", Incarnation: "A", Address: "127.0.0.1:1", Service: "quotedesk",
		}}
	})
	go a.Run(ctx)
	t.Cleanup(func() {
		cancel()
		pool.Close()
	})
	return a
}

func eventually(t *testing.T, within time.Duration, what string, ok func() bool) {
	t.Helper()
	for began := time.Now(); !ok(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < within, "%s: not within %v", what, within)
	}
}

func (e *entry) hasEndpoint() bool { return len(e.Members("quotedesk")) == 1 }

// serveAt serves a registry whose own address is the given one.
func serveAt(t *testing.T, l net.Listener, address string) *entry {
	known := membership.NewEntryDirectory(address, nil)
	e := &entry{Registry: membership.NewRegistry(lease, known, func() uint64 { return 0 })}
	server := peer.NewServer()
	pb.RegisterRegistryServer(server, e.Registry)
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return e
}

// TestHeartbeatsRecoverFromUnresponsiveConnection makes the connection to the entry
// unresponsive while new ones work: the lease must be renewed over a new one. The entry only
// knows the proxy's address, so that the agent does not learn one that bypasses the proxy.
func TestHeartbeatsRecoverFromUnresponsiveConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	p, err := proxy.Listen(l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	e := serveAt(t, l, p.Address())
	newAnnouncer(t, p.Address())
	eventually(t, maxWait, "first announcement", e.hasEndpoint)
	p.Blackhole()
	eventually(t, 2*time.Second, "new connection", func() bool { return p.Accepted() > 1 })
	eventually(t, maxWait, "lease", e.hasEndpoint)
}

// TestNewEntryIsLearned starts an entry that no agent was configured with. It announces itself
// to one entry, whose agents must then announce to it too, within the documented 3 s.
func TestNewEntryIsLearned(t *testing.T) {
	first := newEntry(t)
	newAnnouncer(t, first.address)
	eventually(t, maxWait, "first announcement", first.hasEndpoint)
	second := newEntry(t, first.address)
	eventually(t, 3*time.Second, "announcement to the new entry", second.hasEndpoint)

	first.stop()
	third := newEntry(t, second.address)
	eventually(t, 3*time.Second, "announcement with the agent's seed stopped", third.hasEndpoint)
}

// TestSeedEntryStartsAfterAgent starts the agent before its seed entry is up.
func TestSeedEntryStartsAfterAgent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	newAnnouncer(t, address)
	time.Sleep(5 * interval)
	l, err = net.Listen("tcp", address)
	assert.NilError(t, err)
	e := serveAt(t, l, address)
	eventually(t, 3*time.Second, "announcement", e.hasEndpoint)
}
