package ledger

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/recordlog"
)

// applyEntry applies the records of the next entry and ignores any other entry.
// A payload that cannot be decoded counts as an entry without records.
func (f *Follower[M]) applyEntry(e recordlog.Entry) {
	if e.Offset != f.nextOffset {
		return
	}
	batch := &pb.Batch{}
	if err := proto.Unmarshal(e.Payload, batch); err != nil {
		events.EntryMalformed.LogError(err, "stream", f.stream, "offset", e.Offset)
		batch.Reset()
	}
	f.checkSnapshot(e.Offset, batch)
	for _, rec := range batch.Records {
		f.applyRecord(e.Offset, rec)
	}
	f.nextOffset = e.Offset + 1
}

func (f *Follower[M]) applyRecord(offset uint64, rec *pb.Record) {
	if part := rec.GetSnapshotPart(); part != nil {
		f.snapshots.addPart(offset, rec.TimeMs, part, f.now())
		f.deliverResult(rec.Id, ApplyResult{Offset: offset})
		return
	}
	v := ApplyResult{Offset: offset, Rejection: f.applyOnce(offset, rec)}
	f.deliverResult(rec.Id, v)
	for _, hook := range f.onApply {
		hook(rec, v)
	}
}

// applyOnce applies the record unless it is a duplicate of a recent one.
func (f *Follower[M]) applyOnce(offset uint64, rec *pb.Record) *Rejection {
	if rec.Id == "" {
		return f.applyRecovering(offset, rec)
	}
	if _, seen := f.recent.lookup(rec.Id); seen {
		events.RecordDuplicate.Log("stream", f.stream, "offset", offset, "record", rec.Id)
		return Reject(ReasonDuplicate, "duplicate of record %s", rec.Id)
	}
	rej := f.applyRecovering(offset, rec)
	f.recent.remember(rec.Id, rej == nil)
	return rej
}

// deliverCoveredResults delivers the results of awaited records that a restored
// state covers, since this follower will not replay them.
func (f *Follower[M]) deliverCoveredResults() {
	for id := range f.waiters {
		accepted, seen := f.recent.lookup(id)
		if !seen {
			continue
		}
		v := ApplyResult{Offset: f.nextOffset - 1}
		if !accepted {
			v.Rejection = Reject(ReasonCovered, "record was rejected; the restored state that covers it does not hold the reason")
		}
		f.deliverResult(id, v)
	}
}

// applyRecovering applies the record and rejects it if the state machine panics;
// otherwise one bad record would crash every process that reads it. All readers
// run the same state machine and panic at the same point, so their states stay
// equal.
func (f *Follower[M]) applyRecovering(offset uint64, rec *pb.Record) (rej *Rejection) {
	defer func() {
		if cause := recover(); cause != nil {
			events.ReplayPanicked.Log("stream", f.stream, "offset", offset, "record", rec.Id, "cause", cause)
			rej = Reject(ReasonInvalid, "replay failed: %v", cause)
		}
	}()
	return f.machine.Apply(rec)
}

// deliverResult sends the result to all waiters of the record and removes them,
// so they get the first result only.
func (f *Follower[M]) deliverResult(id string, v ApplyResult) {
	for _, ch := range f.waiters[id] {
		ch <- v
	}
	delete(f.waiters, id)
}

// registerWaiter returns a channel that receives the result of the record.
func (f *Follower[M]) registerWaiter(id string) <-chan ApplyResult {
	ch := make(chan ApplyResult, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiters[id] = append(f.waiters[id], ch)
	return ch
}

// unregisterWaiter removes one waiter of a record.
func (f *Follower[M]) unregisterWaiter(id string, waiter <-chan ApplyResult) {
	f.mu.Lock()
	defer f.mu.Unlock()
	remaining := slices.DeleteFunc(f.waiters[id], func(ch chan ApplyResult) bool { return ch == waiter })
	if len(remaining) == 0 {
		delete(f.waiters, id)
		return
	}
	f.waiters[id] = remaining
}

// hasWaiter reports whether anyone waits for the result of the record.
func (f *Follower[M]) hasWaiter(id string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.waiters[id]) > 0
}

// newestReadSeq returns the sequence number of the newest read sent.
func (f *Follower[M]) newestReadSeq() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.readSeq
}

// awaitTail waits until a read with a sequence number above afterSeq reached the
// tail, stop returns true, or the context ends.
func (f *Follower[M]) awaitTail(ctx context.Context, afterSeq uint64, stop func() bool) {
	for ctx.Err() == nil && !stop() {
		f.mu.RLock()
		reached, changed := f.tailReadSeq > afterSeq, f.changed
		f.mu.RUnlock()
		if reached {
			return
		}
		waitChanged(ctx, changed)
	}
}

// waitChanged waits until the channel is closed, the context ends or retryPause
// has passed.
func waitChanged(ctx context.Context, changed <-chan struct{}) {
	timeout, cancel := context.WithTimeout(ctx, retryPause)
	defer cancel()
	select {
	case <-changed:
	case <-timeout.Done():
	}
}
