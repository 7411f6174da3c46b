package membership

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
)

const (
	testLease   = 3 * time.Second
	testService = "quotedesk"
	endpoints   = 11
)

// fixture is a registry whose time is given with each step.
type fixture struct {
	*Registry
	now      time.Time
	sequence uint64
}

func newFixture() *fixture {
	none := func() uint64 { return 0 }
	return &fixture{Registry: NewRegistry(testLease, NewEntries("127.0.0.1:1", nil), none), now: time.Unix(1000, 0)}
}

func heartbeat(agent int, incarnation string, sequence uint64) *pb.AnnounceRequest {
	return &pb.AnnounceRequest{Sequence: sequence, Healthy: true, Endpoint: &pb.Endpoint{
		Agent: fmt.Sprintf("agent-%02d", agent), Incarnation: incarnation, Address: "127.0.0.1:2", Service: testService,
	}}
}

func (f *fixture) beat(t *testing.T, agents ...int) {
	t.Helper()
	f.sequence++
	for _, a := range agents {
		assert.NilError(t, f.take(heartbeat(a, "A", f.sequence), f.now))
	}
}

// pass lets the time pass in steps of the sweep; the given agents go on beating.
func (f *fixture) pass(t *testing.T, d time.Duration, alive ...int) {
	t.Helper()
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(sweepInterval)
		f.beat(t, alive...)
		f.Sweep(f.now)
	}
}

func upTo(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// TestVanishing lets endpoints vanish and counts those that still get work.
func TestVanishing(t *testing.T) {
	cases := []struct {
		name  string
		alive int
		after time.Duration
		want  int
	}{
		{"some expire", 7, 4 * time.Second, 7},
		{"most vanish: the entry doubts itself", 5, 4 * time.Second, endpoints},
		{"all vanish: the entry doubts itself", 0, 10 * time.Second, endpoints},
		{"the doubt ends", 5, doubtLimit + 2*testLease, 5},
	}
	for _, c := range cases {
		f := newFixture()
		f.beat(t, upTo(endpoints)...)
		f.pass(t, c.after, upTo(c.alive)...)
		assert.Equal(t, len(f.Members(testService)), c.want, c.name)
	}
}

// TestVanishingOneByOne ends the leases in the course of one second.
func TestVanishingOneByOne(t *testing.T) {
	f := newFixture()
	f.beat(t, upTo(endpoints)...)
	for left := endpoints; left > 0; left -= 3 {
		f.pass(t, sweepInterval, upTo(left)...)
	}
	f.pass(t, testLease+2*sweepInterval)
	assert.Equal(t, len(f.Members(testService)), endpoints)
}

// TestPausedEntry stops the entry for longer than leases and memory of them.
func TestPausedEntry(t *testing.T) {
	f := newFixture()
	f.beat(t, upTo(endpoints)...)
	f.now = f.now.Add(5 * doubtLimit)
	f.Sweep(f.now)
	assert.Equal(t, len(f.Members(testService)), endpoints)
	f.pass(t, testLease, upTo(endpoints)...)
	assert.Equal(t, len(f.Members(testService)), endpoints)
	assert.Equal(t, len(f.shard(testService).doubted), 0)
}

// TestHeartbeatOrder delivers heartbeats late, twice and from old incarnations.
func TestHeartbeatOrder(t *testing.T) {
	leaving := heartbeat(0, "B", 5)
	leaving.Leaving = true
	cases := []struct {
		name  string
		beats []*pb.AnnounceRequest
		want  int
	}{
		{"leaving", []*pb.AnnounceRequest{heartbeat(0, "B", 4), leaving}, 0},
		{"older heartbeat after leaving", []*pb.AnnounceRequest{leaving, heartbeat(0, "B", 4)}, 0},
		{"later heartbeat after leaving", []*pb.AnnounceRequest{leaving, heartbeat(0, "B", 6)}, 0},
		{"older incarnation after leaving", []*pb.AnnounceRequest{leaving, heartbeat(0, "A", 9)}, 0},
		{"newer incarnation after leaving", []*pb.AnnounceRequest{leaving, heartbeat(0, "C", 1)}, 1},
	}
	for _, c := range cases {
		f := newFixture()
		for _, b := range c.beats {
			assert.NilError(t, f.take(b, f.now))
		}
		assert.Equal(t, len(f.Members(testService)), c.want, c.name)
	}
}

// TestOlderHeartbeatDoesNotRenew repeats one heartbeat until the lease is over.
func TestOlderHeartbeatDoesNotRenew(t *testing.T) {
	f := newFixture()
	assert.NilError(t, f.take(heartbeat(0, "B", 1), f.now))
	for _, b := range []*pb.AnnounceRequest{heartbeat(0, "B", 1), heartbeat(0, "A", 9)} {
		assert.NilError(t, f.take(b, f.now.Add(testLease/2)))
	}
	f.Sweep(f.now.Add(testLease + sweepInterval))
	rec := f.shard(testService).records["agent-00"]
	assert.Assert(t, rec.lapsed())
	assert.Equal(t, rec.member.Endpoint.Incarnation, "B")
}

// TestClockSetBack starts an agent anew on an instance whose clock was set back,
// so that its incarnation sorts before the last one.
func TestClockSetBack(t *testing.T) {
	f := newFixture()
	assert.NilError(t, f.take(heartbeat(0, "B", 50), f.now))
	f.now = f.now.Add(testLease + sweepInterval)
	f.Sweep(f.now)
	assert.NilError(t, f.take(heartbeat(0, "A", 1), f.now))
	assert.Equal(t, f.Members(testService)[0].Endpoint.Incarnation, "A")
}

// TestDeadEntryIsForgotten has two entries and an agent that name a dead third.
func TestDeadEntryIsForgotten(t *testing.T) {
	now := time.Unix(1000, 0)
	e := NewEntries("self", nil)
	e.Note([]string{"dead", "other", "self"}, now)
	assert.DeepEqual(t, e.Live(now), []string{"dead", "other", "self"})
	e.Note([]string{"other"}, now.Add(entryLease))
	assert.DeepEqual(t, e.Live(now.Add(entryLease+time.Second)), []string{"other", "self"})
}

// TestHeartbeatWithoutChangeKeepsTheList: readers' lists are rebuilt only when
// one of them changes, not at every heartbeat.
func TestHeartbeatWithoutChangeKeepsTheList(t *testing.T) {
	f := newFixture()
	f.beat(t, upTo(endpoints)...)
	before := f.Members(testService)
	f.beat(t, upTo(endpoints)...)
	assert.Assert(t, &before[0] == &f.Members(testService)[0])
	sick := heartbeat(3, "A", f.sequence+1)
	sick.Healthy = false
	assert.NilError(t, f.take(sick, f.now))
	assert.Equal(t, len(f.Members(testService)), endpoints-1)
}
