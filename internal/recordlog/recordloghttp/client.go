package recordloghttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"chervilridge/internal/recordlog"
)

const (
	requestTimeout     = 3 * time.Second
	maxIdleConnections = 8
)

// jsonClient posts JSON to one address.
type jsonClient struct {
	base string
	http *http.Client
}

func newJSONClient(address string) *jsonClient {
	transport := &http.Transport{
		MaxIdleConnsPerHost: maxIdleConnections,
		DialContext:         (&net.Dialer{Timeout: requestTimeout}).DialContext,
	}
	return &jsonClient{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// post posts in as JSON and decodes the response into out. It fails with
// recordlog.ErrUnavailable if the call certainly had no effect, with ErrUnknownOutcome if
// it may have had one, or with the error that the response names.
func (c *jsonClient) post(ctx context.Context, path string, timeout time.Duration, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	body, err := json.Marshal(in)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.base+path, bytes.NewReader(body))
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := c.http.Do(req)
	if err != nil {
		return classifyTransportError(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return decodeError(res)
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return recordlog.ErrUnknownOutcome
	}
	return nil
}

// classifyTransportError returns ErrUnavailable if dialling failed, which had no effect,
// and ErrUnknownOutcome otherwise.
func classifyTransportError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return recordlog.ErrUnavailable
	}
	return recordlog.ErrUnknownOutcome
}

func decodeError(res *http.Response) error {
	var body ErrorBody
	if json.NewDecoder(res.Body).Decode(&body) != nil {
		return recordlog.ErrUnknownOutcome
	}
	if known, ok := ErrorsByName[body.Error]; ok {
		return known
	}
	return recordlog.ErrUnknownOutcome
}

// Log implements recordlog.Log over HTTP.
type Log struct {
	client *jsonClient
}

// NewLog returns a client of the log at ip:port.
func NewLog(address string) *Log {
	return &Log{client: newJSONClient(address)}
}

// Append implements recordlog.Log.
func (l *Log) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	var out AppendResponse
	err := l.client.post(ctx, PathAppend, requestTimeout, AppendRequest{Stream: stream, Payload: payload}, &out)
	return out.Offset, err
}

// Read implements recordlog.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (recordlog.ReadResult, error) {
	var out recordlog.ReadResult
	in := ReadRequest{Stream: stream, From: from, Limit: limit, Wait: wait}
	err := l.client.post(ctx, PathRead, requestTimeout+wait, in, &out)
	return out, err
}
