package jobentry

import (
	"context"
	"net"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/peer"
	"chervilridge/platform"
)

// fleetSize is the number of entries of the largest deployment so far.
const fleetSize = 55

// fleet is a number of fake entries that count the calls to them.
type fleet struct {
	chervilv2.UnimplementedSchedulerServer
	offset    int64 // of the newest operator's record that all entries have
	addresses []string
	pings     atomic.Int32
	fetches   atomic.Int32
}

func startFleet(t *testing.T, offset int64) *fleet {
	f := &fleet{offset: offset}
	for range fleetSize {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		server := peer.NewServer()
		chervilv2.RegisterSchedulerServer(server, f)
		go func() { _ = server.Serve(l) }()
		t.Cleanup(server.Stop)
		f.addresses = append(f.addresses, l.Addr().String())
	}
	return f
}

func (f *fleet) Ping(context.Context, *chervilv2.PingRequest) (*chervilv2.PingReply, error) {
	f.pings.Add(1)
	return &chervilv2.PingReply{OperatorOffset: f.offset, Entries: f.addresses}, nil
}

func (f *fleet) Operator(_ context.Context, r *chervilv2.OperatorRequest) (*chervilv2.OperatorReply, error) {
	f.fetches.Add(1)
	return &chervilv2.OperatorReply{Offset: f.offset}, nil
}

func newTestPeers(t *testing.T, f *fleet) *Peers {
	pool := peer.NewPool()
	t.Cleanup(pool.Close)
	p := NewPeers(&platform.NodeSettings{Name: "entry", IP: "127.0.0.1", FirstPort: 1}, pool)
	for _, a := range f.addresses {
		p.MarkSeen(a)
	}
	return p
}

// Answers the load of a store outage: every entry asks its peers several times a second, and
// a configuration of 1,400 routes must not be sent to one entry by all the others.
func TestOperatorRecordsAreFetchedFromOnePeer(t *testing.T) {
	f := startFleet(t, 7)
	p := newTestPeers(t, f)
	reply, err := p.FetchOperatorRecords(context.Background(), 6)
	assert.NilError(t, err)
	assert.Equal(t, reply.Offset, int64(7))
	assert.Equal(t, f.fetches.Load(), int32(1))
	assert.Assert(t, f.pings.Load() <= operatorSample, "%d pings", f.pings.Load())
}

func TestNothingIsFetchedFromPeersWithoutNewerRecords(t *testing.T) {
	f := startFleet(t, 7)
	p := newTestPeers(t, f)
	_, err := p.FetchOperatorRecords(context.Background(), 7)
	assert.Equal(t, err, errNoPeer)
	assert.Equal(t, f.fetches.Load(), int32(0))
}

func TestSamplesSpreadOverAllEntries(t *testing.T) {
	f := startFleet(t, 0)
	p := newTestPeers(t, f)
	const samples = 400
	seen := map[string]int{}
	for range samples {
		sample := p.Sample(operatorSample)
		assert.Equal(t, len(sample), operatorSample)
		for _, a := range sample {
			seen[a]++
		}
	}
	assert.Equal(t, len(seen), fleetSize)
	for a, n := range seen {
		assert.Assert(t, n < samples/2, "%s was in %d of %d samples", a, n, samples)
	}
	assert.Equal(t, len(p.Sample(10*fleetSize)), fleetSize)
}

func TestOddAddressIsNoPeer(t *testing.T) {
	p := newTestPeers(t, &fleet{})
	for _, address := range []string{"", "10.0.0.2", "10.0.0.2:", ":7720", "10.0.0.2:0", "10.0.0.2:-1", "10.0.0.2:99999", "10.0.0.2:1e3", "unix:///x", "10.0.0.3:7720"} {
		p.MarkSeen(address)
	}
	assert.DeepEqual(t, p.Entries(), []string{"10.0.0.3:7720"})
}
