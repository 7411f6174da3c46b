package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/recordlog"
	"chervilridge/internal/wait"
)

const (
	readLimit   = 512                    // most entries in one read
	retryPause  = 100 * time.Millisecond // between reads while the log is down
	maxPollWait = 30 * time.Second       // upper bound of a follower's poll wait
)

// Follower replays one stream into a state machine. One read-write lock guards
// the state machine and the offsets.
type Follower[M StateMachine] struct {
	log        recordlog.Log
	stream     string
	newMachine func() M
	pollWait   time.Duration // how long a read waits at the tail for a new entry
	now        func() time.Time

	mu             sync.RWMutex
	machine        M
	recent         *recentIDs
	nextOffset     uint64    // offset of the next entry to apply
	loaded         bool      // the log can be replayed from nextOffset on; reset by a gap
	tailReadSentAt time.Time // when the newest read that reached the tail was sent
	reachedTail    bool      // a read reached the tail; reset by a gap or a shorter log
	readSeq        uint64    // sequence number of the newest read sent
	tailReadSeq    uint64    // sequence number of the newest read that reached the tail
	seed           peerSeed
	logDown        bool                          // reading fails; reset by the next applied read
	changed        chan struct{}                 // closed and replaced after each applied read
	waiters        map[string][]chan ApplyResult // by record id
	snapshots      snapshotTracker
	// snapshotMismatches counts snapshots that differ from the replayed state.
	snapshotMismatches uint64
	restoreCount       uint64
	onApply            []func(rec *pb.Record, v ApplyResult)
}

// NewFollower returns a follower that has read nothing yet. newMachine returns an
// empty state machine; pollWait is how long one read waits at the tail for a new
// entry, at most 30 s.
func NewFollower[M StateMachine](log recordlog.Log, stream string, pollWait time.Duration, newMachine func() M) *Follower[M] {
	return &Follower[M]{
		log: log, stream: stream, newMachine: newMachine, pollWait: min(pollWait, maxPollWait), now: time.Now,
		machine: newMachine(), recent: newRecentIDs(nil), changed: make(chan struct{}), waiters: map[string][]chan ApplyResult{},
		snapshots: snapshotTracker{scan: newSnapshotScan(0)},
	}
}

// SetClock replaces the clock, time.Now by default. It must be called before Run.
func (f *Follower[M]) SetClock(now func() time.Time) { f.now = now }

// Stream returns the name of the followed stream.
func (f *Follower[M]) Stream() string { return f.stream }

// OnApply adds a hook that is called after each replayed record, accepted or not,
// under the follower's lock. It is not called for snapshot parts, for records
// that a restored state covers, or for records replayed before it was added.
func (f *Follower[M]) OnApply(hook func(rec *pb.Record, v ApplyResult)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.onApply = append(f.onApply, hook)
}

// RestoreCount returns how often the state was replaced by a snapshot or a peer's
// state rather than replayed.
func (f *Follower[M]) RestoreCount() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.restoreCount
}

// View calls read with the state machine while it holds the read lock.
func (f *Follower[M]) View(read func(m M)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(f.machine)
}

// NextOffset returns the offset of the next entry to apply.
func (f *Follower[M]) NextOffset() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.nextOffset
}

// Age returns the age of the view: the time since the newest read that reached
// the tail was sent. It is negative while no read has reached the tail; a state
// from a peer does not count.
func (f *Follower[M]) Age(now time.Time) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if !f.reachedTail {
		return -1
	}
	return now.Sub(f.tailReadSentAt)
}

// FreshWithin reports whether the view is at most limit old.
func (f *Follower[M]) FreshWithin(limit time.Duration) bool {
	age := f.Age(f.now())
	return age >= 0 && age <= limit
}

// Changed returns a channel that is closed when the next read has been applied or
// a peer's state has been installed.
func (f *Follower[M]) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// WaitForTail waits until a read has reached the tail, or the context ends.
func (f *Follower[M]) WaitForTail(ctx context.Context) error {
	for {
		f.mu.RLock()
		ok, changed := f.reachedTail, f.changed
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
		if err := f.loadOrRead(ctx); err != nil && ctx.Err() == nil {
			f.markLogDown(err)
			wait.For(ctx, retryPause)
		}
	}
}

// loadOrRead loads the state if it is not loaded; otherwise it sends one read and
// applies the result.
func (f *Follower[M]) loadOrRead(ctx context.Context) error {
	f.mu.Lock()
	loaded, from := f.loaded, f.nextOffset
	f.readSeq++
	seq := f.readSeq
	f.mu.Unlock()
	if !loaded {
		return f.load(ctx)
	}
	sent := f.now()
	res, err := f.log.Read(ctx, f.stream, from, readLimit, f.pollWait)
	if errors.Is(err, recordlog.ErrTrimmed) {
		f.markGap(from)
		return nil
	}
	if err != nil {
		return err
	}
	return f.applyRead(res, sent, seq)
}

// markGap records that entries were trimmed before they were read, so that the
// state is loaded again from a snapshot.
func (f *Follower[M]) markGap(from uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = false
	f.reachedTail = false
	events.LogGap.Log("stream", f.stream, "offset", from)
}

// markLogDown records a failed read and logs the first of a series.
func (f *Follower[M]) markLogDown(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.logDown {
		return
	}
	f.logDown = true
	events.LogUnreachable.LogError(err, "stream", f.stream, "offset", f.nextOffset)
}

// applyRead applies the result of a read. It rejects a result that does not
// continue at the next offset: if the entries begin above it, some were skipped; if
// the log ends below it, the log has lost entries that were read before.
func (f *Follower[M]) applyRead(res recordlog.ReadResult, sent time.Time, seq uint64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if len(res.Entries) > 0 && res.Entries[0].Offset > f.nextOffset {
		f.loaded, f.reachedTail = false, false
		events.LogGap.Log("stream", f.stream, "offset", f.nextOffset, "first", res.Entries[0].Offset)
		return fault.Newf(fault.CodeStaleView, fault.StepRead, f.stream, "read skipped the entries from offset %d on", f.nextOffset)
	}
	if res.Next < f.nextOffset {
		f.reachedTail = false
		return f.rejectShorterLog(res.Next)
	}
	if f.logDown {
		f.logDown = false
		events.LogReachable.Log("stream", f.stream, "offset", f.nextOffset)
	}
	for _, e := range res.Entries {
		f.applyEntry(e)
	}
	if f.nextOffset >= res.Next {
		f.tailReadSentAt, f.reachedTail, f.tailReadSeq = sent, true, seq
	}
	close(f.changed)
	f.changed = make(chan struct{})
	return nil
}

// rejectShorterLog returns the error for a log that ends below the next offset,
// and logs the first of a series.
func (f *Follower[M]) rejectShorterLog(next uint64) error {
	if !f.logDown {
		events.LogEndsEarly.Log("stream", f.stream, "offset", f.nextOffset, "tail", next)
	}
	return fault.Newf(fault.CodeStaleView, fault.StepRead, f.stream, "log ends at offset %d, but entries below offset %d were read from it", next, f.nextOffset)
}
