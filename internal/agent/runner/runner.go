// Package runner implements the agent's Runner service: it runs requests on the endpoint
// beside the agent, each at most once, and reports their outcomes.
package runner

import (
	"context"
	"fmt"
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
)

// HeaderRequestID carries the request id to the endpoint.
const HeaderRequestID = "X-Chervil-Request-Id"

const (
	// maxResolveWait limits how long Resolve waits for a running request.
	maxResolveWait = 30 * time.Second
	// maxOverrun is how long a request that must not be repeated may run past its deadline.
	maxOverrun = 20 * time.Second
	// endpointIdleTimeout closes idle connections earlier than endpoints usually do, so that
	// a request is rarely written to a connection that the endpoint is closing.
	endpointIdleTimeout = 2 * time.Second
)

// Options describe the agent and its endpoint.
type Options struct {
	Agent       string
	Incarnation string
	Service     string
	// Endpoint is the ip:port of the endpoint.
	Endpoint    string
	Connections int
}

// Observer receives the latency of each answer of the endpoint.
type Observer interface {
	Observe(latency time.Duration)
}

// Runner implements the Runner service for one endpoint.
type Runner struct {
	pb.UnimplementedRunnerServer

	options    Options
	gate       *admission.Gate
	store      *execution.Store
	observer   Observer
	httpClient *http.Client
	leaving    atomic.Bool
	inFlight   sync.WaitGroup
}

// New returns a runner for the endpoint in options.
func New(options Options, gate *admission.Gate, store *execution.Store, observer Observer) *Runner {
	transport := &http.Transport{
		MaxConnsPerHost:     options.Connections,
		MaxIdleConnsPerHost: options.Connections,
		IdleConnTimeout:     endpointIdleTimeout,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	client := &http.Client{
		Transport: transport,
		// A redirect is returned as the endpoint's answer; following it would be a second call.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Runner{options: options, gate: gate, store: store, observer: observer, httpClient: client}
}

// Execute implements the Runner service. It runs a request with a new id. For a duplicate it
// waits for the outcome of the first, and an id that another request used is rejected.
func (r *Runner) Execute(ctx context.Context, req *pb.ExecuteRequest) (*pb.ExecuteReply, error) {
	if req.Incarnation != r.options.Incarnation {
		return r.reject(req, pb.Refusal_REFUSAL_WRONG_INCARNATION, "request is for another incarnation of the agent"), nil
	}
	r.inFlight.Add(1)
	defer r.inFlight.Done()
	switch r.store.Begin(req.RequestId, execution.RequestInfo{Digest: requestDigest(req), Repeatable: req.Repeatable}) {
	case execution.IDConflict:
		events.RequestIDReused.Log("request", req.RequestId, "client", req.Client)
		return r.reject(req, pb.Refusal_REFUSAL_ID_REUSED, "request id was used by another request"), nil
	case execution.Duplicate:
		wait := time.Duration(req.RemainingMs) * time.Millisecond
		return r.store.Resolve(ctx, execution.Query{ID: req.RequestId, Wait: wait}), nil
	}
	return r.runAndSettle(req), nil
}

// requestDigest returns a digest of the fields that identify a request: client, service,
// content type and body. It is never 0.
func requestDigest(req *pb.ExecuteRequest) uint64 {
	d := xxhash.New()
	for _, part := range []string{req.Client, req.Service, req.ContentType} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Body)
	return max(d.Sum64(), 1)
}

// runAndSettle runs the request and settles it even if that panics: duplicates of a request
// that is never settled would wait for it until their deadline.
func (r *Runner) runAndSettle(req *pb.ExecuteRequest) (reply *pb.ExecuteReply) {
	defer func() {
		if p := recover(); p != nil {
			events.RequestPanicked.Log("request", req.RequestId, "panic", fmt.Sprint(p))
			reply = unknownReply(req, "agent panicked while the request ran")
		}
		reply.Running, reply.Queued = r.load()
		r.store.Settle(req.RequestId, reply)
	}()
	return r.run(req)
}

// run waits for a slot and calls the endpoint. It doesn't use the caller's context: a request
// that was started is completed and its answer kept, even if the entry disconnects.
func (r *Runner) run(req *pb.ExecuteRequest) *pb.ExecuteReply {
	if req.Service != r.options.Service {
		return r.reject(req, pb.Refusal_REFUSAL_WRONG_SERVICE, "agent serves "+r.options.Service)
	}
	deadline := time.Now().Add(time.Duration(req.RemainingMs) * time.Millisecond)
	ctx, cancel := context.WithDeadline(context.Background(), deadline)
	defer cancel()
	release, refusal := r.gate.Acquire(ctx, admission.Request{
		Client: req.Client, Weight: req.Weight, ClientLimit: req.ClientLimit, Deadline: deadline,
	})
	if refusal != pb.Refusal_REFUSAL_UNSPECIFIED {
		return r.reject(req, refusal, "agent granted no slot")
	}
	defer release()
	if req.Repeatable {
		return r.callEndpoint(ctx, req)
	}
	return r.callPastDeadline(req, deadline)
}

// callPastDeadline lets the call continue for up to maxOverrun past the deadline, so that the
// outcome of a request that must not be repeated becomes known. It keeps its slot meanwhile.
func (r *Runner) callPastDeadline(req *pb.ExecuteRequest, deadline time.Time) *pb.ExecuteReply {
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(maxOverrun))
	defer cancel()
	overrunTimer := time.AfterFunc(time.Until(deadline), func() {
		events.RequestOverran.Log("request", req.RequestId, "client", req.Client, "peer", r.options.Endpoint)
	})
	defer overrunTimer.Stop()
	return r.callEndpoint(ctx, req)
}

// reject logs the rejection and returns a reply that the request did not run.
func (r *Runner) reject(req *pb.ExecuteRequest, refusal pb.Refusal, detail string) *pb.ExecuteReply {
	events.RequestRejected.Log("request", req.RequestId, "client", req.Client, "refusal", refusal.String(), "detail", detail)
	return &pb.ExecuteReply{RequestId: req.RequestId, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Refusal: refusal, Detail: detail}
}

// Resolve implements the Runner service. Without an incarnation it only peeks: an earlier
// incarnation may have run a request that this one has never seen.
func (r *Runner) Resolve(ctx context.Context, req *pb.ResolveRequest) (*pb.ExecuteReply, error) {
	if req.Incarnation != "" && req.Incarnation != r.options.Incarnation {
		return &pb.ExecuteReply{
			RequestId: req.RequestId, Outcome: pb.Outcome_OUTCOME_UNKNOWN,
			Detail: "agent was restarted; outcomes of its earlier incarnation are not known",
		}, nil
	}
	return r.store.Resolve(ctx, execution.Query{
		ID: req.RequestId, Peek: req.Peek || req.Incarnation == "",
		Wait: min(time.Duration(req.WaitMs)*time.Millisecond, maxResolveWait),
		Age:  time.Duration(req.AgeMs) * time.Millisecond,
		Once: req.Once,
	}), nil
}

// StopAdmitting rejects all new requests from now on.
func (r *Runner) StopAdmitting() {
	r.leaving.Store(true)
	r.gate.StopAdmitting()
}

// WaitForInFlight waits until the requests in flight are answered, or returns the error of
// the context.
func (r *Runner) WaitForInFlight(ctx context.Context) error {
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

// Leaving reports whether the agent rejects new requests because it is shutting down.
func (r *Runner) Leaving() bool { return r.leaving.Load() }

func (r *Runner) load() (running, queued uint32) {
	a, b := r.gate.Load()
	return uint32(a), uint32(b)
}
