// Package runner serves the entries: it runs requests on the endpoint beside
// the agent, each at most once, and tells what became of them.
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
	maxResolveWait = 30 * time.Second
	// maxOverrun is how long past its deadline a request that must not be
	// repeated may run on.
	maxOverrun = 20 * time.Second
	// endpointIdle closes idle connections before endpoints commonly do, so that
	// a request is seldom written into one that is being closed.
	endpointIdle = 2 * time.Second
)

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
		IdleConnTimeout:     endpointIdle,
		DisableCompression:  true,
		DialContext:         (&net.Dialer{Timeout: time.Second}).DialContext,
	}
	client := &http.Client{
		Transport: transport,
		// A redirect is the endpoint's answer: to follow it is a second call.
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}
	return &Runner{options: options, gate: gate, store: store, observer: observer, http: client}
}

// Execute implements the Runner service.
func (r *Runner) Execute(ctx context.Context, req *pb.ExecuteRequest) (*pb.ExecuteReply, error) {
	if req.Incarnation != r.options.Incarnation {
		return r.refuse(req, pb.Refusal_REFUSAL_WRONG_INCARNATION, "meant for another incarnation of the agent"), nil
	}
	r.inFlight.Add(1)
	defer r.inFlight.Done()
	switch r.store.Begin(req.RequestId, execution.Mark{Owner: owner(req), Repeatable: req.Repeatable}) {
	case execution.Reused:
		events.RequestIDReused.Log("request", req.RequestId, "client", req.Client)
		return r.refuse(req, pb.Refusal_REFUSAL_ID_REUSED, "another request had the id"), nil
	case execution.Known:
		wait := time.Duration(req.RemainingMs) * time.Millisecond
		return r.store.Resolve(ctx, execution.Question{ID: req.RequestId, Wait: wait}), nil
	}
	return r.runAndSettle(req), nil
}

// owner returns a digest of what makes two requests the same.
func owner(req *pb.ExecuteRequest) uint64 {
	d := xxhash.New()
	for _, part := range []string{req.Client, req.Service, req.ContentType} {
		_, _ = d.WriteString(part)
		_, _ = d.Write([]byte{0})
	}
	_, _ = d.Write(req.Body)
	return max(d.Sum64(), 1)
}

// runAndSettle settles the request whatever happens while it runs: a request
// that is never settled would be waited for until its deadline.
func (r *Runner) runAndSettle(req *pb.ExecuteRequest) (reply *pb.ExecuteReply) {
	defer func() {
		if p := recover(); p != nil {
			events.CallPanicked.Log("request", req.RequestId, "panic", fmt.Sprint(p))
			reply = unknown(req, "agent failed while the request ran")
		}
		reply.Running, reply.Queued = r.load()
		r.store.Settle(req.RequestId, reply)
	}()
	return r.run(req)
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
	if req.Repeatable {
		return r.call(ctx, req)
	}
	return r.callToTheEnd(req, deadline)
}

// callToTheEnd goes on past the deadline, so that the outcome of a request that
// must not be repeated becomes known; its slot stays taken meanwhile.
func (r *Runner) callToTheEnd(req *pb.ExecuteRequest, deadline time.Time) *pb.ExecuteReply {
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(maxOverrun))
	defer cancel()
	late := time.AfterFunc(time.Until(deadline), func() {
		events.OverrunEndpointRun.Log("request", req.RequestId, "client", req.Client, "peer", r.options.Endpoint)
	})
	defer late.Stop()
	return r.call(ctx, req)
}

func (r *Runner) refuse(req *pb.ExecuteRequest, refusal pb.Refusal, detail string) *pb.ExecuteReply {
	events.RequestRejected.Log("request", req.RequestId, "client", req.Client, "refusal", refusal.String(), "detail", detail)
	return &pb.ExecuteReply{RequestId: req.RequestId, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Refusal: refusal, Detail: detail}
}

// Resolve implements the Runner service. Without an incarnation it only looks:
// an earlier incarnation may have run what this one has never seen.
func (r *Runner) Resolve(ctx context.Context, req *pb.ResolveRequest) (*pb.ExecuteReply, error) {
	if req.Incarnation != "" && req.Incarnation != r.options.Incarnation {
		return &pb.ExecuteReply{
			RequestId: req.RequestId, Outcome: pb.Outcome_OUTCOME_UNKNOWN,
			Detail: "the agent was restarted and does not know what ran before",
		}, nil
	}
	return r.store.Resolve(ctx, execution.Question{
		ID: req.RequestId, Peek: req.Peek || req.Incarnation == "",
		Wait: min(time.Duration(req.WaitMs)*time.Millisecond, maxResolveWait),
		Age:  time.Duration(req.AgeMs) * time.Millisecond,
		Once: req.Once,
	}), nil
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
