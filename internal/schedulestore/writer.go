// Package schedulestore persists the state of the schedule in the platform's store. One
// writer at a time appends to it, fenced by an epoch; a new owner loads it.
package schedulestore

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/internal/wait"
	"chervilridge/platform"
)

const (
	// stateProducer is the producer of the state topic.
	stateProducer = "scheduler"
	// appendTimeout limits one attempt of an append; a healthy store answers within some
	// milliseconds.
	appendTimeout = 1200 * time.Millisecond
	// maxCopies is how many copies of an append are sent in one attempt. A copy is sent after
	// slowAppendFactor times the usual latency, then after twice that time, within
	// minCopyDelay and maxCopyDelay.
	maxCopies        = 3
	slowAppendFactor = 4.0
	minCopyDelay     = 60 * time.Millisecond
	maxCopyDelay     = 400 * time.Millisecond
	// latencyGain is the weight of the latest append in the smoothed latency.
	latencyGain = 0.2
	// epochSequenceBits is the size of an epoch's range of sequence numbers, in bits.
	epochSequenceBits = 32
	// MaxBatchBytes is the most that one append may carry; the store accepts 2 MiB.
	MaxBatchBytes = 1 << 20
)

// ErrFenced is returned once an owner with a newer epoch has fenced the writer. The records
// of the append are not stored, unless an earlier attempt of the append stored them.
var ErrFenced = errors.New("the topic is fenced by an owner with a newer epoch")

// ErrSequenceLost is returned if the store expects another sequence number than the writer, which
// can't take it over: copies sent under its own may still arrive, or the store named that one
// before. Nothing more can be appended under the epoch.
var ErrSequenceLost = errors.New("the store expects another sequence number")

// ErrOutcomeUnknown is returned for an append that differs from an earlier one whose outcome is
// unknown. Nothing has been sent.
var ErrOutcomeUnknown = errors.New("the outcome of an earlier append is unknown")

// Store is the part of the platform's store that the writer and the loader use.
type Store interface {
	Append(ctx context.Context, a platform.AppendRequest) (int64, error)
	Newest(ctx context.Context, topic, after string) (platform.Page, error)
}

// Writer appends to a topic as one producer and under one epoch. Only one goroutine may append.
type Writer struct {
	store    Store
	topic    string
	producer string
	epoch    uint64
	// sequence is the number of the next append of records. Empty appends carry it too, but
	// the store does not count them.
	sequence      uint64
	sequenceKnown bool // set once the store has accepted an append or named the number
	// unresolved holds the records that were sent under sequence and may be stored, or may be
	// stored later. The number belongs to them until their outcome is known.
	unresolved []platform.Record
	// sequenceLost is the ErrSequenceLost that has ended the epoch, or nil.
	sequenceLost error
	// latency is the smoothed time until an append is answered, in nanoseconds.
	latency float64
	clock   boottime.Clock
	// lastConfirmed is the boottime.Instant at which the last confirmed append was sent. The
	// epoch was in force until then.
	lastConfirmed atomic.Int64
}

// NewWriter returns a writer of the state topic that has not fenced older epochs yet.
func NewWriter(store Store, epoch uint64, clock boottime.Clock) *Writer {
	return newWriter(store, platform.StateTopic, stateProducer, epoch, clock)
}

// newWriter returns a writer that has not fenced older epochs yet. Each epoch has a range of
// sequence numbers of its own, since the store may take a number of an earlier epoch for a
// repeat; the store's answer corrects the first number.
func newWriter(store Store, topic, producer string, epoch uint64, clock boottime.Clock) *Writer {
	return &Writer{store: store, topic: topic, producer: producer, epoch: epoch, sequence: epoch << epochSequenceBits, clock: clock}
}

// Epoch returns the epoch under which the writer appends.
func (w *Writer) Epoch() uint64 { return w.epoch }

// SinceConfirmed returns how long ago the last append that the store confirmed was sent.
func (w *Writer) SinceConfirmed() time.Duration {
	return w.clock().Sub(boottime.Instant(w.lastConfirmed.Load()))
}

// Fence makes the store reject appends with older epochs.
func (w *Writer) Fence(ctx context.Context) error { return w.Append(ctx, nil) }

// RetryError is returned by Try after a failed attempt that may be repeated.
type RetryError struct {
	// NothingStored is set if the store has answered all attempts to append these records,
	// so that they are certainly not stored. The next attempt may then be of other records.
	NothingStored bool
	Cause         error
}

// Error implements error.
func (e *RetryError) Error() string { return e.Cause.Error() }

// Unwrap returns Cause.
func (e *RetryError) Unwrap() error { return e.Cause }

// Append stores the records, retrying until the outcome is known or ctx is done. Without
// records it only confirms the epoch. It returns the errors of Try, except for RetryError.
func (w *Writer) Append(ctx context.Context, records []platform.Record) error {
	var pause RetryPause
	for {
		err := w.Try(ctx, records)
		var retry *RetryError
		if !errors.As(err, &retry) {
			return err
		}
		if !wait.For(ctx, pause.Next()) {
			return ctx.Err()
		}
	}
}

// Try makes one attempt to store the records. After a RetryError the next attempt must be
// of the same records, unless nothing was stored: otherwise it returns ErrOutcomeUnknown. It
// returns ErrFenced after a newer owner has fenced the writer, ErrSequenceLost if a new epoch is
// needed, the store's error if the store is full or rejects the records as invalid, and the
// context's error once that is done.
func (w *Writer) Try(ctx context.Context, records []platform.Record) error {
	switch {
	case w.sequenceLost != nil:
		return w.sequenceLost
	case w.unresolved != nil && !sameRecords(w.unresolved, records):
		return ErrOutcomeUnknown
	}
	sent := w.clock()
	err, answered := w.appendCopies(ctx, records)
	if !answered && len(records) > 0 {
		w.unresolved = records
	}
	if err == nil {
		w.confirm(sent, records)
		return nil
	}
	kind := platform.KindOf(err)
	switch {
	case ctx.Err() != nil:
		return ctx.Err()
	case kind == platform.Fenced:
		return ErrFenced
	case kind == platform.BadSequence && w.storedBefore(err):
		w.confirm(sent, records)
		return nil
	case kind == platform.BadSequence && !w.adoptSequence(err):
		w.sequenceLost = fmt.Errorf("%w: number %d: %w", ErrSequenceLost, w.sequence, err)
		return w.sequenceLost
	case kind == platform.Invalid || kind == platform.StoreFull:
		return err
	}
	events.StateAppendRetried.LogError(err, "topic", w.topic, "epoch", w.epoch, "sequence", w.sequence, "records", len(records), "uncertain", w.Uncertain())
	return &RetryError{NothingStored: !w.Uncertain(), Cause: err}
}

// Uncertain reports whether records of a failed Try may be stored, or may be stored later.
func (w *Writer) Uncertain() bool { return w.unresolved != nil }

// confirm records that the store has confirmed the epoch by an append sent at the time, and
// has stored its records.
func (w *Writer) confirm(sent boottime.Instant, records []platform.Record) {
	w.lastConfirmed.Store(int64(sent))
	if len(records) > 0 {
		w.sequence++
		w.sequenceKnown = true
		w.unresolved = nil
	}
}

func sameRecords(a, b []platform.Record) bool {
	return slices.EqualFunc(a, b, func(x, y platform.Record) bool { return x.Key == y.Key && bytes.Equal(x.Value, y.Value) })
}

// appendCopies makes one attempt of an append under the current sequence number. While no
// answer comes, it sends copies over further connections: an answer that is lost on one
// connection arrives on another, since the store answers a repeated append as it did the
// first. It returns the first success, or the last error. answered is set if the store has
// answered all copies.
func (w *Writer) appendCopies(ctx context.Context, records []platform.Record) (err error, answered bool) {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	request := platform.AppendRequest{
		Topic: w.topic, Records: records,
		Producer: &platform.Producer{Name: w.producer, Epoch: w.epoch, Sequence: w.sequence},
	}
	type result struct {
		err  error
		took time.Duration
	}
	results := make(chan result, maxCopies)
	send := func() {
		sent := w.clock()
		_, err := w.store.Append(ctx, request)
		results <- result{err, w.clock().Sub(sent)}
	}
	go send()
	copies, open, answered := 1, 1, true
	copyAfter := w.copyDelay()
	timer := time.NewTimer(copyAfter)
	defer timer.Stop()
	for {
		select {
		case r := <-results:
			open--
			if r.err == nil {
				w.latency += latencyGain * (float64(r.took) - w.latency)
			}
			answered = answered && (definite(r.err) || rejected(r.err))
			if definite(r.err) || open == 0 {
				return r.err, answered && open == 0
			}
		case <-timer.C:
			if copies < maxCopies {
				go send()
				copies++
				open++
				copyAfter *= 2
				timer.Reset(copyAfter)
			}
		}
	}
}

// copyDelay is how long an append may stay unanswered before a copy of it is sent.
func (w *Writer) copyDelay() time.Duration {
	return min(max(time.Duration(slowAppendFactor*w.latency), minCopyDelay), maxCopyDelay)
}

// definite reports whether the outcome of an append settles its attempt.
func definite(err error) bool {
	if err == nil {
		return true
	}
	switch platform.KindOf(err) {
	case platform.Fenced, platform.BadSequence, platform.Invalid, platform.StoreFull:
		return true
	}
	return false
}

// rejected reports whether the error shows that the store has not executed the call.
func rejected(err error) bool {
	switch platform.KindOf(err) {
	case platform.Unavailable, platform.Throttled, platform.ConnectionRefused:
		return true
	}
	return false
}

// storedBefore reports whether a sequence error shows that a copy of the unresolved append has
// been stored: the store expects the number after it, and no other append carried its number.
func (w *Writer) storedBefore(err error) bool {
	var e *platform.Error
	return errors.As(err, &e) && w.unresolved != nil && w.sequenceKnown && e.Expected == int64(w.sequence)+1
}

// adoptSequence takes over the number that the store expects. It returns false if copies may
// arrive under the present number, or if the store has named or accepted one before.
func (w *Writer) adoptSequence(err error) bool {
	var e *platform.Error
	if !errors.As(err, &e) || w.unresolved != nil || w.sequenceKnown {
		return false
	}
	w.sequence, w.sequenceKnown = uint64(e.Expected), true
	return true
}
