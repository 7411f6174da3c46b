// Package announce announces the agent's endpoint to the entries and learns the addresses of
// other entries from their replies.
package announce

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
	announceTimeout = 700 * time.Millisecond
	// entryExpiry is how long an entry stays known that neither answers nor is listed by
	// another entry.
	entryExpiry = time.Minute
	// maxAnswerAge is how recent an entry's last answer must be to report the entry as alive.
	maxAnswerAge = 5 * time.Second
)

// RequestBuilder returns an announcement of the current state. The Announcer fills in its
// sequence number and entries.
type RequestBuilder func() *pb.AnnounceRequest

// Announcer sends heartbeats to all known entries. mu guards what it learned about them.
type Announcer struct {
	pool     *peer.Pool
	interval time.Duration
	describe RequestBuilder

	mu         sync.Mutex
	seeds      map[string]bool
	lastAnswer map[string]time.Time // entry address -> last answer
	lastListed map[string]time.Time // entry address -> when an entry's reply last listed it
	failing    map[string]bool      // entry addresses whose last call failed
	sequence   uint64
}

// New returns an announcer that initially knows the seeds only.
func New(pool *peer.Pool, seeds []string, interval time.Duration, describe RequestBuilder) *Announcer {
	a := &Announcer{
		pool: pool, interval: interval, describe: describe,
		seeds: map[string]bool{}, lastAnswer: map[string]time.Time{}, lastListed: map[string]time.Time{}, failing: map[string]bool{},
	}
	for _, s := range seeds {
		a.seeds[s] = true
	}
	return a
}

// Run announces at each interval until the context ends.
func (a *Announcer) Run(ctx context.Context) {
	t := time.NewTicker(a.interval)
	defer t.Stop()
	for {
		a.Announce(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
			return
		}
	}
}

// Announce sends one heartbeat to every known entry and waits until all calls are done.
func (a *Announcer) Announce(ctx context.Context) {
	req := a.describe()
	a.mu.Lock()
	a.sequence++
	req.Sequence = a.sequence
	targets := a.targets(time.Now())
	req.Entries = a.recentlyAnswered(time.Now())
	a.mu.Unlock()
	var wg sync.WaitGroup
	for _, address := range targets {
		wg.Go(func() { a.announceTo(ctx, address, req) })
	}
	wg.Wait()
}

// targets returns the addresses of the seeds and of the entries that answered or were listed
// within entryExpiry, sorted. It forgets the others.
func (a *Announcer) targets(now time.Time) []string {
	set := maps.Clone(a.seeds)
	for _, known := range []map[string]time.Time{a.lastAnswer, a.lastListed} {
		for address, at := range known {
			if now.Sub(at) > entryExpiry {
				delete(known, address)
				continue
			}
			set[address] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// recentlyAnswered returns the entries that answered within maxAnswerAge, sorted. Entries that
// were only listed by others are left out: entries could keep a dead one listed forever.
func (a *Announcer) recentlyAnswered(now time.Time) []string {
	var out []string
	for address, at := range a.lastAnswer {
		if now.Sub(at) <= maxAnswerAge {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

func (a *Announcer) announceTo(ctx context.Context, address string, req *pb.AnnounceRequest) {
	ctx, cancel := context.WithTimeout(ctx, announceTimeout)
	defer cancel()
	conn, err := a.pool.Get(address)
	if err != nil {
		a.recordFailure(address, err)
		return
	}
	reply, err := pb.NewRegistryClient(conn).Announce(ctx, req)
	if err != nil {
		a.recordFailure(address, err)
		return
	}
	a.handleReply(address, reply)
}

func (a *Announcer) recordFailure(address string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failing[address] {
		return
	}
	a.failing[address] = true
	events.AnnounceFailed.LogError(err, "peer", address)
}

func (a *Announcer) handleReply(address string, reply *pb.AnnounceReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	delete(a.failing, address)
	a.lastAnswer[address] = now
	for _, e := range reply.Entries {
		if _, known := a.lastListed[e]; !known && !a.seeds[e] {
			events.EntryDiscovered.Log("peer", e, "from", address)
		}
		a.lastListed[e] = now
	}
}
