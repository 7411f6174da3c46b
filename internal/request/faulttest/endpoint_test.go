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

// rawAnswer writes the bytes to the connection in place of an HTTP response and closes it.
func rawAnswer(bytes string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			panic(err)
		}
		_, _ = conn.Write([]byte(bytes))
		_ = conn.Close()
	}
}

func answerOfSize(bytes int) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, bytes)) }
}

// TestEndpointFaults lets the endpoint fail before and during its answer. A truncated
// answer must not be passed on, and a request that must not be repeated must not go to
// a second endpoint.
func TestEndpointFaults(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\n"
	cases := []struct {
		name   string
		answer http.HandlerFunc
		// nonRepeatable is the expected outcome of a request that must not be repeated.
		nonRepeatable fault.Outcome
	}{
		{"closes without an answer", rawAnswer(""), fault.Unknown},
		{"cut in the head", rawAnswer("HTTP/1.1 2"), fault.Unknown},
		{"shorter than its length", rawAnswer(head + "Content-Length: 100\r\n\r\nhalf"), fault.Unknown},
		{"cut between chunks", rawAnswer(head + "Transfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n"), fault.Unknown},
		{"cut in a chunk", rawAnswer(head + "Transfer-Encoding: chunked\r\n\r\n9\r\nhalf"), fault.Unknown},
		{"without a length", rawAnswer(head + "\r\nhalf"), fault.Unknown},
		{"larger than the limit", answerOfSize(peer.MaxMessageBytes), fault.Done},
		{"chunks larger than the limit", func(w http.ResponseWriter, _ *http.Request) {
			w.(http.Flusher).Flush()
			answerOfSize(peer.MaxMessageBytes)(w, nil)
		}, fault.Done},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			bad, good := newNode(t, "agent-1", c.answer), newNode(t, "agent-2", nil)
			entry := newEntry(t, bad, good)
			nonRepeatable := newRequest(false, requestTimeout)
			got := <-handleAsync(entry, nonRepeatable)
			e := fault.As(got.err)
			assert.Equal(t, e.Outcome, c.nonRepeatable)
			assert.Equal(t, e.RequestID, nonRepeatable.ID)
			assert.Equal(t, bad.runsOf(nonRepeatable.ID), 1)
			assert.Equal(t, good.runsOf(nonRepeatable.ID), 0)
			if c.nonRepeatable == fault.Unknown {
				assert.Equal(t, e.Agent, request.AgentRef(bad.member.Endpoint))
				repeatable := newRequest(true, requestTimeout)
				assertAnswered(t, <-handleAsync(entry, repeatable), repeatable)
			}
		})
	}
}

// TestEndpointAnswersPassedOn checks that a complete answer is passed on whatever its
// status: errors are not retried and redirects are not followed.
func TestEndpointAnswersPassedOn(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusServiceUnavailable, http.StatusTemporaryRedirect, http.StatusFound} {
		n := newNode(t, "agent-1", func(w http.ResponseWriter, r *http.Request) {
			w.Header().Set("Location", "/elsewhere")
			w.WriteHeader(status)
		})
		r := newRequest(false, requestTimeout)
		got := <-handleAsync(newEntry(t, n), r)
		assert.NilError(t, got.err)
		assert.Equal(t, got.answer.Status, status)
		assert.Equal(t, n.runsOf(r.ID)+n.runsOf(""), 1, "status %d", status)
	}
}

// TestEndpointDown stops the endpoint. The refused connection proves "not run", so even a
// request that must not be repeated runs on the next one.
func TestEndpointDown(t *testing.T) {
	down, up := newNode(t, "agent-1", nil), newNode(t, "agent-2", nil)
	down.Close()
	r := newRequest(false, requestTimeout)
	assertAnswered(t, <-handleAsync(newEntry(t, down, up), r), r)
	got := <-handleAsync(newEntry(t, down), newRequest(false, requestTimeout))
	assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
}

// TestAgentPanics lets the agent panic after the endpoint ran the request. The outcome is
// "unknown", and the request neither runs again nor waits until its deadline.
func TestAgentPanics(t *testing.T) {
	n := newNode(t, "agent-1", nil)
	n.server.Stop()
	address := n.proxy.Address()
	n.startAgent(t, n.agentAddress, panickingObserver{})
	n.member.Endpoint.Address = address
	r := newRequest(false, requestTimeout)
	got := <-handleAsync(newEntry(t, n), r)
	assert.Equal(t, fault.As(got.err).Outcome, fault.Unknown)
	assert.Assert(t, got.elapsed < detectionBound)
	assert.Equal(t, n.runsOf(r.ID), 1)
}

// TestLateOutcome lets a request that must not be repeated outlast its deadline. The
// agent still returns its outcome afterwards, over another connection.
func TestLateOutcome(t *testing.T) {
	gate := make(chan struct{})
	n := newNode(t, "agent-1", gatedAnswer(gate, 0))
	entry := newEntry(t, n)
	warmUp(t, entry)
	r := newRequest(false, 200*time.Millisecond)
	got := <-handleAsync(entry, r)
	assert.Equal(t, fault.As(got.err).Outcome, fault.Unknown)
	close(gate)
	reply := callResolve(t, n, &pb.ResolveRequest{RequestId: r.ID, Incarnation: n.member.Endpoint.Incarnation, WaitMs: 5000})
	assert.Equal(t, reply.Outcome, pb.Outcome_OUTCOME_DONE)
	assert.Equal(t, string(reply.Body), "answer to "+r.ID)
}

// TestSameIDTwice sends one request id twice. The same request gets the same answer;
// another client's request with this id gets a conflict and does not run.
func TestSameIDTwice(t *testing.T) {
	n := newNode(t, "agent-1", nil)
	first, second := newEntry(t, n), newEntry(t, n)
	r := newRequest(false, requestTimeout)
	same, other := *r, *r
	other.Client = "another"
	assertAnswered(t, <-handleAsync(first, r), r)
	assertAnswered(t, <-handleAsync(second, &same), r)
	got := <-handleAsync(second, &other)
	assert.Equal(t, fault.As(got.err).Code, fault.CodeConflict)
	assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
	assert.Equal(t, n.runsOf(r.ID), 1)
}

// TestExecuteAfterResolve hands a request off after the agent reported it as "not run".
// It must then not run.
func TestExecuteAfterResolve(t *testing.T) {
	n := newNode(t, "agent-1", nil)
	r := newRequest(false, requestTimeout)
	reply := callResolve(t, n, &pb.ResolveRequest{RequestId: r.ID, Incarnation: n.member.Endpoint.Incarnation})
	assert.Equal(t, reply.Outcome, pb.Outcome_OUTCOME_NOT_RUN)
	got := <-handleAsync(newEntry(t, n), r)
	assert.Equal(t, fault.As(got.err).Outcome, fault.NotRun)
	assert.Equal(t, n.runsOf(r.ID), 0)
}

// TestRestartedAgentReportsUnknown asks a restarted agent for a request that its previous
// incarnation ran. It has no record of the request, and must report "unknown" rather than
// "not run".
func TestRestartedAgentReportsUnknown(t *testing.T) {
	n := newNode(t, "agent-1", nil)
	r := newRequest(false, requestTimeout)
	assertAnswered(t, <-handleAsync(newEntry(t, n), r), r)
	old := n.member.Endpoint.Incarnation
	n.server.Stop()
	n.startAgent(t, n.agentAddress, noopObserver{})
	for _, incarnation := range []string{old, ""} {
		reply := callResolve(t, n, &pb.ResolveRequest{RequestId: r.ID, Incarnation: incarnation})
		assert.Equal(t, reply.Outcome, pb.Outcome_OUTCOME_UNKNOWN, "asked for %q", incarnation)
	}
}

// callResolve sends the query to the agent itself, past the proxy.
func callResolve(t *testing.T, n *node, q *pb.ResolveRequest) *pb.ExecuteReply {
	t.Helper()
	conn, err := peer.Dial(n.agentAddress)
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	reply, err := pb.NewRunnerClient(conn).Resolve(context.Background(), q)
	assert.NilError(t, err)
	return reply
}
