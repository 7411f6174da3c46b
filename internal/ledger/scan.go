package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/recordlog"
)

const (
	maxSnapshotParts     = 4096 // parts of one snapshot
	maxPartialSnapshots  = 8    // incomplete snapshots whose parts are kept
	maxCompleteSnapshots = 3    // complete snapshots kept; a load tries them newest first
)

// snapshot is a complete snapshot read from the log.
type snapshot struct {
	covers    uint64 // offset below which it includes every entry
	endOffset uint64 // offset after the part that completed it
	timeMs    int64  // wall clock of the writer, in milliseconds since the epoch
	data      []byte
}

// partialSnapshot is a snapshot of which parts are missing.
type partialSnapshot struct {
	id           string
	firstPart    *pb.SnapshotPart   // the part that was read first
	parts        []*pb.SnapshotPart // by part number; nil while missing
	missingParts int
}

// snapshotScan assembles snapshots from their parts and keeps the newest complete
// ones.
type snapshotScan struct {
	oldestOffset uint64             // snapshots that cover less are ignored
	partial      []*partialSnapshot // oldest first
	complete     []*snapshot        // newest first
}

func newSnapshotScan(oldest uint64) *snapshotScan { return &snapshotScan{oldestOffset: oldest} }

// addEntry adds the snapshot parts of an entry.
func (s *snapshotScan) addEntry(e recordlog.Entry) {
	batch := &pb.Batch{}
	if proto.Unmarshal(e.Payload, batch) != nil {
		return
	}
	for _, rec := range batch.Records {
		if part := rec.GetSnapshotPart(); part != nil {
			s.addPart(e.Offset, rec.TimeMs, part)
		}
	}
}

// addPart adds a part and returns the snapshot if the part completes it. It
// ignores parts that claim to cover entries at or above their own offset, and
// snapshots after which entries were trimmed.
func (s *snapshotScan) addPart(offset uint64, timeMs int64, p *pb.SnapshotPart) *snapshot {
	if p.Part >= p.Parts || p.Parts > maxSnapshotParts || p.Covers < s.oldestOffset || p.Covers > offset {
		return nil
	}
	partial := s.partialFor(p)
	if partial == nil || partial.parts[p.Part] != nil {
		return nil
	}
	partial.parts[p.Part] = p
	partial.missingParts--
	if partial.missingParts > 0 {
		return nil
	}
	s.removePartial(partial.id)
	return s.assemble(partial, offset, timeMs)
}

// partialFor returns the partial snapshot that the part belongs to, adding one if
// needed, or nil if the part does not match the parts read before.
func (s *snapshotScan) partialFor(p *pb.SnapshotPart) *partialSnapshot {
	for _, partial := range s.partial {
		if partial.id != p.SnapshotId {
			continue
		}
		if partial.firstPart.Parts != p.Parts || partial.firstPart.Covers != p.Covers || partial.firstPart.Digest != p.Digest {
			return nil
		}
		return partial
	}
	if len(s.partial) == maxPartialSnapshots {
		events.SnapshotIncomplete.Log("snapshot", s.partial[0].id, "missing", s.partial[0].missingParts)
		s.partial = s.partial[1:]
	}
	partial := &partialSnapshot{id: p.SnapshotId, firstPart: p, parts: make([]*pb.SnapshotPart, p.Parts), missingParts: int(p.Parts)}
	s.partial = append(s.partial, partial)
	return partial
}

func (s *snapshotScan) removePartial(id string) {
	s.partial = slices.DeleteFunc(s.partial, func(p *partialSnapshot) bool { return p.id == id })
}

// assemble joins the parts and keeps the snapshot. It returns nil if the digest
// does not match the data.
func (s *snapshotScan) assemble(partial *partialSnapshot, offset uint64, timeMs int64) *snapshot {
	snap := &snapshot{covers: partial.firstPart.Covers, endOffset: offset + 1, timeMs: timeMs}
	for _, part := range partial.parts {
		snap.data = append(snap.data, part.Data...)
	}
	if xxhash.Sum64(snap.data) != partial.firstPart.Digest {
		events.SnapshotInvalid.Log("snapshot", partial.id, "covers", snap.covers)
		return nil
	}
	s.complete = append(s.complete, snap)
	slices.SortStableFunc(s.complete, func(a, b *snapshot) int { return cmp.Compare(b.covers, a.covers) })
	s.complete = s.complete[:min(len(s.complete), maxCompleteSnapshots)]
	return snap
}

// snapshotTracker records where and when the newest complete snapshot of a followed
// stream was written, and whether another one is being written.
type snapshotTracker struct {
	scan      *snapshotScan
	covers    uint64    // of the newest complete snapshot
	endOffset uint64    // of the newest complete snapshot
	seenAt    time.Time // when it was read, or written if restored; zero if there is none
	startedAt time.Time // when the first part of an incomplete snapshot was read; zero if none
}

// addPart records a part that was read at now.
func (t *snapshotTracker) addPart(offset uint64, timeMs int64, p *pb.SnapshotPart, now time.Time) {
	if p.Part == 0 {
		t.startedAt = now
	}
	if snap := t.scan.addPart(offset, timeMs, p); snap != nil {
		t.startedAt = time.Time{}
		t.recordSnapshot(snap, now)
	}
	t.scan.complete = nil // the data is not needed
}

// recordSnapshot records a complete snapshot, unless a newer one is recorded.
func (t *snapshotTracker) recordSnapshot(snap *snapshot, at time.Time) {
	if snap.covers >= t.covers {
		t.covers, t.endOffset, t.seenAt = snap.covers, snap.endOffset, at
	}
}

// writtenAt estimates when the snapshot was written, from its writer's wall clock.
// The result is at most now, even if that clock is ahead.
func (s *snapshot) writtenAt(now time.Time) time.Time {
	if at := time.UnixMilli(s.timeMs); at.Before(now) {
		return at
	}
	return now
}
