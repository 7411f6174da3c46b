// Package platformhttp reaches the log over HTTP with JSON bodies, as the stand-in
// serves it.
package platformhttp

import (
	"time"

	"chervilridge/internal/platform"
)

// Paths of the platform's HTTP interface.
const (
	PathAppend = "/log/append"
	PathRead   = "/log/read"
)

// ErrorName names a platform error on the wire.
type ErrorName string

// Names of the platform's errors.
const (
	NameUnavailable    ErrorName = "unavailable"
	NameUnknownOutcome ErrorName = "unknown_outcome"
	NameTrimmed        ErrorName = "trimmed"
)

// ErrorsByName maps names to the errors of package platform.
var ErrorsByName = map[ErrorName]error{
	NameUnavailable:    platform.ErrUnavailable,
	NameUnknownOutcome: platform.ErrUnknownOutcome,
	NameTrimmed:        platform.ErrTrimmed,
}

// ErrorBody is the body of a failed call.
type ErrorBody struct {
	Error ErrorName `json:"error"`
}

// AppendCall asks for one append.
type AppendCall struct {
	Stream  string `json:"stream"`
	Payload []byte `json:"payload"`
}

// AppendAnswer carries the offset of an append.
type AppendAnswer struct {
	Offset uint64 `json:"offset"`
}

// ReadCall asks for entries of a stream.
type ReadCall struct {
	Stream string        `json:"stream"`
	From   uint64        `json:"from"`
	Limit  int           `json:"limit"`
	Wait   time.Duration `json:"wait_ns"`
}
