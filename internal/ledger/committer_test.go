package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/ledger"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/table"
)

func TestLostAnswerIsReadBackWithoutSecondEffect(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{}), unlimitedAppends)
	waitForTail(t, r.follower)
	r.store.SetFaults(logstore.Faults{LoseAnswers: 1})
	rec := putRow("a", 1, 0)
	v := r.commit(t, rec)
	assert.Assert(t, v.Rejection == nil)
	assert.Equal(t, countCopies(t, r.store, rec.Id), 1)
	r.assertFreshReaderAgrees(t)
	assert.Equal(t, describe(r.follower), "version 1 a=1@1 notices 0")
}

func TestDoubledAppendHasOneEffect(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{}), unlimitedAppends)
	waitForTail(t, r.follower)
	r.store.SetFaults(logstore.Faults{DoubleAppends: 1})
	notice := &pb.Record{Body: &pb.Record_NoticeGiven{NoticeGiven: &pb.NoticeGiven{Client: "a", Subject: "pnw-a"}}}
	assert.Assert(t, r.commit(t, notice).Rejection == nil)
	r.assertFreshReaderAgrees(t)
	assert.Equal(t, describe(r.follower), "version 1 notices 1")
}

// TestAppendThatLandsLateChangesNothing guards against an old append that takes
// effect after newer ones. The append that creates a row is held in flight, the
// committer appends the record again, the row is deleted, and then the first
// append lands.
func TestAppendThatLandsLateChangesNothing(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{}), unlimitedAppends)
	waitForTail(t, r.follower)
	r.store.SetFaults(logstore.Faults{HoldAppends: 1})
	rec := putRow("a", 1, 0)
	assert.Assert(t, r.commit(t, rec).Rejection == nil)
	assert.Assert(t, r.commit(t, deleteRow("a", 1)).Rejection == nil)
	r.store.ApplyHeld()
	r.assertFreshReaderAgrees(t)
	assert.Equal(t, countCopies(t, r.store, rec.Id), 2)
	assert.Equal(t, describe(r.follower), "version 2 notices 0")
}

func TestOutcomeIsUnknownWhileAppendInFlight(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{}), unlimitedAppends)
	waitForTail(t, r.follower)
	r.store.SetFaults(logstore.Faults{HoldAppends: 1 << 20})
	ctx, cancel := context.WithTimeout(context.Background(), 100*time.Millisecond)
	defer cancel()
	_, err := r.committer.Commit(ctx, putRow("a", 1, 0))
	assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
	r.store.SetFaults(logstore.Faults{})
	r.store.ApplyHeld()
	r.assertFreshReaderAgrees(t)
	assert.Equal(t, describe(r.follower), "version 1 a=1@1 notices 0")
}

func TestRefusedAppendIsNotRun(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{}), unlimitedAppends)
	waitForTail(t, r.follower)
	r.store.SetFaults(logstore.Faults{Down: true})
	rec := putRow("a", 1, 0)
	_, err := r.committer.Commit(context.Background(), rec)
	assert.Assert(t, fault.Is(err, fault.CodeLogDown))
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
	r.store.SetFaults(logstore.Faults{})
	assert.Assert(t, r.commit(t, putRow("b", 1, 0)).Rejection == nil)
	assert.Equal(t, countCopies(t, r.store, rec.Id), 0)
}

// TestCallerThatGivesUpFirstIsNeverAppended cancels a commit before the committer
// runs: the record must not be appended later.
func TestCallerThatGivesUpFirstIsNeverAppended(t *testing.T) {
	store := logstore.New(logstore.Options{})
	f := startFollower(t, store)
	c := ledger.NewCommitter(store, f, "writer", unlimitedAppends) // not running yet
	rec := putRow("a", 1, 0)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error)
	go func() {
		_, err := c.Commit(ctx, rec)
		done <- err
	}()
	cancel()
	err := <-done
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
	startLoops(t, c.Run)
	ctx, cancel = context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	_, err = c.Commit(ctx, putRow("b", 1, 0))
	assert.NilError(t, err)
	assert.Equal(t, countCopies(t, store, rec.Id), 0)
}

// TestConcurrentCommitsShareAppends checks that all waiting records go into one
// append.
func TestConcurrentCommitsShareAppends(t *testing.T) {
	const commits = 200
	store := logstore.New(logstore.Options{})
	f := startFollower(t, store)
	c := ledger.NewCommitter(store, f, "writer", unlimitedAppends)
	var wg sync.WaitGroup
	for i := range commits {
		wg.Go(func() {
			_, err := c.Commit(context.Background(), putRow(fmt.Sprintf("c%d", i), 1, 0))
			assert.Check(t, err)
		})
	}
	eventually(t, "all records queued", func() bool { return c.QueueLen() == commits })
	startLoops(t, c.Run)
	wg.Wait()
	appends, _ := store.Totals()
	assert.Equal(t, appends, uint64(1))
}

// TestAppendsStayWithinBudget uses a limiter that allows three appends in all, so
// the number of appends does not depend on time.
func TestAppendsStayWithinBudget(t *testing.T) {
	store := logstore.New(logstore.Options{})
	store.SetFaults(logstore.Faults{HoldAppends: 1 << 20})
	limiter := &countedLimiter{remaining: 3}
	f := startFollower(t, store)
	c := ledger.NewCommitter(store, f, "writer", unlimitedAppends)
	c.SetLimiter(limiter)
	startLoops(t, c.Run)
	waitForTail(t, f)
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_, err := c.Commit(ctx, putRow("a", 1, 0))
	assert.Equal(t, fault.As(err).Outcome, fault.Unknown)
	assert.Assert(t, store.HeldCount() <= 3, "%d appends", store.HeldCount())
}

// countedLimiter allows a fixed number of appends and then none.
type countedLimiter struct {
	mu        sync.Mutex
	remaining int
}

func (l *countedLimiter) Wait(ctx context.Context) error {
	l.mu.Lock()
	ok := l.remaining > 0
	l.remaining--
	l.mu.Unlock()
	if ok {
		return nil
	}
	<-ctx.Done()
	return ctx.Err()
}

// TestUnencodableRecordFailsAlone commits text that is not UTF-8, as a spreadsheet
// may export it, together with a valid record. Only the former must fail.
func TestUnencodableRecordFailsAlone(t *testing.T) {
	store := logstore.New(logstore.Options{})
	f := startFollower(t, store)
	c := ledger.NewCommitter(store, f, "writer", unlimitedAppends)
	bad := putRow("a", 1, 0)
	bad.GetRowPut().Row.Notice = "caf\xe9"
	failed := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		_, err := c.Commit(ctx, bad)
		failed <- err
	}()
	good := make(chan error, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
		defer cancel()
		_, err := c.Commit(ctx, putRow("b", 1, 0))
		good <- err
	}()
	eventually(t, "records queued", func() bool { return c.QueueLen() >= 1 })
	startLoops(t, c.Run)
	assert.NilError(t, <-good)
	err := <-failed
	assert.Equal(t, fault.As(err).Outcome, fault.NotRun)
	assert.Assert(t, fault.Is(err, fault.CodeBadRequest))
}

func TestAppendStaysWithinMaxAppendBytes(t *testing.T) {
	store := logstore.New(logstore.Options{})
	f := ledger.NewFollower(store, table.Stream, shortPoll, table.New)
	c := ledger.NewCommitter(store, f, "writer", unlimitedAppends)
	var wg sync.WaitGroup
	const records, size = 8, 512 << 10
	for i := range records {
		part := &pb.Record{Body: &pb.Record_SnapshotPart{SnapshotPart: &pb.SnapshotPart{
			SnapshotId: fmt.Sprint(i), Parts: 2, Data: make([]byte, size),
		}}}
		wg.Go(func() {
			_, err := c.Commit(context.Background(), part)
			assert.Check(t, err)
		})
	}
	eventually(t, "records queued", func() bool { return c.QueueLen() == records })
	startLoops(t, f.Run, c.Run)
	wg.Wait()
	res, err := store.Read(context.Background(), table.Stream, 0, 100, 0)
	assert.NilError(t, err)
	for _, e := range res.Entries {
		assert.Assert(t, len(e.Payload) <= ledger.MaxAppendBytes, "append of %d bytes", len(e.Payload))
	}
}
