package claims

import (
	"bytes"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
)

const startMs = 1_700_000_000_000 // milliseconds since 1970

func claimRecord(at time.Duration, key, id, holder, agent string, move uint32) *pb.Record {
	return &pb.Record{TimeMs: startMs + at.Milliseconds(), Body: &pb.Record_KeyClaimed{KeyClaimed: &pb.KeyClaimed{
		Client: "fitter", Key: key, RequestId: id, Holder: holder, Agent: agent, Incarnation: "i", Move: move,
	}}}
}

func releaseRecord(id, agent string) *pb.Record {
	return &pb.Record{TimeMs: startMs, Body: &pb.Record_KeyReleased{KeyReleased: &pb.KeyReleased{
		Client: "fitter", Key: "k", RequestId: id, Agent: agent, Incarnation: "i",
	}}}
}

// TestClaimAndReleaseResults replays claims, moves and releases that race or arrive late.
func TestClaimAndReleaseResults(t *testing.T) {
	held := claimRecord(0, "k", "r1", "h1", "a1", 0)
	moved := claimRecord(0, "k", "r1", "h1", "a2", 1)
	cases := []struct {
		name   string
		before []*pb.Record
		record *pb.Record
		want   ledger.Reason // empty if accepted
	}{
		{"first claim", nil, held, ""},
		{"second claim", []*pb.Record{held}, claimRecord(0, "k", "r2", "h2", "a2", 0), ledger.ReasonDuplicate},
		{"same id, another holder", []*pb.Record{held}, claimRecord(0, "k", "r1", "h2", "a2", 1), ledger.ReasonDuplicate},
		{"same id, another key", []*pb.Record{held}, claimRecord(0, "k2", "r1", "h2", "a2", 0), ledger.ReasonDuplicate},
		{"move", []*pb.Record{held}, moved, ""},
		{"late copy of the first claim", []*pb.Record{held, moved}, held, ledger.ReasonDuplicate},
		{"move after a release", []*pb.Record{held, releaseRecord("r1", "a1")}, moved, ""},
		{"move after a release and a new claim", []*pb.Record{held, releaseRecord("r1", "a1"), claimRecord(0, "k", "r2", "h2", "a1", 0)}, moved, ledger.ReasonDuplicate},
		{"release", []*pb.Record{held}, releaseRecord("r1", "a1"), ""},
		{"release of an earlier hand-off", []*pb.Record{held, moved}, releaseRecord("r1", "a1"), ledger.ReasonStaleVersion},
		{"release by another request", []*pb.Record{held}, releaseRecord("r2", "a1"), ledger.ReasonNotFound},
		{"release twice", []*pb.Record{held, releaseRecord("r1", "a1")}, releaseRecord("r1", "a1"), ledger.ReasonNotFound},
		{"claim after a release", []*pb.Record{held, releaseRecord("r1", "a1")}, claimRecord(0, "k", "r2", "h2", "a2", 0), ""},
		{"foreign record", nil, &pb.Record{}, ledger.ReasonForeign},
	}
	for _, c := range cases {
		s := New()
		for _, rec := range c.before {
			assert.Assert(t, s.Apply(rec) == nil, c.name)
		}
		got := s.Apply(c.record)
		if c.want == "" {
			assert.Assert(t, got == nil, "%s: %v", c.name, got)
			continue
		}
		assert.Assert(t, got != nil, c.name)
		assert.Equal(t, got.Reason, c.want, c.name)
	}
}

// TestExpiry checks that claims expire by record time, not before Retention, and that a
// state restored from a snapshot half way expires the same ones.
func TestExpiry(t *testing.T) {
	replayed, restored := New(), New()
	const step = maxClockStep
	steps := int(Retention/step) + 10
	for i := range steps {
		rec := claimRecord(time.Duration(i)*step, "k"+strconv.Itoa(i), "r"+strconv.Itoa(i), "h", "a", 0)
		assert.Assert(t, replayed.Apply(rec) == nil)
		assert.Assert(t, restored.Apply(rec) == nil)
		if i == steps/2 {
			restored = restoreCopy(t, restored)
		}
		if time.Duration(i)*step <= Retention {
			assert.Assert(t, replayed.Lookup(Key{"fitter", "k0"}) != nil, "ended after %v", time.Duration(i)*step)
		}
	}
	assert.Assert(t, replayed.Lookup(Key{"fitter", "k0"}) == nil)
	assert.Equal(t, replayed.Len(), int(Retention/step)+1)
	assert.Assert(t, bytes.Equal(snapshot(t, replayed), snapshot(t, restored)))
}

// TestClockAhead checks that a writer whose clock is a year ahead does not expire the
// claims of others.
func TestClockAhead(t *testing.T) {
	s := New()
	assert.Assert(t, s.Apply(claimRecord(0, "k", "r", "h", "a", 0)) == nil)
	for i := range int(Retention / maxClockStep) {
		assert.Assert(t, s.Apply(claimRecord(365*24*time.Hour, "x"+strconv.Itoa(i), "y"+strconv.Itoa(i), "h", "a", 0)) == nil)
	}
	assert.Assert(t, s.Lookup(Key{"fitter", "k"}) != nil)
}

// TestBounds checks that repeated claims and releases of one key do not grow the expiry
// queue, and that a claim beyond maxClaims is rejected.
func TestBounds(t *testing.T) {
	s := New()
	for i := range 10 * maxStaleQueued {
		assert.Assert(t, s.Apply(claimRecord(0, "k", "r", strconv.Itoa(i), "a", 0)) == nil)
		assert.Assert(t, s.Apply(releaseRecord("r", "a")) == nil)
	}
	assert.Assert(t, len(s.expiryQueue) <= 2*maxStaleQueued, "%d queued", len(s.expiryQueue))
	for i := range maxClaims {
		assert.Assert(t, s.Apply(claimRecord(0, "k"+strconv.Itoa(i), "r"+strconv.Itoa(i), "h", "a", 0)) == nil)
	}
	got := s.Apply(claimRecord(0, "one more", "r", "h", "a", 0))
	assert.Equal(t, got.Reason, ledger.ReasonOvercommitted)
}

func snapshot(t *testing.T, s *Claims) []byte {
	t.Helper()
	data, err := s.Snapshot()
	assert.NilError(t, err)
	return data
}

func restoreCopy(t *testing.T, s *Claims) *Claims {
	t.Helper()
	out := New()
	assert.NilError(t, out.Restore(snapshot(t, s)))
	return out
}
