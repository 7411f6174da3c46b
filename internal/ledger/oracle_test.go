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
	retainEntries    = 40                   // retention of the log in the generated test
	snapshotInterval = 10                   // entries after which the test writes a snapshot
	simulationPoll   = 5 * time.Millisecond // poll wait of the follower
)

// oracleTable is a simple model of the table: it ignores all but the first copy of
// each record, and accepts a change if the row is at the base version.
type oracleTable struct {
	nextOffset uint64 // offset of the next entry to apply
	changes    uint64
	rows       map[string][2]uint64 // weight and version
	accepted   map[string]bool      // whether a record was accepted, by its id
}

// applyNew applies the entries that the log has gained.
func (o *oracleTable) applyNew(t *rapid.T, store *logstore.Store) {
	res, err := store.Read(context.Background(), table.Stream, o.nextOffset, 1<<20, 0)
	assert.NilError(t, err)
	for _, e := range res.Entries {
		o.nextOffset = e.Offset + 1
		batch := &pb.Batch{}
		if proto.Unmarshal(e.Payload, batch) != nil {
			continue
		}
		for _, rec := range batch.Records {
			o.apply(rec)
		}
	}
}

func (o *oracleTable) apply(rec *pb.Record) {
	if _, duplicate := o.accepted[rec.Id]; duplicate || rec.GetSnapshotPart() != nil {
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

func (o *oracleTable) describe() string {
	s := fmt.Sprintf("version %d", o.changes)
	for _, name := range slices.Sorted(maps.Keys(o.rows)) {
		s += fmt.Sprintf(" %s=%d@%d", name, o.rows[name][0], o.rows[name][1])
	}
	return s + " notices 0"
}

// simulation is one generated run: a log, one process that reads and writes it, and
// the oracle.
type simulation struct {
	store       *logstore.Store
	oracle      *oracleTable
	reader      *ledger.Follower[*table.Table]
	writer      *ledger.Committer
	stop        func()
	sent        map[string]*pb.Record // records by id
	notRun      map[string]bool       // ids of records whose commit failed as "not run"
	snapshotEnd uint64                // offset after the newest complete snapshot
}

// restart simulates a restart of the process: a new follower and a new committer.
func (s *simulation) restart() {
	if s.stop != nil {
		s.stop()
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.reader = ledger.NewFollower(s.store, table.Stream, simulationPoll, table.New)
	s.writer = ledger.NewCommitter(s.store, s.reader, "writer", unlimitedAppends)
	var wg sync.WaitGroup
	wg.Go(func() { s.reader.Run(ctx) })
	wg.Go(func() { s.writer.Run(ctx) })
	s.stop = func() { cancel(); wg.Wait() }
}

func (s *simulation) drawChange(t *rapid.T) *pb.Record {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	base := s.oracle.rows[name][1]
	if rapid.IntRange(0, 3).Draw(t, "stale") == 0 {
		base = rapid.Uint64Range(0, s.oracle.changes+1).Draw(t, "base")
	}
	if rapid.IntRange(0, 2).Draw(t, "delete") == 0 {
		return deleteRow(name, base)
	}
	return putRow(name, rapid.Uint32Range(1, 9).Draw(t, "weight"), base)
}

// commit commits a record and compares the result with the oracle.
func (s *simulation) commit(t *rapid.T, rec *pb.Record, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	v, err := s.writer.Commit(ctx, rec)
	s.sent[rec.Id] = rec
	s.oracle.applyNew(t, s.store)
	switch {
	case err == nil && v.Rejection != nil && v.Rejection.Reason == ledger.ReasonDuplicate:
		_, inLog := s.oracle.accepted[rec.Id]
		assert.Assert(t, inLog)
	case err == nil:
		assert.Equal(t, v.Rejection == nil, s.oracle.accepted[rec.Id])
	case fault.As(err).Outcome == fault.NotRun:
		s.notRun[rec.Id] = true
	default:
		assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
	}
}

// check compares the follower with the oracle and writes a snapshot if one is due.
// The committer may append a record again meanwhile; then both are read again.
func (s *simulation) check(t *rapid.T) {
	for {
		s.oracle.applyNew(t, s.store)
		s.waitCaughtUp(t, s.reader)
		got := describe(s.reader)
		if s.reader.NextOffset() != s.oracle.nextOffset {
			continue
		}
		assert.Equal(t, got, s.oracle.describe())
		break
	}
	for id := range s.notRun {
		_, inLog := s.oracle.accepted[id]
		assert.Assert(t, !inLog, "commit failed as not run, but the record is in the log: %v", s.sent[id])
	}
	if s.oracle.nextOffset-s.snapshotEnd > snapshotInterval {
		s.snapshot(t, -1)
	}
}

func (s *simulation) waitCaughtUp(t *rapid.T, f *ledger.Follower[*table.Table]) {
	deadline := time.Now().Add(waitTimeout)
	for f.NextOffset() != s.oracle.nextOffset || !f.FreshWithin(time.Hour) {
		s.oracle.applyNew(t, s.store)
		assert.Assert(t, time.Now().Before(deadline), "follower is at offset %d, want %d", f.NextOffset(), s.oracle.nextOffset)
		time.Sleep(100 * time.Microsecond)
	}
}

// snapshot appends a snapshot of the follower's state, but at most limit parts of
// it; a negative limit means all.
func (s *simulation) snapshot(t *rapid.T, limit int) {
	s.oracle.applyNew(t, s.store)
	s.waitCaughtUp(t, s.reader)
	state, err := s.reader.Export()
	assert.NilError(t, err)
	parts := ledger.SplitState(state, max(1, len(state.Data)/2))
	for i, p := range parts {
		if i == limit {
			return
		}
		payload, err := proto.Marshal(&pb.Batch{Records: []*pb.Record{{Body: &pb.Record_SnapshotPart{SnapshotPart: p}}}})
		assert.NilError(t, err)
		_, err = s.store.Append(context.Background(), table.Stream, payload)
		assert.NilError(t, err)
	}
	s.oracle.applyNew(t, s.store)
	s.snapshotEnd = s.oracle.nextOffset
}

// appendCopy appends a known record again, with its old id.
func (s *simulation) appendCopy(t *rapid.T) {
	ids := slices.Sorted(maps.Keys(s.oracle.accepted))
	if len(ids) == 0 {
		return
	}
	rec := s.sent[rapid.SampledFrom(ids).Draw(t, "copy")]
	payload, err := proto.Marshal(&pb.Batch{Records: []*pb.Record{rec}})
	assert.NilError(t, err)
	_, err = s.store.Append(context.Background(), table.Stream, payload)
	assert.NilError(t, err)
}

// randomStep does one generated step.
func (s *simulation) randomStep(t *rapid.T) {
	switch rapid.IntRange(0, 11).Draw(t, "act") {
	case 0:
		s.store.SetFaults(logstore.Faults{LoseAnswers: 1})
		s.commit(t, s.drawChange(t), waitTimeout)
	case 1:
		s.store.SetFaults(logstore.Faults{DoubleAppends: 1})
		s.commit(t, s.drawChange(t), waitTimeout)
	case 2: // the append lands after the same record was appended again
		s.store.SetFaults(logstore.Faults{HoldAppends: 1})
		s.commit(t, s.drawChange(t), waitTimeout)
	case 3: // the caller gives up while the append is in flight
		if s.store.HeldCount() > retainEntries/4 { // more appends landing at once would be trimmed unread
			s.store.ApplyHeld()
			return
		}
		s.store.SetFaults(logstore.Faults{HoldAppends: 1 << 20})
		s.commit(t, s.drawChange(t), 3*simulationPoll)
		s.store.SetFaults(logstore.Faults{})
	case 4:
		s.store.SetFaults(logstore.Faults{Down: true})
		rec := s.drawChange(t)
		_, err := s.writer.Commit(context.Background(), rec)
		assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
		s.sent[rec.Id], s.notRun[rec.Id] = rec, true
		s.store.SetFaults(logstore.Faults{})
	case 5:
		s.store.ApplyHeld()
	case 6:
		s.restart()
	case 7:
		s.snapshot(t, 1) // the writer stops after the first part
	case 8:
		s.appendCopy(t)
	case 9:
		_, err := s.store.Append(context.Background(), table.Stream, []byte{0xff, 0xff})
		assert.NilError(t, err)
	default:
		s.commit(t, s.drawChange(t), waitTimeout)
	}
}

// TestLedgerMatchesOracle generates changes and log faults, and compares the
// follower and the results of commits with the oracle after each step.
func TestLedgerMatchesOracle(t *testing.T) {
	t.Parallel()
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{
			store:  logstore.New(logstore.Options{RetainEntries: retainEntries}),
			oracle: &oracleTable{rows: map[string][2]uint64{}, accepted: map[string]bool{}},
			sent:   map[string]*pb.Record{}, notRun: map[string]bool{},
		}
		s.restart()
		defer func() { s.stop() }()
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			s.randomStep(t)
			s.check(t)
		}
		s.store.ApplyHeld()
		s.restart()
		s.check(t)
	})
}
