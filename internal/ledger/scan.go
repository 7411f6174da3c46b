package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/platform"
)

const (
	maxSnapshotParts    = 4096
	maxPartialSnapshots = 8 // kept while their parts are awaited
	maxWholeSnapshots   = 3 // tried from the newest on at a load
)

// snapshot is a whole state read from the log.
type snapshot struct {
	covers uint64
	end    uint64 // offset behind the last part
	timeMs int64  // wall clock of the writer
	data   []byte
}

// partialSnapshot is a snapshot whose parts come one by one.
type partialSnapshot struct {
	id    string
	first *pb.SnapshotPart
	parts []*pb.SnapshotPart
	left  int
}

// snapshotScan collects parts and keeps the newest whole snapshots.
type snapshotScan struct {
	oldest  uint64
	partial []*partialSnapshot // oldest first
	whole   []*snapshot        // newest first
}

func newSnapshotScan(oldest uint64) *snapshotScan { return &snapshotScan{oldest: oldest} }

func (s *snapshotScan) entry(e platform.Entry) {
	batch := &pb.Batch{}
	if proto.Unmarshal(e.Payload, batch) != nil {
		return
	}
	for _, rec := range batch.Records {
		if part := rec.GetSnapshotPart(); part != nil {
			s.part(e.Offset, rec.TimeMs, part)
		}
	}
}

// part takes one part in and returns the snapshot if it is whole now. A state
// that claims to cover entries above its own place is not believed.
func (s *snapshotScan) part(offset uint64, timeMs int64, p *pb.SnapshotPart) *snapshot {
	if p.Part >= p.Parts || p.Parts > maxSnapshotParts || p.Covers < s.oldest || p.Covers > offset {
		return nil
	}
	held := s.find(p)
	if held == nil || held.parts[p.Part] != nil {
		return nil
	}
	held.parts[p.Part] = p
	held.left--
	if held.left > 0 {
		return nil
	}
	s.drop(held.id)
	return s.finish(held, offset, timeMs)
}

// find returns the snapshot that the part belongs to, or nil if it does not
// match the other parts.
func (s *snapshotScan) find(p *pb.SnapshotPart) *partialSnapshot {
	for _, held := range s.partial {
		if held.id != p.SnapshotId {
			continue
		}
		if held.first.Parts != p.Parts || held.first.Covers != p.Covers || held.first.Digest != p.Digest {
			return nil
		}
		return held
	}
	if len(s.partial) == maxPartialSnapshots {
		events.SnapshotForgotten.Log("snapshot", s.partial[0].id, "missing", s.partial[0].left)
		s.partial = s.partial[1:]
	}
	held := &partialSnapshot{id: p.SnapshotId, first: p, parts: make([]*pb.SnapshotPart, p.Parts), left: int(p.Parts)}
	s.partial = append(s.partial, held)
	return held
}

func (s *snapshotScan) drop(id string) {
	s.partial = slices.DeleteFunc(s.partial, func(p *partialSnapshot) bool { return p.id == id })
}

func (s *snapshotScan) finish(held *partialSnapshot, offset uint64, timeMs int64) *snapshot {
	snap := &snapshot{covers: held.first.Covers, end: offset + 1, timeMs: timeMs}
	for _, part := range held.parts {
		snap.data = append(snap.data, part.Data...)
	}
	if xxhash.Sum64(snap.data) != held.first.Digest {
		events.SnapshotMismatch.Log("snapshot", held.id, "covers", snap.covers)
		return nil
	}
	s.whole = append(s.whole, snap)
	slices.SortStableFunc(s.whole, func(a, b *snapshot) int { return cmp.Compare(b.covers, a.covers) })
	s.whole = s.whole[:min(len(s.whole), maxWholeSnapshots)]
	return snap
}

// snapshotTracker tells when the newest snapshot of a followed stream came.
type snapshotTracker struct {
	scan   *snapshotScan
	covers uint64
	end    uint64    // offset behind the newest whole snapshot
	at     time.Time // when it was read; zero if none was
	begun  time.Time // when a snapshot began that is not whole yet; zero if none
}

func (t *snapshotTracker) part(offset uint64, timeMs int64, p *pb.SnapshotPart, now time.Time) {
	if p.Part == 0 {
		t.begun = now
	}
	if snap := t.scan.part(offset, timeMs, p); snap != nil {
		t.begun = time.Time{}
		t.note(snap, now)
	}
	t.scan.whole = nil // only their place matters here
}

func (t *snapshotTracker) note(snap *snapshot, at time.Time) {
	if snap.covers >= t.covers {
		t.covers, t.end, t.at = snap.covers, snap.end, at
	}
}

// writtenAt estimates when a snapshot found at a start was written, from its
// writer's wall clock. A clock that is ahead does not put it into the future.
func (s *snapshot) writtenAt(now time.Time) time.Time {
	if at := time.UnixMilli(s.timeMs); at.Before(now) {
		return at
	}
	return now
}
