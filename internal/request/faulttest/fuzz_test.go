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
	fuzzRetention = 10 * time.Minute // of the store, and deadline of the requests
)

// requestModel is the expected state of one request: how often it ran, and which
// incarnations reported it as "not run".
type requestModel struct {
	runCount    int  // of all incarnations
	running     bool // started and not settled
	incarnation int  // incarnation that the hand-off was addressed to
	// reportedNotRun holds the incarnations that reported the request as "not run".
	reportedNotRun map[int]bool
}

// protocolMachine is a rapid state machine that drives the agent's execution store with
// hand-offs, outcome queries, restarts, delayed duplicates and passing time. rapid finds
// the actions by their method names and orders them by name, so a renamed action can
// change the history that a seed gives.
type protocolMachine struct {
	now         time.Time
	store       *execution.Store
	incarnation int
	requests    [fuzzRequests]requestModel
	createdAt   [fuzzRequests]time.Time // the deadline is fuzzRetention later
	sentAt      [fuzzRequests]time.Time // first hand-off; zero before
	delayed     []func(t *rapid.T)      // hand-offs that have not arrived yet
}

func (m *protocolMachine) newStore() {
	m.store = execution.NewStore(execution.Options{
		Retention: fuzzRetention, MaxBytes: 2000, Now: func() time.Time { return m.now },
	})
}

func requestID(n int) string { return fmt.Sprintf("request-%d", n) }

// execute delivers a hand-off that is addressed to an incarnation of the agent.
func (m *protocolMachine) execute(t *rapid.T, n, incarnation int) {
	if incarnation != m.incarnation {
		return // rejected: addressed to another incarnation
	}
	if m.store.Begin(requestID(n), execution.RequestInfo{Digest: uint64(n + 1)}) != execution.Accepted {
		return
	}
	r := &m.requests[n]
	if r.reportedNotRun[incarnation] {
		t.Fatalf("%s ran after it was reported as not run", requestID(n))
	}
	r.runCount++
	r.running = true
	if r.runCount > 1 {
		t.Fatalf("%s ran %d times", requestID(n), r.runCount)
	}
}

// resolve delivers an outcome query and checks the reply against the model.
func (m *protocolMachine) resolve(t *rapid.T, n, incarnation int, peek bool, age time.Duration) {
	if incarnation != m.incarnation {
		return // answered "unknown": addressed to another incarnation
	}
	q := execution.Query{ID: requestID(n), Peek: peek, Age: age, Once: rapid.Bool().Draw(t, "once")}
	reply := m.store.Resolve(context.Background(), q)
	r := &m.requests[n]
	switch reply.Outcome {
	case pb.Outcome_OUTCOME_NOT_RUN:
		if r.runCount > 0 {
			t.Fatalf("%s is reported as not run, but ran", requestID(n))
		}
		r.reportedNotRun[incarnation] = true
	case pb.Outcome_OUTCOME_DONE:
		if r.runCount == 0 {
			t.Fatalf("%s is reported as done, but did not run", requestID(n))
		}
		if !reply.AnswerGone && string(reply.Body) != "answer to "+requestID(n) {
			t.Fatalf("%s has the answer %q of another request", requestID(n), reply.Body)
		}
	case pb.Outcome_OUTCOME_RUNNING:
		if !r.running {
			t.Fatalf("%s is reported as running, but is not", requestID(n))
		}
	}
}

func drawRequest(t *rapid.T) int { return rapid.IntRange(0, fuzzRequests-1).Draw(t, "request") }

// Handoff hands a request off for the first time; it arrives now, later or never.
func (m *protocolMachine) Handoff(t *rapid.T) {
	n := drawRequest(t)
	if !m.sentAt[n].IsZero() || m.pastDeadline(n) {
		t.Skip("handed off before, or past its deadline")
	}
	m.sentAt[n] = m.now
	incarnation := m.incarnation
	m.requests[n].incarnation = incarnation
	m.deliver(t, n, func(t *rapid.T) { m.execute(t, n, incarnation) })
}

// Duplicate sends a copy of an earlier hand-off.
func (m *protocolMachine) Duplicate(t *rapid.T) {
	n := drawRequest(t)
	if m.sentAt[n].IsZero() || m.pastDeadline(n) {
		t.Skip("not handed off, or past its deadline")
	}
	incarnation := m.requests[n].incarnation
	m.deliver(t, n, func(t *rapid.T) { m.execute(t, n, incarnation) })
}

// AskOutcome queries the outcome of a request, with its age or with age 0 for unknown.
func (m *protocolMachine) AskOutcome(t *rapid.T) {
	n := drawRequest(t)
	m.pastDeadline(n)
	age := time.Duration(0)
	if !m.sentAt[n].IsZero() && rapid.Bool().Draw(t, "knows the age") {
		age = max(m.now.Sub(m.sentAt[n]), time.Millisecond)
	}
	incarnation := m.incarnation
	if !m.sentAt[n].IsZero() {
		incarnation = m.requests[n].incarnation
	}
	m.resolve(t, n, incarnation, rapid.Bool().Draw(t, "peek"), age)
}

// Settle ends the run of a request with an answer.
func (m *protocolMachine) Settle(t *rapid.T) {
	n := drawRequest(t)
	if !m.requests[n].running {
		t.Skip("not running")
	}
	m.requests[n].running = false
	m.store.Settle(requestID(n), &pb.ExecuteReply{RequestId: requestID(n), Outcome: pb.Outcome_OUTCOME_DONE, Body: []byte("answer to " + requestID(n))})
}

// CrowdStore settles other requests, which push the store towards its memory limit.
func (m *protocolMachine) CrowdStore(t *rapid.T) {
	repeatable := rapid.Bool().Draw(t, "repeatable")
	for i := range rapid.IntRange(1, 64).Draw(t, "others") {
		other := fmt.Sprintf("other-%d-%d", m.now.UnixNano(), i)
		if m.store.Begin(other, execution.RequestInfo{Digest: 99, Repeatable: repeatable}) == execution.Accepted {
			m.store.Settle(other, &pb.ExecuteReply{RequestId: other, Outcome: pb.Outcome_OUTCOME_DONE, Body: make([]byte, 100)})
		}
	}
}

// Restart starts a new incarnation of the agent with an empty store.
func (m *protocolMachine) Restart(*rapid.T) {
	m.incarnation++
	m.newStore()
	for n := range m.requests {
		m.requests[n].running = false
	}
}

// Wait advances the clock, and may lose all delayed messages.
func (m *protocolMachine) Wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 900).Draw(t, "seconds")) * time.Second)
	if rapid.Bool().Draw(t, "lost") {
		m.delayed = nil
	}
}

// Arrive delivers the oldest delayed message.
func (m *protocolMachine) Arrive(t *rapid.T) {
	if len(m.delayed) == 0 {
		t.Skip("no delayed message")
	}
	message := m.delayed[0]
	m.delayed = m.delayed[1:]
	message(t)
}

// pastDeadline reports whether the request's deadline has passed. The first call for a
// request creates it.
func (m *protocolMachine) pastDeadline(n int) bool {
	if m.createdAt[n].IsZero() {
		m.createdAt[n] = m.now
	}
	return m.now.Sub(m.createdAt[n]) > fuzzRetention
}

// deliver delivers a hand-off now, later but before its deadline, or never.
func (m *protocolMachine) deliver(t *rapid.T, n int, message func(t *rapid.T)) {
	switch rapid.SampledFrom([]string{"now", "late", "lost"}).Draw(t, "delivery") {
	case "now":
		message(t)
	case "late":
		m.delayed = append(m.delayed, func(t *rapid.T) {
			if !m.pastDeadline(n) {
				message(t)
			}
		})
	}
}

// Check implements rapid.StateMachine. It is empty because the actions do the checks.
func (m *protocolMachine) Check(*rapid.T) {}

// TestRequestProtocol checks random histories of the request protocol against the model:
// no request runs twice, and none runs after it was reported as "not run".
// -rapid.seed sets the seed.
func TestRequestProtocol(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &protocolMachine{now: time.Unix(1000, 0)}
		m.newStore()
		for n := range m.requests {
			m.requests[n].reportedNotRun = map[int]bool{}
		}
		t.Repeat(rapid.StateMachineActions(m))
	})
}
