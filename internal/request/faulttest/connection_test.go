package faulttest

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/agent/runner"
	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// gatedAnswer answers the first request, the warm-up, at once and later ones when gate is
// closed, with size further bytes.
func gatedAnswer(gate <-chan struct{}, size int) http.HandlerFunc {
	var served atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if served.Swap(true) {
			<-gate
		}
		id := r.Header.Get(runner.HeaderRequestID)
		_, _ = w.Write([]byte("answer to " + id + strings.Repeat("x", size)))
	}
}

// TestUnresponsiveConnection makes the connection drop all data at each step of a request
// that must not be repeated. The entry must fetch the answer over a new connection
// within detectionBound, and the request must run once.
func TestUnresponsiveConnection(t *testing.T) {
	const bigAnswer = 1 << 20
	cases := []struct {
		name string
		size int
		// injectFault makes the connection drop data. waitStarted waits until the run has
		// started, release lets the endpoint answer.
		injectFault func(n *node, waitStarted func(), release func())
	}{
		{"during the run", 0, func(n *node, waitStarted, release func()) { waitStarted(); n.proxy.Blackhole(); release() }},
		{"after the effect, before the answer", 0, func(n *node, waitStarted, release func()) { waitStarted(); n.proxy.BlackholeResponses(0); release() }},
		{"during the answer", bigAnswer, func(n *node, waitStarted, release func()) { waitStarted(); n.proxy.BlackholeResponses(1000); release() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			gate := make(chan struct{})
			n := newNode(t, "agent-1", gatedAnswer(gate, c.size))
			entry := newEntry(t, n)
			warmUp(t, entry)
			r := newRequest(false, requestTimeout)
			out := handleAsync(entry, r)
			var faultTime time.Time
			c.injectFault(n, func() { waitRunStarted(t, n.endpoint, r.ID); faultTime = time.Now() }, func() { close(gate) })
			got := <-out
			assert.NilError(t, got.err)
			assert.Equal(t, len(got.answer.Body), len("answer to "+r.ID)+c.size)
			assert.Assert(t, time.Since(faultTime) < detectionBound, "took %v", time.Since(faultTime))
			assert.Equal(t, n.runsOf(r.ID), 1)
		})
	}
}

// TestUnresponsiveConnectionBeforeHandoff sends a request into a connection that already drops
// all data. The agent reports it as "not run" for good, so it runs on another agent.
func TestUnresponsiveConnectionBeforeHandoff(t *testing.T) {
	t.Parallel()
	a, b := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
	entry := newEntry(t, a, b)
	warmUp(t, entry)
	a.proxy.Blackhole()
	r := newRequest(false, requestTimeout)
	got := <-handleAsync(entry, r)
	assertAnswered(t, got, r)
	assert.Assert(t, got.elapsed < detectionBound, "took %v", got.elapsed)
	assert.Equal(t, a.runsOf(r.ID), 0)
	assert.Equal(t, b.runsOf(r.ID), 1)
}

// TestCutConnection closes the connection during the run of a request that must not be
// repeated. The entry reconnects and fetches the answer.
func TestCutConnection(t *testing.T) {
	gate := make(chan struct{})
	n := newNode(t, "agent-1", gatedAnswer(gate, 0))
	entry := newEntry(t, n)
	warmUp(t, entry)
	r := newRequest(false, requestTimeout)
	out := handleAsync(entry, r)
	waitRunStarted(t, n.endpoint, r.ID)
	n.proxy.CloseConnections()
	close(gate)
	assertAnswered(t, <-out, r)
	assert.Equal(t, n.runsOf(r.ID), 1)
}

// TestOthersKeepTheConnection lets one request time out and cancels another. Neither may
// close the connection that a third request shares with them.
func TestOthersKeepTheConnection(t *testing.T) {
	gate := make(chan struct{})
	n := newNode(t, "agent-1", gatedAnswer(gate, 0))
	entry := newEntry(t, n)
	warmUp(t, entry)
	r := newRequest(true, requestTimeout)
	out := handleAsync(entry, r)
	waitRunStarted(t, n.endpoint, r.ID)

	timedOut := <-handleAsync(entry, newRequest(true, 50*time.Millisecond))
	assert.Equal(t, fault.As(timedOut.err).Outcome, fault.Unknown)
	ctx, cancel := context.WithCancel(context.Background())
	canceledErr := make(chan error, 1)
	canceled := newRequest(true, requestTimeout)
	go func() {
		_, err := entry.Handle(ctx, canceled)
		canceledErr <- err
	}()
	waitRunStarted(t, n.endpoint, canceled.ID)
	cancel()
	assert.Assert(t, <-canceledErr != nil)

	before := n.proxy.Accepted()
	close(gate)
	assertAnswered(t, <-out, r)
	assert.Equal(t, n.proxy.Accepted(), before)
	assert.Equal(t, before, 1, "a new connection was made")
}

// TestUnreachableAgent leaves nothing listening at the agent's address. The request was
// then certainly not handed off, and runs elsewhere even if it must not be repeated.
func TestUnreachableAgent(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run("repeatable "+strconv.FormatBool(repeatable), func(t *testing.T) {
			a, b := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
			a.proxy.Close()
			r := newRequest(repeatable, requestTimeout)
			got := <-handleAsync(newEntry(t, a, b), r)
			assertAnswered(t, got, r)
			assert.Assert(t, got.elapsed < detectionBound, "took %v", got.elapsed)

			alone := newRequest(repeatable, requestTimeout)
			got = <-handleAsync(newEntry(t, a), alone)
			assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
			assert.Assert(t, got.elapsed < detectionBound, "took %v", got.elapsed)
		})
	}
}

// TestAgentKilledDuringRun kills the agent while the endpoint runs the request. A request
// that may be repeated runs on another agent; one that must not be is "unknown", also
// after the agent has restarted.
func TestAgentKilledDuringRun(t *testing.T) {
	cases := []struct {
		name       string
		repeatable bool
		restart    bool
	}{{"repeatable", true, false}, {"once", false, false}, {"once, restarted", false, true}}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			gate := make(chan struct{})
			defer close(gate)
			a, b := newNode(t, "agent-1", gatedAnswer(gate, 0)), newNode(t, "agent-2", nil)
			entry := newEntry(t, a, b)
			warmUp(t, entry)
			r := newRequest(c.repeatable, requestTimeout)
			out := handleAsync(entry, r)
			waitRunStarted(t, a.endpoint, r.ID)
			old := a.member
			killAgent(t, a, c.restart)
			got := <-out
			if c.repeatable {
				assertAnswered(t, got, r)
				return
			}
			e := fault.As(got.err)
			assert.Equal(t, e.Outcome, fault.Unknown)
			assert.Equal(t, e.RequestID, r.ID)
			assert.Equal(t, e.Agent, request.AgentRef(old.Endpoint))
			assert.Equal(t, a.runsOf(r.ID)+b.runsOf(r.ID), 1)
		})
	}
}

// killAgent stops the agent and breaks the connections to it. With restart, it then starts
// a new incarnation.
func killAgent(t *testing.T, n *node, restart bool) {
	address := n.agentAddress
	go n.server.Stop() // waits for the call in progress
	if !restart {
		n.proxy.Close()
		return
	}
	n.proxy.CloseConnections()
	for range 100 {
		if !isListening(address) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	n.startAgent(t, address, noopObserver{})
}
