// Package schedulestore persists the state of the schedule in the platform's store. One
// writer at a time appends to it, fenced by an epoch; a new owner loads it.
package schedulestore

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/platform"
)

const (
	producerName = "scheduler"
	// appendTimeout limits one attempt of an append; a healthy store answers within some
	// milliseconds.
	appendTimeout = 1200 * time.Millisecond
	// The pause between attempts starts at initialBackoff and doubles up to maxBackoff.
	initialBackoff = 20 * time.Millisecond
	maxBackoff     = 250 * time.Millisecond
	// MaxBatchBytes is the most that one append may carry; the store accepts 2 MiB.
	MaxBatchBytes = 1 << 20
)

// ErrFenced is returned once an owner with a newer epoch has fenced the writer. The records
// of the append are not stored, unless an earlier attempt of the append stored them.
var ErrFenced = errors.New("the state topic is fenced by an owner with a newer epoch")

// Store is the part of the platform's store that the writer and the loader use.
type Store interface {
	Append(ctx context.Context, a platform.AppendRequest) (int64, error)
	Newest(ctx context.Context, topic, after string) (platform.Page, error)
}

// Writer appends to the state topic under one epoch. Only one goroutine may append.
type Writer struct {
	store         Store
	epoch         uint64
	sequence      uint64
	sequenceKnown bool // set once the store accepted an append
	clock         boottime.Clock
	// lastConfirmed is the boottime.Instant at which the last confirmed append was sent. The
	// epoch was in force until then.
	lastConfirmed atomic.Int64
}

// NewWriter returns a writer that has not fenced older epochs yet. Its first sequence number
// is random; the store's answer corrects it.
func NewWriter(store Store, epoch uint64, clock boottime.Clock) *Writer {
	return &Writer{store: store, epoch: epoch, sequence: uint64(rand.Uint32N(1 << 20)), clock: clock}
}

// Epoch returns the epoch under which the writer appends.
func (w *Writer) Epoch() uint64 { return w.epoch }

// SinceConfirmed returns how long ago the last append that the store confirmed was sent.
func (w *Writer) SinceConfirmed() time.Duration {
	return w.clock().Sub(boottime.Instant(w.lastConfirmed.Load()))
}

// Fence makes the store reject appends with older epochs.
func (w *Writer) Fence(ctx context.Context) error { return w.Append(ctx, nil) }

// Append stores the records, retrying until the outcome is known or ctx is done. Without
// records it only confirms the epoch. It returns ErrFenced after a newer owner has fenced
// the writer, and the store's error if the store is full or rejects the records as invalid.
func (w *Writer) Append(ctx context.Context, records []platform.Record) error {
	pause := initialBackoff
	for try := 1; ; try++ {
		sent := w.clock()
		err := w.appendOnce(ctx, records)
		if err == nil {
			w.lastConfirmed.Store(int64(sent))
			return nil
		}
		kind := platform.KindOf(err)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case kind == platform.Fenced:
			return ErrFenced
		case kind == platform.BadSequence && w.resolveSequence(err):
			w.lastConfirmed.Store(int64(sent))
			return nil
		case kind == platform.Invalid || kind == platform.StoreFull:
			return err
		}
		events.StateAppendRetried.LogError(err, "epoch", w.epoch, "sequence", w.sequence, "records", len(records), "try", try)
		select {
		case <-time.After(pause):
		case <-ctx.Done():
			return ctx.Err()
		}
		pause = min(2*pause, maxBackoff)
	}
}

// appendOnce makes one attempt of an append under the current sequence number.
func (w *Writer) appendOnce(ctx context.Context, records []platform.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.store.Append(ctx, platform.AppendRequest{
		Topic: platform.StateTopic, Records: records,
		Producer: &platform.Producer{Name: producerName, Epoch: w.epoch, Sequence: w.sequence},
	})
	if err == nil {
		w.sequenceKnown = true
		w.sequence++
	}
	return err
}

// resolveSequence handles a sequence error of the store. It reports whether an earlier
// attempt stored the append, that is whether the store expects the next number. Otherwise
// it adopts the number that the store expects.
func (w *Writer) resolveSequence(err error) bool {
	var e *platform.Error
	if !errors.As(err, &e) {
		return false
	}
	if w.sequenceKnown && e.Expected == int64(w.sequence)+1 {
		w.sequence++
		return true
	}
	w.sequence = uint64(e.Expected)
	return false
}
