// Package parse converts an HTTP request into a pipeline request.
package parse

import (
	"errors"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

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

// Parse reads the headers and the body of a request for the service. A client that
// chooses the request id can query the outcome by it later; otherwise Parse
// generates an id.
func Parse(h *http.Request, service string, limits Limits) (*request.Request, error) {
	r := &request.Request{
		ID: ident.New(), Service: service, Client: h.Header.Get(HeaderClient),
		Key: h.Header.Get(HeaderKey), Repeatable: true, ContentType: h.Header.Get("Content-Type"),
	}
	if r.Client == "" {
		r.Client = AnonymousClient
	}
	if len(r.Key) > maxKeyBytes || len(r.Client) > maxClientBytes {
		return nil, badRequest("client name or idempotency key is too long")
	}
	if strings.ContainsRune(r.Key, 0) {
		return nil, badRequest("idempotency key contains a NUL byte")
	}
	if err := parseID(h, r); err != nil {
		return nil, err
	}
	if err := parseRepeatable(h, r); err != nil {
		return nil, err
	}
	if err := parseDeadline(h, r, limits); err != nil {
		return nil, err
	}
	return r, readBody(h, r, limits.MaxBodyBytes)
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

func readBody(h *http.Request, r *request.Request, limit int64) error {
	body, err := io.ReadAll(http.MaxBytesReader(nil, h.Body, limit))
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return fault.Newf(fault.CodeTooLarge, fault.StepParse, r.Client, "body is larger than %d bytes", limit)
	}
	if err != nil {
		return fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, r.Client, "request body could not be read")
	}
	r.Body = body
	return nil
}

func badRequest(message string) error {
	return fault.New(fault.CodeBadRequest, fault.StepParse, "", message)
}
