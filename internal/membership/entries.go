package membership

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/peer"
)

const (
	// entryLease is how long an entry counts as alive after it was last heard of.
	entryLease   = 10 * time.Second
	greetEvery   = 2 * time.Second
	greetTimeout = time.Second
)

// Entries is what one entry knows of the others. They greet each other, and
// agents report which entries answer them; no list of them is kept anywhere.
type Entries struct {
	self  string
	seeds []string

	mu      sync.Mutex
	heard   map[string]time.Time // address -> last sign of life
	failing map[string]bool
}

// NewEntries returns the view of the entry at the address, which greets the
// seeds until it knows others.
func NewEntries(self string, seeds []string) *Entries {
	return &Entries{self: self, seeds: seeds, heard: map[string]time.Time{}, failing: map[string]bool{}}
}

// Note takes a sign of life of entries.
func (e *Entries) Note(addresses []string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range addresses {
		if a == e.self || a == "" {
			continue
		}
		if _, known := e.heard[a]; !known {
			events.EntryLearned.Log("peer", a)
		}
		e.heard[a] = now
	}
}

// Live returns this entry and those heard of within the lease, sorted.
func (e *Entries) Live(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	live := []string{e.self}
	for a, at := range e.heard {
		if now.Sub(at) > entryLease {
			delete(e.heard, a)
			events.EntryForgotten.Log("peer", a)
			continue
		}
		live = append(live, a)
	}
	slices.Sort(live)
	return live
}

// Run greets the seeds and the live entries until the context ends.
func (e *Entries) Run(ctx context.Context, pool *peer.Pool) {
	t := time.NewTicker(greetEvery)
	defer t.Stop()
	for {
		e.greetAll(ctx, pool)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *Entries) greetAll(ctx context.Context, pool *peer.Pool) {
	targets := map[string]bool{}
	for _, a := range append(e.Live(time.Now()), e.seeds...) {
		targets[a] = a != e.self
	}
	var wg sync.WaitGroup
	for _, a := range slices.Sorted(maps.Keys(targets)) {
		if targets[a] {
			wg.Go(func() { e.greet(ctx, pool, a) })
		}
	}
	wg.Wait()
}

func (e *Entries) greet(ctx context.Context, pool *peer.Pool, address string) {
	ctx, cancel := context.WithTimeout(ctx, greetTimeout)
	defer cancel()
	conn, err := pool.Get(address)
	if err != nil {
		e.noteFailure(address, err)
		return
	}
	if _, err := pb.NewRegistryClient(conn).Announce(ctx, &pb.AnnounceRequest{Entries: []string{e.self}}); err != nil {
		e.noteFailure(address, err)
		return
	}
	e.mu.Lock()
	delete(e.failing, address)
	e.mu.Unlock()
	// Only the entry that answered is certainly alive: taking its list as well
	// would let two entries keep a dead third alive for each other.
	e.Note([]string{address}, time.Now())
}

func (e *Entries) noteFailure(address string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.failing[address] {
		e.failing[address] = true
		events.PeerEntryFailed.LogError(err, "peer", address)
	}
}
