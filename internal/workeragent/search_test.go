package workeragent

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/peer"
	"chervilridge/platform"
)

// fleetSize is the number of entries of the largest deployment so far.
const fleetSize = 55

// testEntry is an entry that counts the pings to all entries of its test.
type testEntry struct {
	chervilv2.UnimplementedSchedulerServer
	address string
	owner   *chervilv2.OwnerRecord // known to all entries
	pings   *atomic.Int32
}

func (e *testEntry) Ping(context.Context, *chervilv2.PingRequest) (*chervilv2.PingReply, error) {
	e.pings.Add(1)
	return &chervilv2.PingReply{Owner: e.owner, Leads: e.owner.Address == e.address, OwnerSeenMs: 10}, nil
}

// unreachableStore is a store that answers no call.
type unreachableStore struct{}

func (unreachableStore) Append(ctx context.Context, _ platform.AppendRequest) (int64, error) {
	<-ctx.Done()
	return 0, ctx.Err()
}

func (unreachableStore) Newest(ctx context.Context, _, _ string) (platform.Page, error) {
	<-ctx.Done()
	return platform.Page{}, ctx.Err()
}

// startTestEntries starts entries, the last of which owns the schedule, and returns their
// addresses.
func startTestEntries(t *testing.T, pings *atomic.Int32) []string {
	owner := &chervilv2.OwnerRecord{Epoch: 3, Node: "owner"}
	addresses := make([]string, 0, fleetSize)
	listeners := make([]net.Listener, 0, fleetSize)
	for range fleetSize {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		assert.NilError(t, err)
		listeners, addresses = append(listeners, l), append(addresses, l.Addr().String())
	}
	owner.Address = addresses[fleetSize-1]
	for i, l := range listeners {
		server := peer.NewServer()
		chervilv2.RegisterSchedulerServer(server, &testEntry{address: addresses[i], owner: owner, pings: pings})
		go func() { _ = server.Serve(l) }()
		t.Cleanup(server.Stop)
	}
	return addresses
}

// Answers the load after a change of owners: all agents search at the same moment, and each
// entry may get a few calls of each at most.
func TestSearchFindsTheOwnerThroughFewEntries(t *testing.T) {
	var pings atomic.Int32
	addresses := startTestEntries(t, &pings)
	pool := peer.NewPool()
	t.Cleanup(pool.Close)
	node := &platform.NodeSettings{Name: "side-1"}
	agent := NewAgent(node, platform.NewWorkerClient("127.0.0.1:1"), boottime.Now)
	link := NewOwnerLink(agent, unreachableStore{}, pool, node)
	link.addEntries(addresses)
	began := time.Now()
	assert.Equal(t, link.search(context.Background()), addresses[fleetSize-1])
	assert.Assert(t, time.Since(began) < searchTimeout, "took %v", time.Since(began))
	assert.Assert(t, pings.Load() <= searchSample+1, "%d pings", pings.Load())
}

func TestOwnersListOfEntriesReplacesTheKnownOnes(t *testing.T) {
	node := &platform.NodeSettings{Name: "side-1", FirstPort: 7720, Seeds: []string{"10.0.0.1:8166"}}
	link := NewOwnerLink(NewAgent(node, nil, boottime.Now), unreachableStore{}, nil, node)
	link.addEntries([]string{"10.0.0.2:7720"})
	link.replaceEntries([]string{"10.0.0.3:7720"})
	assert.DeepEqual(t, link.entries, []string{"10.0.0.1:7720", "10.0.0.3:7720"})
	link.replaceEntries(nil)
	assert.DeepEqual(t, link.entries, []string{"10.0.0.1:7720", "10.0.0.3:7720"})
}

func TestOddAddressIsNoEntry(t *testing.T) {
	node := &platform.NodeSettings{Name: "side-1"}
	link := NewOwnerLink(NewAgent(node, nil, boottime.Now), unreachableStore{}, nil, node)
	link.addEntries([]string{"", "10.0.0.2", "10.0.0.2:", ":7720", "10.0.0.2:0", "10.0.0.2:-1", "10.0.0.2:99999", "10.0.0.2:1e3", "unix:///x", "10.0.0.3:7720"})
	assert.DeepEqual(t, link.entries, []string{"10.0.0.3:7720"})
}

// staleEntry is an entry that takes itself for the owner of an epoch that is over, as one whose engine hangs.
type staleEntry struct {
	chervilv2.UnimplementedSchedulerServer
	reply *chervilv2.PingReply
}

func (e *staleEntry) Ping(context.Context, *chervilv2.PingRequest) (*chervilv2.PingReply, error) {
	return e.reply, nil
}

// Guards against agents that attach to a replaced owner again and again while the next one is known, so that
// their leases lapse and tasks that are to last stand still.
func TestAgentDoesNotReturnToAReplacedOwner(t *testing.T) {
	for name, reply := range map[string]*chervilv2.PingReply{
		"that says it leads":             {Leads: true},
		"that says it reaches the owner": {OwnerSeenMs: 10},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			reply.Owner = &chervilv2.OwnerRecord{Epoch: 2, Node: "stale", Address: l.Addr().String()}
			server := peer.NewServer()
			chervilv2.RegisterSchedulerServer(server, &staleEntry{reply: reply})
			go func() { _ = server.Serve(l) }()
			t.Cleanup(server.Stop)
			pool := peer.NewPool()
			t.Cleanup(pool.Close)
			node := &platform.NodeSettings{Name: "side-1"}
			link := NewOwnerLink(NewAgent(node, platform.NewWorkerClient("127.0.0.1:1"), boottime.Now), unreachableStore{}, pool, node)
			link.addEntries([]string{l.Addr().String()})
			owner := &chervilv2.OwnerRecord{Epoch: 3, Node: "owner", Address: "127.0.0.1:1"} // not reached by this search
			link.observeOwner(owner)
			assert.Equal(t, link.search(context.Background()), owner.Address)
		})
	}
}
