package capacity

import (
	"context"
	"fmt"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/agent/announce"
	"chervilridge/internal/ident"
	"chervilridge/internal/membership"
	"chervilridge/internal/peer"
)

const (
	announceRounds = 20
	parallelCalls  = 4
	announceLease  = time.Minute
	ownedShards    = 64 // shards that the first agents own
)

// Announcements measures one heartbeat of an agent to one entry.
func Announcements(agents int) ([]Row, error) {
	before := heap()
	listener, err := listen()
	if err != nil {
		return nil, err
	}
	entries := membership.NewEntries(listener.Addr().String(), nil)
	registry := membership.NewRegistry(announceLease, entries, func() uint64 { return 0 })
	server := peer.NewServer()
	pb.RegisterRegistryServer(server, registry)
	go func() { _ = server.Serve(listener) }()
	defer server.Stop()

	pools := make([]*peer.Pool, agents)
	senders := make([]*announce.Announcer, agents)
	for i := range agents {
		pools[i] = peer.NewPool()
		defer pools[i].Close()
		senders[i] = announce.New(pools[i], []string{listener.Addr().String()}, time.Second, describe(i))
	}
	for range 2 { // connections and learning are not part of a heartbeat's cost
		sendAll(senders)
	}
	cpu, bytes := cpuTime(), listener.bytes.Load()
	for range announceRounds {
		sendAll(senders)
	}
	beats := float64(agents * announceRounds)
	used, moved := cpuTime()-cpu, listener.bytes.Load()-bytes
	return []Row{
		{"announcement, both ends: processor time", agents, "us", float64(used.Microseconds()) / beats},
		{"announcement: bytes on the wire", agents, "bytes", float64(moved) / beats},
		{"announcing agent at the entry, with connection", agents, "bytes", float64(heap()-before) / float64(agents)},
	}, nil
}

func describe(i int) announce.Describe {
	endpoint := &pb.Endpoint{
		Agent: fmt.Sprintf("agent-%d", i), Incarnation: ident.New(), Address: fmt.Sprintf("10.0.%d.%d:9001", i/250, i%250),
		Service: "quotedesk", Region: "pnw", DataCentre: "pnw-a", Slots: 8, Connections: 64,
	}
	var shards []*pb.OwnedShard
	if i < ownedShards {
		shards = []*pb.OwnedShard{{Shard: uint32(i), Epoch: 1}}
	}
	return func() *pb.AnnounceRequest {
		return &pb.AnnounceRequest{Endpoint: endpoint, Shards: shards, Running: 3, Healthy: true, TableVersion: 1300, Worker: fmt.Sprintf("worker-%d", i)}
	}
}

// sendAll lets every agent announce once, a few at a time.
func sendAll(senders []*announce.Announcer) {
	var wg sync.WaitGroup
	for part := range parallelCalls {
		wg.Go(func() {
			for i := part; i < len(senders); i += parallelCalls {
				senders[i].Announce(context.Background())
			}
		})
	}
	wg.Wait()
}
