package entrynode

import (
	"context"
	"errors"
	"io"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/gin-gonic/gin"
	"github.com/uber-go/tally/v4"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/catalog"
	"chervilridge/internal/events"
	"chervilridge/internal/operator"
	"chervilridge/platform"
)

const (
	// defaultDeadline holds for clients that name none.
	defaultDeadline = 3 * time.Second
	// replyMargin is kept for the answer's way back to the client.
	replyMargin = 60 * time.Millisecond
	minDeadline = 50 * time.Millisecond
	// noConfigRetryAfter and noOwnerRetryAfter are what a client is told to wait.
	noConfigRetryAfter = time.Second
	noOwnerRetryAfter  = time.Second
	headerRetryAfter   = "Retry-After"
)

// Clients answers the clients' requests for jobs.
type Clients struct {
	operator *operator.Follower
	router   *Router
	leaving  func() bool
	scope    tally.Scope
}

// NewClients returns the handler of clients' requests; it records their number and
// latency by method and status.
func NewClients(operator *operator.Follower, router *Router, leaving func() bool, scope tally.Scope) *Clients {
	return &Clients{operator: operator, router: router, leaving: leaving, scope: scope}
}

// latencyBuckets reach from 1 ms to 8 s, beyond every client's deadline.
var latencyBuckets = tally.MustMakeExponentialDurationBuckets(time.Millisecond, 2, 14)

// Handler returns the HTTP handler.
func (c *Clients) Handler() http.Handler {
	engine := gin.New()
	engine.HandleMethodNotAllowed = false
	engine.NoRoute(c.serve)
	return engine
}

// answer is the outcome of a request.
type answer struct {
	status     int
	body       any
	retryAfter time.Duration
	reason     string
}

func (c *Clients) serve(g *gin.Context) {
	began := time.Now()
	ctx, cancel := context.WithTimeout(g.Request.Context(), deadline(g.Request)-replyMargin)
	defer cancel()
	queue, a := c.match(g.Request)
	id := ""
	if queue != nil {
		id = strings.TrimPrefix(g.Request.URL.Path, queue.PathPrefix)
		a = c.dispatch(ctx, g.Request, queue, id)
	}
	if a.retryAfter > 0 {
		g.Header(headerRetryAfter, strconv.Itoa(int(math.Ceil(a.retryAfter.Seconds()))))
	}
	if c.leaving() {
		g.Header("Connection", "close")
	}
	c.log(g.Request, queue, id, a, time.Since(began))
	if a.body == nil {
		a.body = platform.ErrorBody{Error: a.reason}
	}
	g.JSON(a.status, a.body)
}

func (c *Clients) log(r *http.Request, queue *catalog.Queue, id string, a answer, took time.Duration) {
	c.scope.Tagged(map[string]string{"method": methodLabel(r.Method), "status": strconv.Itoa(a.status)}).
		Histogram("job_requests", latencyBuckets).RecordDuration(took)
	name := ""
	if queue != nil {
		name = queue.Name
	}
	owner := c.router.elector.Owner()
	events.JobAnswered.Log("job", id, "method", r.Method, "queue", name, "status", a.status, "reason", a.reason,
		"tookMs", took.Milliseconds(), "config", c.version(), "epoch", owner.GetEpoch())
}

// methodLabel bounds the values of the label: clients may send any word.
func methodLabel(method string) string {
	switch method {
	case http.MethodGet, http.MethodPost, http.MethodDelete:
		return method
	}
	return "other"
}

func (c *Clients) version() int64 {
	if v := c.operator.View(); v != nil && v.Config != nil {
		return v.Config.Version
	}
	return 0
}

func deadline(r *http.Request) time.Duration {
	ms, err := strconv.ParseFloat(r.Header.Get(platform.HeaderDeadline), 64)
	if err != nil || ms <= 0 {
		return defaultDeadline
	}
	return max(time.Duration(ms*float64(time.Millisecond)), minDeadline+replyMargin)
}

// match returns the queue of a request, or the answer if there is none.
func (c *Clients) match(r *http.Request) (*catalog.Queue, answer) {
	view := c.operator.View()
	if view == nil || view.Config == nil {
		return nil, answer{status: http.StatusServiceUnavailable, reason: "no configuration yet", retryAfter: noConfigRetryAfter}
	}
	queue := view.Config.Match(r.Host, r.URL.Path)
	if queue == nil {
		return nil, answer{status: http.StatusNotFound, reason: "no such queue"}
	}
	return queue, answer{}
}

func (c *Clients) dispatch(ctx context.Context, r *http.Request, queue *catalog.Queue, id string) answer {
	switch {
	case r.Method == http.MethodGet && id == "":
		return c.count(ctx, queue)
	case r.Method != http.MethodGet && r.Method != http.MethodPost && r.Method != http.MethodDelete:
		return answer{status: http.StatusMethodNotAllowed, reason: "method not allowed"}
	case r.Method == http.MethodPost:
		return c.submit(ctx, r, queue, id)
	case !platform.ValidJobID(id):
		return answer{status: http.StatusBadRequest, reason: "job id must be 16 hexadecimal digits"}
	case r.Method == http.MethodDelete:
		return finished(c.router.Do(ctx, cancelCall(id)), http.MethodDelete)
	}
	return finished(c.router.Do(ctx, lookupCall(id)), http.MethodGet)
}

func (c *Clients) submit(ctx context.Context, r *http.Request, queue *catalog.Queue, id string) answer {
	limit := c.operator.View().Config.Limits.BodyBytes
	body, err := readBody(r, limit)
	if err != nil {
		return *err
	}
	spec, decodeErr := platform.DecodeJob(id, queue.Name, body)
	if decodeErr != nil {
		return answer{status: http.StatusBadRequest, reason: decodeErr.Error()}
	}
	return finished(c.router.Do(ctx, submitCall(spec)), http.MethodPost)
}

func readBody(r *http.Request, limit int64) ([]byte, *answer) {
	reader := io.Reader(r.Body)
	if limit > 0 {
		reader = io.LimitReader(r.Body, limit+1)
	}
	body, err := io.ReadAll(reader)
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge) || (limit > 0 && int64(len(body)) > limit):
		return nil, &answer{status: http.StatusRequestEntityTooLarge, reason: "body too large"}
	case err != nil:
		return nil, &answer{status: http.StatusBadRequest, reason: "cannot read the body: " + err.Error()}
	}
	return body, nil
}

func (c *Clients) count(ctx context.Context, queue *catalog.Queue) answer {
	pending, ok := c.router.Count(ctx, queue.Name)
	if !ok {
		return answer{status: http.StatusServiceUnavailable, reason: "no owner of the schedule answers", retryAfter: noOwnerRetryAfter}
	}
	return answer{status: http.StatusOK, body: platform.PendingBody{Pending: pending}}
}

// finished translates the outcome of a call. A job that may be stored is never
// answered as rejected.
func finished(r Result, method string) answer {
	switch {
	case r.Outcome == chervilv2.Outcome_OUTCOME_REJECTED && r.MaybeDone:
		// An earlier try may still arrive and be stored.
	case r.Outcome == chervilv2.Outcome_OUTCOME_OK:
		return answer{status: http.StatusOK, body: platform.StateBody{State: platform.JobState(r.Phase)}}
	case r.Outcome == chervilv2.Outcome_OUTCOME_NO_SUCH_JOB:
		return answer{status: http.StatusGone, reason: "no such job"}
	case r.Outcome == chervilv2.Outcome_OUTCOME_REJECTED:
		return answer{status: http.StatusServiceUnavailable, reason: r.Reason, retryAfter: time.Duration(r.RetryAfterMs) * time.Millisecond}
	}
	if r.MaybeDone && method != http.MethodGet {
		return answer{status: http.StatusGatewayTimeout, reason: "outcome unknown"}
	}
	return answer{status: http.StatusServiceUnavailable, reason: "no owner of the schedule answers", retryAfter: noOwnerRetryAfter}
}
