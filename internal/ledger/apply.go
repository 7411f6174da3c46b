package ledger

import (
	"context"
	"slices"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/platform"
)

func (f *Follower[M]) applyEntry(e platform.Entry) {
	if e.Offset != f.next {
		return
	}
	batch := &pb.Batch{}
	if err := proto.Unmarshal(e.Payload, batch); err != nil {
		events.RecordMalformed.LogError(err, "stream", f.stream, "offset", e.Offset)
		batch.Reset()
	}
	f.checkSnapshot(e.Offset, batch)
	for _, rec := range batch.Records {
		f.applyRecord(e.Offset, rec)
	}
	f.next = e.Offset + 1
}

func (f *Follower[M]) applyRecord(offset uint64, rec *pb.Record) {
	if part := rec.GetSnapshotPart(); part != nil {
		f.snaps.part(offset, rec.TimeMs, part, f.now())
		f.settle(rec.Id, Verdict{Offset: offset})
		return
	}
	v := Verdict{Offset: offset, Rejection: f.judge(offset, rec)}
	f.settle(rec.Id, v)
	for _, do := range f.onApply {
		do(rec, v)
	}
}

// judge applies the record unless it is a second copy.
func (f *Follower[M]) judge(offset uint64, rec *pb.Record) *Rejection {
	if rec.Id != "" && f.recent.note(rec.Id) {
		events.RecordRepeated.Log("stream", f.stream, "offset", offset, "record", rec.Id)
		return Reject(ReasonDuplicate, "second copy of record %s", rec.Id)
	}
	return f.applySafely(offset, rec)
}

// applySafely keeps a record that the machine cannot take from ending every
// process that reads it. All readers run the same machine and stop at the same
// point, so they still agree.
func (f *Follower[M]) applySafely(offset uint64, rec *pb.Record) (rej *Rejection) {
	defer func() {
		if cause := recover(); cause != nil {
			events.ReplayPanicked.Log("stream", f.stream, "offset", offset, "record", rec.Id, "cause", cause)
			rej = Reject(ReasonInvalid, "replay failed: %v", cause)
		}
	}()
	return f.machine.Apply(rec)
}

// settle gives the verdict to those who wait for the record. The first verdict
// counts.
func (f *Follower[M]) settle(id string, v Verdict) {
	for _, ch := range f.expected[id] {
		ch <- v
	}
	delete(f.expected, id)
}

// expect returns a channel that gets the verdict on the record.
func (f *Follower[M]) expect(id string) <-chan Verdict {
	ch := make(chan Verdict, 1)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.expected[id] = append(f.expected[id], ch)
	return ch
}

// unexpect drops one waiter of a record.
func (f *Follower[M]) unexpect(id string, waiter <-chan Verdict) {
	f.mu.Lock()
	defer f.mu.Unlock()
	kept := slices.DeleteFunc(f.expected[id], func(ch chan Verdict) bool { return ch == waiter })
	if len(kept) == 0 {
		delete(f.expected, id)
		return
	}
	f.expected[id] = kept
}

// awaits reports whether anyone waits for the verdict on the record.
func (f *Follower[M]) awaits(id string) bool {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return len(f.expected[id]) > 0
}

// readsSent returns the number of the newest read sent.
func (f *Follower[M]) readsSent() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.sent
}

// awaitTail waits until a read with a higher number than after reached the
// tail, or stop says that there is nothing to wait for.
func (f *Follower[M]) awaitTail(ctx context.Context, after uint64, stop func() bool) {
	for ctx.Err() == nil && !stop() {
		f.mu.RLock()
		reached, changed := f.tailRead > after, f.changed
		f.mu.RUnlock()
		if reached {
			return
		}
		waitOr(ctx, changed)
	}
}

// waitOr waits for the channel, the context or a short while.
func waitOr(ctx context.Context, changed <-chan struct{}) {
	short, cancel := context.WithTimeout(ctx, retryPause)
	defer cancel()
	select {
	case <-changed:
	case <-short.Done():
	}
}
