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
	"chervilridge/internal/recordlog"
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

// keyedEntry is an entry that claims the key of a request in the log.
type keyedEntry struct {
	request.Handler // all stages
	// withoutRelease lacks the stage that releases a key, as if the entry had crashed first.
	withoutRelease request.Handler
	committer      *ledger.Committer
	follower       *ledger.Follower[*claims.Claims]
}

func newKeyedEntry(t *testing.T, log recordlog.Log, name string, nodes ...*node) *keyedEntry {
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
	return &keyedEntry{Handler: claim.NewReleaser(retried, c), withoutRelease: retried, committer: c, follower: f}
}

func newKeyedRequest(key string) *request.Request {
	r := newRequest(false, requestTimeout)
	r.Key = key
	return r
}

// totalRuns returns the number of runs of all requests on the nodes.
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

// swapped returns two nodes in the opposite order.
func swapped(nodes ...*node) []*node { return []*node{nodes[1], nodes[0]} }

// TestKeyThroughTwoEntries sends two requests with one key through two entries at once,
// each of which prefers another agent. One of them runs, and both get its answer.
func TestKeyThroughTwoEntries(t *testing.T) {
	store := logstore.New(logstore.Options{})
	a, b := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
	first, second := newKeyedEntry(t, store, "entry-1", a, b), newKeyedEntry(t, store, "entry-2", swapped(a, b)...)
	const keys = 20
	for i := range keys {
		key := ident.New()
		one, two := handleAsync(first, newKeyedRequest(key)), handleAsync(second, newKeyedRequest(key))
		x, y := <-one, <-two
		assert.NilError(t, x.err)
		assert.NilError(t, y.err)
		assert.Equal(t, string(x.answer.Body), string(y.answer.Body))
		assert.Equal(t, totalRuns(a, b), i+1)
	}
}

// TestClientChosenIDThroughTwoEntries sends one request with a client-chosen id and no key
// through two entries, as a client does whose first entry did not answer. It runs once.
func TestClientChosenIDThroughTwoEntries(t *testing.T) {
	store := logstore.New(logstore.Options{})
	a, b := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
	first, second := newKeyedEntry(t, store, "entry-1", a, b), newKeyedEntry(t, store, "entry-2", swapped(a, b)...)
	r := newRequest(false, requestTimeout)
	r.IDFromClient = true
	duplicate := *r
	one, two := handleAsync(first, r), handleAsync(second, &duplicate)
	assertAnswered(t, <-one, r)
	assertAnswered(t, <-two, r)
	assert.Equal(t, totalRuns(a, b), 1)
}

// TestKeyOfRequestNotRun fails the request that holds the key as "not run". The key must
// be free at once, also if the entry crashed before it released the key.
func TestKeyOfRequestNotRun(t *testing.T) {
	for name, crashed := range map[string]bool{"released": false, "entry died": true} {
		t.Run(name, func(t *testing.T) {
			store := logstore.New(logstore.Options{})
			down, up := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
			down.Close()
			first, second := newKeyedEntry(t, store, "entry-1", down), newKeyedEntry(t, store, "entry-2", up, down)
			handler := first.Handler
			if crashed {
				handler = first.withoutRelease
			}
			got := <-handleAsync(handler, newKeyedRequest("key"))
			assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
			r := newKeyedRequest("key")
			assertAnswered(t, <-handleAsync(second, r), r)
		})
	}
}

// TestKeyMovesToTheNextAgent fails the first hand-off of the request that holds the key,
// so that its claim moves to the next agent. Another request with the key still gets
// the answer.
func TestKeyMovesToTheNextAgent(t *testing.T) {
	store := logstore.New(logstore.Options{})
	down, up := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
	down.Close()
	first, second := newKeyedEntry(t, store, "entry-1", down, up), newKeyedEntry(t, store, "entry-2", down, up)
	r := newKeyedRequest("key")
	assertAnswered(t, <-handleAsync(first, r), r)
	assertAnswered(t, <-handleAsync(second, newKeyedRequest("key")), r)
	assert.Equal(t, totalRuns(up), 1)
}

// TestKeyOfOrphanedClaim commits a claim without a hand-off, as when the entry crashes
// between the two or the append succeeds after the entry has given up. The key must not
// stay blocked, and the late hand-off must not run.
func TestKeyOfOrphanedClaim(t *testing.T) {
	t.Parallel()
	store := logstore.New(logstore.Options{})
	n := newNode(t, "agent-1", nil)
	entry := newKeyedEntry(t, store, "entry-1", n)
	orphan := newKeyedRequest("key")
	assert.NilError(t, entry.follower.WaitForTail(t.Context()))
	v, err := entry.committer.Commit(t.Context(), &pb.Record{Body: &pb.Record_KeyClaimed{KeyClaimed: &pb.KeyClaimed{
		Client: orphan.Client, Key: orphan.Key, RequestId: orphan.ID, Holder: ident.New(), Digest: digestOf(t, orphan),
		Agent: n.name, Incarnation: n.member.Endpoint.Incarnation,
	}}})
	assert.NilError(t, err)
	assert.Assert(t, v.Rejection == nil)
	r := newKeyedRequest("key")
	assertAnswered(t, <-handleAsync(entry, r), r)

	late := <-handleAsync(newEntry(t, n), orphan)
	assert.Equal(t, fault.As(late.err).Outcome, fault.NotRun)
	assert.Equal(t, totalRuns(n), 1)
}

// digestOf returns the digest that an entry claims for the request. It runs a copy of
// the request on a separate log and agent.
func digestOf(t *testing.T, r *request.Request) uint64 {
	t.Helper()
	store := logstore.New(logstore.Options{})
	entry := newKeyedEntry(t, store, "digest", newNode(t, "agent-digest", nil))
	copied := *r
	copied.ID, copied.Deadline = ident.New(), time.Now().Add(requestTimeout)
	_, err := entry.Handle(t.Context(), &copied)
	assert.NilError(t, err)
	return copied.Claim.Digest
}

// delayedLog fails appends with an unknown outcome while delaying is set, and keeps the
// payloads until deliverDelayed appends them.
type delayedLog struct {
	*logstore.Store
	mu       sync.Mutex
	delayed  [][]byte
	delaying bool
}

func (l *delayedLog) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.delaying {
		return l.Store.Append(ctx, stream, payload)
	}
	l.delayed = append(l.delayed, payload)
	return 0, recordlog.ErrUnknownOutcome
}

func (l *delayedLog) deliverDelayed(t *testing.T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delaying = false
	for _, payload := range l.delayed {
		_, err := l.Store.Append(t.Context(), claims.Stream, payload)
		assert.NilError(t, err)
	}
}

// TestClaimLandsLater delays the append of a claim until its request has failed as "not
// run". The next request with the key must run, and the first must not.
func TestClaimLandsLater(t *testing.T) {
	t.Parallel()
	log := &delayedLog{Store: logstore.New(logstore.Options{}), delaying: true}
	n := newNode(t, "agent-1", nil)
	entry := newKeyedEntry(t, log, "entry-1", n)
	notRun := newKeyedRequest("key")
	notRun.Deadline = time.Now().Add(300 * time.Millisecond)
	got := <-handleAsync(entry, notRun)
	assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
	log.deliverDelayed(t)
	r := newKeyedRequest("key")
	assertAnswered(t, <-handleAsync(entry, r), r)
	assert.Equal(t, n.runsOf(notRun.ID), 0)
	assert.Equal(t, totalRuns(n), 1)
}

// TestClaimFaults lets the log lose replies and store appends twice. Requests with one key
// still run once and all get an answer.
func TestClaimFaults(t *testing.T) {
	t.Parallel()
	store := logstore.New(logstore.Options{})
	a, b := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
	first, second := newKeyedEntry(t, store, "entry-1", a, b), newKeyedEntry(t, store, "entry-2", swapped(a, b)...)
	const keys = 5
	for i := range keys {
		store.SetFaults(logstore.Faults{LoseAnswers: i % 3, DoubleAppends: 2})
		key := ident.New()
		one, two := handleAsync(first, newKeyedRequest(key)), handleAsync(second, newKeyedRequest(key))
		x, y := <-one, <-two
		assert.NilError(t, x.err)
		assert.NilError(t, y.err)
		assert.Equal(t, totalRuns(a, b), i+1)
	}
}

// TestLogDown checks that without the log requests with a key fail as "not run" and the
// others are served.
func TestLogDown(t *testing.T) {
	store := logstore.New(logstore.Options{})
	store.SetFaults(logstore.Faults{Down: true})
	n := newNode(t, "agent-1", nil)
	entry := newKeyedEntry(t, store, "entry-1", n)
	got := <-handleAsync(entry, newKeyedRequest("key"))
	e := fault.As(got.err)
	assert.Equal(t, e.Outcome, fault.NotRun)
	assert.Equal(t, e.Code, fault.CodeLogDown)
	assert.Equal(t, totalRuns(n), 0)
	repeatable, nonRepeatable := newRequest(true, requestTimeout), newRequest(false, requestTimeout)
	assertAnswered(t, <-handleAsync(entry, repeatable), repeatable)
	assertAnswered(t, <-handleAsync(entry, nonRepeatable), nonRepeatable)
}

// TestKeyOfAnotherRequest reuses a key for a request with another body: it gets a conflict.
func TestKeyOfAnotherRequest(t *testing.T) {
	store := logstore.New(logstore.Options{})
	n := newNode(t, "agent-1", nil)
	entry := newKeyedEntry(t, store, "entry-1", n)
	r, other := newKeyedRequest("key"), newKeyedRequest("key")
	other.Body = []byte("another quote")
	assertAnswered(t, <-handleAsync(entry, r), r)
	got := <-handleAsync(entry, other)
	assert.Equal(t, fault.As(got.err).Code, fault.CodeConflict)
	assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
	assert.Equal(t, totalRuns(n), 1)
}

// TestKeyOfLostRequest kills the agent that runs the request which holds the key. A second
// request with the key must not run, and its error names the first one and its agent.
func TestKeyOfLostRequest(t *testing.T) {
	t.Parallel()
	store := logstore.New(logstore.Options{})
	gate := make(chan struct{})
	defer close(gate)
	a, b := newNode(t, "agent-1", gatedAnswer(gate, 0)), newNode(t, "agent-2", nil)
	first, second := newKeyedEntry(t, store, "entry-1", a, b), newKeyedEntry(t, store, "entry-2", swapped(a, b)...)
	warmUp(t, first)
	winner := newKeyedRequest("key")
	out := handleAsync(first, winner)
	waitRunStarted(t, a.endpoint, winner.ID)
	killAgent(t, a, false)
	lost := <-out
	loser := newKeyedRequest("key")
	loser.Deadline = time.Now().Add(time.Second)
	for _, got := range []result{lost, <-handleAsync(second, loser)} {
		e := fault.As(got.err)
		assert.Equal(t, e.Outcome, fault.Unknown)
		assert.Equal(t, e.RequestID, winner.ID)
		assert.Equal(t, e.Agent, request.AgentRef(a.member.Endpoint))
	}
	assert.Equal(t, b.runsOf(loser.ID)+b.runsOf(winner.ID), 0)
}
