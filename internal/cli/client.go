// Package cli implements chervilctl, the command-line client for operators.
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
	callTimeout          = 15 * time.Second
	headerOperator       = "X-Chervil-Operator"
	headerIdempotencyKey = "Idempotency-Key"
	contentTypeJSON      = "application/json"
	contentTypeCSV       = "text/csv"
)

// Client sends HTTP calls to the entries, trying them in turn until one accepts the
// connection.
type Client struct {
	entries  []string
	operator string
	http     *http.Client
}

// NewClient returns a client for the entries at the given ip:port addresses. operator is
// recorded as the author of changes.
func NewClient(entries []string, operator string) *Client {
	return &Client{entries: entries, operator: operator, http: &http.Client{Timeout: callTimeout}}
}

// Call is an HTTP call to an entry.
type Call struct {
	Method         string
	Path           string // including the query
	Body           []byte
	ContentType    string // value of the Content-Type header
	IdempotencyKey string // value of the Idempotency-Key header; empty sends none
}

// Do sends the call to the first entry that accepts the connection and returns the body of
// the answer. Unless out is nil, it also decodes the body as JSON into out. Only a refused
// connection leads to the next entry: after any other failure the call may have run.
func (c *Client) Do(ctx context.Context, call Call, out any) ([]byte, error) {
	var lastErr error
	for _, entry := range c.entries {
		body, err := c.send(ctx, entry, call)
		if fault.Is(err, fault.CodePeerUnreachable) {
			lastErr = err
			continue
		}
		if err == nil && out != nil {
			err = json.Unmarshal(body, out)
		}
		return body, err
	}
	if lastErr == nil {
		lastErr = fault.New(fault.CodeBadSetting, fault.StepSettings, "chervilctl", "the list of entries is empty")
	}
	return nil, lastErr
}

// send makes the call to one entry and returns the body of the answer.
func (c *Client) send(ctx context.Context, entry string, call Call) ([]byte, error) {
	req, err := http.NewRequestWithContext(ctx, call.Method, "http://"+entry+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", call.ContentType)
	req.Header.Set(headerOperator, c.operator)
	if call.IdempotencyKey != "" {
		req.Header.Set(headerIdempotencyKey, call.IdempotencyKey)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, sendError(entry, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeOutcomeUnknown, fault.StepRead, entry, "connection lost while reading the answer").WithOutcome(fault.Unknown)
	}
	if res.StatusCode >= http.StatusBadRequest {
		return nil, decodeError(entry, body)
	}
	return body, nil
}

// sendError returns CodePeerUnreachable for a refused connection and CodeOutcomeUnknown for
// any other failure, after which the call may have run.
func sendError(entry string, err error) error {
	if strings.Contains(err.Error(), "connection refused") {
		return fault.Wrap(err, fault.CodePeerUnreachable, fault.StepSend, entry, "entry refused the connection")
	}
	return fault.Wrap(err, fault.CodeOutcomeUnknown, fault.StepSend, entry, "no answer from the entry").WithOutcome(fault.Unknown)
}

// decodeError converts the body of an error response into an error.
func decodeError(entry string, body []byte) error {
	var b fault.Body
	if json.Unmarshal(body, &b) != nil || b.Code == "" {
		return fault.New(fault.CodeInternal, fault.StepRead, entry, string(body))
	}
	return &fault.Error{Code: b.Code, Step: b.Step, Peer: b.Peer, Outcome: b.Outcome, Message: b.Message, RequestID: b.RequestID}
}
