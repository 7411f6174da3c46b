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
	"chervilridge/internal/platform"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/table"
)

func TestMalformedPayloadStopsNobody(t *testing.T) {
	store := logstore.New(logstore.Options{})
	appendBatch(t, store, putRow("a", 1, 0))
	_, err := store.Append(context.Background(), table.Stream, []byte{0xff, 0xff, 0xff})
	assert.NilError(t, err)
	appendBatch(t, store, putRow("b", 1, 0))
	appendBatch(t, store, &pb.Record{Id: "empty"}, &pb.Record{Id: "none", Body: &pb.Record_RowPut{}},
		&pb.Record{Id: "nil", Body: &pb.Record_DataCentreChange{}}, putRow("c", 1, 0))
	r := newRig(t, store, ample)
	loaded(t, r.follower)
	r.agree(t)
	assert.Equal(t, content(r.follower), "version 3 a=1@1 b=1@2 c=1@3 notices 0")
}

// panicking is a machine with a fault of its own.
type panicking struct{ *table.Table }

func (p panicking) Apply(rec *pb.Record) *ledger.Rejection {
	if rec.Id == "panics" {
		panic("fault of the machine")
	}
	return p.Table.Apply(rec)
}

func TestRecordThatMakesReplayPanicIsRejected(t *testing.T) {
	store := logstore.New(logstore.Options{})
	appendBatch(t, store, &pb.Record{Id: "panics"}, putRow("a", 1, 0))
	f := ledger.NewFollower(store, table.Stream, shortPoll, func() panicking { return panicking{table.New()} })
	start(t, f.Run)
	eventually(t, "record behind it applied", func() bool {
		var n uint64
		f.View(func(p panicking) { n = p.Version() })
		return n == 1
	})
}

// scripted answers reads from a script; the clock moves only as it says.
type scripted struct {
	mu    sync.Mutex
	clock time.Time
	reads []func() (platform.ReadResult, error)
}

func (s *scripted) now() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.clock
}

func (s *scripted) pass(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.clock = s.clock.Add(d)
}

func (s *scripted) Append(context.Context, string, []byte) (uint64, error) {
	return 0, platform.ErrUnavailable
}

func (s *scripted) Read(ctx context.Context, _ string, _ uint64, _ int, _ time.Duration) (platform.ReadResult, error) {
	s.mu.Lock()
	if len(s.reads) == 0 {
		s.mu.Unlock()
		<-ctx.Done()
		return platform.ReadResult{}, platform.ErrUnavailable
	}
	next := s.reads[0]
	s.reads = s.reads[1:]
	s.mu.Unlock()
	return next()
}

func (s *scripted) left() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.reads)
}

func newScripted(reads ...func(s *scripted) (platform.ReadResult, error)) *scripted {
	s := &scripted{clock: time.Unix(1000, 0)}
	for _, r := range reads {
		s.reads = append(s.reads, func() (platform.ReadResult, error) { return r(s) })
	}
	return s
}

// TestAgeCountsFromBeforeTheRead lets a long poll take 10 s: the view is 10 s
// old when the answer comes, since the answer may be from when it was sent.
func TestAgeCountsFromBeforeTheRead(t *testing.T) {
	const poll = 10 * time.Second
	s := newScripted(
		func(*scripted) (platform.ReadResult, error) { return platform.ReadResult{}, nil },
		func(s *scripted) (platform.ReadResult, error) { s.pass(poll); return platform.ReadResult{}, nil },
	)
	f := ledger.NewFollower(s, table.Stream, poll, table.New)
	f.SetClock(s.now)
	start(t, f.Run)
	loaded(t, f)
	assert.Equal(t, f.Age(s.now()), poll)
	assert.Assert(t, !f.FreshWithin(poll-1))
	assert.Assert(t, f.FreshWithin(poll))
}

func TestPartialReadIsNotFresh(t *testing.T) {
	store := logstore.New(logstore.Options{})
	appendBatch(t, store, putRow("a", 1, 0))
	entries, err := store.Read(context.Background(), table.Stream, 0, 1, 0)
	assert.NilError(t, err)
	s := newScripted(
		func(*scripted) (platform.ReadResult, error) { return platform.ReadResult{Next: 0}, nil },
		func(*scripted) (platform.ReadResult, error) {
			return platform.ReadResult{Entries: entries.Entries, Next: 5}, nil
		},
	)
	f := ledger.NewFollower(s, table.Stream, shortPoll, table.New)
	start(t, f.Run)
	eventually(t, "entry applied", func() bool { return f.Next() == 1 })
	assert.Equal(t, f.Age(time.Now()), time.Duration(-1))
}

// TestShorterLogIsNotBelieved gives a reader of 3 entries a log that says it
// holds 1: the view must not count as fresh.
func TestShorterLogIsNotBelieved(t *testing.T) {
	store := logstore.New(logstore.Options{})
	for i := range 3 {
		appendBatch(t, store, putRow(fmt.Sprintf("c%d", i), 1, 0))
	}
	all, err := store.Read(context.Background(), table.Stream, 0, 10, 0)
	assert.NilError(t, err)
	s := newScripted(
		func(*scripted) (platform.ReadResult, error) { return platform.ReadResult{Next: 0}, nil },
		func(*scripted) (platform.ReadResult, error) { return all, nil },
		func(s *scripted) (platform.ReadResult, error) {
			s.pass(time.Hour)
			return platform.ReadResult{Next: 1}, nil
		},
	)
	f := ledger.NewFollower(s, table.Stream, shortPoll, table.New)
	f.SetClock(s.now)
	start(t, f.Run)
	eventually(t, "script read", func() bool { return s.left() == 0 })
	eventually(t, "view not fresh", func() bool { return !f.FreshWithin(time.Minute) })
	assert.Equal(t, f.Next(), uint64(3))
}

// TestSkippedEntriesAreAGap gives a reader entries that start above the offset
// it asked for.
func TestSkippedEntriesAreAGap(t *testing.T) {
	store := logstore.New(logstore.Options{})
	for i := range 3 {
		appendBatch(t, store, putRow(fmt.Sprintf("c%d", i), 1, 0))
	}
	tailOnly, err := store.Read(context.Background(), table.Stream, 2, 10, 0)
	assert.NilError(t, err)
	down := func(*scripted) (platform.ReadResult, error) {
		return platform.ReadResult{}, platform.ErrUnavailable
	}
	s := newScripted(
		func(*scripted) (platform.ReadResult, error) { return platform.ReadResult{Next: 0}, nil },
		func(*scripted) (platform.ReadResult, error) { return platform.ReadResult{}, nil },
		func(*scripted) (platform.ReadResult, error) { return tailOnly, nil },
		down,
	)
	f := ledger.NewFollower(s, table.Stream, shortPoll, table.New)
	start(t, f.Run)
	eventually(t, "script read", func() bool { return s.left() == 0 })
	assert.Assert(t, !f.FreshWithin(time.Hour))
}

func TestSlowLogDelaysAndLosesNothing(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{}), ample)
	loaded(t, r.follower)
	r.store.SetFaults(logstore.Faults{Delay: 100 * time.Millisecond})
	assert.Assert(t, r.commit(t, putRow("a", 1, 0)).Rejection == nil)
	r.store.SetFaults(logstore.Faults{})
	r.agree(t)
}

func TestOutageEndsTheFreshnessAndNotTheState(t *testing.T) {
	clock := &scripted{clock: time.Unix(1000, 0)}
	store := logstore.New(logstore.Options{})
	f := ledger.NewFollower(store, table.Stream, shortPoll, table.New)
	f.SetClock(clock.now)
	appendBatch(t, store, putRow("a", 1, 0))
	start(t, f.Run)
	loaded(t, f)
	eventually(t, "fresh", func() bool { return f.FreshWithin(time.Second) })
	store.SetFaults(logstore.Faults{Down: true})
	clock.pass(time.Hour)
	eventually(t, "stale", func() bool { return !f.FreshWithin(time.Second) })
	assert.Equal(t, content(f), "version 1 a=1@1 notices 0")
	store.SetFaults(logstore.Faults{})
	eventually(t, "fresh again", func() bool { return f.FreshWithin(time.Second) })
}
