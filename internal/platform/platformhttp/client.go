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

// Worker implements platform.Worker over HTTP.
type Worker struct {
	caller *caller
	name   string
}

// NewWorker returns a client of the named worker at ip:port.
func NewWorker(address, name string) *Worker {
	return &Worker{caller: newCaller(address), name: name}
}

func (w *Worker) call(ctx context.Context, path string, in WorkerCall) (WorkerAnswer, error) {
	in.Worker = w.name
	var out WorkerAnswer
	err := w.caller.call(ctx, path, callTimeout, in, &out)
	return out, err
}

// Describe implements platform.Worker.
func (w *Worker) Describe(ctx context.Context) (platform.WorkerInfo, error) {
	out, err := w.call(ctx, PathDescribe, WorkerCall{})
	if err != nil || out.Info == nil {
		return platform.WorkerInfo{}, orUnknown(err)
	}
	return *out.Info, nil
}

// Start implements platform.Worker.
func (w *Worker) Start(ctx context.Context, spec platform.StartSpec) error {
	_, err := w.call(ctx, PathStart, WorkerCall{Spec: &spec})
	return err
}

// Renew implements platform.Worker.
func (w *Worker) Renew(ctx context.Context, key platform.TaskKey, lease time.Duration) error {
	_, err := w.call(ctx, PathRenew, WorkerCall{Key: key, Lease: lease})
	return err
}

// Throttle implements platform.Worker.
func (w *Worker) Throttle(ctx context.Context, key platform.TaskKey, shareMilli uint32) error {
	_, err := w.call(ctx, PathThrottle, WorkerCall{Key: key, ShareMilli: shareMilli})
	return err
}

// Checkpoint implements platform.Worker.
func (w *Worker) Checkpoint(ctx context.Context, key platform.TaskKey) ([]byte, error) {
	out, err := w.call(ctx, PathCheckpoint, WorkerCall{Key: key})
	return out.Checkpoint, err
}

// Stop implements platform.Worker.
func (w *Worker) Stop(ctx context.Context, key platform.TaskKey) (platform.TaskStatus, error) {
	out, err := w.call(ctx, PathStop, WorkerCall{Key: key})
	if err != nil || out.Status == nil {
		return platform.TaskStatus{}, orUnknown(err)
	}
	return *out.Status, nil
}

// List implements platform.Worker.
func (w *Worker) List(ctx context.Context) ([]platform.TaskStatus, error) {
	out, err := w.call(ctx, PathList, WorkerCall{})
	return out.List, err
}

// Forget implements platform.Worker.
func (w *Worker) Forget(ctx context.Context, key platform.TaskKey) error {
	_, err := w.call(ctx, PathForget, WorkerCall{Key: key})
	return err
}

// Usage implements platform.Worker.
func (w *Worker) Usage(ctx context.Context) (platform.Usage, error) {
	out, err := w.call(ctx, PathUsage, WorkerCall{})
	if err != nil || out.Usage == nil {
		return platform.Usage{}, orUnknown(err)
	}
	return *out.Usage, nil
}

func orUnknown(err error) error {
	if err != nil {
		return err
	}
	return platform.ErrUnknownOutcome
}
