package statesource

import (
	"context"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/ledger"
	"chervilridge/internal/peer"
	"chervilridge/internal/wait"
)

const (
	// LogGracePeriod is how long a starting process tries to read the log before it asks peers.
	LogGracePeriod = time.Second
	// roundInterval is the pause between rounds.
	roundInterval    = time.Second
	requestTimeout   = 2 * time.Second
	maxPeersPerRound = 4 // asked concurrently
)

// Target is a follower that can be seeded with a peer's state.
type Target interface {
	Stream() string
	Loaded() bool
	Seed(state ledger.State) (bool, error)
}

// Seeder seeds one follower from peers until the follower has loaded from the log.
type Seeder struct {
	target   Target
	pool     *peer.Pool
	peers    func() []string
	nextPeer int // index, modulo the number of peers, at which the next round starts
}

// NewSeeder returns a seeder of the target. Every round calls peers for the addresses.
func NewSeeder(target Target, pool *peer.Pool, peers func() []string) *Seeder {
	return &Seeder{target: target, pool: pool, peers: peers}
}

// Run runs rounds until the follower has loaded from the log or the context ends.
func (s *Seeder) Run(ctx context.Context) {
	for pause := LogGracePeriod; wait.For(ctx, pause) && !s.target.Loaded(); pause = roundInterval {
		s.SeedOnce(ctx)
	}
}

// SeedOnce asks up to maxPeersPerRound peers and seeds the follower with the newest state
// among the replies. It returns without effect if no peer has one.
func (s *Seeder) SeedOnce(ctx context.Context) {
	var newest *peerState
	for _, candidate := range s.fetchAll(ctx) {
		if candidate != nil && (newest == nil || candidate.state.Covers > newest.state.Covers) {
			newest = candidate
		}
	}
	if newest == nil {
		return
	}
	accepted, err := s.target.Seed(newest.state)
	if err != nil {
		events.SnapshotInvalid.LogError(err, "stream", s.target.Stream(), "peer", newest.peer, "covers", newest.state.Covers)
		return
	}
	if accepted {
		events.RestoredFromPeer.Log("stream", s.target.Stream(), "peer", newest.peer, "covers", newest.state.Covers, "age", newest.state.Age)
	}
}

// peerState is a state with the address of the peer that sent it.
type peerState struct {
	peer  string
	state ledger.State
}

// fetchAll asks the peers of this round. The element of a peer without a state is nil.
func (s *Seeder) fetchAll(ctx context.Context) []*peerState {
	peers := s.takePeers()
	states := make([]*peerState, len(peers))
	var wg sync.WaitGroup
	for i, address := range peers {
		wg.Go(func() { states[i] = s.fetch(ctx, address) })
	}
	wg.Wait()
	return states
}

// takePeers returns the peers of this round, round-robin over all peers.
func (s *Seeder) takePeers() []string {
	all := s.peers()
	var selected []string
	for i := range min(len(all), maxPeersPerRound) {
		selected = append(selected, all[(s.nextPeer+i)%len(all)])
	}
	s.nextPeer += len(selected)
	return selected
}

// fetch asks one peer; nil if it fails or has no state. The duration of the call is added
// to the state's age.
func (s *Seeder) fetch(ctx context.Context, address string) *peerState {
	conn, err := s.pool.Get(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := pb.NewStateSourceClient(conn).GetState(ctx, &pb.GetStateRequest{Stream: s.target.Stream()})
	if err != nil || !reply.Found {
		return nil
	}
	age := time.Duration(reply.AgeMs)*time.Millisecond + time.Since(sent)
	return &peerState{peer: address, state: ledger.State{Covers: reply.Covers, Data: reply.Data, Age: age}}
}
