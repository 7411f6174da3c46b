package ledger_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/recordlog"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/table"
)

// snapshotParts returns the parts of all snapshots that the store still holds.
func snapshotParts(store *logstore.Store) []*pb.SnapshotPart {
	var out []*pb.SnapshotPart
	for _, rec := range storedRecords(store) {
		if p := rec.GetSnapshotPart(); p != nil {
			out = append(out, p)
		}
	}
	return out
}

// storedRecords returns the records that the store still holds.
func storedRecords(store *logstore.Store) []*pb.Record {
	bounds, err := store.Read(context.Background(), table.Stream, 1<<62, 1, 0)
	if err != nil {
		return nil
	}
	res, err := store.Read(context.Background(), table.Stream, bounds.Oldest, 1<<20, 0)
	if err != nil {
		return nil
	}
	var out []*pb.Record
	for _, e := range res.Entries {
		batch := &pb.Batch{}
		if proto.Unmarshal(e.Payload, batch) == nil {
			out = append(out, batch.Records...)
		}
	}
	return out
}

// completeSnapshots counts the complete snapshots that the store still holds.
func completeSnapshots(store *logstore.Store) int {
	seen := map[string]uint32{}
	n := 0
	for _, p := range snapshotParts(store) {
		seen[p.SnapshotId]++
		if seen[p.SnapshotId] == p.Parts {
			n++
		}
	}
	return n
}

// withLongNotice makes rows large, so that snapshots have several parts.
func withLongNotice(rec *pb.Record) *pb.Record {
	rec.GetRowPut().Row.Notice = strings.Repeat("x", 400)
	return rec
}

// commitRows commits one large row for each number from from to to-1.
func (r *rig) commitRows(t *testing.T, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		assert.Assert(t, r.commit(t, withLongNotice(putRow(fmt.Sprintf("c%04d", i), 1, 0))).Rejection == nil)
	}
}

// TestStartFromSnapshotAndTail starts a follower on a log of which all but 30
// entries are trimmed: it must restore a snapshot and replay what follows.
func TestStartFromSnapshotAndTail(t *testing.T) {
	t.Parallel()
	r := newRig(t, logstore.New(logstore.Options{RetainEntries: 30}), unlimitedAppends)
	snaps := ledger.NewSnapshotter(ledger.SnapshotOptions{Interval: time.Hour, MaxEntries: 10, PartBytes: 2048}, r.follower, r.committer)
	snaps.SetRandom(func() float64 { return 0 })
	startLoops(t, snaps.Run)
	waitForTail(t, r.follower)
	for i := range 6 {
		r.commitRows(t, i*10, i*10+10)
		eventually(t, "snapshot of the newest ten rows", func() bool {
			for _, p := range snapshotParts(r.store) {
				if p.Part+1 == p.Parts && p.Covers >= uint64(10*i+10) {
					return true
				}
			}
			return false
		})
	}
	assertTrimmed(t, r.store)
	newest := snapshotParts(r.store)
	assert.Assert(t, newest[len(newest)-1].Parts > 1, "snapshot has only one part")
	assert.Assert(t, len(newest[0].Data) <= 2048)
	r.assertFreshReaderAgrees(t)
}

// TestIncompleteSnapshotIsIgnored writes a complete snapshot and only the first part
// of a second one: a new follower must restore the former.
func TestIncompleteSnapshotIsIgnored(t *testing.T) {
	store := logstore.New(logstore.Options{RetainEntries: 25})
	r := newRig(t, store, unlimitedAppends)
	waitForTail(t, r.follower)
	r.commitRows(t, 0, 20)
	writeParts(t, r, func([]*pb.SnapshotPart) {}, -1)
	r.commitRows(t, 20, 30)
	writeParts(t, r, func([]*pb.SnapshotPart) {}, 1)
	r.commitRows(t, 30, 32)
	assertTrimmed(t, r.store)
	r.assertFreshReaderAgrees(t)
}

// TestDamagedSnapshotIsIgnored writes a valid snapshot and then invalid ones: with a
// flipped bit, with a valid digest but data that cannot be decoded, with an offset
// that is not in the log yet, and with four billion parts.
func TestDamagedSnapshotIsIgnored(t *testing.T) {
	store := logstore.New(logstore.Options{RetainEntries: 35})
	r := newRig(t, store, unlimitedAppends)
	waitForTail(t, r.follower)
	r.commitRows(t, 0, 20)
	writeParts(t, r, func([]*pb.SnapshotPart) {}, -1)
	r.commitRows(t, 20, 30)
	writeParts(t, r, func(p []*pb.SnapshotPart) { p[0].Data[300] ^= 1 }, -1)
	nonsense := ledger.SplitState(ledger.State{Covers: r.follower.NextOffset(), Data: []byte{0xff, 0xff}}, 1024)
	r.commit(t, &pb.Record{Body: &pb.Record_SnapshotPart{SnapshotPart: nonsense[0]}})
	writeParts(t, r, func(p []*pb.SnapshotPart) {
		for _, part := range p {
			part.Covers += 1000
		}
	}, -1)
	r.commit(t, &pb.Record{Body: &pb.Record_SnapshotPart{SnapshotPart: &pb.SnapshotPart{
		SnapshotId: "huge", Parts: 1<<32 - 1, Covers: r.follower.NextOffset(),
	}}})
	r.commitRows(t, 30, 35)
	assertTrimmed(t, r.store)
	r.assertFreshReaderAgrees(t)
}

// assertTrimmed checks that the oldest entries of the log are trimmed.
func assertTrimmed(t *testing.T, store *logstore.Store) {
	t.Helper()
	bounds, err := store.Read(context.Background(), table.Stream, 1<<62, 1, 0)
	assert.NilError(t, err)
	assert.Assert(t, bounds.Oldest > 0, "no entry was trimmed")
}

// writeParts appends a snapshot of the follower's state after applying change to
// its parts, but at most limit parts; a negative limit means all.
func writeParts(t *testing.T, r *rig, change func([]*pb.SnapshotPart), limit int) {
	t.Helper()
	waitCaughtUp(t, r.store, r.follower)
	state, err := r.follower.Export()
	assert.NilError(t, err)
	all := ledger.SplitState(state, 4096)
	assert.Assert(t, len(all) > 1)
	change(all)
	for i, p := range all {
		if i == limit {
			return
		}
		r.commit(t, &pb.Record{Body: &pb.Record_SnapshotPart{SnapshotPart: p}})
	}
}

// TestTrimmedLogWithoutSnapshotIsNotLoaded starts a follower on a log whose oldest
// entries are trimmed and that holds no snapshot. The follower must not count as
// loaded or fresh.
func TestTrimmedLogWithoutSnapshotIsNotLoaded(t *testing.T) {
	store := logstore.New(logstore.Options{RetainEntries: 5})
	for i := range 10 {
		appendBatch(t, store, putRow(fmt.Sprintf("c%d", i), 1, 0))
	}
	f := startFollower(t, store)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	assert.Assert(t, f.WaitForTail(ctx) != nil)
	assert.Assert(t, !f.FreshWithin(time.Hour))
	assert.Equal(t, describe(f), "version 0 notices 0")
}

// pausableLog holds reads back while it is paused and sends them again afterwards.
type pausableLog struct {
	recordlog.Log
	mu      sync.Mutex
	resumed chan struct{} // closed by resume; nil unless paused
}

func (l *pausableLog) pause() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.resumed = make(chan struct{})
}

func (l *pausableLog) resume() {
	l.mu.Lock()
	defer l.mu.Unlock()
	close(l.resumed)
	l.resumed = nil
}

func (l *pausableLog) Read(ctx context.Context, s string, from uint64, limit int, wait time.Duration) (recordlog.ReadResult, error) {
	res, err := l.Log.Read(ctx, s, from, limit, wait)
	l.mu.Lock()
	resumed := l.resumed
	l.mu.Unlock()
	if resumed != nil {
		select {
		case <-resumed:
			return l.Log.Read(ctx, s, from, limit, wait)
		case <-ctx.Done():
		}
	}
	return res, err
}

// TestReaderPausedPastRetentionReloads pauses a follower until the entries that it
// needs next are trimmed. It must detect the gap, restore a snapshot and never show
// an older version.
func TestReaderPausedPastRetentionReloads(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{RetainEntries: 30}), unlimitedAppends)
	waitForTail(t, r.follower)
	r.commitRows(t, 0, 5)
	paused := &pausableLog{Log: r.store}
	f := startFollower(t, paused)
	waitForTail(t, f)
	waitCaughtUp(t, r.store, f)
	paused.pause()
	r.commitRows(t, 5, 40)
	writeParts(t, r, func([]*pb.SnapshotPart) {}, -1)
	r.commitRows(t, 40, 45)
	var before uint64
	f.View(func(t *table.Table) { before = t.Version() })
	paused.resume()
	eventually(t, "follower at the tail without going back", func() bool {
		var now uint64
		f.View(func(t *table.Table) { now = t.Version() })
		assert.Assert(t, now >= before, "version went back from %d to %d", before, now)
		before = now
		return f.NextOffset() == tailOffset(r.store)
	})
	assert.Equal(t, describe(f), describe(r.follower))
}

// fakeClock is a clock that only the test advances.
type fakeClock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *fakeClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *fakeClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

// TestConfigurationOutlivesRetentionOutageAndRestart guards against losing a row
// that was written once. The log retains entries for an hour; in each of three
// rounds more than the retention passes, the log is down for half of it, and then
// the process is replaced. Only snapshots can preserve the row.
func TestConfigurationOutlivesRetentionOutageAndRestart(t *testing.T) {
	t.Parallel()
	const retention, interval = time.Hour, 12 * time.Minute
	clock := &fakeClock{t: time.Now()}
	store := logstore.New(logstore.Options{RetainFor: retention, Now: clock.now})
	var want string
	for generation := range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		f := ledger.NewFollower(store, table.Stream, shortPoll, table.New)
		f.SetClock(clock.now)
		c := ledger.NewCommitter(store, f, "writer", unlimitedAppends)
		snaps := ledger.NewSnapshotter(ledger.SnapshotOptions{Interval: interval, MaxEntries: 1 << 30}, f, c)
		snaps.SetRandom(func() float64 { return 0 })
		var wg sync.WaitGroup
		for _, loop := range []func(context.Context){f.Run, c.Run, snaps.Run} {
			wg.Go(func() { loop(ctx) })
		}
		waitForTail(t, f)
		if generation == 0 {
			_, err := c.Commit(ctx, putRow("a", 7, 0))
			assert.NilError(t, err)
			want = describe(f)
		}
		assert.Equal(t, describe(f), want)
		// When the log goes down, the last snapshot is younger than the retention.
		for range 6 {
			before := tailOffset(store)
			clock.advance(interval)
			eventually(t, "snapshot of the interval", func() bool {
				end := tailOffset(store)
				return completeSnapshots(store) > 0 && end > before && f.NextOffset() == end
			})
		}
		store.SetFaults(logstore.Faults{Down: true})
		clock.advance(retention / 2)
		assert.Equal(t, describe(f), want)
		store.SetFaults(logstore.Faults{})
		cancel()
		wg.Wait()
	}
}

// TestOneOfManyWritesTheSnapshot runs eight snapshotters for the same stream: only
// one must write.
func TestOneOfManyWritesTheSnapshot(t *testing.T) {
	const candidates = 8
	r := newRig(t, logstore.New(logstore.Options{}), unlimitedAppends)
	waitForTail(t, r.follower)
	for i := range candidates {
		f := startFollower(t, r.store)
		c := ledger.NewCommitter(r.store, f, fmt.Sprintf("entry-%d", i), unlimitedAppends)
		snaps := ledger.NewSnapshotter(ledger.SnapshotOptions{Interval: time.Hour, MaxEntries: 10}, f, c)
		// The first has no delay, the others the longest possible one.
		snaps.SetRandom(func() float64 { return float64(min(i, 1)) })
		startLoops(t, c.Run, snaps.Run)
	}
	r.commitRows(t, 0, 10)
	eventually(t, "complete snapshot", func() bool { return completeSnapshots(r.store) > 0 })
	r.commitRows(t, 10, 13)
	assert.Equal(t, completeSnapshots(r.store), 1)
}

func TestSnapshotMismatchIsDetected(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{}), unlimitedAppends)
	waitForTail(t, r.follower)
	r.commitRows(t, 0, 3)
	assert.Assert(t, !ledger.Mismatch(r.follower, func() { writeSinglePart(t, r, 0) }))
	assert.Assert(t, ledger.Mismatch(r.follower, func() { writeSinglePart(t, r, 1) }))
}

// writeSinglePart appends a snapshot in one part, with the bits in flip inverted in
// the last byte of the exported state.
func writeSinglePart(t *testing.T, r *rig, flip byte) {
	waitCaughtUp(t, r.store, r.follower)
	state, err := r.follower.Export()
	assert.NilError(t, err)
	state.Data[len(state.Data)-1] ^= flip
	p := ledger.SplitState(state, 1<<20)
	r.commit(t, &pb.Record{Body: &pb.Record_SnapshotPart{SnapshotPart: p[0]}})
}
