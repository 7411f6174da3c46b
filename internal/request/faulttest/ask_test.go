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

// askAgain asks an entry for an outcome, as the error of a request tells how.
func (p *program) askAgain(told fault.Body) (header http.Header, body string) {
	res, err := client.Get("http://" + p.http + "/v1/requests/" + told.RequestID + "?agent=" + url.QueryEscape(told.Agent))
	assert.NilError(p.t, err)
	defer func() { _ = res.Body.Close() }()
	raw, err := io.ReadAll(res.Body)
	assert.NilError(p.t, err)
	return res.Header, string(raw)
}

// outcomeOf reads the outcome of a request that has no answer.
func outcomeOf(t *testing.T, body string) fault.Outcome {
	t.Helper()
	var out api.Outcome
	assert.NilError(t, json.Unmarshal([]byte(body), &out), body)
	return out.Outcome
}

// TestAskThroughAnotherEntry lets a request that must not be repeated outlast its
// deadline. The error says whom to ask, and another entry gives the whole answer
// once there is one. After a restart of the agent nobody claims that it did not run.
func TestAskThroughAnotherEntry(t *testing.T) {
	t.Parallel()
	one, two := newProgram(t, "entry"), newProgram(t, "entry")
	gate := make(chan struct{})
	target := newEndpoint(t, gated(gate, 0))
	beside := newAgentProgram(t, "agent-1", target, one, two)
	one.serves(longRequest)

	h, err := http.NewRequest(http.MethodPost, "http://"+one.http+"/v1/services/"+service+"/requests", strings.NewReader("quote?"))
	assert.NilError(t, err)
	h.Header.Set(parse.HeaderRepeatable, "false")
	h.Header.Set(parse.HeaderDeadlineMs, "300")
	res, err := client.Do(h)
	assert.NilError(t, err)
	defer func() { _ = res.Body.Close() }()
	var told fault.Body
	assert.NilError(t, json.NewDecoder(res.Body).Decode(&told))
	assert.Equal(t, told.Outcome, fault.Unknown)

	_, body := two.askAgain(told)
	assert.Equal(t, outcomeOf(t, body), fault.Unknown)
	close(gate)
	for began := time.Now(); ; time.Sleep(20 * time.Millisecond) {
		header, body := two.askAgain(told)
		if header.Get(api.HeaderOutcome) == string(fault.Done) {
			assert.Equal(t, body, "answer to "+told.RequestID)
			break
		}
		assert.Assert(t, time.Since(began) < longRequest, body)
	}
	beside.kill()
	beside.start()
	two.serves(longRequest)
	_, body = two.askAgain(told)
	assert.Equal(t, outcomeOf(t, body), fault.Unknown)
	assert.Equal(t, target.ran(told.RequestID), 1)
}
