package ledger

import (
	"context"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/recordlog"
)

// offsetBeyondTail is an offset that no stream reaches: a read there returns the
// bounds of the stream and no entries.
const offsetBeyondTail = math.MaxUint64

// peerSeed describes the state that was received from a peer, if any.
type peerSeed struct {
	present    bool
	age        time.Duration // age of the peer's state when it was received
	receivedAt time.Time
}

// State is a replayed state as of an offset, encoded as in snapshots and in
// replies to peers.
type State struct {
	// Covers is the offset below which the state includes every entry.
	Covers uint64
	// Data is an encoded LedgerState message.
	Data []byte
	// Age is the time since the state was last known to be up to date.
	Age time.Duration
}

// load prepares the state for replaying the log. A state that was replayed or
// received from a peer is kept if the log still has all entries after it; otherwise
// load restores the newest snapshot that can be restored. Without either, it fails
// and the follower stays unloaded.
func (f *Follower[M]) load(ctx context.Context) error {
	bounds, err := f.log.Read(ctx, f.stream, offsetBeyondTail, 1, 0)
	if err != nil {
		return err
	}
	resumed, err := f.resumeFromState(bounds)
	if resumed || err != nil {
		return err
	}
	snaps, err := f.findSnapshots(ctx, bounds)
	if err != nil {
		return err
	}
	for _, snap := range snaps {
		err := f.installSnapshot(snap)
		if err == nil {
			return nil
		}
		events.SnapshotInvalid.LogError(err, "stream", f.stream, "covers", snap.covers)
	}
	return fault.Newf(fault.CodeStaleView, fault.StepRestore, f.stream,
		"entries below offset %d were trimmed and no complete snapshot could be restored", bounds.Oldest)
}

// resumeFromState keeps the current state if no entry after it was trimmed, and
// reports whether it did.
func (f *Follower[M]) resumeFromState(bounds recordlog.ReadResult) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if bounds.Next < f.nextOffset {
		return false, f.rejectShorterLog(bounds.Next)
	}
	if f.nextOffset < bounds.Oldest {
		return false, nil
	}
	f.loaded = true
	return true, nil
}

// installSnapshot replaces the state by the snapshot's. It rejects a snapshot
// that would move the offset back.
func (f *Follower[M]) installSnapshot(snap *snapshot) error {
	machine, recent, err := f.decodeState(snap.data)
	if err != nil {
		return fault.Wrap(err, fault.CodeStaleView, fault.StepRestore, f.stream, "snapshot cannot be restored")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if snap.covers < f.nextOffset {
		return fault.Newf(fault.CodeStaleView, fault.StepRestore, f.stream, "snapshot covers entries below offset %d, but entries below %d were applied", snap.covers, f.nextOffset)
	}
	f.machine, f.recent, f.nextOffset, f.loaded = machine, recent, snap.covers, true
	f.restoreCount++
	f.deliverCoveredResults()
	f.snapshots.recordSnapshot(snap, snap.writtenAt(f.now()))
	events.SnapshotRestored.Log("stream", f.stream, "covers", snap.covers, "bytes", len(snap.data))
	return nil
}

// findSnapshots reads the whole log and returns its newest complete snapshots,
// newest first.
func (f *Follower[M]) findSnapshots(ctx context.Context, bounds recordlog.ReadResult) ([]*snapshot, error) {
	scan := newSnapshotScan(bounds.Oldest)
	for from := bounds.Oldest; from < bounds.Next; {
		res, err := f.log.Read(ctx, f.stream, from, readLimit, 0)
		if err != nil {
			return nil, err
		}
		if len(res.Entries) == 0 {
			break
		}
		for _, e := range res.Entries {
			scan.addEntry(e)
			from = e.Offset + 1
		}
	}
	for _, p := range scan.partial {
		events.SnapshotIncomplete.Log("stream", f.stream, "snapshot", p.id, "missing", p.missingParts)
	}
	return scan.complete, nil
}

// decodeState restores an encoded state into a new state machine.
func (f *Follower[M]) decodeState(data []byte) (M, *recentIDs, error) {
	machine := f.newMachine()
	state := &pb.LedgerState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return machine, nil, err
	}
	if err := machine.Restore(state.Machine); err != nil {
		return machine, nil, err
	}
	return machine, newRecentIDs(state.Recent), nil
}

// encodeState encodes the state machine and the recent ids. The caller must hold
// at least the read lock.
func (f *Follower[M]) encodeState() ([]byte, error) {
	machine, err := f.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	state := &pb.LedgerState{Machine: machine, Recent: f.recent.oldestFirst()}
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}

// Export returns the current state. It fails if neither the log nor a peer has
// provided one yet.
func (f *Follower[M]) Export() (State, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	age, ok := f.stateAge()
	if !ok {
		return State{}, fault.New(fault.CodeStaleView, fault.StepRestore, f.stream, "no state has been loaded yet")
	}
	data, err := f.encodeState()
	return State{Covers: f.nextOffset, Data: data, Age: age}, err
}

// stateAge implements StateAge. The caller must hold at least the read lock.
func (f *Follower[M]) stateAge() (time.Duration, bool) {
	switch {
	case f.reachedTail:
		return f.now().Sub(f.tailReadSentAt), true
	case f.seed.present:
		return f.seed.age + f.now().Sub(f.seed.receivedAt), true
	}
	return 0, false
}

// StateAge returns the age of the state, whether it comes from the log or a peer.
// It returns false if there is no state yet.
func (f *Follower[M]) StateAge() (time.Duration, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.stateAge()
}

// Seed installs a peer's state while the state is not loaded from the log, and
// reports whether it did. A state that is not newer than the current one is
// ignored. Age and FreshWithin do not count a peer's state.
func (f *Follower[M]) Seed(state State) (bool, error) {
	machine, recent, err := f.decodeState(state.Data)
	if err != nil {
		return false, fault.Wrap(err, fault.CodeStaleView, fault.StepRestore, f.stream, "peer's state cannot be restored")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded || state.Covers <= f.nextOffset {
		return false, nil
	}
	f.machine, f.recent, f.nextOffset = machine, recent, state.Covers
	f.restoreCount++
	f.deliverCoveredResults()
	f.seed = peerSeed{present: true, age: state.Age, receivedAt: f.now()}
	close(f.changed)
	f.changed = make(chan struct{})
	return true, nil
}

// Loaded reports whether the follower replays the log from its state on, without
// missing entries in between. It may not have reached the tail yet.
func (f *Follower[M]) Loaded() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.loaded
}

// checkSnapshot compares the digest of a snapshot that covers exactly the entries
// replayed so far with that of the replayed state, and counts a difference.
func (f *Follower[M]) checkSnapshot(offset uint64, batch *pb.Batch) {
	if len(batch.Records) == 0 {
		return
	}
	part := batch.Records[0].GetSnapshotPart()
	if part == nil || part.Part != 0 || part.Covers != offset {
		return
	}
	data, err := f.encodeState()
	if err != nil || xxhash.Sum64(data) != part.Digest {
		f.snapshotMismatches++
		events.SnapshotInvalid.Log("stream", f.stream, "snapshot", part.SnapshotId, "covers", part.Covers)
	}
}
