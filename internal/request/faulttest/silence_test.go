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

// gated answers once the gate opens; the warm-up passes.
func gated(gate <-chan struct{}, size int) http.HandlerFunc {
	var served atomic.Bool
	return func(w http.ResponseWriter, r *http.Request) {
		if served.Swap(true) {
			<-gate
		}
		id := r.Header.Get(runner.HeaderRequestID)
		_, _ = w.Write([]byte("answer to " + id + strings.Repeat("x", size)))
	}
}

// TestSilentConnection lets the connection go silent at each step of a request
// that must not be repeated. The answer is fetched over a new connection within
// the stated bound, and the request has run once.
func TestSilentConnection(t *testing.T) {
	const bigAnswer = 1 << 20
	cases := []struct {
		name string
		size int
		hit  func(n *node, begun func(), open func())
	}{
		{"during the run", 0, func(n *node, begun, open func()) { begun(); n.proxy.Silence(); open() }},
		{"after the effect, before the answer", 0, func(n *node, begun, open func()) { begun(); n.proxy.SilenceAnswers(0); open() }},
		{"during the answer", bigAnswer, func(n *node, begun, open func()) { begun(); n.proxy.SilenceAnswers(1000); open() }},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			gate := make(chan struct{})
			n := newNode(t, "agent-1", gated(gate, c.size))
			entry := newEntry(t, n)
			warm(t, entry)
			r := newRequest(false, longRequest)
			out := handle(entry, r)
			var hit time.Time
			c.hit(n, func() { waitBegun(t, n.endpoint, r.ID); hit = time.Now() }, func() { close(gate) })
			got := <-out
			assert.NilError(t, got.err)
			assert.Equal(t, len(got.answer.Body), len("answer to "+r.ID)+c.size)
			assert.Assert(t, time.Since(hit) < noticed, "took %v", time.Since(hit))
			assert.Equal(t, n.ran(r.ID), 1)
		})
	}
}

// TestSilentConnectionBeforeHandOver sends into a connection that is silent
// already. The agent refuses the request for good, and it runs elsewhere.
func TestSilentConnectionBeforeHandOver(t *testing.T) {
	t.Parallel()
	a, b := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
	entry := newEntry(t, a, b)
	warm(t, entry)
	a.proxy.Silence()
	r := newRequest(false, longRequest)
	got := <-handle(entry, r)
	isWhole(t, got, r)
	assert.Assert(t, got.took < noticed, "took %v", got.took)
	assert.Equal(t, a.ran(r.ID), 0)
	assert.Equal(t, b.ran(r.ID), 1)
}

// TestCutConnection closes the connection at the same steps.
func TestCutConnection(t *testing.T) {
	gate := make(chan struct{})
	n := newNode(t, "agent-1", gated(gate, 0))
	entry := newEntry(t, n)
	warm(t, entry)
	r := newRequest(false, longRequest)
	out := handle(entry, r)
	waitBegun(t, n.endpoint, r.ID)
	n.proxy.Cut()
	close(gate)
	isWhole(t, <-out, r)
	assert.Equal(t, n.ran(r.ID), 1)
}

// TestOthersKeepTheConnection lets one request run out of time and one caller
// go: neither takes the connection from the requests that share it.
func TestOthersKeepTheConnection(t *testing.T) {
	gate := make(chan struct{})
	n := newNode(t, "agent-1", gated(gate, 0))
	entry := newEntry(t, n)
	warm(t, entry)
	r := newRequest(true, longRequest)
	out := handle(entry, r)
	waitBegun(t, n.endpoint, r.ID)

	late := <-handle(entry, newRequest(true, 50*time.Millisecond))
	assert.Equal(t, fault.As(late.err).Outcome, fault.Unknown)
	ctx, cancel := context.WithCancel(context.Background())
	gone := make(chan error, 1)
	left := newRequest(true, longRequest)
	go func() {
		_, err := entry.Handle(ctx, left)
		gone <- err
	}()
	waitBegun(t, n.endpoint, left.ID)
	cancel()
	assert.Assert(t, <-gone != nil)

	before := n.proxy.Accepted()
	close(gate)
	isWhole(t, <-out, r)
	assert.Equal(t, n.proxy.Accepted(), before)
	assert.Equal(t, before, 1, "a new connection was made")
}

// TestUnreachableAgent has nothing listening at the agent's address: the request
// certainly was not handed over, and runs elsewhere though it must not be repeated.
func TestUnreachableAgent(t *testing.T) {
	for _, repeatable := range []bool{true, false} {
		t.Run("repeatable "+strconv.FormatBool(repeatable), func(t *testing.T) {
			a, b := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
			a.proxy.Close()
			r := newRequest(repeatable, longRequest)
			got := <-handle(newEntry(t, a, b), r)
			isWhole(t, got, r)
			assert.Assert(t, got.took < noticed, "took %v", got.took)

			alone := newRequest(repeatable, longRequest)
			got = <-handle(newEntry(t, a), alone)
			assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
			assert.Assert(t, got.took < noticed, "took %v", got.took)
		})
	}
}

// TestAgentKilledDuringRun kills the agent while the endpoint runs the request.
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
			a, b := newNode(t, "agent-1", gated(gate, 0)), newNode(t, "agent-2", nil)
			entry := newEntry(t, a, b)
			warm(t, entry)
			r := newRequest(c.repeatable, longRequest)
			out := handle(entry, r)
			waitBegun(t, a.endpoint, r.ID)
			old := a.member
			kill(t, a, c.restart)
			got := <-out
			if c.repeatable {
				isWhole(t, got, r)
				return
			}
			e := fault.As(got.err)
			assert.Equal(t, e.Outcome, fault.Unknown)
			assert.Equal(t, e.RequestID, r.ID)
			assert.Equal(t, e.Agent, request.AgentRef(old.Endpoint))
			assert.Equal(t, a.ran(r.ID)+b.ran(r.ID), 1)
		})
	}
}

func kill(t *testing.T, n *node, restart bool) {
	address := n.target
	go n.server.Stop() // waits for the call under way
	if !restart {
		n.proxy.Close()
		return
	}
	n.proxy.Cut()
	for range 100 {
		if !listening(address) {
			break
		}
		time.Sleep(10 * time.Millisecond)
	}
	n.start(t, address, ignores{})
}
