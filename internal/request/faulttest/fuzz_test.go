package faulttest

import (
	"context"
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/agent/execution"
)

const (
	fuzzRequests  = 4
	fuzzRetention = 10 * time.Minute
)

// truth is the oracle: what really became of each request on the agent's present
// incarnation, and what callers were told for good.
type truth struct {
	ran     int  // over all incarnations
	running bool // handed over and not settled
	inc     int  // incarnation that the hand-over was addressed to
	// refused are the incarnations that told "not run" of a hand-over to them.
	refused map[int]bool
}

// machine drives the agent's memory of requests with hand-overs, questions,
// restarts, late copies and the time that passes.
type machine struct {
	now      time.Time
	store    *execution.Store
	inc      int
	requests [fuzzRequests]truth
	made     [fuzzRequests]time.Time // its deadline counts from then
	began    [fuzzRequests]time.Time
	late     []func(t *rapid.T) // messages still on their way
}

func (m *machine) newStore() {
	m.store = execution.NewStore(execution.Options{
		Retention: fuzzRetention, MaxBytes: 2000, Now: func() time.Time { return m.now },
	})
}

func id(n int) string { return fmt.Sprintf("request-%d", n) }

// execute delivers a hand-over addressed to an incarnation.
func (m *machine) execute(t *rapid.T, n, inc int) {
	if inc != m.inc {
		return // refused by its incarnation
	}
	if m.store.Begin(id(n), execution.RequestInfo{Digest: uint64(n + 1)}) != execution.Accepted {
		return
	}
	r := &m.requests[n]
	if r.refused[inc] {
		t.Fatalf("%s runs after it was told as not run", id(n))
	}
	r.ran++
	r.running = true
	if r.ran > 1 {
		t.Fatalf("%s ran %d times", id(n), r.ran)
	}
}

// resolve delivers a question; the answer may be lost.
func (m *machine) resolve(t *rapid.T, n, inc int, peek bool, age time.Duration) {
	if inc != m.inc {
		return // answered "unknown" by its incarnation
	}
	q := execution.Query{ID: id(n), Peek: peek, Age: age, Once: rapid.Bool().Draw(t, "once")}
	reply := m.store.Resolve(context.Background(), q)
	r := &m.requests[n]
	switch reply.Outcome {
	case pb.Outcome_OUTCOME_NOT_RUN:
		if r.ran > 0 {
			t.Fatalf("%s is told as not run, and ran", id(n))
		}
		r.refused[inc] = true
	case pb.Outcome_OUTCOME_DONE:
		if r.ran == 0 {
			t.Fatalf("%s is told as done, and did not run", id(n))
		}
		if !reply.AnswerGone && string(reply.Body) != "answer to "+id(n) {
			t.Fatalf("%s got %q", id(n), reply.Body)
		}
	case pb.Outcome_OUTCOME_RUNNING:
		if !r.running {
			t.Fatalf("%s is told as running", id(n))
		}
	}
}

func draw(t *rapid.T) int { return rapid.IntRange(0, fuzzRequests-1).Draw(t, "request") }

// HandOver sends a request once; the message arrives now, later or never.
func (m *machine) HandOver(t *rapid.T) {
	n := draw(t)
	if !m.began[n].IsZero() || m.tooLate(n) {
		t.Skip("handed over before, or past its deadline")
	}
	m.began[n] = m.now
	inc := m.inc
	m.requests[n].inc = inc
	m.deliver(t, n, func(t *rapid.T) { m.execute(t, n, inc) })
}

// Duplicate delivers a copy of a hand-over that its sender has ended.
func (m *machine) Duplicate(t *rapid.T) {
	n := draw(t)
	if m.began[n].IsZero() || m.tooLate(n) {
		t.Skip("not handed over, or past its deadline")
	}
	inc := m.requests[n].inc
	m.deliver(t, n, func(t *rapid.T) { m.execute(t, n, inc) })
}

// Ask asks for a request with what the asker knows of its age.
func (m *machine) Ask(t *rapid.T) {
	n := draw(t)
	m.tooLate(n)
	age := time.Duration(0)
	if !m.began[n].IsZero() && rapid.Bool().Draw(t, "knows the age") {
		age = max(m.now.Sub(m.began[n]), time.Millisecond)
	}
	inc := m.inc
	if !m.began[n].IsZero() {
		inc = m.requests[n].inc
	}
	m.resolve(t, n, inc, rapid.Bool().Draw(t, "peek"), age)
}

// Settle ends a run.
func (m *machine) Settle(t *rapid.T) {
	n := draw(t)
	if !m.requests[n].running {
		t.Skip("not running")
	}
	m.requests[n].running = false
	m.store.Settle(id(n), &pb.ExecuteReply{RequestId: id(n), Outcome: pb.Outcome_OUTCOME_DONE, Body: []byte("answer to " + id(n))})
}

// Crowd settles other requests, which press on the memory.
func (m *machine) Crowd(t *rapid.T) {
	repeatable := rapid.Bool().Draw(t, "repeatable")
	for i := range rapid.IntRange(1, 64).Draw(t, "others") {
		other := fmt.Sprintf("other-%d-%d", m.now.UnixNano(), i)
		if m.store.Begin(other, execution.RequestInfo{Digest: 99, Repeatable: repeatable}) == execution.Accepted {
			m.store.Settle(other, &pb.ExecuteReply{RequestId: other, Outcome: pb.Outcome_OUTCOME_DONE, Body: make([]byte, 100)})
		}
	}
}

// Restart loses the memory and begins a new incarnation.
func (m *machine) Restart(*rapid.T) {
	m.inc++
	m.newStore()
	for n := range m.requests {
		m.requests[n].running = false
	}
}

// Wait lets time pass.
func (m *machine) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "seconds")) * time.Second)
	if rapid.Bool().Draw(t, "lost") {
		m.late = nil
	}
}

// Arrive delivers the oldest late message, within the longest delay.
func (m *machine) Arrive(t *rapid.T) {
	if len(m.late) == 0 {
		t.Skip("none on its way")
	}
	arrive := m.late[0]
	m.late = m.late[1:]
	arrive(t)
}

// tooLate reports whether the request's deadline has passed. A request is made
// when it is first heard of.
func (m *machine) tooLate(n int) bool {
	if m.made[n].IsZero() {
		m.made[n] = m.now
	}
	return m.now.Sub(m.made[n]) > fuzzRetention
}

// deliver delivers a hand-over now, later within the deadline, or never.
func (m *machine) deliver(t *rapid.T, n int, do func(t *rapid.T)) {
	switch rapid.SampledFrom([]string{"now", "late", "lost"}).Draw(t, "delivery") {
	case "now":
		do(t)
	case "late":
		m.late = append(m.late, func(t *rapid.T) {
			if !m.tooLate(n) {
				do(t)
			}
		})
	}
}

// Check implements rapid.StateMachine; the actions check by themselves.
func (m *machine) Check(*rapid.T) {}

// TestRequestProtocol runs random histories of the request protocol against the
// oracle. The seed is fixed by the run: -rapid.seed.
func TestRequestProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{now: time.Unix(1000, 0)}
		m.newStore()
		for n := range m.requests {
			m.requests[n].refused = map[int]bool{}
		}
		t.Repeat(rapid.StateMachineActions(m))
	})
}
