// Package parse turns an HTTP request into a request of the pipeline.
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

// Headers that clients send.
const (
	HeaderClient     = "X-Chervil-Client"
	HeaderDeadlineMs = "X-Chervil-Deadline-Ms"
	HeaderRepeatable = "X-Chervil-Repeatable"
	HeaderKey        = "Idempotency-Key"
	HeaderRequestID  = "X-Chervil-Request-Id"
)

const (
	maxKeyLength    = 200
	maxClientLength = 64
	// AnonymousClient stands for a client that sent no name.
	AnonymousClient = "anonymous"
)

// Limits bound what a client may ask for.
type Limits struct {
	MaxBodyBytes    int64
	DefaultDeadline time.Duration
	MaxDeadline     time.Duration
}

// Parse reads a request for the service. A client's own request id lets it ask
// again for an outcome; without one the entry makes it.
func Parse(h *http.Request, service string, limits Limits) (*request.Request, error) {
	r := &request.Request{
		ID: ident.New(), Service: service, Client: h.Header.Get(HeaderClient),
		Key: h.Header.Get(HeaderKey), Repeatable: true, ContentType: h.Header.Get("Content-Type"),
	}
	if r.Client == "" {
		r.Client = AnonymousClient
	}
	if len(r.Key) > maxKeyLength || len(r.Client) > maxClientLength {
		return nil, bad("client name or idempotency key is too long")
	}
	if strings.ContainsRune(r.Key, 0) {
		return nil, bad("idempotency key holds a NUL")
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
		return bad(HeaderRequestID + " is not a ULID")
	}
	r.ID, r.OwnID = id, true
	return nil
}

func parseRepeatable(h *http.Request, r *request.Request) error {
	raw := h.Header.Get(HeaderRepeatable)
	if raw == "" {
		return nil
	}
	b, err := strconv.ParseBool(raw)
	if err != nil {
		return bad(HeaderRepeatable + " is not true or false")
	}
	r.Repeatable = b
	return nil
}

func parseDeadline(h *http.Request, r *request.Request, limits Limits) error {
	d := limits.DefaultDeadline
	if raw := h.Header.Get(HeaderDeadlineMs); raw != "" {
		ms, err := strconv.ParseInt(raw, 10, 64)
		if err != nil || ms < 1 || ms > limits.MaxDeadline.Milliseconds() {
			return bad(HeaderDeadlineMs + " is not between 1 and " + strconv.FormatInt(limits.MaxDeadline.Milliseconds(), 10))
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
		return fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, r.Client, "body was cut")
	}
	r.Body = body
	return nil
}

func bad(message string) error {
	return fault.New(fault.CodeBadRequest, fault.StepParse, "", message)
}
