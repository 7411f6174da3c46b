// Package fault defines the error type of the whole system. Each error carries a code, the
// step and the peer at which it arose, and whether the request was executed.
package fault

import (
	"errors"
	"fmt"
	"net/http"
	"time"
)

// Outcome tells whether a failed request was executed.
type Outcome string

// Outcomes, as sent to clients.
const (
	NotRun  Outcome = "not run"
	Done    Outcome = "done"
	Unknown Outcome = "unknown"
)

// Code identifies the kind of an error. Clients may compare it.
type Code string

// Codes of the errors that are returned to clients and operators.
const (
	CodeBadRequest      Code = "bad_request"
	CodeUnknownService  Code = "unknown_service"
	CodeNotFound        Code = "not_found"
	CodeTooLarge        Code = "body_too_large"
	CodeNoEndpoint      Code = "no_endpoint"
	CodeOverloaded      Code = "overloaded"
	CodeTooLate         Code = "too_late"
	CodeLeaving         Code = "leaving"
	CodeLogDown         Code = "log_down"
	CodeOutcomeUnknown  Code = "outcome_unknown"
	CodeConflict        Code = "conflict"
	CodeStaleView       Code = "stale_view"
	CodeNotOwner        Code = "not_owner"
	CodeFenced          Code = "fenced"
	CodeBadSetting      Code = "bad_setting"
	CodeInternal        Code = "internal"
	CodePeerUnreachable Code = "peer_unreachable"
	CodeAnswerGone      Code = "answer_gone"
)

// Step is the stage of the pipeline or protocol at which an error arose.
type Step string

// Steps of requests, jobs and the protocols between processes.
const (
	StepParse    Step = "parse"
	StepClassify Step = "classify"
	StepAdmit    Step = "admit"
	StepClaim    Step = "claim"
	StepPick     Step = "pick"
	StepSend     Step = "send"
	StepVerify   Step = "verify"
	StepReply    Step = "reply"
	StepExecute  Step = "execute"
	StepResolve  Step = "resolve"
	StepAnnounce Step = "announce"
	StepAppend   Step = "append"
	StepRead     Step = "read"
	StepReplay   Step = "replay"
	StepRestore  Step = "restore"
	StepSubmit   Step = "submit"
	StepPlace    Step = "place"
	StepStart    Step = "start"
	StepStop     Step = "stop"
	StepFence    Step = "fence"
	StepBeat     Step = "beat"
	StepConfig   Step = "configure"
	StepSettings Step = "settings"
	StepWorker   Step = "worker"
)

// Error describes a failure. The With methods return modified copies.
type Error struct {
	Code    Code
	Step    Step
	Peer    string // name or address of the remote side; empty if there is none
	Outcome Outcome
	Message string
	// RetryAfter is how long a client should wait before a retry; 0 if unspecified.
	RetryAfter time.Duration
	// RequestID identifies the request when a client queries an unknown outcome.
	RequestID string
	// Agent is the agent to query for the outcome, as name/incarnation; empty if no agent
	// received the request.
	Agent string
	Cause error
}

// New returns an error with outcome NotRun.
func New(code Code, step Step, peer, message string) *Error {
	return &Error{Code: code, Step: step, Peer: peer, Outcome: NotRun, Message: message}
}

// Newf is New with a formatted message.
func Newf(code Code, step Step, peer, format string, args ...any) *Error {
	return New(code, step, peer, fmt.Sprintf(format, args...))
}

// Wrap is New with a cause, which errors.Is and errors.As find.
func Wrap(cause error, code Code, step Step, peer, message string) *Error {
	e := New(code, step, peer, message)
	e.Cause = cause
	return e
}

// WithOutcome returns a copy of e with another outcome.
func (e *Error) WithOutcome(o Outcome) *Error {
	c := *e
	c.Outcome = o
	return &c
}

// WithRequest returns a copy of e with the id of the request.
func (e *Error) WithRequest(id string) *Error {
	c := *e
	c.RequestID = id
	return &c
}

// WithAgent returns a copy of e with the agent to query for the outcome, as
// name/incarnation.
func (e *Error) WithAgent(ref string) *Error {
	c := *e
	c.Agent = ref
	return &c
}

// WithRetryAfter returns a copy of e that asks the client to wait for d before a retry.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// Error formats code, step, peer, message and cause.
func (e *Error) Error() string {
	s := fmt.Sprintf("%s at %s", e.Code, e.Step)
	if e.Peer != "" {
		s += " with " + e.Peer
	}
	s += ": " + e.Message
	if e.Cause != nil {
		s += ": " + e.Cause.Error()
	}
	return s
}

// Unwrap returns the cause, or nil.
func (e *Error) Unwrap() error { return e.Cause }

// As returns the *Error in err's chain. Any other error is wrapped with CodeInternal and
// outcome Unknown. err must not be nil.
func As(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return Wrap(err, CodeInternal, StepReply, "", "unexpected error").WithOutcome(Unknown)
}

// Is reports whether err's chain contains an *Error and its code is the given one.
func Is(err error, code Code) bool {
	var e *Error
	return errors.As(err, &e) && e.Code == code
}

// httpStatuses holds the HTTP status of each code; any other code is an internal error.
var httpStatuses = map[Code]int{
	CodeBadRequest:      http.StatusBadRequest,
	CodeUnknownService:  http.StatusNotFound,
	CodeNotFound:        http.StatusNotFound,
	CodeTooLarge:        http.StatusRequestEntityTooLarge,
	CodeNoEndpoint:      http.StatusServiceUnavailable,
	CodeOverloaded:      http.StatusTooManyRequests,
	CodeTooLate:         http.StatusServiceUnavailable,
	CodeLeaving:         http.StatusServiceUnavailable,
	CodeLogDown:         http.StatusServiceUnavailable,
	CodeOutcomeUnknown:  http.StatusGatewayTimeout,
	CodeConflict:        http.StatusConflict,
	CodeStaleView:       http.StatusServiceUnavailable,
	CodeNotOwner:        http.StatusServiceUnavailable,
	CodeFenced:          http.StatusServiceUnavailable,
	CodePeerUnreachable: http.StatusBadGateway,
	CodeAnswerGone:      http.StatusBadGateway,
}

// HTTPStatus returns the HTTP status of the error's code.
func (e *Error) HTTPStatus() int {
	if s, ok := httpStatuses[e.Code]; ok {
		return s
	}
	return http.StatusInternalServerError
}

// Body is the JSON body of an error response.
type Body struct {
	Code      Code    `json:"code"`
	Step      Step    `json:"step"`
	Peer      string  `json:"peer,omitempty"`
	Outcome   Outcome `json:"outcome"`
	Message   string  `json:"message"`
	RequestID string  `json:"request_id,omitempty"`
	Agent     string  `json:"agent,omitempty"`
}

// Body returns the response body for the error. Its message includes the cause.
func (e *Error) Body() Body {
	msg := e.Message
	if e.Cause != nil {
		msg += ": " + e.Cause.Error()
	}
	return Body{Code: e.Code, Step: e.Step, Peer: e.Peer, Outcome: e.Outcome, Message: msg, RequestID: e.RequestID, Agent: e.Agent}
}
