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
	"chervilridge/internal/platform"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/table"
)

// parts returns the snapshot parts that the store still holds.
func parts(store *logstore.Store) []*pb.SnapshotPart {
	var out []*pb.SnapshotPart
	for _, rec := range records(store) {
		if p := rec.GetSnapshotPart(); p != nil {
			out = append(out, p)
		}
	}
	return out
}

func records(store *logstore.Store) []*pb.Record {
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

func whole(store *logstore.Store) int {
	seen := map[string]uint32{}
	n := 0
	for _, p := range parts(store) {
		seen[p.SnapshotId]++
		if seen[p.SnapshotId] == p.Parts {
			n++
		}
	}
	return n
}

// longNotice makes rows large, so that snapshots have several parts.
func longNotice(rec *pb.Record) *pb.Record {
	rec.GetRowPut().Row.Notice = strings.Repeat("x", 400)
	return rec
}

func (r *rig) fill(t *testing.T, from, to int) {
	t.Helper()
	for i := from; i < to; i++ {
		assert.Assert(t, r.commit(t, longNotice(putRow(fmt.Sprintf("c%04d", i), 1, 0))).Rejection == nil)
	}
}

// TestStartFromSnapshotAndTail trims all but 30 entries away and starts a reader.
func TestStartFromSnapshotAndTail(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{RetainEntries: 30}), ample)
	snaps := ledger.NewSnapshotter(ledger.SnapshotOptions{Every: time.Hour, Entries: 10, PartBytes: 2048}, r.follower, r.committer)
	snaps.SetRandom(func() float64 { return 0 })
	start(t, snaps.Run)
	loaded(t, r.follower)
	for i := range 6 {
		r.fill(t, i*10, i*10+10)
		eventually(t, "snapshot of the newest ten", func() bool {
			for _, p := range parts(r.store) {
				if p.Part+1 == p.Parts && p.Covers >= uint64(10*i+10) {
					return true
				}
			}
			return false
		})
	}
	trimmed(t, r.store)
	newest := parts(r.store)
	assert.Assert(t, newest[len(newest)-1].Parts > 1, "snapshot has one part only")
	assert.Assert(t, len(newest[0].Data) <= 2048)
	r.agree(t)
}

// TestIncompleteSnapshotIsIgnored lets a writer die between the parts of its
// second snapshot; the start takes the first.
func TestIncompleteSnapshotIsIgnored(t *testing.T) {
	store := logstore.New(logstore.Options{RetainEntries: 25})
	r := newRig(t, store, ample)
	loaded(t, r.follower)
	r.fill(t, 0, 20)
	writeParts(t, r, func([]*pb.SnapshotPart) {}, -1)
	r.fill(t, 20, 30)
	writeParts(t, r, func([]*pb.SnapshotPart) {}, 1)
	r.fill(t, 30, 32)
	trimmed(t, r.store)
	r.agree(t)
}

// TestDamagedSnapshotIsIgnored writes a newer snapshot with a changed letter, one
// whose bytes are whole but mean nothing, one of a state that is not written
// yet, and one that announces four billion parts.
func TestDamagedSnapshotIsIgnored(t *testing.T) {
	store := logstore.New(logstore.Options{RetainEntries: 35})
	r := newRig(t, store, ample)
	loaded(t, r.follower)
	r.fill(t, 0, 20)
	writeParts(t, r, func([]*pb.SnapshotPart) {}, -1)
	r.fill(t, 20, 30)
	writeParts(t, r, func(p []*pb.SnapshotPart) { p[0].Data[300] ^= 1 }, -1)
	nonsense := ledger.SplitState(ledger.State{Covers: r.follower.Next(), Data: []byte{0xff, 0xff}}, 1024)
	r.commit(t, &pb.Record{Body: &pb.Record_SnapshotPart{SnapshotPart: nonsense[0]}})
	writeParts(t, r, func(p []*pb.SnapshotPart) {
		for _, part := range p {
			part.Covers += 1000
		}
	}, -1)
	r.commit(t, &pb.Record{Body: &pb.Record_SnapshotPart{SnapshotPart: &pb.SnapshotPart{
		SnapshotId: "huge", Parts: 1<<32 - 1, Covers: r.follower.Next(),
	}}})
	r.fill(t, 30, 35)
	trimmed(t, r.store)
	r.agree(t)
}

// trimmed checks that the test is about a log whose start is gone.
func trimmed(t *testing.T, store *logstore.Store) {
	t.Helper()
	bounds, err := store.Read(context.Background(), table.Stream, 1<<62, 1, 0)
	assert.NilError(t, err)
	assert.Assert(t, bounds.Oldest > 0, "nothing was trimmed")
}

// writeParts appends a snapshot of the follower's state, or its first parts.
func writeParts(t *testing.T, r *rig, change func([]*pb.SnapshotPart), most int) {
	t.Helper()
	caughtUp(t, r.store, r.follower)
	state, err := r.follower.Export()
	assert.NilError(t, err)
	all := ledger.SplitState(state, 4096)
	assert.Assert(t, len(all) > 1)
	change(all)
	for i, p := range all {
		if i == most {
			return
		}
		r.commit(t, &pb.Record{Body: &pb.Record_SnapshotPart{SnapshotPart: p}})
	}
}

// TestTrimmedWithoutSnapshotRefusesToAct starts a reader on a log whose start
// is gone; it must not count as loaded or fresh.
func TestTrimmedWithoutSnapshotRefusesToAct(t *testing.T) {
	store := logstore.New(logstore.Options{RetainEntries: 5})
	for i := range 10 {
		appendBatch(t, store, putRow(fmt.Sprintf("c%d", i), 1, 0))
	}
	f := follow(t, store)
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	assert.Assert(t, f.WaitLoaded(ctx) != nil)
	assert.Assert(t, !f.FreshWithin(time.Hour))
	assert.Equal(t, content(f), "version 0 notices 0")
}

// gate holds a reader's reads back while it is closed.
type gate struct {
	platform.Log
	mu     sync.Mutex
	closed chan struct{}
}

func (g *gate) pause() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = make(chan struct{})
}

func (g *gate) resume() {
	g.mu.Lock()
	defer g.mu.Unlock()
	close(g.closed)
	g.closed = nil
}

func (g *gate) Read(ctx context.Context, s string, from uint64, limit int, wait time.Duration) (platform.ReadResult, error) {
	res, err := g.Log.Read(ctx, s, from, limit, wait)
	g.mu.Lock()
	closed := g.closed
	g.mu.Unlock()
	if closed != nil {
		select {
		case <-closed:
		case <-ctx.Done():
		}
	}
	return res, err
}

// TestReaderPausedPastRetentionReloads pauses a reader until what it needs next
// is trimmed. It must find the gap and never show an older version.
func TestReaderPausedPastRetentionReloads(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{RetainEntries: 30}), ample)
	loaded(t, r.follower)
	r.fill(t, 0, 5)
	paused := &gate{Log: r.store}
	f := follow(t, paused)
	loaded(t, f)
	caughtUp(t, r.store, f)
	paused.pause()
	r.fill(t, 5, 40)
	writeParts(t, r, func([]*pb.SnapshotPart) {}, -1)
	r.fill(t, 40, 45)
	var before uint64
	f.View(func(t *table.Table) { before = t.Version() })
	paused.resume()
	eventually(t, "reader caught up, never going back", func() bool {
		var now uint64
		f.View(func(t *table.Table) { now = t.Version() })
		assert.Assert(t, now >= before, "version went back from %d to %d", before, now)
		before = now
		return f.Next() == tail(r.store)
	})
	assert.Equal(t, content(f), content(r.follower))
}

// fakeClock is a clock that a test moves.
type fakeClock struct {
	mu sync.Mutex
	t  time.Time
}

func (c *fakeClock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *fakeClock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

// TestConfigurationOutlivesRetentionOutageAndRestart writes a row once and then
// lets days pass in which the log forgets after an hour, goes down, and every
// process is replaced.
func TestConfigurationOutlivesRetentionOutageAndRestart(t *testing.T) {
	const retention, interval = time.Hour, 12 * time.Minute
	clock := &fakeClock{t: time.Now()}
	store := logstore.New(logstore.Options{RetainFor: retention, Now: clock.now})
	var want string
	for generation := range 3 {
		ctx, cancel := context.WithCancel(context.Background())
		f := ledger.NewFollower(store, table.Stream, shortPoll, table.New)
		f.SetClock(clock.now)
		c := ledger.NewCommitter(store, f, "writer", ample)
		snaps := ledger.NewSnapshotter(ledger.SnapshotOptions{Every: interval, Entries: 1 << 30}, f, c)
		snaps.SetRandom(func() float64 { return 0 })
		var wg sync.WaitGroup
		for _, loop := range []func(context.Context){f.Run, c.Run, snaps.Run} {
			wg.Go(func() { loop(ctx) })
		}
		loaded(t, f)
		if generation == 0 {
			_, err := c.Commit(ctx, putRow("a", 7, 0))
			assert.NilError(t, err)
			want = content(f)
		}
		assert.Equal(t, content(f), want)
		// The last snapshot is younger than the retention when the log goes down.
		for range 6 {
			before := tail(store)
			clock.pass(interval)
			eventually(t, "snapshot of the interval", func() bool {
				end := tail(store)
				return whole(store) > 0 && end > before && f.Next() == end
			})
		}
		store.SetFaults(logstore.Faults{Down: true})
		clock.pass(retention / 2)
		assert.Equal(t, content(f), want)
		store.SetFaults(logstore.Faults{})
		cancel()
		wg.Wait()
	}
}

// TestOneOfManyWritesTheSnapshot runs eight candidates over the same stream.
func TestOneOfManyWritesTheSnapshot(t *testing.T) {
	const candidates = 8
	r := newRig(t, logstore.New(logstore.Options{}), ample)
	loaded(t, r.follower)
	for i := range candidates {
		f := follow(t, r.store)
		c := ledger.NewCommitter(r.store, f, fmt.Sprintf("entry-%d", i), ample)
		snaps := ledger.NewSnapshotter(ledger.SnapshotOptions{Every: time.Hour, Entries: 10}, f, c)
		// The first draws no wait, the others wait their turn for ever.
		snaps.SetRandom(func() float64 { return float64(min(i, 1)) })
		start(t, c.Run, snaps.Run)
	}
	r.fill(t, 0, 10)
	eventually(t, "a snapshot", func() bool { return whole(r.store) > 0 })
	r.fill(t, 10, 13)
	assert.Equal(t, whole(r.store), 1)
}

func TestSnapshotOfAnotherStateIsFound(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{}), ample)
	loaded(t, r.follower)
	r.fill(t, 0, 3)
	assert.Assert(t, !ledger.Mismatch(r.follower, func() { writeOne(t, r, 0) }))
	assert.Assert(t, ledger.Mismatch(r.follower, func() { writeOne(t, r, 1) }))
}

// writeOne appends a snapshot in one part, with a flipped bit if asked.
func writeOne(t *testing.T, r *rig, flip byte) {
	caughtUp(t, r.store, r.follower)
	state, err := r.follower.Export()
	assert.NilError(t, err)
	state.Data[len(state.Data)-1] ^= flip
	p := ledger.SplitState(state, 1<<20)
	r.commit(t, &pb.Record{Body: &pb.Record_SnapshotPart{SnapshotPart: p[0]}})
}
