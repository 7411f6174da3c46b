// Package runner serves the entries: it runs requests on the endpoint beside
// the agent, each at most once, and tells what became of them.
package runner

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/agent/admission"
	"chervilridge/internal/agent/execution"
	"chervilridge/internal/events"
	"chervilridge/internal/peer"
)

// HeaderRequestID carries the request id to the endpoint.
const HeaderRequestID = "X-Chervil-Request-Id"

const maxResolveWait = 30 * time.Second

// Options describe the endpoint.
type Options struct {
	Agent       string
	Incarnation string
	Service     string
	// Endpoint is the ip:port of the endpoint.
	Endpoint    string
	Connections int
}

// Observer is told the latency of each answer of the endpoint.
type Observer interface {
	Observe(latency time.Duration)
}

// Runner implements the Runner service.
type Runner struct {
	pb.UnimplementedRunnerServer

	options  Options
	gate     *admission.Gate
	store    *execution.Store
	observer Observer
	http     *http.Client
	leaving  atomic.Bool
	inFlight sync.WaitGroup
}

// New returns a runner in front of one endpoint.
func New(options Options, gate *admission.Gate, store *execution.Store, observer Observer) *Runner {
	transport := &http.Transport{
		MaxConnsPerHost:     options.Connections,
		MaxIdleConnsPerHost: options.Connections,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	return &Runner{options: options, gate: gate, store: store, observer: observer, http: &http.Client{Transport: transport}}
}

// Execute implements the Runner service.
func (r *Runner) Execute(ctx context.Context, req *pb.ExecuteRequest) (*pb.ExecuteReply, error) {
	if req.Incarnation != r.options.Incarnation {
		return r.refuse(req, pb.Refusal_REFUSAL_WRONG_INCARNATION, "meant for another incarnation of the agent"), nil
	}
	if !r.store.Begin(req.RequestId) {
		return r.store.Resolve(ctx, req.RequestId, time.Duration(req.RemainingMs)*time.Millisecond), nil
	}
	r.inFlight.Add(1)
	defer r.inFlight.Done()
	reply := r.run(req)
	reply.Running, reply.Queued = r.load()
	r.store.Settle(req.RequestId, reply)
	return reply, nil
}

// run does not depend on the caller's context: what was begun is finished, and
// its answer kept, also when the entry has gone.
func (r *Runner) run(req *pb.ExecuteRequest) *pb.ExecuteReply {
	if req.Service != r.options.Service {
		return r.refuse(req, pb.Refusal_REFUSAL_WRONG_SERVICE, "agent serves "+r.options.Service)
	}
	deadline := time.Now().Add(time.Duration(req.RemainingMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	release, refusal := r.gate.Acquire(ctx, admission.Ask{
		Client: req.Client, Weight: req.Weight, ClientLimit: req.ClientLimit, Deadline: deadline,
	})
	if refusal != pb.Refusal_REFUSAL_UNSPECIFIED {
		return r.refuse(req, refusal, "no slot in time")
	}
	defer release()
	return r.call(ctx, req)
}

// call sends the request to the endpoint and takes the whole answer.
func (r *Runner) call(ctx context.Context, req *pb.ExecuteRequest) *pb.ExecuteReply {
	began := time.Now()
	reply := &pb.ExecuteReply{RequestId: req.RequestId}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.options.Endpoint+"/run", bytes.NewReader(req.Body))
	if err != nil {
		return r.refuse(req, pb.Refusal_REFUSAL_ENDPOINT_DOWN, err.Error())
	}
	h.Header.Set("Content-Type", req.ContentType)
	h.Header.Set(HeaderRequestID, req.RequestId)
	h.GetBody = nil // the transport must not send the request a second time
	res, err := r.http.Do(h)
	if err != nil {
		return r.failed(req, err)
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(io.LimitReader(res.Body, peer.MaxMessageBytes))
	if err != nil {
		return r.failed(req, err)
	}
	reply.Outcome = pb.Outcome_OUTCOME_DONE
	reply.Status = uint32(res.StatusCode)
	reply.Body = body
	reply.ContentType = res.Header.Get("Content-Type")
	reply.Length = uint64(len(body))
	reply.Digest = xxhash.Sum64(body)
	took := time.Since(began)
	r.observer.Observe(took)
	events.RequestExecuted.Log("request", req.RequestId, "client", req.Client, "status", res.StatusCode, "took", took)
	return reply
}

// failed tells a connection that was never made, so that nothing ran, from a
// call that may have run.
func (r *Runner) failed(req *pb.ExecuteRequest, err error) *pb.ExecuteReply {
	if isDialError(err) {
		return r.refuse(req, pb.Refusal_REFUSAL_ENDPOINT_DOWN, err.Error())
	}
	events.RequestUnresolved.LogError(err, "request", req.RequestId, "peer", r.options.Endpoint)
	return &pb.ExecuteReply{RequestId: req.RequestId, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Detail: err.Error()}
}

func (r *Runner) refuse(req *pb.ExecuteRequest, refusal pb.Refusal, detail string) *pb.ExecuteReply {
	events.RequestRejected.Log("request", req.RequestId, "client", req.Client, "refusal", refusal.String(), "detail", detail)
	return &pb.ExecuteReply{RequestId: req.RequestId, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Refusal: refusal, Detail: detail}
}

// Resolve implements the Runner service.
func (r *Runner) Resolve(ctx context.Context, req *pb.ResolveRequest) (*pb.ExecuteReply, error) {
	if req.Incarnation != r.options.Incarnation {
		return &pb.ExecuteReply{
			RequestId: req.RequestId, Outcome: pb.Outcome_OUTCOME_UNKNOWN,
			Detail: "the agent was restarted and does not know what ran before",
		}, nil
	}
	wait := min(time.Duration(req.WaitMs)*time.Millisecond, maxResolveWait)
	return r.store.Resolve(ctx, req.RequestId, wait), nil
}

// BeginLeave refuses new requests from now on.
func (r *Runner) BeginLeave() {
	r.leaving.Store(true)
	r.gate.Leave()
}

// FinishLeave waits until the requests in flight are answered.
func (r *Runner) FinishLeave(ctx context.Context) error {
	done := make(chan struct{})
	go func() {
		r.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// Leaving reports whether the agent refuses new requests.
func (r *Runner) Leaving() bool { return r.leaving.Load() }

func (r *Runner) load() (running, queued uint32) {
	a, b := r.gate.Load()
	return uint32(a), uint32(b)
}
