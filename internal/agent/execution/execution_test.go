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

func run(t *testing.T, s *Store, id string, repeatable bool, body string) {
	t.Helper()
	assert.Equal(t, s.Begin(id, Mark{Owner: 1, Repeatable: repeatable}), Begun)
	s.Settle(id, &pb.ExecuteReply{RequestId: id, Outcome: pb.Outcome_OUTCOME_DONE, Body: []byte(body)})
}

func outcome(s *Store, q Question) pb.Outcome { return s.Resolve(context.Background(), q).Outcome }

// settleMore makes every shard forget what is older than the retention.
func settleMore(t *testing.T, s *Store, prefix string) {
	t.Helper()
	for i := range 50 * shardCount {
		run(t, s, prefix+strconv.Itoa(i), false, "")
	}
}

// TestForgottenIsNoProof asks for a request that ran but is no longer kept.
func TestForgottenIsNoProof(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	s := newStore(c, 0)
	run(t, s, "old", false, "x")
	c.now = c.now.Add(11 * time.Minute)
	settleMore(t, s, "new-")
	for _, age := range []time.Duration{0, 11 * time.Minute} {
		assert.Equal(t, outcome(s, Question{ID: "old", Age: age}), pb.Outcome_OUTCOME_UNKNOWN, "age %v", age)
	}
	young := Question{ID: "never handed over", Age: time.Second}
	assert.Equal(t, outcome(s, young), pb.Outcome_OUTCOME_NOT_RUN)
	assert.Equal(t, s.Begin(young.ID, Mark{Owner: 1}), Known)
}

// TestFenceOutlastsDeadline keeps the refusal of a request never seen for longer
// than the longest deadline.
func TestFenceOutlastsDeadline(t *testing.T) {
	c := &clock{now: time.Unix(1000, 0)}
	s := newStore(c, 0)
	assert.Equal(t, outcome(s, Question{ID: "late"}), pb.Outcome_OUTCOME_NOT_RUN)
	c.now = c.now.Add(14 * time.Minute)
	settleMore(t, s, "new-")
	assert.Equal(t, s.Begin("late", Mark{Owner: 1}), Known)
}

// TestPeekDoesNotFence looks at a request that is handed over later.
func TestPeekDoesNotFence(t *testing.T) {
	s := newStore(&clock{now: time.Unix(1000, 0)}, 0)
	assert.Equal(t, outcome(s, Question{ID: "soon", Peek: true}), pb.Outcome_OUTCOME_UNKNOWN)
	assert.Equal(t, s.Begin("soon", Mark{Owner: 1}), Begun)
}

// TestMemoryBound keeps outcomes that matter and drops the rest.
func TestMemoryBound(t *testing.T) {
	const limit = 1 << 20
	c := &clock{now: time.Unix(1000, 0)}
	s := newStore(c, limit)
	body := string(make([]byte, 10<<10))
	run(t, s, "once", false, body)
	for i := range 1000 {
		run(t, s, "repeatable-"+strconv.Itoa(i), true, body)
	}
	assert.Assert(t, s.Bytes() <= limit+shardCount*(10<<10+recordBytes), "%d bytes", s.Bytes())
	for i := range 1000 {
		run(t, s, "more-"+strconv.Itoa(i), false, body)
	}
	reply := s.Resolve(context.Background(), Question{ID: "once"})
	assert.Equal(t, reply.Outcome, pb.Outcome_OUTCOME_DONE)
	assert.Assert(t, reply.AnswerGone)
	assert.Equal(t, outcome(s, Question{ID: "repeatable-0", Age: time.Second}), pb.Outcome_OUTCOME_UNKNOWN)
	once := Question{ID: "unseen", Age: time.Second, Once: true}
	assert.Equal(t, outcome(s, once), pb.Outcome_OUTCOME_NOT_RUN)
}

// TestIDReused tells two requests with one id apart.
func TestIDReused(t *testing.T) {
	s := newStore(&clock{now: time.Unix(1000, 0)}, 0)
	run(t, s, "id", false, "x")
	assert.Equal(t, s.Begin("id", Mark{Owner: 1}), Known)
	assert.Equal(t, s.Begin("id", Mark{Owner: 2}), Reused)
}
