// Package platform holds the interface behind which the append-only log of the table
// and of idempotency keys stands. Another log is one new package that implements it.
package platform

import (
	"context"
	"errors"
	"time"
)

// Errors of the platform. An adapter returns ErrUnavailable only if the call
// certainly had no effect, and ErrUnknownOutcome if it may have had one.
var (
	ErrUnavailable    = errors.New("platform unavailable, call had no effect")
	ErrUnknownOutcome = errors.New("platform did not answer, call may have taken effect")
	ErrTrimmed        = errors.New("entries below the oldest kept offset are gone")
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
