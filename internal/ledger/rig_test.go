package ledger_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/recordlog"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/table"
)

const (
	waitTimeout      = 20 * time.Second // bound of every wait for an expected event
	shortPoll        = 50 * time.Millisecond
	unlimitedAppends = 1_000_000 // per second
)

// rig is a log with one follower and one committer of the table's stream.
type rig struct {
	store     *logstore.Store
	follower  *ledger.Follower[*table.Table]
	committer *ledger.Committer
}

// startLoops runs the loops until the test ends.
func startLoops(t *testing.T, loops ...func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
}

// newRig starts a follower and a committer on the store.
func newRig(t *testing.T, store *logstore.Store, appendsPerSecond int64) *rig {
	f := startFollower(t, store)
	c := ledger.NewCommitter(store, f, "writer", appendsPerSecond)
	startLoops(t, c.Run)
	return &rig{store: store, follower: f, committer: c}
}

// startFollower runs a follower of the table's stream until the test ends.
func startFollower(t *testing.T, log recordlog.Log) *ledger.Follower[*table.Table] {
	f := ledger.NewFollower(log, table.Stream, shortPoll, table.New)
	startLoops(t, f.Run)
	return f
}

// waitForTail waits until the follower has reached the tail.
func waitForTail(t *testing.T, f *ledger.Follower[*table.Table]) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	assert.NilError(t, f.WaitForTail(ctx))
}

// eventually polls until the condition holds; it fails the test after waitTimeout.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(waitTimeout)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// waitCaughtUp waits until the follower has applied all that the store holds.
func waitCaughtUp(t *testing.T, store *logstore.Store, f *ledger.Follower[*table.Table]) {
	t.Helper()
	eventually(t, "follower at the tail", func() bool { return f.NextOffset() == tailOffset(store) })
}

// tailOffset returns the offset of the next entry, or 1<<62 if the log is down.
func tailOffset(store *logstore.Store) uint64 {
	res, err := store.Read(context.Background(), table.Stream, 1<<62, 1, 0)
	if err != nil {
		return 1 << 62
	}
	return res.Next
}

func putRow(name string, weight uint32, base uint64) *pb.Record {
	return &pb.Record{Body: &pb.Record_RowPut{RowPut: &pb.RowPut{
		Row: &pb.Row{Kind: pb.RowKind_ROW_KIND_CLIENT, Name: name, Weight: weight}, BaseVersion: base,
	}}}
}

func deleteRow(name string, base uint64) *pb.Record {
	return &pb.Record{Body: &pb.Record_RowDelete{RowDelete: &pb.RowDelete{
		Kind: pb.RowKind_ROW_KIND_CLIENT, Name: name, BaseVersion: base,
	}}}
}

func (r *rig) commit(t *testing.T, rec *pb.Record) ledger.ApplyResult {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	v, err := r.committer.Commit(ctx, rec)
	assert.NilError(t, err)
	return v
}

// describe returns the follower's state as text.
func describe(f *ledger.Follower[*table.Table]) string {
	var s string
	f.View(func(t *table.Table) {
		s = fmt.Sprintf("version %d", t.Version())
		for _, r := range t.Rows() {
			s += fmt.Sprintf(" %s=%d@%d", r.Name, r.Weight, r.Version)
		}
		for _, r := range t.Rows() {
			if r.Notice != "" {
				s += fmt.Sprintf(" %x", xxhash.Sum64String(r.Notice))
			}
		}
		s += fmt.Sprintf(" notices %d", len(t.Notices()))
	})
	return s
}

// assertFreshReaderAgrees checks that a new follower reaches the same state.
func (r *rig) assertFreshReaderAgrees(t *testing.T) {
	t.Helper()
	waitCaughtUp(t, r.store, r.follower)
	other := startFollower(t, r.store)
	waitForTail(t, other)
	waitCaughtUp(t, r.store, other)
	assert.Equal(t, describe(other), describe(r.follower))
}

// countCopies returns how many copies of a record the log holds.
func countCopies(t *testing.T, store *logstore.Store, id string) int {
	t.Helper()
	res, err := store.Read(context.Background(), table.Stream, 0, 1<<20, 0)
	assert.NilError(t, err)
	n := 0
	for _, e := range res.Entries {
		batch := &pb.Batch{}
		if proto.Unmarshal(e.Payload, batch) != nil {
			continue
		}
		for _, rec := range batch.Records {
			if rec.Id == id {
				n++
			}
		}
	}
	return n
}

func appendBatch(t *testing.T, store *logstore.Store, recs ...*pb.Record) {
	t.Helper()
	payload, err := proto.Marshal(&pb.Batch{Records: recs})
	assert.NilError(t, err)
	_, err = store.Append(context.Background(), table.Stream, payload)
	assert.NilError(t, err)
}
