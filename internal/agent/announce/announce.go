// Package announce tells the entries about the agent's endpoint and learns from
// their replies who the other entries are.
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
	callTimeout = 700 * time.Millisecond
	// forgetAfter drops an entry that neither answered nor was named for so long.
	forgetAfter = time.Minute
	// reportWithin is how fresh an entry's answer must be to report it as alive.
	reportWithin = 5 * time.Second
)

// Describe returns the announcement of this moment, without its sequence.
type Describe func() *pb.AnnounceRequest

// Announcer sends heartbeats to all known entries. One lock guards what it has
// learned.
type Announcer struct {
	pool     *peer.Pool
	interval time.Duration
	describe Describe

	mu       sync.Mutex
	seeds    map[string]bool
	answered map[string]time.Time // entry address -> last answer
	named    map[string]time.Time // entry address -> when another entry last named it
	failing  map[string]bool
	sequence uint64
}

// New returns an announcer that begins with the seeds.
func New(pool *peer.Pool, seeds []string, interval time.Duration, describe Describe) *Announcer {
	a := &Announcer{
		pool: pool, interval: interval, describe: describe,
		seeds: map[string]bool{}, answered: map[string]time.Time{}, named: map[string]time.Time{}, failing: map[string]bool{},
	}
	for _, s := range seeds {
		a.seeds[s] = true
	}
	return a
}

// Run announces until the context ends.
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

// Announce sends one heartbeat to each entry and waits for the answers.
func (a *Announcer) Announce(ctx context.Context) {
	req := a.describe()
	a.mu.Lock()
	a.sequence++
	req.Sequence = a.sequence
	entries := a.entries(time.Now())
	req.Entries = a.live(time.Now())
	a.mu.Unlock()
	var wg sync.WaitGroup
	for _, address := range entries {
		wg.Go(func() { a.call(ctx, address, req) })
	}
	wg.Wait()
}

// entries returns the seeds and whoever answered or was named lately.
func (a *Announcer) entries(now time.Time) []string {
	set := maps.Clone(a.seeds)
	for _, known := range []map[string]time.Time{a.answered, a.named} {
		for address, at := range known {
			if now.Sub(at) > forgetAfter {
				delete(known, address)
				continue
			}
			set[address] = true
		}
	}
	return slices.Sorted(maps.Keys(set))
}

// live returns the entries that answered lately. One that was only named is not
// reported: entries would keep a dead one alive for each other.
func (a *Announcer) live(now time.Time) []string {
	var out []string
	for address, at := range a.answered {
		if now.Sub(at) <= reportWithin {
			out = append(out, address)
		}
	}
	slices.Sort(out)
	return out
}

func (a *Announcer) call(ctx context.Context, address string, req *pb.AnnounceRequest) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	conn, err := a.pool.Get(address)
	if err != nil {
		a.noteFailure(address, err)
		return
	}
	reply, err := pb.NewRegistryClient(conn).Announce(ctx, req)
	if err != nil {
		a.noteFailure(address, err)
		return
	}
	a.learn(address, reply)
}

func (a *Announcer) noteFailure(address string, err error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.failing[address] {
		return
	}
	a.failing[address] = true
	events.AnnounceFailed.LogError(err, "peer", address)
}

func (a *Announcer) learn(address string, reply *pb.AnnounceReply) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := time.Now()
	delete(a.failing, address)
	a.answered[address] = now
	for _, e := range reply.Entries {
		if _, known := a.named[e]; !known && !a.seeds[e] {
			events.EntryLearned.Log("peer", e, "from", address)
		}
		a.named[e] = now
	}
}
