// Package statelog keeps the schedule's state in the platform's store: one fenced
// writer, and a loader for whoever takes over.
package statelog

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
	// appendTimeout bounds one try of an append; the store answers within some ms
	// when it is sound.
	appendTimeout = 1200 * time.Millisecond
	// Pause between tries, doubled each time.
	retryFirst = 20 * time.Millisecond
	retryLimit = 250 * time.Millisecond
	// MaxBatchBytes is what one append may carry; the store takes 2 MiB.
	MaxBatchBytes = 1 << 20
)

// ErrDeposed means that another owner has taken over; nothing of the append is stored
// unless an earlier try of it was.
var ErrDeposed = errors.New("a newer owner writes the state")

// Store is what the writer and loader need of the platform's store.
type Store interface {
	Append(ctx context.Context, a platform.AppendRequest) (int64, error)
	Newest(ctx context.Context, topic, after string) (platform.Page, error)
}

// Writer appends under one epoch. Only one goroutine may append.
type Writer struct {
	store     Store
	epoch     uint64
	sequence  uint64
	adopted   bool // whether the store's sequence number is known
	clock     boottime.Clock
	confirmed atomic.Int64 // boottime.Instant before which the epoch was in force
}

// NewWriter returns a writer that has not fenced older epochs yet.
func NewWriter(store Store, epoch uint64, clock boottime.Clock) *Writer {
	return &Writer{store: store, epoch: epoch, sequence: uint64(rand.Uint32N(1 << 20)), clock: clock}
}

// Epoch returns the epoch that the writer appends under.
func (w *Writer) Epoch() uint64 { return w.epoch }

// ConfirmedFor returns how long ago the store confirmed the epoch.
func (w *Writer) ConfirmedFor() time.Duration {
	return w.clock().Sub(boottime.Instant(w.confirmed.Load()))
}

// Fence makes the store reject appends of older epochs.
func (w *Writer) Fence(ctx context.Context) error { return w.Append(ctx, nil) }

// Append stores the records; it repeats until the outcome is known. Without records it
// only confirms the epoch.
func (w *Writer) Append(ctx context.Context, records []platform.Record) error {
	pause := retryFirst
	for try := 1; ; try++ {
		sent := w.clock()
		err := w.try(ctx, records)
		if err == nil {
			w.confirmed.Store(int64(sent))
			return nil
		}
		kind := platform.KindOf(err)
		switch {
		case ctx.Err() != nil:
			return ctx.Err()
		case kind == platform.Fenced:
			return ErrDeposed
		case kind == platform.BadSequence && w.resolve(err):
			w.confirmed.Store(int64(sent))
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
		pause = min(2*pause, retryLimit)
	}
}

func (w *Writer) try(ctx context.Context, records []platform.Record) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	_, err := w.store.Append(ctx, platform.AppendRequest{
		Topic: platform.StateTopic, Records: records,
		Producer: &platform.Producer{Name: producerName, Epoch: w.epoch, Sequence: w.sequence},
	})
	if err == nil {
		w.adopted = true
		w.sequence++
	}
	return err
}

// resolve reports whether the append was stored by an earlier try. Before the first
// append that carried records it takes the store's number over instead.
func (w *Writer) resolve(err error) bool {
	var e *platform.Error
	if !errors.As(err, &e) {
		return false
	}
	if w.adopted && e.Expected == int64(w.sequence)+1 {
		w.sequence++
		return true
	}
	w.sequence = uint64(e.Expected)
	return false
}
