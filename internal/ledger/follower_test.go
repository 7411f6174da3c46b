package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/recordlog"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/table"
)

func TestMalformedPayloadIsSkipped(t *testing.T) {
	store := logstore.New(logstore.Options{})
	appendBatch(t, store, putRow("a", 1, 0))
	_, err := store.Append(context.Background(), table.Stream, []byte{0xff, 0xff, 0xff})
	assert.NilError(t, err)
	appendBatch(t, store, putRow("b", 1, 0))
	appendBatch(t, store, &pb.Record{Id: "empty"}, &pb.Record{Id: "none", Body: &pb.Record_RowPut{}},
		&pb.Record{Id: "nil", Body: &pb.Record_DataCentreChange{}}, putRow("c", 1, 0))
	r := newRig(t, store, unlimitedAppends)
	waitForTail(t, r.follower)
	r.assertFreshReaderAgrees(t)
	assert.Equal(t, describe(r.follower), "version 3 a=1@1 b=1@2 c=1@3 notices 0")
}

// panickingTable is a table that panics at one record.
type panickingTable struct{ *table.Table }

func (p panickingTable) Apply(rec *pb.Record) *ledger.Rejection {
	if rec.Id == "panics" {
		panic("state machine fault")
	}
	return p.Table.Apply(rec)
}

func TestRecordThatMakesReplayPanicIsRejected(t *testing.T) {
	store := logstore.New(logstore.Options{})
	appendBatch(t, store, &pb.Record{Id: "panics"}, putRow("a", 1, 0))
	f := ledger.NewFollower(store, table.Stream, shortPoll, func() panickingTable { return panickingTable{table.New()} })
	startLoops(t, f.Run)
	eventually(t, "record after the panicking one applied", func() bool {
		var n uint64
		f.View(func(p panickingTable) { n = p.Version() })
		return n == 1
	})
}

// scriptedLog answers reads from a script; the clock moves only as it says.
type scriptedLog struct {
	mu    sync.Mutex
	clock time.Time
	reads []func() (recordlog.ReadResult, error)
}

func (s *scriptedLog) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock
}

func (s *scriptedLog) advance(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = s.clock.Add(d)
}

func (s *scriptedLog) Append(context.Context, string, []byte) (uint64, error) {
	return 0, recordlog.ErrUnavailable
}

func (s *scriptedLog) Read(ctx context.Context, _ string, _ uint64, _ int, _ time.Duration) (recordlog.ReadResult, error) {
	s.mu.Lock()
	if len(s.reads) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return recordlog.ReadResult{}, recordlog.ErrUnavailable
	}
	next := s.reads[0]
	s.reads = s.reads[1:]
	s.mu.Unlock()
	return next()
}

func (s *scriptedLog) remaining() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reads)
}

func newScriptedLog(reads ...func(s *scriptedLog) (recordlog.ReadResult, error)) *scriptedLog {
	s := &scriptedLog{clock: time.Unix(1000, 0)}
	for _, r := range reads {
		s.reads = append(s.reads, func() (recordlog.ReadResult, error) { return r(s) })
	}
	return s
}

// TestAgeCountsFromBeforeTheRead lets a long poll take 10 s. The view is then 10 s
// old, since the log may have answered at any time after the read was sent.
func TestAgeCountsFromBeforeTheRead(t *testing.T) {
	const poll = 10 * time.Second
	s := newScriptedLog(
		func(*scriptedLog) (recordlog.ReadResult, error) { return recordlog.ReadResult{}, nil },
		func(s *scriptedLog) (recordlog.ReadResult, error) {
			s.advance(poll)
			return recordlog.ReadResult{}, nil
		},
	)
	f := ledger.NewFollower(s, table.Stream, poll, table.New)
	f.SetClock(s.now)
	startLoops(t, f.Run)
	waitForTail(t, f)
	assert.Equal(t, f.Age(s.now()), poll)
	assert.Assert(t, !f.FreshWithin(poll-1))
	assert.Assert(t, f.FreshWithin(poll))
}

func TestPartialReadIsNotFresh(t *testing.T) {
	store := logstore.New(logstore.Options{})
	appendBatch(t, store, putRow("a", 1, 0))
	entries, err := store.Read(context.Background(), table.Stream, 0, 1, 0)
	assert.NilError(t, err)
	s := newScriptedLog(
		func(*scriptedLog) (recordlog.ReadResult, error) { return recordlog.ReadResult{Next: 0}, nil },
		func(*scriptedLog) (recordlog.ReadResult, error) {
			return recordlog.ReadResult{Entries: entries.Entries, Next: 5}, nil
		},
	)
	f := ledger.NewFollower(s, table.Stream, shortPoll, table.New)
	startLoops(t, f.Run)
	eventually(t, "entry applied", func() bool { return f.NextOffset() == 1 })
	assert.Equal(t, f.Age(time.Now()), time.Duration(-1))
}

// TestShorterLogIsRejected lets a follower read 3 entries and then a log that ends
// after 1: the view must not count as fresh.
func TestShorterLogIsRejected(t *testing.T) {
	store := logstore.New(logstore.Options{})
	for i := range 3 {
		appendBatch(t, store, putRow(fmt.Sprintf("c%d", i), 1, 0))
	}
	all, err := store.Read(context.Background(), table.Stream, 0, 10, 0)
	assert.NilError(t, err)
	s := newScriptedLog(
		func(*scriptedLog) (recordlog.ReadResult, error) { return recordlog.ReadResult{Next: 0}, nil },
		func(*scriptedLog) (recordlog.ReadResult, error) { return all, nil },
		func(s *scriptedLog) (recordlog.ReadResult, error) {
			s.advance(time.Hour)
			return recordlog.ReadResult{Next: 1}, nil
		},
		func(*scriptedLog) (recordlog.ReadResult, error) { return recordlog.ReadResult{Next: 1}, nil },
	)
	f := ledger.NewFollower(s, table.Stream, shortPoll, table.New)
	f.SetClock(s.now)
	startLoops(t, f.Run)
	eventually(t, "script read", func() bool { return s.remaining() == 0 })
	for range 20 { // the follower may still be handling the last result
		assert.Assert(t, !f.FreshWithin(time.Minute))
		time.Sleep(time.Millisecond)
	}
	assert.Equal(t, f.NextOffset(), uint64(3))
}

// TestSkippedEntriesAreAGap returns entries that start above the requested offset:
// the view must not count as fresh.
func TestSkippedEntriesAreAGap(t *testing.T) {
	store := logstore.New(logstore.Options{})
	for i := range 3 {
		appendBatch(t, store, putRow(fmt.Sprintf("c%d", i), 1, 0))
	}
	tailOnly, err := store.Read(context.Background(), table.Stream, 2, 10, 0)
	assert.NilError(t, err)
	down := func(*scriptedLog) (recordlog.ReadResult, error) {
		return recordlog.ReadResult{}, recordlog.ErrUnavailable
	}
	s := newScriptedLog(
		func(*scriptedLog) (recordlog.ReadResult, error) { return recordlog.ReadResult{Next: 0}, nil },
		func(*scriptedLog) (recordlog.ReadResult, error) { return recordlog.ReadResult{}, nil },
		func(*scriptedLog) (recordlog.ReadResult, error) { return tailOnly, nil },
		down,
	)
	f := ledger.NewFollower(s, table.Stream, shortPoll, table.New)
	startLoops(t, f.Run)
	eventually(t, "script read", func() bool { return s.remaining() == 0 })
	assert.Assert(t, !f.FreshWithin(time.Hour))
}

func TestSlowLogDelaysAndLosesNothing(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{}), unlimitedAppends)
	waitForTail(t, r.follower)
	r.store.SetFaults(logstore.Faults{Delay: 100 * time.Millisecond})
	assert.Assert(t, r.commit(t, putRow("a", 1, 0)).Rejection == nil)
	r.store.SetFaults(logstore.Faults{})
	r.assertFreshReaderAgrees(t)
}

func TestOutageEndsFreshnessButKeepsState(t *testing.T) {
	clock := &scriptedLog{clock: time.Unix(1000, 0)}
	store := logstore.New(logstore.Options{})
	f := ledger.NewFollower(store, table.Stream, shortPoll, table.New)
	f.SetClock(clock.now)
	appendBatch(t, store, putRow("a", 1, 0))
	startLoops(t, f.Run)
	waitForTail(t, f)
	eventually(t, "fresh", func() bool { return f.FreshWithin(time.Second) })
	store.SetFaults(logstore.Faults{Down: true})
	clock.advance(time.Hour)
	eventually(t, "stale", func() bool { return !f.FreshWithin(time.Second) })
	assert.Equal(t, describe(f), "version 1 a=1@1 notices 0")
	store.SetFaults(logstore.Faults{})
	eventually(t, "fresh again", func() bool { return f.FreshWithin(time.Second) })
}
