package election

import (
	"context"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/dispatch"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/schedulestore"
	"chervilridge/internal/standin/metastore"
	"chervilridge/platform"
)

// testTimeout bounds every wait of these tests.
const testTimeout = 10 * time.Second

// noPeers is an entry's view if it knows no other entry.
type noPeers struct{}

func (noPeers) Ping(context.Context, string, *chervilv2.OwnerRecord) (*chervilv2.PingReply, error) {
	return nil, context.DeadlineExceeded
}
func (noPeers) Entries() []string   { return nil }
func (noPeers) Sample(int) []string { return nil }

// claimStore rejects owner records while rejectClaims is set, and expects another sequence
// number than that of any append while rejectNumbers is.
type claimStore struct {
	schedulestore.Store
	rejectClaims, rejectNumbers atomic.Bool
}

func (s *claimStore) Append(ctx context.Context, a platform.AppendRequest) (int64, error) {
	if a.Topic == platform.OwnerTopic && s.rejectClaims.Load() {
		return 0, &platform.Error{Kind: platform.Unavailable}
	}
	if a.Producer != nil && s.rejectNumbers.Load() {
		return 0, &platform.Error{Kind: platform.BadSequence, Expected: int64(a.Producer.Sequence) + 5}
	}
	return s.Store.Append(ctx, a)
}

// rig is an elector over the stand-in for the store.
type rig struct {
	t       *testing.T
	state   *metastore.State
	store   *metastore.Server
	claims  *claimStore
	elector *Elector
}

// newRig returns a rig whose elector waits for a claim according to its CPU share.
func newRig(t *testing.T, cpuShare float64) *rig {
	r := &rig{t: t, state: metastore.NewState()}
	r.store = metastore.NewServer(r.state, 1)
	server := httptest.NewServer(r.store.Handler("entry-1"))
	t.Cleanup(func() {
		server.CloseClientConnections()
		server.Close()
	})
	r.claims = &claimStore{Store: platform.NewStore(strings.TrimPrefix(server.URL, "http://"))}
	newEngine := func(w *schedulestore.Writer, s *schedulestore.State) *dispatch.Engine {
		settings := dispatch.Settings{Node: "entry-1", Bounds: platform.Bounds{MaxLease: 6 * time.Second}}
		return dispatch.New(settings, w, s, func() *operatorconfig.View { return nil }, boottime.Now)
	}
	identity := Identity{Node: "entry-1", Address: "127.0.0.1:1", CPUShare: cpuShare, LinkMbps: sufficientLinkMbps}
	r.elector = New(identity, r.claims, noPeers{}, boottime.Now, func() bool { return true }, newEngine)
	return r
}

// run checks the owner until the test ends.
func (r *rig) run() {
	ctx, cancel := context.WithCancel(context.Background())
	r.t.Cleanup(cancel)
	go r.elector.Run(ctx)
}

// storedOwner returns the owner record in the store, or nil.
func (r *rig) storedOwner() *chervilv2.OwnerRecord {
	value := r.state.Value(platform.OwnerTopic, "owner")
	if value == nil {
		return nil
	}
	owner := &chervilv2.OwnerRecord{}
	assert.NilError(r.t, proto.Unmarshal(value, owner))
	return owner
}

func (r *rig) eventually(what string, holds func() bool) {
	r.t.Helper()
	for end := time.Now().Add(testTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if holds() {
			return
		}
	}
	r.t.Fatalf("%s: not within %v", what, testTimeout)
}

// Guards against an owner that leaves: an entry that got SIGTERM during the delay before its
// claim claimed all the same.
func TestNoClaimAfterResigningDuringTheDelay(t *testing.T) {
	r := newRig(t, 0)
	r.run()
	time.Sleep(maxFirstClaimDelay / 4)
	r.elector.Resign()
	time.Sleep(maxFirstClaimDelay + claimJitter)
	assert.Assert(t, r.storedOwner() == nil, "claimed after resigning")
}

// An entry that gets SIGTERM while it loads the state has claimed already, and must release
// the ownership again.
func TestResigningDuringATakeoverReleasesTheOwnership(t *testing.T) {
	r := newRig(t, 1)
	r.store.SetFaults(metastore.Faults{Delay: 200 * time.Millisecond})
	r.run()
	r.eventually("claimed", func() bool { return r.storedOwner() != nil })
	assert.Assert(t, r.elector.Engine() == nil, "the state is being loaded")
	r.elector.Resign()
	r.eventually("released", func() bool { return r.storedOwner().Released })
	r.eventually("stopped", func() bool { return r.elector.Engine() == nil })
}

// A release that was not stored is not in force: other entries still take this one for the
// owner until they find that it no longer is.
func TestFailedReleaseIsNotRecordedLocally(t *testing.T) {
	r := newRig(t, 1)
	r.run()
	r.eventually("owner", func() bool { return r.elector.Engine() != nil })
	r.claims.rejectClaims.Store(true)
	r.elector.Resign()
	assert.Assert(t, r.elector.Engine() == nil)
	assert.Assert(t, !r.elector.Owner().Released)
	assert.Assert(t, !r.storedOwner().Released)
}

func TestReleaseIsStoredWhileAnAppendIsSlow(t *testing.T) {
	r := newRig(t, 1)
	r.run()
	r.eventually("owner", func() bool { return r.elector.Engine() != nil })
	r.store.SetFaults(metastore.Faults{Delay: 400 * time.Millisecond})
	began := time.Now()
	r.elector.Resign()
	assert.Assert(t, r.storedOwner().Released)
	assert.Assert(t, time.Since(began) < 2*releaseTimeout, "took %v", time.Since(began))
}

// Other processes get the time in milliseconds and take an entry that has just reached the
// owner for a relay to it.
func TestUnknownOwnerIsNotReportedAsJustReached(t *testing.T) {
	assert.Assert(t, newRig(t, 1).elector.SinceOwnerSeen().Milliseconds() < 0)
}

// recordingPeers answers for one other entry, which does not reach the owner, and records who
// was asked. The owner does not answer.
type recordingPeers struct {
	noPeers
	entries []string
	mu      sync.Mutex
	asked   []string
}

func (p *recordingPeers) Sample(int) []string { return p.entries }

func (p *recordingPeers) Ping(ctx context.Context, address string, known *chervilv2.OwnerRecord) (*chervilv2.PingReply, error) {
	p.mu.Lock()
	p.asked = append(p.asked, address)
	p.mu.Unlock()
	if address == known.Address {
		<-ctx.Done()
		return nil, ctx.Err()
	}
	return &chervilv2.PingReply{Owner: known, OwnerSeenMs: 2 * maxPeerContactAge.Milliseconds()}, nil
}

// Guards against claims that wait for an owner without power to answer.
func TestSuspectedOwnerIsNotAskedAboutItself(t *testing.T) {
	const owner, other = "127.0.0.1:2", "127.0.0.1:3"
	r := newRig(t, 1)
	peers := &recordingPeers{entries: []string{owner, other}}
	r.elector.peers = peers
	assert.Assert(t, !r.elector.peerReachesOwner(context.Background(), &chervilv2.OwnerRecord{Epoch: 1, Address: owner}))
	assert.DeepEqual(t, peers.asked, []string{other})
}

func TestOwnerThatLostItsSequenceNumberClaimsANewEpoch(t *testing.T) {
	r := newRig(t, 1)
	r.run()
	r.eventually("owner", func() bool { return r.elector.Engine() != nil })
	first := r.elector.Engine().Epoch()
	r.claims.rejectNumbers.Store(true)
	r.eventually("claimed again", func() bool { return r.storedOwner().Epoch > first })
	r.claims.rejectNumbers.Store(false)
	r.eventually("owner again", func() bool { e := r.elector.Engine(); return e != nil && e.Epoch() > first })
}
