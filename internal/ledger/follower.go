package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/platform"
	"chervilridge/internal/wait"
)

const (
	readLimit   = 512                    // entries in one read
	retryPause  = 100 * time.Millisecond // between reads while the log is down
	maxPollWait = 30 * time.Second
)

// Follower replays one stream into a machine. One lock guards the machine and
// the offsets; readers share it.
type Follower[M Machine] struct {
	log    platform.Log
	stream string
	fresh  func() M
	poll   time.Duration
	now    func() time.Time

	mu       sync.RWMutex
	machine  M
	recent   *recentIDs
	next     uint64    // offset of the next entry to apply
	loaded   bool      // whether the stream is followed from next on
	tailAt   time.Time // when the newest read that reached the tail was sent
	reached  bool
	sent     uint64 // reads sent
	tailRead uint64 // number of the newest read that reached the tail
	seed     seed
	down     bool
	changed  chan struct{}
	expected map[string][]chan Verdict
	snaps    snapshotTracker
	// mismatches counts snapshots that differ from the replayed state.
	mismatches uint64
	restores   uint64
	onApply    []func(rec *pb.Record, v Verdict)
}

// NewFollower returns a follower that has read nothing yet; fresh makes an
// empty machine, poll is how long one read waits at the tail.
func NewFollower[M Machine](log platform.Log, stream string, poll time.Duration, fresh func() M) *Follower[M] {
	return &Follower[M]{
		log: log, stream: stream, fresh: fresh, poll: min(poll, maxPollWait), now: time.Now,
		machine: fresh(), recent: newRecentIDs(nil), changed: make(chan struct{}), expected: map[string][]chan Verdict{},
		snaps: snapshotTracker{scan: newSnapshotScan(0)},
	}
}

// SetClock replaces the clock. It must be called before Run.
func (f *Follower[M]) SetClock(now func() time.Time) { f.now = now }

// Stream returns the name of the followed stream.
func (f *Follower[M]) Stream() string { return f.stream }

// OnApply adds a function that is called after each applied record, under the
// follower's lock. Records that a restored snapshot covers, or that were applied
// before, are not told.
func (f *Follower[M]) OnApply(do func(rec *pb.Record, v Verdict)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onApply = append(f.onApply, do)
}

// Restores returns how often the state was replaced rather than replayed.
func (f *Follower[M]) Restores() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.restores
}

// View calls read with the machine under the read lock.
func (f *Follower[M]) View(read func(m M)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(f.machine)
}

// Next returns the offset of the next entry to apply.
func (f *Follower[M]) Next() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.next
}

// Age returns how old the view is: the time since the newest read that reached
// the tail was sent. It is negative while no read has reached it; a state taken
// from a peer does not count.
func (f *Follower[M]) Age(now time.Time) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if !f.reached {
		return -1
	}
	return now.Sub(f.tailAt)
}

// FreshWithin reports whether the view is at most limit old.
func (f *Follower[M]) FreshWithin(limit time.Duration) bool {
	age := f.Age(f.now())
	return age >= 0 && age <= limit
}

// Changed returns a channel that is closed at the next read that came back.
func (f *Follower[M]) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// WaitLoaded waits until the first read reached the tail.
func (f *Follower[M]) WaitLoaded(ctx context.Context) error {
	for {
		f.mu.RLock()
		ok, changed := f.reached, f.changed
		f.mu.RUnlock()
		if ok {
			return nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.CodeLogDown, fault.StepRead, f.stream, "stream not read to its tail")
		}
	}
}

// Run follows the stream until the context ends.
func (f *Follower[M]) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if err := f.step(ctx); err != nil && ctx.Err() == nil {
			f.noteDown(err)
			wait.For(ctx, retryPause)
		}
	}
}

// step loads the state if it is not whole, else reads on once.
func (f *Follower[M]) step(ctx context.Context) error {
	f.mu.Lock()
	loaded, from := f.loaded, f.next
	f.sent++
	number := f.sent
	f.mu.Unlock()
	if !loaded {
		return f.load(ctx)
	}
	sent := f.now()
	res, err := f.log.Read(ctx, f.stream, from, readLimit, f.poll)
	if errors.Is(err, platform.ErrTrimmed) {
		f.noteGap(from)
		return nil
	}
	if err != nil {
		return err
	}
	return f.take(res, sent, number)
}

// noteGap marks the state as not whole; it is loaded anew from a snapshot.
func (f *Follower[M]) noteGap(from uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = false
	f.reached = false
	events.ReplayGap.Log("stream", f.stream, "offset", from)
}

func (f *Follower[M]) noteDown(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return
	}
	f.down = true
	events.LogUnreachable.LogError(err, "stream", f.stream, "offset", f.next)
}

// take applies what a read returned. An answer that does not join on to the
// state is refused: entries that begin above the next offset are a gap, and a
// log that ends below it has lost what was read.
func (f *Follower[M]) take(res platform.ReadResult, sent time.Time, number uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(res.Entries) > 0 && res.Entries[0].Offset > f.next {
		f.loaded, f.reached = false, false
		events.ReplayGap.Log("stream", f.stream, "offset", f.next, "first", res.Entries[0].Offset)
		return fault.Newf(fault.CodeStaleView, fault.StepRead, f.stream, "entries from %d on were skipped", f.next)
	}
	if res.Next < f.next {
		f.reached = false
		return f.shorter(res.Next)
	}
	if f.down {
		f.down = false
		events.LogReachable.Log("stream", f.stream, "offset", f.next)
	}
	for _, e := range res.Entries {
		f.applyEntry(e)
	}
	if f.next >= res.Next {
		f.tailAt, f.reached, f.tailRead = sent, true, number
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// shorter reports a log that ends below what was read from it.
func (f *Follower[M]) shorter(next uint64) error {
	if !f.down {
		events.LogWentBack.Log("stream", f.stream, "offset", f.next, "tail", next)
	}
	return fault.Newf(fault.CodeStaleView, fault.StepRead, f.stream, "log ends at %d, %d was read from it", next, f.next)
}
