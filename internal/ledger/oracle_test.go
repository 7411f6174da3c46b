package ledger_test

import (
	"context"
	"fmt"
	"maps"
	"os"
	"slices"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/fixedseed"
	"chervilridge/internal/ledger"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/table"
)

func TestMain(m *testing.M) {
	os.Exit(fixedseed.Run(m, fixedseed.Options{Seed: 1}))
}

const (
	keepEntries = 40 // retention of the log in the generated test
	snapshotGap = 10 // entries after which the test writes a snapshot
	quickPoll   = 5 * time.Millisecond
)

// plainTable is the oracle: the first copy of each record counts, and a change
// counts if the row is at the version it builds on.
type plainTable struct {
	read     uint64 // entries of the log taken in
	changes  uint64
	rows     map[string][2]uint64 // weight and version
	accepted map[string]bool      // by record id
}

func (o *plainTable) take(t *rapid.T, store *logstore.Store) {
	res, err := store.Read(context.Background(), table.Stream, o.read, 1<<20, 0)
	assert.NilError(t, err)
	for _, e := range res.Entries {
		o.read = e.Offset + 1
		batch := &pb.Batch{}
		if proto.Unmarshal(e.Payload, batch) != nil {
			continue
		}
		for _, rec := range batch.Records {
			o.apply(rec)
		}
	}
}

func (o *plainTable) apply(rec *pb.Record) {
	if _, copied := o.accepted[rec.Id]; copied || rec.GetSnapshotPart() != nil {
		return
	}
	name := rec.GetRowPut().GetRow().GetName() + rec.GetRowDelete().GetName()
	base := rec.GetRowPut().GetBaseVersion() + rec.GetRowDelete().GetBaseVersion()
	ok := o.rows[name][1] == base && (rec.GetRowPut() != nil || base > 0)
	o.accepted[rec.Id] = ok
	if !ok {
		return
	}
	o.changes++
	if rec.GetRowPut() == nil {
		delete(o.rows, name)
		return
	}
	o.rows[name] = [2]uint64{uint64(rec.GetRowPut().Row.Weight), o.changes}
}

func (o *plainTable) content() string {
	s := fmt.Sprintf("version %d", o.changes)
	for _, name := range slices.Sorted(maps.Keys(o.rows)) {
		s += fmt.Sprintf(" %s=%d@%d", name, o.rows[name][0], o.rows[name][1])
	}
	return s + " notices 0"
}

// world is one generated run.
type world struct {
	store  *logstore.Store
	oracle *plainTable
	reader *ledger.Follower[*table.Table]
	writer *ledger.Committer
	stop   func()
	sent   map[string]*pb.Record // records by id
	absent map[string]bool       // told as not run
	snap   uint64                // offset of the newest whole snapshot
}

// restart replaces the process: a new reader and a new writer.
func (w *world) restart() {
	if w.stop != nil {
		w.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	w.reader = ledger.NewFollower(w.store, table.Stream, quickPoll, table.New)
	w.writer = ledger.NewCommitter(w.store, w.reader, "writer", ample)
	var wg sync.WaitGroup
	wg.Go(func() { w.reader.Run(ctx) })
	wg.Go(func() { w.writer.Run(ctx) })
	w.stop = func() { cancel(); wg.Wait() }
}

func (w *world) drawChange(t *rapid.T) *pb.Record {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	base := w.oracle.rows[name][1]
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		base = rapid.Uint64Range(0, w.oracle.changes+1).Draw(t, "base")
	}
	if rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
		return deleteRow(name, base)
	}
	return putRow(name, rapid.Uint32Range(1, 9).Draw(t, "weight"), base)
}

// change commits a record and compares what its caller is told with the oracle.
func (w *world) change(t *rapid.T, rec *pb.Record, patience time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	v, err := w.writer.Commit(ctx, rec)
	w.sent[rec.Id] = rec
	w.oracle.take(t, w.store)
	switch {
	case err == nil && v.Rejection != nil && v.Rejection.Reason == ledger.ReasonDuplicate:
		_, there := w.oracle.accepted[rec.Id]
		assert.Assert(t, there)
	case err == nil:
		assert.Equal(t, v.Rejection == nil, w.oracle.accepted[rec.Id])
	case fault.As(err).Outcome == fault.NotRun:
		w.absent[rec.Id] = true
	default:
		assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
	}
}

// check compares the reader with the oracle and writes a snapshot in time. What
// a writer repeats late may land meanwhile; then both are read again.
func (w *world) check(t *rapid.T) {
	for {
		w.oracle.take(t, w.store)
		w.await(t, w.reader)
		got := content(w.reader)
		if w.reader.Next() != w.oracle.read {
			continue
		}
		assert.Equal(t, got, w.oracle.content())
		break
	}
	for id := range w.absent {
		_, there := w.oracle.accepted[id]
		assert.Assert(t, !there, "told as not run, but in the log: %v", w.sent[id])
	}
	if w.oracle.read-w.snap > snapshotGap {
		w.snapshot(t, -1)
	}
}

func (w *world) await(t *rapid.T, f *ledger.Follower[*table.Table]) {
	deadline := time.Now().Add(patience)
	for f.Next() != w.oracle.read || !f.FreshWithin(time.Hour) {
		w.oracle.take(t, w.store)
		assert.Assert(t, time.Now().Before(deadline), "reader is at %d of %d", f.Next(), w.oracle.read)
		time.Sleep(100 * time.Microsecond)
	}
}

// snapshot appends the reader's state, or only its first parts.
func (w *world) snapshot(t *rapid.T, most int) {
	w.oracle.take(t, w.store)
	w.await(t, w.reader)
	state, err := w.reader.Export()
	assert.NilError(t, err)
	parts := ledger.SplitState(state, max(1, len(state.Data)/2))
	for i, p := range parts {
		if i == most {
			return
		}
		payload, err := proto.Marshal(&pb.Batch{Records: []*pb.Record{{Body: &pb.Record_SnapshotPart{SnapshotPart: p}}}})
		assert.NilError(t, err)
		_, err = w.store.Append(context.Background(), table.Stream, payload)
		assert.NilError(t, err)
	}
	w.oracle.take(t, w.store)
	w.snap = w.oracle.read
}

// repeat appends a known record again, with its old id.
func (w *world) repeat(t *rapid.T) {
	ids := slices.Sorted(maps.Keys(w.oracle.accepted))
	if len(ids) == 0 {
		return
	}
	rec := w.sent[rapid.SampledFrom(ids).Draw(t, "copy")]
	payload, err := proto.Marshal(&pb.Batch{Records: []*pb.Record{rec}})
	assert.NilError(t, err)
	_, err = w.store.Append(context.Background(), table.Stream, payload)
	assert.NilError(t, err)
}

// act does one generated step.
func (w *world) act(t *rapid.T) {
	switch rapid.IntRange(0, 11).Draw(t, "act") {
	case 0:
		w.store.SetFaults(logstore.Faults{LoseAnswers: 1})
		w.change(t, w.drawChange(t), patience)
	case 1:
		w.store.SetFaults(logstore.Faults{DoubleAppends: 1})
		w.change(t, w.drawChange(t), patience)
	case 2: // lands late, behind its own repetition
		w.store.SetFaults(logstore.Faults{HoldAppends: 1})
		w.change(t, w.drawChange(t), patience)
	case 3: // its caller gives up while it is in flight
		if w.store.Held() > keepEntries/4 { // landing at once, more would be trimmed unread
			w.store.Land()
			return
		}
		w.store.SetFaults(logstore.Faults{HoldAppends: 1 << 20})
		w.change(t, w.drawChange(t), 3*quickPoll)
		w.store.SetFaults(logstore.Faults{})
	case 4:
		w.store.SetFaults(logstore.Faults{Down: true})
		rec := w.drawChange(t)
		_, err := w.writer.Commit(context.Background(), rec)
		assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
		w.sent[rec.Id], w.absent[rec.Id] = rec, true
		w.store.SetFaults(logstore.Faults{})
	case 5:
		w.store.Land()
	case 6:
		w.restart()
	case 7:
		w.snapshot(t, 1) // its writer dies between the parts
	case 8:
		w.repeat(t)
	case 9:
		_, err := w.store.Append(context.Background(), table.Stream, []byte{0xff, 0xff})
		assert.NilError(t, err)
	default:
		w.change(t, w.drawChange(t), patience)
	}
}

// TestLedgerMatchesOracle generates changes and faults of the log and compares
// the readers with a plain map after each step.
func TestLedgerMatchesOracle(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			store:  logstore.New(logstore.Options{RetainEntries: keepEntries}),
			oracle: &plainTable{rows: map[string][2]uint64{}, accepted: map[string]bool{}},
			sent:   map[string]*pb.Record{}, absent: map[string]bool{},
		}
		w.restart()
		defer func() { w.stop() }()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			w.act(t)
			w.check(t)
		}
		w.store.Land()
		w.restart()
		w.check(t)
	})
}
