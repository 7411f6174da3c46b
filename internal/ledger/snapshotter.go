package ledger

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/ident"
	"chervilridge/internal/suppression"
	"chervilridge/internal/wait"
)

const (
	defaultPartBytes   = 256 << 10
	partTimeout        = 10 * time.Second // to append one part and read it back
	checksPerWindow    = 20               // status checks per delay window
	maxDelayWindow     = 5 * time.Second  // over which the processes' random delays spread
	windowsPerInterval = 4                // the delay window is at most 1/4 of the interval
	minCheckInterval   = 10 * time.Millisecond
)

// SnapshotOptions configures when a Snapshotter writes snapshots.
type SnapshotOptions struct {
	// Interval is the longest time between snapshots. It must be well below the
	// retention of the log.
	Interval time.Duration
	// MaxEntries is the largest number of entries between snapshots. It must be
	// well below the retention of the log.
	MaxEntries uint64
	// PartBytes is the maximum size of one part; 0 means 256 KiB.
	PartBytes int
	// MayWrite reports whether this process may write; nil means always.
	MayWrite func() bool
}

// Snapshotter writes snapshots of a followed stream's state into the stream.
// Several processes may run one for the same stream: when a snapshot is due, each
// waits a random delay and does not write if another process began to write first.
type Snapshotter struct {
	options   SnapshotOptions
	source    snapshotSource
	committer *Committer
	now       func() time.Time
	random    func() float64

	createdAt time.Time     // when this snapshotter was created
	dueAt     time.Time     // when the snapshot became due; zero if it is not due
	delay     time.Duration // random delay after dueAt
}

// snapshotSource is the part of a follower that a snapshotter needs.
type snapshotSource interface {
	Export() (State, error)
	Stream() string
	snapshotStatus() snapshotStatus
}

// snapshotStatus is what a snapshotter decides on.
type snapshotStatus struct {
	atTail     bool      // the follower reached the tail
	nextOffset uint64    // of the next entry to apply
	endOffset  uint64    // as in snapshotTracker
	seenAt     time.Time // as in snapshotTracker
	startedAt  time.Time // as in snapshotTracker
}

func (f *Follower[M]) snapshotStatus() snapshotStatus {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return snapshotStatus{
		atTail: f.reachedTail, nextOffset: f.nextOffset, endOffset: f.snapshots.endOffset, seenAt: f.snapshots.seenAt, startedAt: f.snapshots.startedAt,
	}
}

// NewSnapshotter returns a snapshotter that writes through the committer, which
// must belong to the same stream.
func NewSnapshotter[M StateMachine](options SnapshotOptions, follower *Follower[M], committer *Committer) *Snapshotter {
	if options.PartBytes == 0 {
		options.PartBytes = defaultPartBytes
	}
	if options.MayWrite == nil {
		options.MayWrite = func() bool { return true }
	}
	return &Snapshotter{options: options, source: follower, committer: committer, now: follower.now, random: rand.Float64, createdAt: follower.now()}
}

// delayWindow returns the upper bound of the random delay before a write.
func (s *Snapshotter) delayWindow() time.Duration {
	return min(s.options.Interval/windowsPerInterval, maxDelayWindow)
}

// Run writes snapshots when they are due until the context ends.
func (s *Snapshotter) Run(ctx context.Context) {
	t := time.NewTicker(max(s.delayWindow()/checksPerWindow, minCheckInterval))
	defer t.Stop()
	for ctx.Err() == nil {
		if s.options.MayWrite() && s.shouldWrite(s.source.snapshotStatus(), s.now()) {
			s.write(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// shouldWrite reports whether this process must write a snapshot now: one is due,
// the random delay is over, and no other process began to write one within the
// last delay window.
func (s *Snapshotter) shouldWrite(st snapshotStatus, now time.Time) bool {
	if !s.isDue(st, now) {
		s.dueAt = time.Time{}
		return false
	}
	if s.dueAt.IsZero() {
		s.dueAt, s.delay = now, suppression.Delay(s.delayWindow(), s.random())
	}
	if now.Sub(s.dueAt) < s.delay {
		return false
	}
	return st.startedAt.IsZero() || now.Sub(st.startedAt) > s.delayWindow()
}

// isDue reports whether a snapshot must be written. An idle stream needs one too,
// since the retention removes the old one.
func (s *Snapshotter) isDue(st snapshotStatus, now time.Time) bool {
	if !st.atTail || st.nextOffset == 0 {
		return false
	}
	if st.nextOffset-min(st.endOffset, st.nextOffset) >= s.options.MaxEntries {
		return true
	}
	lastSnapshot := st.seenAt
	if lastSnapshot.IsZero() {
		lastSnapshot = s.createdAt
	}
	return now.Sub(lastSnapshot) >= s.options.Interval-s.delayWindow()
}

// write appends a snapshot part by part. It stops if a part fails, since readers
// ignore incomplete snapshots.
func (s *Snapshotter) write(ctx context.Context) {
	s.dueAt = time.Time{}
	state, err := s.source.Export()
	if err == nil {
		err = s.appendParts(ctx, state)
	}
	if err != nil {
		events.SnapshotFailed.LogError(err, "stream", s.source.Stream(), "covers", state.Covers)
		wait.For(ctx, s.delayWindow()/checksPerWindow)
		return
	}
	events.SnapshotWritten.Log("stream", s.source.Stream(), "covers", state.Covers, "bytes", len(state.Data))
}

func (s *Snapshotter) appendParts(ctx context.Context, state State) error {
	parts := splitState(state, s.options.PartBytes)
	if len(parts) > maxSnapshotParts {
		return fault.Newf(fault.CodeTooLarge, fault.StepAppend, s.source.Stream(), "snapshot has too many parts: %d", len(parts))
	}
	for _, part := range parts {
		if !s.options.MayWrite() {
			return fault.New(fault.CodeNotOwner, fault.StepAppend, s.source.Stream(), "process may no longer write snapshots")
		}
		if err := s.commitPart(ctx, part); err != nil {
			return err
		}
	}
	return nil
}

// commitPart appends one part and waits until it is read back.
func (s *Snapshotter) commitPart(ctx context.Context, part *pb.SnapshotPart) error {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	_, err := s.committer.Commit(ctx, &pb.Record{Body: &pb.Record_SnapshotPart{SnapshotPart: part}})
	return err
}

// splitState splits a state into parts of at most partBytes of data each.
func splitState(state State, partBytes int) []*pb.SnapshotPart {
	id, digest := ident.New(), xxhash.Sum64(state.Data)
	count := max(1, (len(state.Data)+partBytes-1)/partBytes)
	parts := make([]*pb.SnapshotPart, 0, count)
	for i := range count {
		lo, hi := i*partBytes, min((i+1)*partBytes, len(state.Data))
		parts = append(parts, &pb.SnapshotPart{
			SnapshotId: id, Covers: state.Covers, Part: uint32(i), Parts: uint32(count),
			Data: state.Data[lo:hi], Digest: digest,
		})
	}
	return parts
}
