package statesource_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/peer"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/statesource"
	"chervilridge/internal/table"
)

const (
	patience = 20 * time.Second
	poll     = 50 * time.Millisecond
)

func start(t *testing.T, loops ...func(context.Context)) {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	for _, loop := range loops {
		wg.Go(func() { loop(ctx) })
	}
	t.Cleanup(func() { cancel(); wg.Wait() })
}

func serve(t *testing.T, source statesource.Source) string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	server := peer.NewServer()
	pb.RegisterStateSourceServer(server, statesource.NewServer(source))
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	return l.Addr().String()
}

func version(f *ledger.Follower[*table.Table]) uint64 {
	var n uint64
	f.View(func(t *table.Table) { n = t.Version() })
	return n
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("did not come about: %s", what)
		}
	}
}

func put(t *testing.T, c *ledger.Committer, name string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	v, err := c.Commit(ctx, &pb.Record{Body: &pb.Record_RowPut{RowPut: &pb.RowPut{
		Row: &pb.Row{Kind: pb.RowKind_ROW_KIND_CLIENT, Name: name, Weight: 1},
	}}})
	assert.NilError(t, err)
	assert.Assert(t, v.Rejection == nil)
}

// TestStartDuringOutage starts a process while the log is down: it takes the
// newer of two peers' tables, says how old it is, is never fresh, gives the
// table on, and joins the log where it left off when the log is back.
func TestStartDuringOutage(t *testing.T) {
	store := logstore.New(logstore.Options{})
	old := ledger.NewFollower(store, table.Stream, poll, table.New)
	oldCtx, stopOld := context.WithCancel(context.Background())
	oldDone := make(chan struct{})
	go func() { old.Run(oldCtx); close(oldDone) }()
	newer := ledger.NewFollower(store, table.Stream, poll, table.New)
	writer := ledger.NewCommitter(store, newer, "writer", 1000)
	start(t, newer.Run, writer.Run)
	put(t, writer, "a")
	eventually(t, "first row at the older peer", func() bool { return version(old) == 1 })
	stopOld()
	<-oldDone
	put(t, writer, "b")
	store.SetFaults(logstore.Faults{Down: true})

	pool := peer.NewPool()
	t.Cleanup(pool.Close)
	fresh := ledger.NewFollower(store, table.Stream, poll, table.New)
	start(t, fresh.Run)
	_, none := fresh.Export()
	assert.Assert(t, none != nil, "an empty state was given away")
	peers := []string{serve(t, old), serve(t, newer)}
	seeder := statesource.NewSeeder(fresh, pool, func() []string { return peers })
	seeder.Round(context.Background())
	assert.Equal(t, version(fresh), uint64(2))
	age, known := fresh.StateAge()
	assert.Assert(t, known && age > 0)
	assert.Assert(t, !fresh.FreshWithin(time.Hour), "a peer's state counts as fresh")

	third := ledger.NewFollower(store, table.Stream, poll, table.New)
	chain := statesource.NewSeeder(third, pool, func() []string { return []string{serve(t, fresh)} })
	chain.Round(context.Background())
	assert.Equal(t, version(third), uint64(2))
	thirdAge, _ := third.StateAge()
	assert.Assert(t, thirdAge >= age, "age %v became younger on the way: %v", age, thirdAge)

	// An older state is refused afterwards: the version never moves back.
	back := statesource.NewSeeder(fresh, pool, func() []string { return peers[:1] })
	back.Round(context.Background())
	assert.Equal(t, version(fresh), uint64(2))

	store.SetFaults(logstore.Faults{})
	put(t, writer, "c")
	eventually(t, "log joined", func() bool { return version(fresh) == 3 && fresh.FreshWithin(time.Minute) })
}

// agedSource has a state that is no whole number of milliseconds old.
type agedSource struct{}

func (agedSource) Stream() string { return "s" }

func (agedSource) Export() (ledger.State, error) {
	return ledger.State{Covers: 1, Age: 18*time.Millisecond + time.Microsecond}, nil
}

func TestAgeIsNeverToldTooYoung(t *testing.T) {
	reply, err := statesource.NewServer(agedSource{}).GetState(context.Background(), &pb.GetStateRequest{Stream: "s"})
	assert.NilError(t, err)
	assert.Equal(t, reply.AgeMs, int64(19))
}

// TestSeedBehindTheRetention seeds a process with a state whose next entries the
// log no longer has: it must load a snapshot, and never show an older version.
func TestSeedBehindTheRetention(t *testing.T) {
	store := logstore.New(logstore.Options{RetainEntries: 6})
	f := ledger.NewFollower(store, table.Stream, poll, table.New)
	writer := ledger.NewCommitter(store, f, "writer", 1000)
	start(t, f.Run, writer.Run)
	put(t, writer, "a")
	state, err := f.Export()
	assert.NilError(t, err)
	fresh := ledger.NewFollower(store, table.Stream, poll, table.New)
	taken, err := fresh.Seed(state)
	assert.NilError(t, err)
	assert.Assert(t, taken)
	for _, name := range []string{"b", "c", "d", "e", "f", "g", "h", "i"} {
		put(t, writer, name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	start(t, fresh.Run)
	assert.Assert(t, fresh.WaitLoaded(ctx) != nil, "acted on a state with a gap behind it")
	assert.Equal(t, version(fresh), uint64(1))
	snaps := ledger.NewSnapshotter(ledger.SnapshotOptions{Interval: time.Second, MaxEntries: 1 << 30}, f, writer)
	start(t, snaps.Run)
	eventually(t, "snapshot loaded", func() bool { return version(fresh) == 9 && fresh.FreshWithin(time.Minute) })
}
