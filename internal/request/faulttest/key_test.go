package faulttest

import (
	"context"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/claims"
	"chervilridge/internal/fault"
	"chervilridge/internal/ident"
	"chervilridge/internal/ledger"
	"chervilridge/internal/peer"
	"chervilridge/internal/platform"
	"chervilridge/internal/request"
	"chervilridge/internal/request/claim"
	"chervilridge/internal/request/retry"
	"chervilridge/internal/request/send"
	"chervilridge/internal/request/verify"
	"chervilridge/internal/standin/logstore"
)

// directory finds the endpoints of nodes by agent name.
type directory []*node

func (d directory) Find(agent string) *pb.Endpoint {
	for _, n := range d {
		if n.name == agent {
			return n.member.Endpoint
		}
	}
	return nil
}

// keyEntry is an entry with its claims.
type keyEntry struct {
	request.Handler // as clients see it
	// crashed leaves out the stage that gives a key back.
	crashed   request.Handler
	committer *ledger.Committer
	follower  *ledger.Follower[*claims.Claims]
}

func newKeyEntry(t *testing.T, log platform.Log, name string, nodes ...*node) *keyEntry {
	ctx, cancel := context.WithCancel(context.Background())
	var wg sync.WaitGroup
	t.Cleanup(func() {
		cancel()
		wg.Wait()
	})
	f := ledger.NewFollower(log, claims.Stream, 100*time.Millisecond, claims.New)
	c := ledger.NewCommitter(log, f, name, 1000)
	wg.Go(func() { f.Run(ctx) })
	wg.Go(func() { c.Run(ctx) })
	pool := peer.NewPool()
	t.Cleanup(pool.Close)
	claimed := claim.New(verify.New(send.New(pool)), c, claim.FollowerLookup{Follower: f}, claim.EndpointResolver{Endpoints: directory(nodes)})
	retried := retry.New(picker{claimed, nodes}, retry.NewBudget(0.1, 50), 3)
	return &keyEntry{Handler: claim.NewReleaser(retried, c), crashed: retried, committer: c, follower: f}
}

func newKeyed(key string) *request.Request {
	r := newRequest(false, longRequest)
	r.Key = key
	return r
}

func totalRuns(nodes ...*node) int {
	total := 0
	for _, n := range nodes {
		n.mu.Lock()
		for _, runs := range n.runs {
			total += runs
		}
		n.mu.Unlock()
	}
	return total
}

func reversed(nodes ...*node) []*node { return []*node{nodes[1], nodes[0]} }

// TestKeyThroughTwoEntries sends one key through two entries at once, each of
// which prefers another agent. It runs once, and both get the answer.
func TestKeyThroughTwoEntries(t *testing.T) {
	store := logstore.New(logstore.Options{})
	a, b := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
	first, second := newKeyEntry(t, store, "entry-1", a, b), newKeyEntry(t, store, "entry-2", reversed(a, b)...)
	const keys = 20
	for i := range keys {
		key := ident.New()
		one, two := handle(first, newKeyed(key)), handle(second, newKeyed(key))
		x, y := <-one, <-two
		assert.NilError(t, x.err)
		assert.NilError(t, y.err)
		assert.Equal(t, string(x.answer.Body), string(y.answer.Body))
		assert.Equal(t, totalRuns(a, b), i+1)
	}
}

// TestOwnIDThroughTwoEntries does the same with an id of the client's own and no
// key: as it would after its first entry did not answer.
func TestOwnIDThroughTwoEntries(t *testing.T) {
	store := logstore.New(logstore.Options{})
	a, b := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
	first, second := newKeyEntry(t, store, "entry-1", a, b), newKeyEntry(t, store, "entry-2", reversed(a, b)...)
	r := newRequest(false, longRequest)
	r.IDFromClient = true
	again := *r
	one, two := handle(first, r), handle(second, &again)
	isWhole(t, <-one, r)
	isWhole(t, <-two, r)
	assert.Equal(t, totalRuns(a, b), 1)
}

// TestKeyOfRequestNotRun refuses the request that holds the key. The key is free
// at once, also when the entry died before it gave the key back.
func TestKeyOfRequestNotRun(t *testing.T) {
	for name, crashed := range map[string]bool{"released": false, "entry died": true} {
		t.Run(name, func(t *testing.T) {
			store := logstore.New(logstore.Options{})
			down, up := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
			down.Close()
			first, second := newKeyEntry(t, store, "entry-1", down), newKeyEntry(t, store, "entry-2", up, down)
			head := first.Handler
			if crashed {
				head = first.crashed
			}
			got := <-handle(head, newKeyed("key"))
			assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
			r := newKeyed("key")
			isWhole(t, <-handle(second, r), r)
		})
	}
}

// TestKeyMovesToTheNextAgent refuses the first hand-over of the winner, so that
// its claim moves. Another request with the key gets its answer.
func TestKeyMovesToTheNextAgent(t *testing.T) {
	store := logstore.New(logstore.Options{})
	down, up := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
	down.Close()
	first, second := newKeyEntry(t, store, "entry-1", down, up), newKeyEntry(t, store, "entry-2", down, up)
	r := newKeyed("key")
	isWhole(t, <-handle(first, r), r)
	isWhole(t, <-handle(second, newKeyed("key")), r)
	assert.Equal(t, totalRuns(up), 1)
}

// TestKeyOfOrphanedClaim has a claim without a hand-over: its entry died between
// the two, or the append landed after the entry gave up. The key does not stay
// blocked, and the late hand-over does not run.
func TestKeyOfOrphanedClaim(t *testing.T) {
	t.Parallel()
	store := logstore.New(logstore.Options{})
	n := newNode(t, "agent-1", nil)
	entry := newKeyEntry(t, store, "entry-1", n)
	orphan := newKeyed("key")
	assert.NilError(t, entry.follower.WaitLoaded(t.Context()))
	v, err := entry.committer.Commit(t.Context(), &pb.Record{Body: &pb.Record_KeyClaimed{KeyClaimed: &pb.KeyClaimed{
		Client: orphan.Client, Key: orphan.Key, RequestId: orphan.ID, Holder: ident.New(), Digest: digestOf(t, orphan),
		Agent: n.name, Incarnation: n.member.Endpoint.Incarnation,
	}}})
	assert.NilError(t, err)
	assert.Assert(t, v.Rejection == nil)
	r := newKeyed("key")
	isWhole(t, <-handle(entry, r), r)

	late := <-handle(newEntry(t, n), orphan)
	assert.Equal(t, fault.As(late.err).Outcome, fault.NotRun)
	assert.Equal(t, totalRuns(n), 1)
}

// digestOf takes the digest of a request from a claim that is made for it.
func digestOf(t *testing.T, r *request.Request) uint64 {
	t.Helper()
	store := logstore.New(logstore.Options{})
	entry := newKeyEntry(t, store, "digest", newNode(t, "agent-digest", nil))
	copied := *r
	copied.ID, copied.Deadline = ident.New(), time.Now().Add(longRequest)
	_, err := entry.Handle(t.Context(), &copied)
	assert.NilError(t, err)
	return copied.Claim.Digest
}

// lateLog appends with an unknown outcome: the payloads land when it is told.
type lateLog struct {
	*logstore.Store
	mu   sync.Mutex
	late [][]byte
	on   bool
}

func (l *lateLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.on {
		return l.Store.Append(ctx, stream, payload)
	}
	l.late = append(l.late, payload)
	return 0, platform.ErrUnknownOutcome
}

func (l *lateLog) land(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.on = false
	for _, payload := range l.late {
		_, err := l.Store.Append(t.Context(), claims.Stream, payload)
		assert.NilError(t, err)
	}
}

// TestClaimLandsLater loses the claim's append until its request was refused.
func TestClaimLandsLater(t *testing.T) {
	t.Parallel()
	log := &lateLog{Store: logstore.New(logstore.Options{}), on: true}
	n := newNode(t, "agent-1", nil)
	entry := newKeyEntry(t, log, "entry-1", n)
	refused := newKeyed("key")
	refused.Deadline = time.Now().Add(300 * time.Millisecond)
	got := <-handle(entry, refused)
	assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
	log.land(t)
	r := newKeyed("key")
	isWhole(t, <-handle(entry, r), r)
	assert.Equal(t, n.ran(refused.ID), 0)
	assert.Equal(t, totalRuns(n), 1)
}

// TestClaimFaults lets the log lose answers and store appends twice.
func TestClaimFaults(t *testing.T) {
	t.Parallel()
	store := logstore.New(logstore.Options{})
	a, b := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
	first, second := newKeyEntry(t, store, "entry-1", a, b), newKeyEntry(t, store, "entry-2", reversed(a, b)...)
	const keys = 5
	for i := range keys {
		store.SetFaults(logstore.Faults{LoseAnswers: i % 3, DoubleAppends: 2})
		key := ident.New()
		one, two := handle(first, newKeyed(key)), handle(second, newKeyed(key))
		x, y := <-one, <-two
		assert.NilError(t, x.err)
		assert.NilError(t, y.err)
		assert.Equal(t, totalRuns(a, b), i+1)
	}
}

// TestLogDown refuses requests with a key as "not run" and serves the others.
func TestLogDown(t *testing.T) {
	store := logstore.New(logstore.Options{})
	store.SetFaults(logstore.Faults{Down: true})
	n := newNode(t, "agent-1", nil)
	entry := newKeyEntry(t, store, "entry-1", n)
	got := <-handle(entry, newKeyed("key"))
	e := fault.As(got.err)
	assert.Equal(t, e.Outcome, fault.NotRun)
	assert.Equal(t, e.Code, fault.CodeLogDown)
	assert.Equal(t, totalRuns(n), 0)
	quick, once := newRequest(true, longRequest), newRequest(false, longRequest)
	isWhole(t, <-handle(entry, quick), quick)
	isWhole(t, <-handle(entry, once), once)
}

// TestKeyOfAnotherRequest uses a key for a second request.
func TestKeyOfAnotherRequest(t *testing.T) {
	store := logstore.New(logstore.Options{})
	n := newNode(t, "agent-1", nil)
	entry := newKeyEntry(t, store, "entry-1", n)
	r, other := newKeyed("key"), newKeyed("key")
	other.Body = []byte("another quote")
	isWhole(t, <-handle(entry, r), r)
	got := <-handle(entry, other)
	assert.Equal(t, fault.As(got.err).Code, fault.CodeConflict)
	assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
	assert.Equal(t, totalRuns(n), 1)
}

// TestKeyOfLostRequest kills the agent that runs the winner: the loser does not
// run, and is told whom to ask.
func TestKeyOfLostRequest(t *testing.T) {
	t.Parallel()
	store := logstore.New(logstore.Options{})
	gate := make(chan struct{})
	defer close(gate)
	a, b := newNode(t, "agent-1", gated(gate, 0)), newNode(t, "agent-2", nil)
	first, second := newKeyEntry(t, store, "entry-1", a, b), newKeyEntry(t, store, "entry-2", reversed(a, b)...)
	warm(t, first)
	winner := newKeyed("key")
	out := handle(first, winner)
	waitBegun(t, a.endpoint, winner.ID)
	kill(t, a, false)
	lost := <-out
	loser := newKeyed("key")
	loser.Deadline = time.Now().Add(time.Second)
	for _, got := range []result{lost, <-handle(second, loser)} {
		e := fault.As(got.err)
		assert.Equal(t, e.Outcome, fault.Unknown)
		assert.Equal(t, e.RequestID, winner.ID)
		assert.Equal(t, e.Agent, request.AgentRef(a.member.Endpoint))
	}
	assert.Equal(t, b.ran(loser.ID)+b.ran(winner.ID), 0)
}
