package jobentry

import (
	"context"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/uber-go/tally/v4"
	"google.golang.org/protobuf/proto"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/bodylimit"
	"chervilridge/internal/events"
	"chervilridge/internal/limits"
	"chervilridge/internal/operator"
	"chervilridge/internal/operatorconfig"
	"chervilridge/platform"
)

const (
	// defaultDeadline applies to requests without a deadline header.
	defaultDeadline = 3 * time.Second
	// replyMargin is the part of a deadline that is reserved for sending the response.
	replyMargin = 60 * time.Millisecond
	// minDeadline is the least time for processing a request, without replyMargin, and
	// maxDeadline the most.
	minDeadline = 50 * time.Millisecond
	maxDeadline = time.Minute
	// noConfigRetryAfter, noOwnerRetryAfter and bodyRetryAfter are sent to clients as Retry-After.
	noConfigRetryAfter = time.Second
	noOwnerRetryAfter  = time.Second
	bodyRetryAfter     = time.Second
	headerRetryAfter   = "Retry-After"
	// specRecordOverhead is what a stored specification has more than the submitted one, in
	// bytes, at most: the key, lengths and the time of acceptance.
	specRecordOverhead = 64
)

// ClientAPI serves the HTTP API through which clients submit, query and cancel jobs.
type ClientAPI struct {
	operator       *operator.Follower
	router         *Router
	maxRecordBytes int // of the store
	guard          *limits.Guard
	draining       func() bool
	scope          tally.Scope
}

// NewClientAPI returns the API. It rejects jobs whose specification exceeds a record of the
// store. It records the number and the latency of requests by
// method and status. Bodies are read within the guard's limits. While draining returns true, responses ask clients to close their
// connections.
func NewClientAPI(operator *operator.Follower, router *Router, maxRecordBytes int, guard *limits.Guard, draining func() bool, scope tally.Scope) *ClientAPI {
	return &ClientAPI{operator: operator, router: router, maxRecordBytes: maxRecordBytes, guard: guard, draining: draining, scope: scope}
}

// latencyBuckets range from 1 ms to 8 s, which exceeds every client's deadline.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Handler returns the HTTP handler.
func (c *ClientAPI) Handler() http.Handler {
	engine := gin.New()
	engine.HandleMethodNotAllowed = false
	engine.NoRoute(c.handle)
	return engine
}

// response is the response to a client's request. Without a body, the client gets the
// reason as an error.
type response struct {
	status     int
	body       any
	retryAfter time.Duration
	reason     string
}

func (c *ClientAPI) handle(g *gin.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(g.Request.Context(), clientDeadline(g.Request)-replyMargin)
	defer cancel()
	queue, resp := c.matchQueue(g.Request)
	id := ""
	if queue != nil {
		id = strings.TrimPrefix(g.Request.URL.Path, queue.PathPrefix)
		resp = c.route(ctx, g, queue, id)
	}
	if resp.retryAfter > 0 {
		g.Header(headerRetryAfter, strconv.Itoa(int(math.Ceil(resp.retryAfter.Seconds()))))
	}
	if c.draining() {
		g.Header("Connection", "close")
	}
	c.logResponse(g.Request, queue, id, resp, time.Since(began))
	if resp.body == nil {
		resp.body = platform.ErrorBody{Error: resp.reason}
	}
	g.JSON(resp.status, resp.body)
}

func (c *ClientAPI) logResponse(r *http.Request, queue *operatorconfig.Queue, id string, resp response, took time.Duration) {
	c.scope.Tagged(map[string]string{"method": methodLabel(r.Method), "status": strconv.Itoa(resp.status)}).
		Histogram("job_requests", latencyBuckets).RecordDuration(took)
	name := ""
	if queue != nil {
		name = queue.Name
	}
	owner := c.router.elector.Owner()
	events.JobRequestAnswered.Log("job", id, "method", r.Method, "queue", name, "status", resp.status, "reason", resp.reason,
		"tookMs", took.Milliseconds(), "config", c.configVersion(), "epoch", owner.GetEpoch())
}

// methodLabel limits the cardinality of the label, since clients may send any method.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

func (c *ClientAPI) configVersion() int64 {
	if v := c.operator.View(); v != nil && v.Config != nil {
		return v.Config.Version
	}
	return 0
}

// clientDeadline returns how long the client waits for the response.
func clientDeadline(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(platform.HeaderDeadline), 64)
	if err != nil || !(ms > 0) { // NaN is not
		return defaultDeadline
	}
	ms = min(ms, float64(maxDeadline/time.Millisecond))
	return max(time.Duration(ms*float64(time.Millisecond)), minDeadline+replyMargin)
}

// matchQueue returns the queue of a request, or an error response if there is none.
func (c *ClientAPI) matchQueue(r *http.Request) (*operatorconfig.Queue, response) {
	view := c.operator.View()
	if view == nil || view.Config == nil {
		return nil, response{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: noConfigRetryAfter}
	}
	queue := view.Config.Match(r.Host, r.URL.Path)
	if queue == nil {
		return nil, response{status: http.StatusNotFound, reason: "no such queue"}
	}
	return queue, response{}
}

func (c *ClientAPI) route(ctx context.Context, g *gin.Context, queue *operatorconfig.Queue, id string) response {
	r := g.Request
	switch {
	case r.Method == http.MethodGet && id == "":
		return c.countPending(ctx, queue)
	case r.Method != http.MethodGet && r.Method != http.MethodPost && r.Method != http.MethodDelete:
		return response{status: http.StatusMethodNotAllowed, reason: "method not allowed"}
	case r.Method == http.MethodPost:
		return c.submit(ctx, g, queue, id)
	case !platform.ValidJobID(id):
		return response{status: http.StatusBadRequest, reason: "job id must be 16 hexadecimal digits"}
	case r.Method == http.MethodDelete:
		return jobResponse(c.router.Do(ctx, cancelCall(id)), http.MethodDelete)
	}
	return jobResponse(c.router.Do(ctx, lookupCall(id)), http.MethodGet)
}

func (c *ClientAPI) submit(ctx context.Context, g *gin.Context, queue *operatorconfig.Queue, id string) response {
	limit := c.operator.View().Config.Limits.BodyBytes
	deadline, _ := ctx.Deadline() // set by handle
	body, err := c.guard.Bodies().Read(g.Writer, g.Request, limit, deadline)
	if err != nil {
		return bodyRejection(err)
	}
	defer body.Release()
	done, err := c.guard.StartDecoding(ctx, len(body.Bytes))
	if err != nil {
		return bodyRejection(bodylimit.ErrDeadline)
	}
	spec, rejection := newSpec(queue, id, body.Bytes, c.maxRecordBytes)
	done()
	if rejection != nil {
		return *rejection
	}
	return jobResponse(c.router.Do(ctx, submitCall(spec)), http.MethodPost)
}

// newSpec returns the specification of a submitted job, bound to the settings of its queue, or
// the response that rejects it.
func newSpec(queue *operatorconfig.Queue, id string, body []byte, maxRecordBytes int) (*chervilv2.JobSpec, *response) {
	spec, err := platform.DecodeJob(id, queue.Name, body)
	if err != nil {
		return nil, &response{status: http.StatusBadRequest, reason: err.Error()}
	}
	spec.QueueSettings = queue.Settings()
	return spec, checkSpecSize(spec, maxRecordBytes)
}

// checkSpecSize returns the response to a job whose specification exceeds a record of the store,
// or nil.
func checkSpecSize(spec *chervilv2.JobSpec, maxRecordBytes int) *response {
	size := proto.Size(spec) + specRecordOverhead
	if size <= maxRecordBytes {
		return nil
	}
	return &response{
		status: http.StatusRequestEntityTooLarge,
		reason: fmt.Sprintf("the job takes %d bytes in the store, at most %d are allowed", size, maxRecordBytes),
	}
}

// bodyRejection returns the response to a request whose body was not read completely.
func bodyRejection(err error) response {
	switch {
	case errors.Is(err, bodylimit.ErrTooLarge):
		return response{status: http.StatusRequestEntityTooLarge, reason: err.Error()}
	case errors.Is(err, bodylimit.ErrExhausted), errors.Is(err, bodylimit.ErrDeadline):
		return response{status: http.StatusServiceUnavailable, reason: err.Error(), retryAfter: bodyRetryAfter}
	}
	return response{status: http.StatusBadRequest, reason: "cannot read the request body: " + err.Error()}
}

func (c *ClientAPI) countPending(ctx context.Context, queue *operatorconfig.Queue) response {
	pending, ok := c.router.CountPending(ctx, queue.Name)
	if !ok {
		return response{status: http.StatusServiceUnavailable, reason: "no owner of the schedule answers", retryAfter: noOwnerRetryAfter}
	}
	return response{status: http.StatusOK, body: platform.PendingBody{Pending: pending}}
}

// jobResponse converts the outcome of a call to a response. If an earlier try may have
// stored the job, a rejection is reported as an unknown outcome, because the client
// would otherwise take the job as not accepted.
func jobResponse(r Result, method string) response {
	switch {
	case r.Outcome == chervilv2.Outcome_OUTCOME_REJECTED && r.MaybeApplied:
		// An earlier try may still reach the owner and store the job.
	case r.Outcome == chervilv2.Outcome_OUTCOME_OK:
		return response{status: http.StatusOK, body: platform.StateBody{State: platform.JobState(r.Phase)}}
	case r.Outcome == chervilv2.Outcome_OUTCOME_NO_SUCH_JOB:
		return response{status: http.StatusGone, reason: "no such job"}
	case r.Outcome == chervilv2.Outcome_OUTCOME_REJECTED:
		return response{status: http.StatusServiceUnavailable, reason: r.Reason, retryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond}
	}
	if r.MaybeApplied && method != http.MethodGet {
		return response{status: http.StatusGatewayTimeout, reason: "outcome unknown"}
	}
	return response{status: http.StatusServiceUnavailable, reason: "no owner of the schedule answers", retryAfter: noOwnerRetryAfter}
}
