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
	defaultPartBytes = 256 << 10
	partTimeout      = 10 * time.Second // to append one part and read it back
	checksPerSpread  = 20               // looks at the stream within the spread
	maxSpread        = 5 * time.Second  // over which the candidates' turns lie
	spreadShare      = 4                // the spread is at most this part of the interval
	minCheckInterval = 10 * time.Millisecond
)

// SnapshotOptions say when a stream's state is written into it.
type SnapshotOptions struct {
	// Every is the longest time between snapshots, well within the retention.
	Every time.Duration
	// Entries is the most entries between snapshots, well within the retention.
	Entries uint64
	// PartBytes bounds one part; 0 means 256 KiB.
	PartBytes int
	// May reports whether this process may write; nil means always.
	May func() bool
}

// Snapshotter writes the state of a followed stream into the stream. Several
// processes may run one for the same stream: each waits a random part of the
// spread and leaves it to the one that began first.
type Snapshotter struct {
	options   SnapshotOptions
	source    snapshotSource
	committer *Committer
	now       func() time.Time
	random    func() float64

	began time.Time     // when this process began to follow
	dueAt time.Time     // when the snapshot fell due; zero if it is not
	wait  time.Duration // drawn when it fell due
}

// snapshotSource is the part of a follower that a snapshotter needs.
type snapshotSource interface {
	Export() (State, error)
	Stream() string
	snapshotStatus() snapshotStatus
}

// snapshotStatus is where a stream's snapshots stand.
type snapshotStatus struct {
	live  bool // the view reached the tail
	next  uint64
	end   uint64
	at    time.Time
	begun time.Time
}

func (f *Follower[M]) snapshotStatus() snapshotStatus {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return snapshotStatus{
		live: f.reached, next: f.next, end: f.snaps.end, at: f.snaps.at, begun: f.snaps.begun,
	}
}

// NewSnapshotter returns a snapshotter that writes through the committer, which
// must belong to the same stream.
func NewSnapshotter[M Machine](options SnapshotOptions, follower *Follower[M], committer *Committer) *Snapshotter {
	if options.PartBytes == 0 {
		options.PartBytes = defaultPartBytes
	}
	if options.May == nil {
		options.May = func() bool { return true }
	}
	return &Snapshotter{options: options, source: follower, committer: committer, now: follower.now, random: rand.Float64, began: follower.now()}
}

func (s *Snapshotter) spread() time.Duration { return min(s.options.Every/spreadShare, maxSpread) }

// Run writes snapshots when they are due until the context ends.
func (s *Snapshotter) Run(ctx context.Context) {
	t := time.NewTicker(max(s.spread()/checksPerSpread, minCheckInterval))
	defer t.Stop()
	for ctx.Err() == nil {
		if s.options.May() && s.turn(s.source.snapshotStatus(), s.now()) {
			s.write(ctx)
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// turn reports whether it is this process's turn to write: the snapshot is due,
// the wait is over, and no other process began one within the spread.
func (s *Snapshotter) turn(st snapshotStatus, now time.Time) bool {
	if !s.due(st, now) {
		s.dueAt = time.Time{}
		return false
	}
	if s.dueAt.IsZero() {
		s.dueAt, s.wait = now, suppression.Delay(s.spread(), s.random())
	}
	if now.Sub(s.dueAt) < s.wait {
		return false
	}
	return st.begun.IsZero() || now.Sub(st.begun) > s.spread()
}

// due reports whether a snapshot must be written. An idle stream gets one too,
// since the retention takes the older one.
func (s *Snapshotter) due(st snapshotStatus, now time.Time) bool {
	if !st.live || st.next == 0 {
		return false
	}
	if st.next-min(st.end, st.next) >= s.options.Entries {
		return true
	}
	last := st.at
	if last.IsZero() {
		last = s.began
	}
	return now.Sub(last) >= s.options.Every-s.spread()
}

// write appends the state part by part. A part that fails ends it: readers
// ignore what is not whole.
func (s *Snapshotter) write(ctx context.Context) {
	s.dueAt = time.Time{}
	state, err := s.source.Export()
	if err == nil {
		err = s.append(ctx, state)
	}
	if err != nil {
		events.SnapshotFailed.LogError(err, "stream", s.source.Stream(), "covers", state.Covers)
		wait.For(ctx, s.spread()/checksPerSpread)
		return
	}
	events.SnapshotWritten.Log("stream", s.source.Stream(), "covers", state.Covers, "bytes", len(state.Data))
}

func (s *Snapshotter) append(ctx context.Context, state State) error {
	parts := splitState(state, s.options.PartBytes)
	if len(parts) > maxSnapshotParts {
		return fault.Newf(fault.CodeTooLarge, fault.StepAppend, s.source.Stream(), "snapshot of %d parts", len(parts))
	}
	for _, part := range parts {
		if !s.options.May() {
			return fault.New(fault.CodeNotOwner, fault.StepAppend, s.source.Stream(), "no longer entitled to write")
		}
		if err := s.commit(ctx, part); err != nil {
			return err
		}
	}
	return nil
}

func (s *Snapshotter) commit(ctx context.Context, part *pb.SnapshotPart) error {
	ctx, cancel := context.WithTimeout(ctx, partTimeout)
	defer cancel()
	_, err := s.committer.Commit(ctx, &pb.Record{Body: &pb.Record_SnapshotPart{SnapshotPart: part}})
	return err
}

// splitState cuts a state into parts of at most partBytes.
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
