package ledger

import (
	"context"
	"errors"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/platform"
)

// load builds the state from the newest whole snapshot, or from offset 0 if
// nothing was trimmed. With neither it fails and the follower does not act.
func (f *Follower[M]) load(ctx context.Context) error {
	bounds, err := f.log.Read(ctx, f.stream, farAhead, 1, 0)
	if err != nil {
		return err
	}
	snap, err := f.findSnapshot(ctx, bounds.Oldest, bounds.Next)
	if err != nil {
		return err
	}
	if snap == nil && bounds.Oldest > 0 {
		return fault.Newf(fault.CodeStaleView, fault.StepRestore, f.stream,
			"entries below %d are gone and no snapshot is kept", bounds.Oldest)
	}
	return f.install(snap)
}

// install replaces the machine. The offset never moves back.
func (f *Follower[M]) install(snap *snapshot) error {
	machine, next := f.fresh(), uint64(0)
	if snap != nil {
		if err := machine.Restore(snap.data); err != nil {
			return fault.Wrap(err, fault.CodeStaleView, fault.StepRestore, f.stream, "snapshot cannot be restored")
		}
		next = snap.covers
		events.SnapshotRestored.Log("stream", f.stream, "covers", next, "bytes", len(snap.data))
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = true
	if next < f.next {
		return nil
	}
	f.machine, f.next = machine, next
	return nil
}

// snapshot is a whole state read from the log.
type snapshot struct {
	covers uint64
	data   []byte
}

// findSnapshot returns the newest whole snapshot between two offsets, or nil.
func (f *Follower[M]) findSnapshot(ctx context.Context, oldest, next uint64) (*snapshot, error) {
	scan := snapshotScan{oldest: oldest, partial: map[string][]*pb.SnapshotPart{}}
	for from := oldest; from < next; {
		res, err := f.log.Read(ctx, f.stream, from, readLimit, 0)
		if errors.Is(err, platform.ErrTrimmed) {
			return nil, err
		}
		if err != nil {
			return nil, err
		}
		if len(res.Entries) == 0 {
			break
		}
		for _, e := range res.Entries {
			scan.entry(e)
			from = e.Offset + 1
		}
	}
	return scan.newest, nil
}

// snapshotScan collects snapshot parts and keeps the newest whole snapshot.
type snapshotScan struct {
	oldest  uint64
	partial map[string][]*pb.SnapshotPart
	newest  *snapshot
}

func (s *snapshotScan) entry(e platform.Entry) {
	batch := &pb.Batch{}
	if proto.Unmarshal(e.Payload, batch) != nil {
		return
	}
	for _, rec := range batch.Records {
		if part := rec.GetSnapshotPart(); part != nil {
			s.part(part)
		}
	}
}

func (s *snapshotScan) part(p *pb.SnapshotPart) {
	if p.Part >= p.Parts || p.Covers < s.oldest {
		return
	}
	parts := s.partial[p.SnapshotId]
	if parts == nil {
		parts = make([]*pb.SnapshotPart, p.Parts)
		s.partial[p.SnapshotId] = parts
	}
	if int(p.Parts) != len(parts) {
		return
	}
	parts[p.Part] = p
	s.complete(p, parts)
}

func (s *snapshotScan) complete(p *pb.SnapshotPart, parts []*pb.SnapshotPart) {
	var data []byte
	for _, part := range parts {
		if part == nil {
			return
		}
		data = append(data, part.Data...)
	}
	delete(s.partial, p.SnapshotId)
	if xxhash.Sum64(data) != p.Digest {
		events.SnapshotMismatch.Log("snapshot", p.SnapshotId, "covers", p.Covers)
		return
	}
	if s.newest == nil || p.Covers >= s.newest.covers {
		s.newest = &snapshot{covers: p.Covers, data: data}
	}
}
