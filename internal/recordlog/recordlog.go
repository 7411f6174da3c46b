// Package recordlog defines the interface of the append-only log that stores the table and
// the idempotency keys. Another log service needs one new package that implements it.
package recordlog

import (
	"context"
	"errors"
	"time"
)

// Errors of a Log. An implementation returns ErrUnavailable only if the call certainly
// had no effect, and ErrUnknownOutcome if it may have had one.
var (
	ErrUnavailable    = errors.New("log unavailable, call had no effect")
	ErrUnknownOutcome = errors.New("log did not answer, call may have taken effect")
	ErrTrimmed        = errors.New("requested offset is below the oldest retained entry")
)

// Entry is one payload of a stream.
type Entry struct {
	Offset  uint64
	Payload []byte
}

// ReadResult is the result of one read of a stream. It is encoded as JSON under the names
// of its fields and of those of Entry.
type ReadResult struct {
	Entries []Entry
	// Oldest is the lowest offset that the stream still retains.
	Oldest uint64
	// Next is the offset of the next append.
	Next uint64
}

// Log is the platform's append-only log service.
// Implementations are safe for concurrent use.
type Log interface {
	// Append adds a payload to the end of a stream and returns its offset.
	Append(ctx context.Context, stream string, payload []byte) (uint64, error)
	// Read returns up to limit entries, starting at offset from. If there is none, it
	// waits up to wait for one. It fails with ErrTrimmed if from is below the oldest
	// retained entry.
	Read(ctx context.Context, stream string, from uint64, limit int, wait time.Duration) (ReadResult, error)
}
