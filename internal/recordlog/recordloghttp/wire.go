// Package recordloghttp is a client of the log service over HTTP with JSON bodies, and the
// message types that it shares with the stand-in log server.
package recordloghttp

import (
	"time"

	"chervilridge/internal/recordlog"
)

// Paths of the log service.
const (
	PathAppend = "/log/append"
	PathRead   = "/log/read"
)

// ErrorName is the name of an error of package recordlog in an ErrorBody.
type ErrorName string

// Names of the errors of package recordlog.
const (
	NameUnavailable    ErrorName = "unavailable"
	NameUnknownOutcome ErrorName = "unknown_outcome"
	NameTrimmed        ErrorName = "trimmed"
)

// ErrorsByName maps names to the errors of package recordlog.
var ErrorsByName = map[ErrorName]error{
	NameUnavailable:    recordlog.ErrUnavailable,
	NameUnknownOutcome: recordlog.ErrUnknownOutcome,
	NameTrimmed:        recordlog.ErrTrimmed,
}

// ErrorBody is the body of a failed call.
type ErrorBody struct {
	Error ErrorName `json:"error"`
}

// AppendRequest is the request body of PathAppend.
type AppendRequest struct {
	Stream  string `json:"stream"`
	Payload []byte `json:"payload"`
}

// AppendResponse is the response body of PathAppend.
type AppendResponse struct {
	Offset uint64 `json:"offset"`
}

// ReadRequest is the request body of PathRead; the response body is a recordlog.ReadResult.
type ReadRequest struct {
	Stream string        `json:"stream"`
	From   uint64        `json:"from"`
	Limit  int           `json:"limit"`
	Wait   time.Duration `json:"wait_ns"`
}
