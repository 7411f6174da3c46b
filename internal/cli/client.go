// Package cli is the operators' command line: chervilctl.
package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	"chervilridge/internal/fault"
)

const (
	callTimeout     = 15 * time.Second
	headerOperator  = "X-Chervil-Operator"
	headerKey       = "Idempotency-Key"
	contentTypeJSON = "application/json"
	contentTypeCSV  = "text/csv"
)

// Client calls the entries in turn until one answers.
type Client struct {
	entries  []string
	operator string
	http     *http.Client
}

// NewClient returns a client for entries at ip:port.
func NewClient(entries []string, operator string) *Client {
	return &Client{entries: entries, operator: operator, http: &http.Client{Timeout: callTimeout}}
}

// Call is one HTTP call to an entry.
type Call struct {
	Method string
	Path   string
	Body   []byte
	Type   string
	Key    string
}

// Do sends the call to the first entry that answers and decodes the JSON answer
// into out, unless out is nil. Only a refused connection leads to the next entry.
func (c *Client) Do(ctx context.Context, call Call, out any) ([]byte, error) {
	var last error
	for _, entry := range c.entries {
		body, err := c.send(ctx, entry, call)
		if fault.Is(err, fault.CodePeerUnreachable) {
			last = err
			continue
		}
		if err == nil && out != nil {
			err = json.Unmarshal(body, out)
		}
		return body, err
	}
	if last == nil {
		last = fault.New(fault.CodeBadSetting, fault.StepSettings, "chervilctl", "no entry is named")
	}
	return nil, last
}

func (c *Client) send(ctx context.Context, entry string, call Call) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+entry+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", call.Type)
	req.Header.Set(headerOperator, c.operator)
	if call.Key != "" {
		req.Header.Set(headerKey, call.Key)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, unreachable(entry, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeOutcomeUnknown, fault.StepRead, entry, "answer was cut").WithOutcome(fault.Unknown)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return nil, decodeError(entry, body)
	}
	return body, nil
}

// unreachable tells a refused connection from a call that may have run.
func unreachable(entry string, err error) error {
	if strings.Contains(err.Error(), "connection refused") {
		return fault.Wrap(err, fault.CodePeerUnreachable, fault.StepSend, entry, "entry does not answer")
	}
	return fault.Wrap(err, fault.CodeOutcomeUnknown, fault.StepSend, entry, "entry did not answer").WithOutcome(fault.Unknown)
}

func decodeError(entry string, body []byte) error {
	var b fault.Body
	if json.Unmarshal(body, &b) != nil || b.Code == "" {
		return fault.New(fault.CodeInternal, fault.StepRead, entry, string(body))
	}
	return &fault.Error{Code: b.Code, Step: b.Step, Peer: b.Peer, Outcome: b.Outcome, Message: b.Message, RequestID: b.RequestID}
}
