// Package platform holds the two interfaces behind which the platform stands:
// its append-only log and its workers. Another platform is one new package that
// implements both.
package platform

import (
	"context"
	"errors"
	"time"

	pb "chervilridge/api/chervil/v1"
)

// Errors of the platform. An adapter returns ErrUnavailable only if the call
// certainly had no effect, and ErrUnknownOutcome if it may have had one.
var (
	ErrUnavailable    = errors.New("platform unavailable, call had no effect")
	ErrUnknownOutcome = errors.New("platform did not answer, call may have taken effect")
	ErrTrimmed        = errors.New("entries below the oldest kept offset are gone")
	ErrNoCapacity     = errors.New("worker lacks the resources")
	ErrNoSuchTask     = errors.New("worker does not know the task")
	ErrExists         = errors.New("worker has the task already")
)

// Entry is one payload of a stream.
type Entry struct {
	Offset  uint64
	Payload []byte
}

// ReadResult is what one read of a stream returned.
type ReadResult struct {
	Entries []Entry
	// Oldest is the lowest offset that the stream still keeps.
	Oldest uint64
	// Next is the offset that the next append will get.
	Next uint64
}

// Log is the platform's append-only log service.
// Implementations are safe for concurrent use.
type Log interface {
	// Append adds a payload to the end of a stream and returns its offset.
	Append(ctx context.Context, stream string, payload []byte) (uint64, error)
	// Read returns up to limit entries from an offset on. With none there, it
	// waits up to wait for one. It fails with ErrTrimmed below the oldest entry.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (ReadResult, error)
}

// WorkerInfo is what a worker is and has.
type WorkerInfo struct {
	Name       string
	DataCentre string
	Rack       string
	Capacity   *pb.Resources
}

// TaskKey names one attempt on a worker.
type TaskKey struct {
	JobID   string
	Index   uint32
	Attempt uint32
}

// StartSpec is what a worker needs to run an attempt.
type StartSpec struct {
	Key        TaskKey
	JobClass   string
	Payload    []byte
	Checkpoint []byte
	Reserved   *pb.Resources
	Duration   time.Duration
	// Lease is how long the attempt may run without renewal.
	Lease time.Duration
}

// TaskPhase is where an attempt stands on its worker.
type TaskPhase string

// Phases of an attempt on a worker.
const (
	PhaseRunning  TaskPhase = "running"
	PhaseFinished TaskPhase = "finished"
	PhaseFailed   TaskPhase = "failed"
	PhaseStopped  TaskPhase = "stopped"
	PhaseLapsed   TaskPhase = "lapsed"
)

// TaskStatus is what a worker says of an attempt.
type TaskStatus struct {
	Key        TaskKey
	Phase      TaskPhase
	Result     []byte
	Checkpoint []byte
	Detail     string
	Ran        time.Duration
	Used       *pb.Resources
}

// Usage is a lagging measurement of a worker.
type Usage struct {
	Used *pb.Resources
	// Age is how long ago it was measured.
	Age time.Duration
}

// Worker is the platform's handle of the worker beside an agent.
// Implementations are safe for concurrent use. A call whose context has ended
// before it was sent has no effect; one that is under way when its context ends
// takes effect soon or never.
type Worker interface {
	Describe(ctx context.Context) (WorkerInfo, error)
	// Start runs an attempt under a lease; ErrExists if the key was ever started.
	Start(ctx context.Context, spec StartSpec) error
	// Renew extends the lease of a running attempt.
	Renew(ctx context.Context, key TaskKey, lease time.Duration) error
	// Throttle limits an attempt to a share of its processors, in thousandths.
	Throttle(ctx context.Context, key TaskKey, shareMilli uint32) error
	// Checkpoint saves the progress of a running attempt and returns its handle.
	Checkpoint(ctx context.Context, key TaskKey) ([]byte, error)
	// Stop ends an attempt; afterwards it certainly does not run.
	Stop(ctx context.Context, key TaskKey) (TaskStatus, error)
	// List returns the attempts that run or ended without being forgotten.
	List(ctx context.Context) ([]TaskStatus, error)
	// Forget drops an ended attempt.
	Forget(ctx context.Context, key TaskKey) error
	Usage(ctx context.Context) (Usage, error)
}
