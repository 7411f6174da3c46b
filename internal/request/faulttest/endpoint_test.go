package faulttest

import (
	"context"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/peer"
	"chervilridge/internal/request"
)

// raw answers with bytes of its own and closes the connection.
func raw(bytes string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = conn.Write([]byte(bytes))
		_ = conn.Close()
	}
}

func sized(bytes int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, bytes)) }
}

// TestEndpointFaults lets the endpoint fail before and during its answer. No cut
// answer is passed on; a request that must not be repeated goes to one endpoint.
func TestEndpointFaults(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name   string
		answer http.HandlerFunc
		// once is the outcome of a request that must not be repeated.
		once fault.Outcome
	}{
		{"closes without an answer", raw(""), fault.Unknown},
		{"cut in the head", raw("HTTP/1.1 2"), fault.Unknown},
		{"shorter than its length", raw(head + "Content-Length: 100\r\n\r\nhalf"), fault.Unknown},
		{"cut between chunks", raw(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), fault.Unknown},
		{"cut in a chunk", raw(head + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf"), fault.Unknown},
		{"tells no length", raw(head + "\r\nhalf"), fault.Unknown},
		{"larger than the limit", sized(peer.MaxMessageBytes), fault.Done},
		{"chunks larger than the limit", func(w http.ResponseWriter, _ *http.Request) {
			w.(http.Flusher).Flush()
			sized(peer.MaxMessageBytes)(w, nil)
		}, fault.Done},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bad, good := newNode(t, "agent-1", c.answer), newNode(t, "agent-2", nil)
			entry := newEntry(t, bad, good)
			once := newRequest(false, longRequest)
			got := <-handle(entry, once)
			e := fault.As(got.err)
			assert.Equal(t, e.Outcome, c.once)
			assert.Equal(t, e.RequestID, once.ID)
			assert.Equal(t, bad.ran(once.ID), 1)
			assert.Equal(t, good.ran(once.ID), 0)
			if c.once == fault.Unknown {
				assert.Equal(t, e.Agent, request.AgentRef(bad.member.Endpoint))
				again := newRequest(true, longRequest)
				isWhole(t, <-handle(entry, again), again)
			}
		})
	}
}

// TestEndpointAnswersPassedOn holds answers that are whole though not a success.
func TestEndpointAnswersPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTemporaryRedirect, http.StatusFound} {
		n := newNode(t, "agent-1", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
		})
		r := newRequest(false, longRequest)
		got := <-handle(newEntry(t, n), r)
		assert.NilError(t, got.err)
		assert.Equal(t, got.answer.Status, status)
		assert.Equal(t, n.ran(r.ID)+n.ran(""), 1, "status %d", status)
	}
}

// TestEndpointDown has nothing listening at the endpoint: proof of "not run".
func TestEndpointDown(t *testing.T) {
	down, up := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
	down.Close()
	r := newRequest(false, longRequest)
	isWhole(t, <-handle(newEntry(t, down, up), r), r)
	got := <-handle(newEntry(t, down), newRequest(false, longRequest))
	assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
}

// TestAgentPanics fails the agent after the request took effect: the outcome is
// unknown, and the request neither runs again nor waits for ever.
func TestAgentPanics(t *testing.T) {
	n := newNode(t, "agent-1", nil)
	n.server.Stop()
	address := n.proxy.Address()
	n.start(t, n.target, panics{})
	n.member.Endpoint.Address = address
	r := newRequest(false, longRequest)
	got := <-handle(newEntry(t, n), r)
	assert.Equal(t, fault.As(got.err).Outcome, fault.Unknown)
	assert.Assert(t, got.took < noticed)
	assert.Equal(t, n.ran(r.ID), 1)
}

// TestLateOutcome lets a request that must not be repeated outlive its deadline:
// its outcome can be asked for afterwards, also over another agent connection.
func TestLateOutcome(t *testing.T) {
	gate := make(chan struct{})
	n := newNode(t, "agent-1", gated(gate, 0))
	entry := newEntry(t, n)
	warm(t, entry)
	r := newRequest(false, 200*time.Millisecond)
	got := <-handle(entry, r)
	assert.Equal(t, fault.As(got.err).Outcome, fault.Unknown)
	close(gate)
	reply := ask(t, n, &pb.ResolveRequest{RequestId: r.ID, Incarnation: n.member.Endpoint.Incarnation, WaitMs: 5000})
	assert.Equal(t, reply.Outcome, pb.Outcome_OUTCOME_DONE)
	assert.Equal(t, string(reply.Body), "answer to "+r.ID)
}

// TestSameIDTwice sends one id twice: the same request gets the same answer, and
// another client's request neither that answer nor a run.
func TestSameIDTwice(t *testing.T) {
	n := newNode(t, "agent-1", nil)
	first, second := newEntry(t, n), newEntry(t, n)
	r := newRequest(false, longRequest)
	same, other := *r, *r
	other.Client = "another"
	isWhole(t, <-handle(first, r), r)
	isWhole(t, <-handle(second, &same), r)
	got := <-handle(second, &other)
	assert.Equal(t, fault.As(got.err).Code, fault.CodeConflict)
	assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
	assert.Equal(t, n.ran(r.ID), 1)
}

// TestExecuteAfterResolve delivers the hand-over after the question.
func TestExecuteAfterResolve(t *testing.T) {
	n := newNode(t, "agent-1", nil)
	r := newRequest(false, longRequest)
	reply := ask(t, n, &pb.ResolveRequest{RequestId: r.ID, Incarnation: n.member.Endpoint.Incarnation})
	assert.Equal(t, reply.Outcome, pb.Outcome_OUTCOME_NOT_RUN)
	got := <-handle(newEntry(t, n), r)
	assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
	assert.Equal(t, n.ran(r.ID), 0)
}

// TestRestartIsNoProof asks the next incarnation for what the last one ran.
func TestRestartIsNoProof(t *testing.T) {
	n := newNode(t, "agent-1", nil)
	r := newRequest(false, longRequest)
	isWhole(t, <-handle(newEntry(t, n), r), r)
	old := n.member.Endpoint.Incarnation
	n.server.Stop()
	n.start(t, n.target, ignores{})
	for _, incarnation := range []string{old, ""} {
		reply := ask(t, n, &pb.ResolveRequest{RequestId: r.ID, Incarnation: incarnation})
		assert.Equal(t, reply.Outcome, pb.Outcome_OUTCOME_UNKNOWN, "asked for %q", incarnation)
	}
}

func ask(t *testing.T, n *node, q *pb.ResolveRequest) *pb.ExecuteReply {
	t.Helper()
	conn, err := peer.Dial(n.target)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reply, err := pb.NewRunnerClient(conn).Resolve(context.Background(), q)
	assert.NilError(t, err)
	return reply
}
