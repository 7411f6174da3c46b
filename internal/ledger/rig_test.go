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
	"chervilridge/internal/platform"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/table"
)

const (
	patience  = 20 * time.Second // bound of a wait for what must come
	shortPoll = 50 * time.Millisecond
	ample     = 1_000_000 // appends a second, no limit in practice
)

// rig is a log with one reader and one writer of the table.
type rig struct {
	store     *logstore.Store
	follower  *ledger.Follower[*table.Table]
	committer *ledger.Committer
}

// start runs the loops until the test ends.
func start(t *testing.T, loops ...func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
}

func newRig(t *testing.T, store *logstore.Store, appendsPerSecond int64) *rig {
	f := follow(t, store)
	c := ledger.NewCommitter(store, f, "writer", appendsPerSecond)
	start(t, c.Run)
	return &rig{store: store, follower: f, committer: c}
}

func follow(t *testing.T, log platform.Log) *ledger.Follower[*table.Table] {
	f := ledger.NewFollower(log, table.Stream, shortPoll, table.New)
	start(t, f.Run)
	return f
}

// loaded waits until the follower has reached the tail.
func loaded(t *testing.T, f *ledger.Follower[*table.Table]) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	assert.NilError(t, f.WaitLoaded(ctx))
}

// eventually polls until the condition holds.
func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	deadline := time.Now().Add(patience)
	for !cond() {
		if time.Now().After(deadline) {
			t.Fatalf("did not come about: %s", what)
		}
		time.Sleep(time.Millisecond)
	}
}

// caughtUp waits until the follower has applied all that the store holds.
func caughtUp(t *testing.T, store *logstore.Store, f *ledger.Follower[*table.Table]) {
	t.Helper()
	eventually(t, "reader at the tail", func() bool { return f.Next() == tail(store) })
}

func tail(store *logstore.Store) uint64 {
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

func (r *rig) commit(t *testing.T, rec *pb.Record) ledger.Verdict {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	v, err := r.committer.Commit(ctx, rec)
	assert.NilError(t, err)
	return v
}

// content is the state of a reader as text.
func content(f *ledger.Follower[*table.Table]) string {
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

// agree checks that a reader that starts now reaches the same state.
func (r *rig) agree(t *testing.T) {
	t.Helper()
	caughtUp(t, r.store, r.follower)
	other := follow(t, r.store)
	loaded(t, other)
	caughtUp(t, r.store, other)
	assert.Equal(t, content(other), content(r.follower))
}

// copies counts how often the log holds a record.
func copies(t *testing.T, store *logstore.Store, id string) int {
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
