package execution

import (
	"context"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
)

type clock struct{ now time.Time }

func (c *clock) Now() time.Time { return c.now }

func newStore(c *clock, maxBytes int64) *Store {
	return NewStore(Options{Retention: 10 * time.Minute, MaxBytes: maxBytes, Now: c.Now})
}

func beginAndSettle(t *testing.T, s *Store, id string, repeatable bool, body string) {
	t.Helper()
	assert.Equal(t, s.Begin(id, RequestInfo{Digest: 1, Repeatable: repeatable}), Accepted)
	s.Settle(id, &pb.ExecuteReply{RequestId: id, Outcome: pb.Outcome_OUTCOME_DONE, Body: []byte(body)})
}

func outcome(s *Store, q Query) pb.Outcome { return s.Resolve(context.Background(), q).Outcome }

// settleInAllShards settles requests in every shard, so that each one forgets what is older
// than the retention.
func settleInAllShards(t *testing.T, s *Store, prefix string) {
	t.Helper()
	for i := range 50 * shardCount {
		beginAndSettle(t, s, prefix+strconv.Itoa(i), false, "")
	}
}

// TestForgottenRequestIsUnknown checks that a request that ran but was forgotten is reported
// as unknown, never as not run. A request handed off later is provably not run.
func TestForgottenRequestIsUnknown(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	s := newStore(c, 0)
	beginAndSettle(t, s, "old", false, "x")
	c.now = c.now.Add(11 * time.Minute)
	settleInAllShards(t, s, "new-")
	for _, age := range []time.Duration{0, 11 * time.Minute} {
		assert.Equal(t, outcome(s, Query{ID: "old", Age: age}), pb.Outcome_OUTCOME_UNKNOWN, "age %v", age)
	}
	young := Query{ID: "never handed off", Age: time.Second}
	assert.Equal(t, outcome(s, young), pb.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, s.Begin(young.ID, RequestInfo{Digest: 1}), Duplicate)
}

// TestFenceOutlastsDeadline checks that a request resolved as not run is still rejected after
// the longest deadline, when a delayed hand-off may arrive.
func TestFenceOutlastsDeadline(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	s := newStore(c, 0)
	assert.Equal(t, outcome(s, Query{ID: "late"}), pb.Outcome_OUTCOME_NOT_RUN)
	c.now = c.now.Add(14 * time.Minute)
	settleInAllShards(t, s, "new-")
	assert.Equal(t, s.Begin("late", RequestInfo{Digest: 1}), Duplicate)
}

// TestPeekDoesNotFence checks that a request can still run after a peek at its id.
func TestPeekDoesNotFence(t *testing.T) {
	s := newStore(&clock{now: time.Unix(1000, 0)}, 0)
	assert.Equal(t, outcome(s, Query{ID: "soon", Peek: true}), pb.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, s.Begin("soon", RequestInfo{Digest: 1}), Accepted)
}

// TestMemoryBound checks that the memory limit makes the store forget repeatable requests and
// drop answers, but never the fact that a request ran that must not be repeated.
func TestMemoryBound(t *testing.T) {
	const limit = 1 << 20
	c := &clock{now: time.Unix(1000, 0)}
	s := newStore(c, limit)
	body := string(make([]byte, 10<<10))
	beginAndSettle(t, s, "once", false, body)
	for i := range 1000 {
		beginAndSettle(t, s, "repeatable-"+strconv.Itoa(i), true, body)
	}
	assert.Assert(t, s.Bytes() <= limit+shardCount*(10<<10+recordOverheadBytes), "%d bytes", s.Bytes())
	for i := range 1000 {
		beginAndSettle(t, s, "more-"+strconv.Itoa(i), false, body)
	}
	reply := s.Resolve(context.Background(), Query{ID: "once"})
	assert.Equal(t, reply.Outcome, pb.Outcome_OUTCOME_DONE)
	assert.Assert(t, reply.AnswerGone)
	assert.Equal(t, outcome(s, Query{ID: "repeatable-0", Age: time.Second}), pb.Outcome_OUTCOME_UNKNOWN)
	once := Query{ID: "unseen", Age: time.Second, Once: true}
	assert.Equal(t, outcome(s, once), pb.Outcome_OUTCOME_NOT_RUN)
}

// TestIDReused checks that two different requests with one id are told apart.
func TestIDReused(t *testing.T) {
	s := newStore(&clock{now: time.Unix(1000, 0)}, 0)
	beginAndSettle(t, s, "id", false, "x")
	assert.Equal(t, s.Begin("id", RequestInfo{Digest: 1}), Duplicate)
	assert.Equal(t, s.Begin("id", RequestInfo{Digest: 2}), IDConflict)
}
