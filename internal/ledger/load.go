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
	"chervilridge/internal/platform"
)

const farAhead = math.MaxUint64 // an offset that no stream reaches

// seed is a state that a peer gave.
type seed struct {
	taken bool
	age   time.Duration // of the peer's view when it was taken
	at    time.Time
}

// State is a replayed state as of an offset, in the form that snapshots and
// peers carry.
type State struct {
	// Covers is the offset below which every entry is in the state.
	Covers uint64
	Data   []byte
	// Age is the time since the state was known to be the newest.
	Age time.Duration
}

// load joins the state on to the log. What was replayed or taken from a peer is
// kept if the log still has all that follows; else the newest snapshot that can
// be restored is taken. With neither it fails and the follower does not act.
func (f *Follower[M]) load(ctx context.Context) error {
	bounds, err := f.log.Read(ctx, f.stream, farAhead, 1, 0)
	if err != nil {
		return err
	}
	joined, err := f.join(bounds)
	if joined || err != nil {
		return err
	}
	snaps, err := f.findSnapshots(ctx, bounds)
	if err != nil {
		return err
	}
	for _, snap := range snaps {
		err := f.install(snap)
		if err == nil {
			return nil
		}
		events.SnapshotMismatch.LogError(err, "stream", f.stream, "covers", snap.covers)
	}
	return fault.Newf(fault.CodeStaleView, fault.StepRestore, f.stream,
		"entries below %d are gone and no whole snapshot is kept", bounds.Oldest)
}

// join goes on from the state at hand if nothing behind it was trimmed.
func (f *Follower[M]) join(bounds platform.ReadResult) (bool, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if bounds.Next < f.next {
		return false, f.shorter(bounds.Next)
	}
	if f.next < bounds.Oldest {
		return false, nil
	}
	f.loaded = true
	return true, nil
}

// install replaces the machine. The offset never moves back.
func (f *Follower[M]) install(snap *snapshot) error {
	machine, recent, err := f.decode(snap.data)
	if err != nil {
		return fault.Wrap(err, fault.CodeStaleView, fault.StepRestore, f.stream, "snapshot cannot be restored")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if snap.covers < f.next {
		return fault.Newf(fault.CodeStaleView, fault.StepRestore, f.stream, "snapshot covers %d, %d was applied", snap.covers, f.next)
	}
	f.machine, f.recent, f.next, f.loaded = machine, recent, snap.covers, true
	f.restores++
	f.snaps.note(snap, snap.writtenAt(f.now()))
	events.SnapshotRestored.Log("stream", f.stream, "covers", snap.covers, "bytes", len(snap.data))
	return nil
}

// findSnapshots returns the newest whole snapshots of the log, newest first.
func (f *Follower[M]) findSnapshots(ctx context.Context, bounds platform.ReadResult) ([]*snapshot, error) {
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
			scan.entry(e)
			from = e.Offset + 1
		}
	}
	for _, p := range scan.partial {
		events.SnapshotForgotten.Log("stream", f.stream, "snapshot", p.id, "missing", p.left)
	}
	return scan.whole, nil
}

func (f *Follower[M]) decode(data []byte) (M, *recentIDs, error) {
	machine := f.fresh()
	state := &pb.LedgerState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return machine, nil, err
	}
	if err := machine.Restore(state.Machine); err != nil {
		return machine, nil, err
	}
	return machine, newRecentIDs(state.Recent), nil
}

// encode returns the whole state. The lock must be held for reading.
func (f *Follower[M]) encode() ([]byte, error) {
	machine, err := f.machine.Snapshot()
	if err != nil {
		return nil, err
	}
	state := &pb.LedgerState{Machine: machine, Recent: f.recent.oldestFirst()}
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}

// Export returns the state; it fails if there is none to give.
func (f *Follower[M]) Export() (State, error) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	age, ok := f.stateAge()
	if !ok {
		return State{}, fault.New(fault.CodeStaleView, fault.StepRestore, f.stream, "no state yet")
	}
	data, err := f.encode()
	return State{Covers: f.next, Data: data, Age: age}, err
}

// stateAge returns how old the state is, also one that a peer gave.
func (f *Follower[M]) stateAge() (time.Duration, bool) {
	switch {
	case f.reached:
		return f.now().Sub(f.tailAt), true
	case f.seed.taken:
		return f.seed.age + f.now().Sub(f.seed.at), true
	}
	return 0, false
}

// StateAge returns how old the state is, also one that a peer gave; false if
// there is no state.
func (f *Follower[M]) StateAge() (time.Duration, bool) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.stateAge()
}

// Seed takes a peer's state while the log has not been read. It is refused if
// it is not newer than what is there; the view does not become fresh by it.
func (f *Follower[M]) Seed(state State) (bool, error) {
	machine, recent, err := f.decode(state.Data)
	if err != nil {
		return false, fault.Wrap(err, fault.CodeStaleView, fault.StepRestore, f.stream, "peer's state cannot be restored")
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.loaded || state.Covers <= f.next {
		return false, nil
	}
	f.machine, f.recent, f.next = machine, recent, state.Covers
	f.restores++
	f.seed = seed{taken: true, age: state.Age, at: f.now()}
	close(f.changed)
	f.changed = make(chan struct{})
	return true, nil
}

// Loaded reports whether the stream is followed from the log.
func (f *Follower[M]) Loaded() bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.loaded
}

// checkSnapshot compares a snapshot that covers exactly what was replayed with
// the replayed state.
func (f *Follower[M]) checkSnapshot(offset uint64, batch *pb.Batch) {
	if len(batch.Records) == 0 {
		return
	}
	part := batch.Records[0].GetSnapshotPart()
	if part == nil || part.Part != 0 || part.Covers != offset {
		return
	}
	data, err := f.encode()
	if err != nil || xxhash.Sum64(data) != part.Digest {
		f.mismatches++
		events.SnapshotMismatch.Log("stream", f.stream, "snapshot", part.SnapshotId, "covers", part.Covers)
	}
}
