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
	testTimeout = 20 * time.Second
	poll        = 50 * time.Millisecond
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

func waitFor(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(testTimeout); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("timed out waiting for: %s", what)
		}
	}
}

func put(t *testing.T, c *ledger.Committer, name string) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	v, err := c.Commit(ctx, &pb.Record{Body: &pb.Record_RowPut{RowPut: &pb.RowPut{
		Row: &pb.Row{Kind: pb.RowKind_ROW_KIND_CLIENT, Name: name, Weight: 1},
	}}})
	assert.NilError(t, err)
	assert.Assert(t, v.Rejection == nil)
}

// TestStartDuringOutage starts a process while the log is down. It must load the newer of
// two peers' tables, report its age, never count as fresh, serve the table to another
// process, and continue from the log when the log is back.
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
	waitFor(t, "first row at the older peer", func() bool { return version(old) == 1 })
	stopOld()
	<-oldDone
	put(t, writer, "b")
	store.SetFaults(logstore.Faults{Down: true})

	pool := peer.NewPool()
	t.Cleanup(pool.Close)
	restarted := ledger.NewFollower(store, table.Stream, poll, table.New)
	start(t, restarted.Run)
	_, exportErr := restarted.Export()
	assert.Assert(t, exportErr != nil, "an empty state was exported")
	peers := []string{serve(t, old), serve(t, newer)}
	seeder := statesource.NewSeeder(restarted, pool, func() []string { return peers })
	seeder.SeedOnce(context.Background())
	assert.Equal(t, version(restarted), uint64(2))
	age, known := restarted.StateAge()
	assert.Assert(t, known && age > 0)
	assert.Assert(t, !restarted.FreshWithin(time.Hour), "a peer's state counts as fresh")

	third := ledger.NewFollower(store, table.Stream, poll, table.New)
	thirdSeeder := statesource.NewSeeder(third, pool, func() []string { return []string{serve(t, restarted)} })
	thirdSeeder.SeedOnce(context.Background())
	assert.Equal(t, version(third), uint64(2))
	thirdAge, _ := third.StateAge()
	assert.Assert(t, thirdAge >= age, "first copy has age %v, its copy has the lower age %v", age, thirdAge)

	// An older state is rejected afterwards: the version never decreases.
	olderSeeder := statesource.NewSeeder(restarted, pool, func() []string { return peers[:1] })
	olderSeeder.SeedOnce(context.Background())
	assert.Equal(t, version(restarted), uint64(2))

	store.SetFaults(logstore.Faults{})
	put(t, writer, "c")
	waitFor(t, "follower continued from the log", func() bool { return version(restarted) == 3 && restarted.FreshWithin(time.Minute) })
}

// agedSource has a state whose age is not a whole number of milliseconds.
type agedSource struct{}

func (agedSource) Stream() string { return "s" }

func (agedSource) Export() (ledger.State, error) {
	return ledger.State{Covers: 1, Age: 18*time.Millisecond + time.Microsecond}, nil
}

func TestAgeIsRoundedUp(t *testing.T) {
	reply, err := statesource.NewServer(agedSource{}).GetState(context.Background(), &pb.GetStateRequest{Stream: "s"})
	assert.NilError(t, err)
	assert.Equal(t, reply.AgeMs, int64(19))
}

// TestSeedBehindTheRetention seeds a follower with a state whose next entries the log has
// already trimmed. The follower must not act on it, must never show an older version, and
// must load the next snapshot.
func TestSeedBehindTheRetention(t *testing.T) {
	store := logstore.New(logstore.Options{RetainEntries: 6})
	f := ledger.NewFollower(store, table.Stream, poll, table.New)
	writer := ledger.NewCommitter(store, f, "writer", 1000)
	start(t, f.Run, writer.Run)
	put(t, writer, "a")
	state, err := f.Export()
	assert.NilError(t, err)
	seeded := ledger.NewFollower(store, table.Stream, poll, table.New)
	accepted, err := seeded.Seed(state)
	assert.NilError(t, err)
	assert.Assert(t, accepted)
	for _, name := range []string{"b", "c", "d", "e", "f", "g", "h", "i"} {
		put(t, writer, name)
	}
	ctx, cancel := context.WithTimeout(context.Background(), 300*time.Millisecond)
	defer cancel()
	start(t, seeded.Run)
	assert.Assert(t, seeded.WaitForTail(ctx) != nil, "loaded although entries after the seeded state are trimmed")
	assert.Equal(t, version(seeded), uint64(1))
	snaps := ledger.NewSnapshotter(ledger.SnapshotOptions{Interval: time.Second, MaxEntries: 1 << 30}, f, writer)
	start(t, snaps.Run)
	waitFor(t, "snapshot loaded", func() bool { return version(seeded) == 9 && seeded.FreshWithin(time.Minute) })
}
