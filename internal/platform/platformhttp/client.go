package platformhttp

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"net"
	"net/http"
	"time"

	"chervilridge/internal/platform"
)

const (
	callTimeout     = 3 * time.Second
	idleConnections = 8
)

// caller posts JSON to one address of the platform.
type caller struct {
	base string
	http *http.Client
}

func newCaller(address string) *caller {
	transport := &http.Transport{
		MaxIdleConnsPerHost: idleConnections,
		DialContext:         (&net.Dialer{Timeout: callTimeout}).DialContext,
	}
	return &caller{base: "http://" + address, http: &http.Client{Transport: transport}}
}

// call posts in and decodes out. A call that certainly had no effect fails with
// platform.ErrUnavailable, one that may have had one with ErrUnknownOutcome.
func (c *caller) call(ctx context.Context, path string, timeout time.Duration, in, out any) error {
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
		return classify(err)
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return decodeError(res)
	}
	if err := json.NewDecoder(res.Body).Decode(out); err != nil {
		return platform.ErrUnknownOutcome
	}
	return nil
}

// classify tells a refused connection, which had no effect, from the rest.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return platform.ErrUnavailable
	}
	return platform.ErrUnknownOutcome
}

func decodeError(res *http.Response) error {
	var body ErrorBody
	if json.NewDecoder(res.Body).Decode(&body) != nil {
		return platform.ErrUnknownOutcome
	}
	if known, ok := ErrorsByName[body.Error]; ok {
		return known
	}
	return platform.ErrUnknownOutcome
}

// Log implements platform.Log over HTTP.
type Log struct {
	caller *caller
}

// NewLog returns a client of the log at ip:port.
func NewLog(address string) *Log {
	return &Log{caller: newCaller(address)}
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, stream string, payload []byte) (uint64, error) {
	var out AppendAnswer
	err := l.caller.call(ctx, PathAppend, callTimeout, AppendCall{Stream: stream, Payload: payload}, &out)
	return out.Offset, err
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (platform.ReadResult, error) {
	var out platform.ReadResult
	in := ReadCall{Stream: stream, From: from, Limit: limit, Wait: wait}
	err := l.caller.call(ctx, PathRead, callTimeout+wait, in, &out)
	return out, err
}
