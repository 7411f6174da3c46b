package faulttest

import (
	"encoding/json"
	"io"
	"net/http"
	"net/url"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/entry/api"
	"chervilridge/internal/fault"
	"chervilridge/internal/request/parse"
)

// queryOutcome asks an entry for the outcome of a request, by the request id and
// the agent that the error of the request named.
func (p *program) queryOutcome(errBody fault.Body) (header http.Header, body string) {
	res, err := client.Get("http://" + p.httpAddress + "/v1/requests/" + errBody.RequestID + "?agent=" + url.QueryEscape(errBody.Agent))
	assert.NilError(p.t, err)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	assert.NilError(p.t, err)
	return res.Header, string(raw)
}

// decodeOutcome returns the outcome in the body that an entry sends while there is no answer.
func decodeOutcome(t *testing.T, body string) fault.Outcome {
	t.Helper()
	var out api.Outcome
	assert.NilError(t, json.Unmarshal([]byte(body), &out), body)
	return out.Outcome
}

// TestOutcomeThroughAnotherEntry lets a request that must not be repeated outlast its
// deadline. The error names the agent that knows the outcome, and any entry returns the
// complete answer once there is one. A restarted agent has lost its record of the
// request, so the outcome must then be "unknown" and never "not run".
func TestOutcomeThroughAnotherEntry(t *testing.T) {
	t.Parallel()
	first, second := newProgram(t, "entry"), newProgram(t, "entry")
	gate := make(chan struct{})
	target := newEndpoint(t, gatedAnswer(gate, 0))
	agentProcess := newAgentProgram(t, "agent-1", target, first, second)
	first.waitServing(requestTimeout)

	h, err := http.NewRequest(http.MethodPost, "http://"+first.httpAddress+"/v1/services/"+service+"/requests", strings.NewReader("quote?"))
	assert.NilError(t, err)
	h.Header.Set(parse.HeaderRepeatable, "false")
	h.Header.Set(parse.HeaderDeadlineMs, "300")
	res, err := client.Do(h)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	var errBody fault.Body
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&errBody))
	assert.Equal(t, errBody.Outcome, fault.Unknown)

	_, body := second.queryOutcome(errBody)
	assert.Equal(t, decodeOutcome(t, body), fault.Unknown)
	close(gate)
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		header, body := second.queryOutcome(errBody)
		if header.Get(api.HeaderOutcome) == string(fault.Done) {
			assert.Equal(t, body, "answer to "+errBody.RequestID)
			break
		}
		assert.Assert(t, time.Since(began) < requestTimeout, body)
	}
	agentProcess.kill()
	agentProcess.start()
	second.waitServing(requestTimeout)
	_, body = second.queryOutcome(errBody)
	assert.Equal(t, decodeOutcome(t, body), fault.Unknown)
	assert.Equal(t, target.runsOf(errBody.RequestID), 1)
}
