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
	// Grace is how long a start waits for the log before it asks peers.
	Grace = time.Second
	// repeatEvery is the pause between rounds of questions.
	repeatEvery = time.Second
	askTimeout  = 2 * time.Second
	maxAsked    = 4 // peers asked at once in one round
)

// Target is a follower that may be seeded.
type Target interface {
	Stream() string
	Loaded() bool
	Seed(state ledger.State) (bool, error)
}

// Seeder seeds one follower from peers until the log can be read.
type Seeder struct {
	target Target
	pool   *peer.Pool
	peers  func() []string
	first  int // peer that the next round starts with
}

// NewSeeder returns a seeder that asks the peers at the returned addresses.
func NewSeeder(target Target, pool *peer.Pool, peers func() []string) *Seeder {
	return &Seeder{target: target, pool: pool, peers: peers}
}

// Run seeds the follower until it reads the log or the context ends.
func (s *Seeder) Run(ctx context.Context) {
	for pause := Grace; wait.For(ctx, pause) && !s.target.Loaded(); pause = repeatEvery {
		s.Round(ctx)
	}
}

// Round asks some peers and takes the newest state among the answers.
func (s *Seeder) Round(ctx context.Context) {
	var best *answer
	for _, a := range s.ask(ctx) {
		if a != nil && (best == nil || a.state.Covers > best.state.Covers) {
			best = a
		}
	}
	if best == nil {
		return
	}
	taken, err := s.target.Seed(best.state)
	if err != nil {
		events.SnapshotMismatch.LogError(err, "stream", s.target.Stream(), "peer", best.peer, "covers", best.state.Covers)
		return
	}
	if taken {
		events.RestoredFromPeer.Log("stream", s.target.Stream(), "peer", best.peer, "covers", best.state.Covers, "age", best.state.Age)
	}
}

// answer is a peer's state.
type answer struct {
	peer  string
	state ledger.State
}

func (s *Seeder) ask(ctx context.Context) []*answer {
	peers := s.turn()
	answers := make([]*answer, len(peers))
	var wg sync.WaitGroup
	for i, address := range peers {
		wg.Go(func() { answers[i] = s.get(ctx, address) })
	}
	wg.Wait()
	return answers
}

// turn returns the peers of this round; the next one goes on behind them.
func (s *Seeder) turn() []string {
	all := s.peers()
	var out []string
	for i := range min(len(all), maxAsked) {
		out = append(out, all[(s.first+i)%len(all)])
	}
	s.first += len(out)
	return out
}

// get asks one peer. The time on the way counts as age.
func (s *Seeder) get(ctx context.Context, address string) *answer {
	conn, err := s.pool.Get(address)
	if err != nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	sent := time.Now()
	reply, err := pb.NewStateSourceClient(conn).GetState(ctx, &pb.GetStateRequest{Stream: s.target.Stream()})
	if err != nil || !reply.Found {
		return nil
	}
	age := time.Duration(reply.AgeMs)*time.Millisecond + time.Since(sent)
	return &answer{peer: address, state: ledger.State{Covers: reply.Covers, Data: reply.Data, Age: age}}
}
