// Package parse converts an HTTP request into a pipeline request.
package parse

import (
	"errors"
	"net/http"
	"strconv"
	"strings"
	"time"

	"chervilridge/internal/bodylimit"
	"chervilridge/internal/fault"
	"chervilridge/internal/ident"
	"chervilridge/internal/request"
)

// Request headers that clients may set.
const (
	HeaderClient     = "X-Chervil-Client"
	HeaderDeadlineMs = "X-Chervil-Deadline-Ms"
	HeaderRepeatable = "X-Chervil-Repeatable"
	HeaderKey        = "Idempotency-Key"
	HeaderRequestID  = "X-Chervil-Request-Id"
)

const (
	maxKeyBytes    = 200
	maxClientBytes = 64
	// AnonymousClient is the name used for a client that sent none.
	AnonymousClient = "anonymous"
)

// Limits bounds the body size and the deadline of a request. DefaultDeadline applies if
// the client sets none; both deadlines count from the call of Parse.
type Limits struct {
	MaxBodyBytes    int64
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// retryAfter is sent to clients whose body was refused, as Retry-After.
const retryAfter = time.Second

// Parse reads the headers and the body of a request for the service, within the budget. A
// client that chooses the request id can query the outcome by it later; otherwise Parse
// generates an id. The caller releases the body once the request is answered.
func Parse(w http.ResponseWriter, h *http.Request, service string, limits Limits, bodies *bodylimit.Budget) (*request.Request, *bodylimit.Body, error) {
	r := &request.Request{
		ID: ident.New(), Service: service, Client: h.Header.Get(HeaderClient),
		Key: h.Header.Get(HeaderKey), Repeatable: true, ContentType: h.Header.Get("Content-Type"),
	}
	if r.Client == "" {
		r.Client = AnonymousClient
	}
	if len(r.Key) > maxKeyBytes || len(r.Client) > maxClientBytes {
		return nil, nil, badRequest("client name or idempotency key is too long")
	}
	if strings.ContainsRune(r.Key, 0) {
		return nil, nil, badRequest("idempotency key contains a NUL byte")
	}
	if err := parseID(h, r); err != nil {
		return nil, nil, err
	}
	if err := parseRepeatable(h, r); err != nil {
		return nil, nil, err
	}
	if err := parseDeadline(h, r, limits); err != nil {
		return nil, nil, err
	}
	body, err := ReadBody(w, h, r.Client, limits.MaxBodyBytes, r.Deadline, bodies)
	if err != nil {
		return nil, nil, err
	}
	r.Body = body.Bytes
	return r, body, nil
}

func parseID(h *http.Request, r *request.Request) error {
	id := h.Header.Get(HeaderRequestID)
	if id == "" {
		return nil
	}
	if !ident.Valid(id) {
		return badRequest(HeaderRequestID + " is not a ULID")
	}
	r.ID, r.IDFromClient = id, true
	return nil
}

func parseRepeatable(h *http.Request, r *request.Request) error {
	raw := h.Header.Get(HeaderRepeatable)
	if raw == "" {
		return nil
	}
	b, err := strconv.ParseBool(raw)
	if err != nil {
		return badRequest(HeaderRepeatable + " is not true or false")
	}
	r.Repeatable = b
	return nil
}

func parseDeadline(h *http.Request, r *request.Request, limits Limits) error {
	d := limits.DefaultDeadline
	if raw := h.Header.Get(HeaderDeadlineMs); raw != "" {
		ms, err := strconv.ParseInt(raw, 10, 64)
		if err != nil || ms < 1 || ms > limits.MaxDeadline.Milliseconds() {
			return badRequest(HeaderDeadlineMs + " is not a number of milliseconds between 1 and " + strconv.FormatInt(limits.MaxDeadline.Milliseconds(), 10))
		}
		d = time.Duration(ms) * time.Millisecond
	}
	r.Deadline = time.Now().Add(d)
	return nil
}

// ReadBody reads the body of a client's request within the budget, until the deadline. Errors say that
// the request has not run.
func ReadBody(w http.ResponseWriter, h *http.Request, client string, limit int64, deadline time.Time, bodies *bodylimit.Budget) (*bodylimit.Body, error) {
	body, err := bodies.Read(w, h, limit, deadline)
	switch {
	case err == nil:
		return body, nil
	case errors.Is(err, bodylimit.ErrTooLarge):
		return nil, fault.Newf(fault.CodeTooLarge, fault.StepParse, client, "body is larger than %d bytes", limit)
	case errors.Is(err, bodylimit.ErrExhausted):
		e := fault.New(fault.CodeOverloaded, fault.StepParse, client, "bodies of all clients take the memory for bodies of this entry")
		e.RetryAfter = retryAfter
		return nil, e
	case errors.Is(err, bodylimit.ErrDeadline):
		e := fault.New(fault.CodeTooLate, fault.StepParse, client, "body was not complete by the deadline")
		e.RetryAfter = retryAfter
		return nil, e
	}
	return nil, fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, client, "request body could not be read")
}

func badRequest(message string) error {
	return fault.New(fault.CodeBadRequest, fault.StepParse, "", message)
}
