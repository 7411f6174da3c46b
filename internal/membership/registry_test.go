package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
)

const (
	testLease     = 3 * time.Second
	testService   = "quotedesk"
	endpointCount = 11
)

// registryFixture is a registry driven by a simulated clock.
type registryFixture struct {
	*Registry
	now      time.Time
	sequence uint64
}

func newRegistryFixture() *registryFixture {
	none := func() uint64 { return 0 }
	return &registryFixture{Registry: NewRegistry(testLease, NewEntryDirectory("127.0.0.1:1", nil), none), now: time.Unix(1000, 0)}
}

func newHeartbeat(agent int, incarnation string, sequence uint64) *pb.AnnounceRequest {
	return &pb.AnnounceRequest{Sequence: sequence, Healthy: true, Endpoint: &pb.Endpoint{
		Agent: fmt.Sprintf("agent-%02d", agent), Incarnation: incarnation, Address: "127.0.0.1:2", Service: testService,
	}}
}

func (f *registryFixture) heartbeat(t *testing.T, agents ...int) {
	t.Helper()
	f.sequence++
	for _, a := range agents {
		assert.NilError(t, f.recordHeartbeat(newHeartbeat(a, "A", f.sequence), f.now))
	}
}

// advance moves the clock by d in steps of sweepInterval; only the agents in alive keep
// sending heartbeats.
func (f *registryFixture) advance(t *testing.T, d time.Duration, alive ...int) {
	t.Helper()
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(sweepInterval)
		f.heartbeat(t, alive...)
		f.Sweep(f.now)
	}
}

func firstAgents(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestMassExpiry stops the heartbeats of some endpoints and counts those still listed: a
// majority that expires together stays listed for a limited time.
func TestMassExpiry(t *testing.T) {
	cases := []struct {
		name  string
		alive int
		after time.Duration
		want  int
	}{
		{"some expire", 7, 4 * time.Second, 7},
		{"most vanish: all stay listed", 5, 4 * time.Second, endpointCount},
		{"all vanish: all stay listed", 0, 10 * time.Second, endpointCount},
		{"mass expiry retention ends", 5, massExpiryRetention + 2*testLease, 5},
	}
	for _, c := range cases {
		f := newRegistryFixture()
		f.heartbeat(t, firstAgents(endpointCount)...)
		f.advance(t, c.after, firstAgents(c.alive)...)
		assert.Equal(t, len(f.Members(testService)), c.want, c.name)
	}
}

// TestGradualMassExpiry ends the leases over about a second: they still count as a mass
// expiry.
func TestGradualMassExpiry(t *testing.T) {
	f := newRegistryFixture()
	f.heartbeat(t, firstAgents(endpointCount)...)
	for left := endpointCount; left > 0; left -= 3 {
		f.advance(t, sweepInterval, firstAgents(left)...)
	}
	f.advance(t, testLease+2*sweepInterval)
	assert.Equal(t, len(f.Members(testService)), endpointCount)
}

// TestPausedEntry pauses the entry for longer than the leases and massExpiryRetention: no
// endpoint may be dropped for heartbeats that the entry could not receive.
func TestPausedEntry(t *testing.T) {
	f := newRegistryFixture()
	f.heartbeat(t, firstAgents(endpointCount)...)
	f.now = f.now.Add(5 * massExpiryRetention)
	f.Sweep(f.now)
	assert.Equal(t, len(f.Members(testService)), endpointCount)
	f.advance(t, testLease, firstAgents(endpointCount)...)
	assert.Equal(t, len(f.Members(testService)), endpointCount)
	assert.Equal(t, len(f.shard(testService).massExpired), 0)
}

// TestHeartbeatOrder delivers heartbeats out of order and from old incarnations. An
// endpoint that leaves must not become available again through one of them.
func TestHeartbeatOrder(t *testing.T) {
	leaving := newHeartbeat(0, "B", 5)
	leaving.Leaving = true
	cases := []struct {
		name  string
		beats []*pb.AnnounceRequest
		want  int
	}{
		{"leaving", []*pb.AnnounceRequest{newHeartbeat(0, "B", 4), leaving}, 0},
		{"older heartbeat after leaving", []*pb.AnnounceRequest{leaving, newHeartbeat(0, "B", 4)}, 0},
		{"later heartbeat after leaving", []*pb.AnnounceRequest{leaving, newHeartbeat(0, "B", 6)}, 0},
		{"older incarnation after leaving", []*pb.AnnounceRequest{leaving, newHeartbeat(0, "A", 9)}, 0},
		{"newer incarnation after leaving", []*pb.AnnounceRequest{leaving, newHeartbeat(0, "C", 1)}, 1},
	}
	for _, c := range cases {
		f := newRegistryFixture()
		for _, b := range c.beats {
			assert.NilError(t, f.recordHeartbeat(b, f.now))
		}
		assert.Equal(t, len(f.Members(testService)), c.want, c.name)
	}
}

// TestOlderHeartbeatDoesNotRenew checks that a repeated heartbeat, or one of an older
// incarnation, does not extend the lease.
func TestOlderHeartbeatDoesNotRenew(t *testing.T) {
	f := newRegistryFixture()
	assert.NilError(t, f.recordHeartbeat(newHeartbeat(0, "B", 1), f.now))
	for _, b := range []*pb.AnnounceRequest{newHeartbeat(0, "B", 1), newHeartbeat(0, "A", 9)} {
		assert.NilError(t, f.recordHeartbeat(b, f.now.Add(testLease/2)))
	}
	f.Sweep(f.now.Add(testLease + sweepInterval))
	rec := f.shard(testService).records["agent-00"]
	assert.Assert(t, rec.expired())
	assert.Equal(t, rec.member.Endpoint.Incarnation, "B")
}

// TestClockSetBack restarts an agent on an instance whose clock was set back, so that the
// new incarnation sorts before the old one. It must still be accepted after the lease.
func TestClockSetBack(t *testing.T) {
	f := newRegistryFixture()
	assert.NilError(t, f.recordHeartbeat(newHeartbeat(0, "B", 50), f.now))
	f.now = f.now.Add(testLease + sweepInterval)
	f.Sweep(f.now)
	assert.NilError(t, f.recordHeartbeat(newHeartbeat(0, "A", 1), f.now))
	assert.Equal(t, f.Members(testService)[0].Endpoint.Incarnation, "A")
}

// TestDeadEntryIsForgotten checks that an entry that is no longer seen is dropped from the
// live entries while one that is still reported stays.
func TestDeadEntryIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewEntryDirectory("self", nil)
	e.MarkSeen([]string{"dead", "other", "self"}, now)
	assert.DeepEqual(t, e.LiveEntries(now), []string{"dead", "other", "self"})
	e.MarkSeen([]string{"other"}, now.Add(entryLease))
	assert.DeepEqual(t, e.LiveEntries(now.Add(entryLease+time.Second)), []string{"other", "self"})
}

// TestHeartbeatWithoutChangeKeepsTheList checks that the published member list is rebuilt
// only when the visibility of a member changes, not at every heartbeat.
func TestHeartbeatWithoutChangeKeepsTheList(t *testing.T) {
	f := newRegistryFixture()
	f.heartbeat(t, firstAgents(endpointCount)...)
	before := f.Members(testService)
	f.heartbeat(t, firstAgents(endpointCount)...)
	assert.Assert(t, &before[0] == &f.Members(testService)[0])
	sick := newHeartbeat(3, "A", f.sequence+1)
	sick.Healthy = false
	assert.NilError(t, f.recordHeartbeat(sick, f.now))
	assert.Equal(t, len(f.Members(testService)), endpointCount-1)
}
