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
	// entryLease is how long an entry counts as alive after it was last seen.
	entryLease           = 10 * time.Second
	selfAnnounceInterval = 2 * time.Second
	selfAnnounceTimeout  = time.Second
)

// EntryDirectory is one entry's view of the other entries. Each one announces itself to the
// others, and agents report which of them answer. Only the seeds are configured, and being a
// seed does not make an entry count as alive.
type EntryDirectory struct {
	self  string
	seeds []string

	mu       sync.Mutex
	lastSeen map[string]time.Time // address -> time it last announced itself, answered or was reported
	failing  map[string]bool
}

// NewEntryDirectory returns the directory of the entry at address self. The seeds are
// addresses that it announces itself to at all times, whether or not they are alive.
func NewEntryDirectory(self string, seeds []string) *EntryDirectory {
	return &EntryDirectory{self: self, seeds: seeds, lastSeen: map[string]time.Time{}, failing: map[string]bool{}}
}

// MarkSeen records that the entries at the addresses were alive at now.
func (e *EntryDirectory) MarkSeen(addresses []string, now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, a := range addresses {
		if a == e.self || a == "" {
			continue
		}
		if _, known := e.lastSeen[a]; !known {
			events.EntryDiscovered.Log("peer", a)
		}
		e.lastSeen[a] = now
	}
}

// LiveEntries returns the addresses of this entry and of those seen within entryLease,
// sorted. It forgets the others.
func (e *EntryDirectory) LiveEntries(now time.Time) []string {
	e.mu.Lock()
	defer e.mu.Unlock()
	live := []string{e.self}
	for a, at := range e.lastSeen {
		if now.Sub(at) > entryLease {
			delete(e.lastSeen, a)
			events.EntryExpired.Log("peer", a)
			continue
		}
		live = append(live, a)
	}
	slices.Sort(live)
	return live
}

// Run announces this entry to the seeds and the live entries every selfAnnounceInterval,
// until the context ends.
func (e *EntryDirectory) Run(ctx context.Context, pool *peer.Pool) {
	t := time.NewTicker(selfAnnounceInterval)
	defer t.Stop()
	for {
		e.announceToAll(ctx, pool)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

func (e *EntryDirectory) announceToAll(ctx context.Context, pool *peer.Pool) {
	targets := map[string]bool{}
	for _, a := range append(e.LiveEntries(time.Now()), e.seeds...) {
		targets[a] = a != e.self
	}
	var wg sync.WaitGroup
	for _, a := range slices.Sorted(maps.Keys(targets)) {
		if targets[a] {
			wg.Go(func() { e.announceTo(ctx, pool, a) })
		}
	}
	wg.Wait()
}

func (e *EntryDirectory) announceTo(ctx context.Context, pool *peer.Pool, address string) {
	ctx, cancel := context.WithTimeout(ctx, selfAnnounceTimeout)
	defer cancel()
	conn, err := pool.Get(address)
	if err != nil {
		e.recordFailure(address, err)
		return
	}
	if _, err := pb.NewRegistryClient(conn).Announce(ctx, &pb.AnnounceRequest{Entries: []string{e.self}}); err != nil {
		e.recordFailure(address, err)
		return
	}
	e.mu.Lock()
	delete(e.failing, address)
	e.mu.Unlock()
	// Only the entry that answered is known to be alive. If its list counted as well,
	// two entries could keep a dead third one listed forever.
	e.MarkSeen([]string{address}, time.Now())
}

func (e *EntryDirectory) recordFailure(address string, err error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.failing[address] {
		e.failing[address] = true
		events.PeerEntryFailed.LogError(err, "peer", address)
	}
}
