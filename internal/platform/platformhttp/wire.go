// Package platformhttp reaches the platform's log and workers over HTTP with
// JSON bodies, as the stand-in serves them.
package platformhttp

import (
	"time"

	"chervilridge/internal/platform"
)

// Paths of the platform's HTTP interface.
const (
	PathAppend     = "/log/append"
	PathRead       = "/log/read"
	PathDescribe   = "/worker/describe"
	PathStart      = "/worker/start"
	PathRenew      = "/worker/renew"
	PathThrottle   = "/worker/throttle"
	PathCheckpoint = "/worker/checkpoint"
	PathStop       = "/worker/stop"
	PathList       = "/worker/list"
	PathForget     = "/worker/forget"
	PathUsage      = "/worker/usage"
)

// ErrorName names a platform error on the wire.
type ErrorName string

// Names of the platform's errors.
const (
	NameUnavailable    ErrorName = "unavailable"
	NameUnknownOutcome ErrorName = "unknown_outcome"
	NameTrimmed        ErrorName = "trimmed"
	NameNoCapacity     ErrorName = "no_capacity"
	NameNoSuchTask     ErrorName = "no_such_task"
	NameExists         ErrorName = "exists"
)

// ErrorsByName maps names to the errors of package platform.
var ErrorsByName = map[ErrorName]error{
	NameUnavailable:    platform.ErrUnavailable,
	NameUnknownOutcome: platform.ErrUnknownOutcome,
	NameTrimmed:        platform.ErrTrimmed,
	NameNoCapacity:     platform.ErrNoCapacity,
	NameNoSuchTask:     platform.ErrNoSuchTask,
	NameExists:         platform.ErrExists,
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

// WorkerCall is any call to one worker; each path reads the fields it needs.
type WorkerCall struct {
	Worker     string              `json:"worker"`
	Key        platform.TaskKey    `json:"key"`
	Spec       *platform.StartSpec `json:"spec,omitempty"`
	Lease      time.Duration       `json:"lease_ns,omitempty"`
	ShareMilli uint32              `json:"share_milli,omitempty"`
}

// WorkerAnswer is any worker's answer; each path fills the fields it has.
type WorkerAnswer struct {
	Info       *platform.WorkerInfo  `json:"info,omitempty"`
	Status     *platform.TaskStatus  `json:"status,omitempty"`
	List       []platform.TaskStatus `json:"list,omitempty"`
	Usage      *platform.Usage       `json:"usage,omitempty"`
	Checkpoint []byte                `json:"checkpoint,omitempty"`
}
