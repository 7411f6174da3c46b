package ledger

import (
	"context"
	"errors"
	"math"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/platform"
)

const (
	readLimit   = 512                    // entries in one read
	retryPause  = 100 * time.Millisecond // between reads while the log is down
	farAhead    = math.MaxUint64         // an offset that no stream reaches
	maxPollWait = 30 * time.Second
)

// Follower replays one stream into a machine. One lock guards the machine and
// the offsets; readers share it.
type Follower[M Machine] struct {
	log    platform.Log
	stream string
	fresh  func() M
	poll   time.Duration

	mu       sync.RWMutex
	machine  M
	next     uint64    // offset of the next entry to apply
	loaded   bool      // whether the state is whole
	tailAt   time.Time // when the newest read that reached the tail was sent
	reached  bool
	down     bool
	changed  chan struct{}
	expected map[string][]chan Verdict
	onApply  []func(rec *pb.Record, v Verdict)
}

// NewFollower returns a follower that has read nothing yet; fresh makes an
// empty machine, poll is how long one read waits at the tail.
func NewFollower[M Machine](log platform.Log, stream string, poll time.Duration, fresh func() M) *Follower[M] {
	return &Follower[M]{
		log: log, stream: stream, fresh: fresh, poll: min(poll, maxPollWait),
		machine: fresh(), changed: make(chan struct{}), expected: map[string][]chan Verdict{},
	}
}

// Stream returns the name of the followed stream.
func (f *Follower[M]) Stream() string { return f.stream }

// OnApply adds a function that is called after each applied record, under the
// follower's lock. It must be added before Run.
func (f *Follower[M]) OnApply(do func(rec *pb.Record, v Verdict)) { f.onApply = append(f.onApply, do) }

// View calls read with the machine under the read lock.
func (f *Follower[M]) View(read func(m M)) {
	f.mu.RLock()
	defer f.mu.RUnlock()
	read(f.machine)
}

// Next returns the offset of the next entry to apply.
func (f *Follower[M]) Next() uint64 {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.next
}

// Age returns how old the view is: the time since the newest read that reached
// the tail was sent. It is negative while no read has reached it.
func (f *Follower[M]) Age(now time.Time) time.Duration {
	f.mu.RLock()
	defer f.mu.RUnlock()
	if !f.reached {
		return -1
	}
	return now.Sub(f.tailAt)
}

// FreshWithin reports whether the view is at most limit old.
func (f *Follower[M]) FreshWithin(limit time.Duration) bool {
	age := f.Age(time.Now())
	return age >= 0 && age <= limit
}

// Changed returns a channel that is closed at the next applied entry.
func (f *Follower[M]) Changed() <-chan struct{} {
	f.mu.RLock()
	defer f.mu.RUnlock()
	return f.changed
}

// WaitLoaded waits until the first read reached the tail.
func (f *Follower[M]) WaitLoaded(ctx context.Context) error {
	for {
		f.mu.RLock()
		ok, changed := f.reached, f.changed
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
		if err := f.step(ctx); err != nil {
			f.noteDown(err)
			pause(ctx, retryPause)
		}
	}
}

// step loads the state if it is not whole, else reads on once.
func (f *Follower[M]) step(ctx context.Context) error {
	f.mu.RLock()
	loaded, from := f.loaded, f.next
	f.mu.RUnlock()
	if !loaded {
		return f.load(ctx)
	}
	sent := time.Now()
	res, err := f.log.Read(ctx, f.stream, from, readLimit, f.poll)
	if errors.Is(err, platform.ErrTrimmed) {
		f.noteGap(from)
		return nil
	}
	if err != nil {
		return err
	}
	f.take(res, sent)
	return nil
}

// noteGap marks the state as not whole; it is loaded anew from a snapshot.
func (f *Follower[M]) noteGap(from uint64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loaded = false
	f.reached = false
	events.ReplayGap.Log("stream", f.stream, "offset", from)
}

func (f *Follower[M]) noteDown(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		return
	}
	f.down = true
	events.LogUnreachable.LogError(err, "stream", f.stream, "offset", f.next)
}

func (f *Follower[M]) take(res platform.ReadResult, sent time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.down {
		f.down = false
		events.LogReachable.Log("stream", f.stream, "offset", f.next)
	}
	for _, e := range res.Entries {
		f.applyEntry(e)
	}
	if f.next >= res.Next {
		f.tailAt, f.reached = sent, true
	}
	close(f.changed)
	f.changed = make(chan struct{})
}

func (f *Follower[M]) applyEntry(e platform.Entry) {
	if e.Offset != f.next {
		return
	}
	f.next = e.Offset + 1
	batch := &pb.Batch{}
	if err := proto.Unmarshal(e.Payload, batch); err != nil {
		events.RecordMalformed.LogError(err, "stream", f.stream, "offset", e.Offset)
		return
	}
	for _, rec := range batch.Records {
		f.applyRecord(e.Offset, rec)
	}
}

func (f *Follower[M]) applyRecord(offset uint64, rec *pb.Record) {
	if rec.GetSnapshotPart() != nil {
		f.settle(rec.Id, Verdict{Offset: offset})
		return
	}
	v := Verdict{Offset: offset, Rejection: f.machine.Apply(rec)}
	f.settle(rec.Id, v)
	for _, do := range f.onApply {
		do(rec, v)
	}
}

// settle gives the verdict to those who wait for the record. The first verdict
// counts: a second copy of a record is rejected by its own precondition.
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

func pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-ctx.Done():
	}
}
