package ownership

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/platform"
	"chervilridge/internal/shard"
	"chervilridge/internal/standin/logstore"
)

const (
	lease    = 10 * time.Second // on the fake clock
	patience = 20 * time.Second
	poll     = 10 * time.Millisecond
	// ticksPerLease is how often a candidate looks within the default lease.
	ticksPerLease = 5 * time.Second / checkInterval
	ample         = 1_000_000
)

// clock is moved by the test only.
type clock struct {
	mu sync.Mutex
	t  time.Time
}

func newClock() *clock { return &clock{t: time.Unix(1000, 0)} }

func (c *clock) now() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.t
}

func (c *clock) pass(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.t = c.t.Add(d)
}

// gate holds one candidate's reads back while it is closed.
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

// candidate is a lease with its own reader, stepped by the test.
type candidate struct {
	*Lease
	gate     *gate
	store    *logstore.Store
	follower *ledger.Follower[*shard.State]
}

func newCandidate(t *testing.T, store *logstore.Store, c *clock, name string, random func() float64) *candidate {
	g := &gate{Log: store}
	f := ledger.NewFollower[*shard.State](g, shard.Stream(0), poll, shard.New)
	f.SetClock(c.now)
	committer := ledger.NewCommitter(g, f, name, ample)
	l := New(Options{Owner: name, Lease: lease, Now: c.now, Random: random}, f, committer)
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	wg.Go(func() { f.Run(ctx) })
	wg.Go(func() { committer.Run(ctx) })
	t.Cleanup(func() { cancel(); wg.Wait() })
	loadCtx, stop := context.WithTimeout(ctx, patience)
	defer stop()
	assert.NilError(t, f.WaitLoaded(loadCtx))
	return &candidate{Lease: l, gate: g, store: store, follower: f}
}

func zero() float64 { return 0 }

// tick steps the candidate on a view that is up to date.
func (c *candidate) tick(t *testing.T) {
	t.Helper()
	c.fresh(t)
	c.step(context.Background())
}

func (c *candidate) fresh(t *testing.T) {
	t.Helper()
	eventually(t, "view at the tail", func() bool {
		return c.follower.FreshWithin(0) && c.follower.Next() == tail(c.store)
	})
}

func (c *candidate) holding() bool {
	_, held := c.Held()
	return held
}

func eventually(t *testing.T, what string, cond func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !cond(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatalf("did not come about: %s", what)
		}
	}
}

func tail(store *logstore.Store) uint64 {
	res, err := store.Read(context.Background(), shard.Stream(0), 1<<62, 1, 0)
	if err != nil {
		return 1 << 62
	}
	return res.Next
}

// claims returns the claims that the log holds.
func claims(t *testing.T, store *logstore.Store) []*pb.ShardClaim {
	t.Helper()
	res, err := store.Read(context.Background(), shard.Stream(0), 0, 1<<20, 0)
	assert.NilError(t, err)
	var out []*pb.ShardClaim
	for _, e := range res.Entries {
		batch := &pb.Batch{}
		assert.NilError(t, proto.Unmarshal(e.Payload, batch))
		for _, rec := range batch.Records {
			if c := rec.GetShardClaim(); c != nil {
				out = append(out, c)
			}
		}
	}
	return out
}

func TestTwoClaimsAtOnceHaveOneWinner(t *testing.T) {
	store, c := logstore.New(logstore.Options{}), newClock()
	a, b := newCandidate(t, store, c, "a", zero), newCandidate(t, store, c, "b", zero)
	seenA, seenB := a.look(sighting{}), b.look(sighting{})
	var wg sync.WaitGroup
	wg.Go(func() { a.claim(context.Background(), seenA) })
	wg.Go(func() { b.claim(context.Background(), seenB) })
	wg.Wait()
	assert.Equal(t, len(claims(t, store)), 2)
	assert.Assert(t, a.holding() != b.holding())
}

// TestHolderThatWakesUpLateHoldsNothing pauses the holder beyond its lease. It
// must hold nothing at the moment it wakes up, before any of its loops ran, and
// what it still writes is void.
func TestHolderThatWakesUpLateHoldsNothing(t *testing.T) {
	store, c := logstore.New(logstore.Options{}), newClock()
	a, b := newCandidate(t, store, c, "a", zero), newCandidate(t, store, c, "b", zero)
	a.tick(t)
	assert.Assert(t, a.holding())
	b.tick(t)
	epoch, _ := a.Held()
	a.gate.pause()
	c.pass(lease - lease/marginShare)
	assert.Assert(t, !a.holding(), "held at the end of the usable lease")
	c.pass(lease)
	b.tick(t)
	assert.Assert(t, b.holding())
	a.gate.resume()
	v, err := a.committer.Commit(context.Background(), &pb.Record{Epoch: epoch, Body: &pb.Record_ShardRenew{ShardRenew: &pb.ShardRenew{Epoch: epoch}}})
	assert.NilError(t, err)
	assert.Assert(t, v.Rejection != nil && v.Rejection.Reason == ledger.ReasonStaleEpoch)
	a.tick(t)
	assert.Assert(t, !a.holding() && b.holding())
}

func TestLostAnswerOfRenewalAndClaim(t *testing.T) {
	store, c := logstore.New(logstore.Options{}), newClock()
	a := newCandidate(t, store, c, "a", zero)
	store.SetFaults(logstore.Faults{LoseAnswers: 1})
	a.tick(t)
	assert.Assert(t, a.holding())
	assert.Equal(t, len(claims(t, store)), 1)
	c.pass(lease / 2)
	store.SetFaults(logstore.Faults{LoseAnswers: 1})
	a.tick(t)
	c.pass(lease / 2)
	assert.Assert(t, a.holding(), "renewal whose answer was lost did not count")
	a.follower.View(func(s *shard.State) { assert.Equal(t, s.Renewals(), uint64(1)) })
}

// TestClaimThatIsReadBackLateIsAdopted gives a claim up while its verdict
// cannot be read, then reads it: the lease counts from when the claim was sent.
func TestClaimThatIsReadBackLateIsAdopted(t *testing.T) {
	for _, late := range []time.Duration{lease / 2, 2 * lease} {
		store, c := logstore.New(logstore.Options{}), newClock()
		a := newCandidate(t, store, c, "a", zero)
		a.fresh(t)
		seen := a.look(sighting{})
		a.gate.pause()
		ctx, cancel := context.WithCancel(context.Background())
		time.AfterFunc(patience, cancel)
		done := make(chan struct{})
		go func() { a.claim(ctx, seen); close(done) }()
		eventually(t, "claim in the log", func() bool { return tail(store) == 1 })
		cancel()
		<-done
		assert.Assert(t, !a.holding())
		c.pass(late)
		a.gate.resume()
		a.fresh(t)
		a.adopt()
		_, until := a.hold()
		assert.Equal(t, until, time.Unix(1000, 0).Add(a.usable()))
		assert.Equal(t, a.holding(), late < lease)
		a.tick(t)
		assert.Assert(t, a.holding())
		assert.Equal(t, len(claims(t, store)), 1+int(late/(2*lease)))
	}
}

func (l *Lease) hold() (from, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.from, l.until
}

// TestClaimOverARenewalWaitsTheLeaseOut lets a candidate claim on a view that
// misses a renewal. Both records are accepted, in this order; the new holder
// must not act while the old one may.
func TestClaimOverARenewalWaitsTheLeaseOut(t *testing.T) {
	store, c := logstore.New(logstore.Options{}), newClock()
	a, b := newCandidate(t, store, c, "a", zero), newCandidate(t, store, c, "b", zero)
	a.tick(t)
	b.fresh(t)
	seen := b.look(sighting{})
	b.gate.pause()
	c.pass(lease / 2)
	a.tick(t) // renews
	b.gate.resume()
	b.claim(context.Background(), seen)
	epoch, _ := b.Held()
	assert.Equal(t, epoch, uint64(2))
	for range 30 {
		assert.Assert(t, !a.holding() || !b.holding(), "two holders at once")
		c.pass(lease / 20)
	}
}

// TestOutageIsFollowedByNoStorm takes the log away for longer than the lease.
// When it is back the owner of before returns and the others write nothing; with
// the owner dead, few of 50 candidates claim.
func TestOutageIsFollowedByNoStorm(t *testing.T) {
	const others, storm = 50, 4
	for _, ownerLives := range []bool{true, false} {
		store, c := logstore.New(logstore.Options{}), newClock()
		owner := newCandidate(t, store, c, "owner", zero)
		owner.tick(t)
		var rest []*candidate
		for i := range others {
			rest = append(rest, newCandidate(t, store, c, fmt.Sprintf("other-%d", i), rand.New(rand.NewPCG(1, uint64(i))).Float64))
		}
		for _, o := range rest {
			o.tick(t)
		}
		store.SetFaults(logstore.Faults{Down: true})
		c.pass(10 * lease)
		assert.Assert(t, !owner.holding())
		for _, o := range append(rest, owner) {
			o.step(context.Background())
		}
		store.SetFaults(logstore.Faults{})
		for range 2 * ticksPerLease {
			if ownerLives {
				owner.tick(t)
			}
			claimInOneGo(t, rest)
			c.pass(lease / ticksPerLease)
		}
		n := len(claims(t, store)) - 1
		t.Logf("owner lives %v: %d claims after the outage", ownerLives, n)
		if ownerLives {
			assert.Equal(t, n, 1)
			assert.Assert(t, owner.holding())
			continue
		}
		assert.Assert(t, n >= 1 && n <= storm, "%d claims", n)
	}
}

// claimInOneGo steps all candidates on the view of this moment, as if none saw
// what the others do within it.
func claimInOneGo(t *testing.T, all []*candidate) {
	t.Helper()
	for _, o := range all {
		o.fresh(t)
	}
	var wg sync.WaitGroup
	for _, o := range all {
		wg.Go(func() { o.step(context.Background()) })
	}
	wg.Wait()
}

func TestEpochOnlyGrows(t *testing.T) {
	store, c := logstore.New(logstore.Options{}), newClock()
	for i := range 5 {
		a := newCandidate(t, store, c, fmt.Sprintf("a-%d", i), zero)
		for range 3 {
			a.tick(t)
			c.pass(2 * lease)
		}
		a.tick(t)
		all := claims(t, store)
		epoch, held := a.Held()
		assert.Assert(t, held)
		assert.Equal(t, epoch, all[len(all)-1].Epoch)
		c.pass(lease / 2)
	}
	for i, claim := range claims(t, store) {
		assert.Equal(t, claim.Epoch, uint64(i+1))
	}
}

// TestReleaseIsFollowedByAQuickTakeover stops the holder as planned: it holds
// nothing from then on, and another takes over without waiting for the lease.
func TestReleaseIsFollowedByAQuickTakeover(t *testing.T) {
	store, c := logstore.New(logstore.Options{}), newClock()
	a, b := newCandidate(t, store, c, "a", zero), newCandidate(t, store, c, "b", zero)
	a.tick(t)
	b.tick(t)
	a.Release(context.Background())
	assert.Assert(t, !a.holding())
	b.tick(t)
	assert.Assert(t, b.holding())
	a.tick(t)
	assert.Assert(t, !a.holding(), "claimed again after the release")
	epoch, _ := b.Held()
	assert.Equal(t, epoch, uint64(3))
}

func TestReleaseDuringAnOutageHoldsNothing(t *testing.T) {
	store, c := logstore.New(logstore.Options{}), newClock()
	a, b := newCandidate(t, store, c, "a", zero), newCandidate(t, store, c, "b", zero)
	a.tick(t)
	b.tick(t)
	store.SetFaults(logstore.Faults{Down: true})
	a.Release(context.Background())
	assert.Assert(t, !a.holding())
	store.SetFaults(logstore.Faults{})
	c.pass(lease / 2)
	b.tick(t)
	assert.Assert(t, !b.holding(), "claimed before the lease of a silent owner ended")
	c.pass(2 * lease)
	b.tick(t)
	assert.Assert(t, b.holding())
}
