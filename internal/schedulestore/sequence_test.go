package schedulestore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/boottime"
	"chervilridge/platform"
)

// bubbleClock reads the time of a synctest bubble.
func bubbleClock() boottime.Instant { return boottime.Instant(time.Now().UnixNano()) }

func recordsOf(keys ...string) []platform.Record {
	var records []platform.Record
	for _, key := range keys {
		records = append(records, platform.Record{Key: key, Value: []byte("v")})
	}
	return records
}

// Guards against an accepted job that is not stored: the store takes its append for a late copy of another.
func TestRecordsAreNotLostWhenALateCopyReusesASequenceNumber(t *testing.T) {
	for _, copies := range []int{1, 2, 3} {
		synctest.Test(t, func(t *testing.T) {
			ctx := context.Background()
			store := &modelStore{}
			w := NewWriter(store, 1, bubbleClock)
			assert.NilError(t, w.Fence(ctx))
			assert.NilError(t, w.Append(ctx, recordsOf("a")))
			assert.NilError(t, w.Append(ctx, nil))
			before := store.calls
			store.deliver = func(call int) delivery {
				late := call < before+copies
				return delivery{reset: late, executedAfter: map[bool]time.Duration{true: time.Second}[late]}
			}
			assert.NilError(t, w.Append(ctx, recordsOf("b")))
			time.Sleep(2 * time.Second)
			assert.NilError(t, w.Append(ctx, recordsOf("c")))
			assert.DeepEqual(t, store.stored(), []string{"a", "b", "c"})
		})
	}
}

func expects(ahead int64, w **Writer) func(context.Context) error {
	return func(context.Context) error {
		return &platform.Error{Kind: platform.BadSequence, Expected: int64((*w).sequence) + ahead}
	}
}

// Guards against records that are acknowledged although the store may have taken them for a repeat.
func TestSequenceErrorIsResolvedOrEndsTheEpoch(t *testing.T) {
	var w *Writer
	type script = []func(context.Context) error
	noAnswer, other := answers(platform.NoAnswer), recordsOf("other")
	cases := []struct {
		name   string
		script script
		before bool // whether an append was stored before
		want   error
	}{
		{"an unanswered copy was stored", script{noAnswer, expects(1, &w)}, true, nil},
		{"nothing is under way and no number is known", script{expects(5, &w), stored}, false, nil},
		{"the next number after the first one", script{expects(1, &w), stored}, false, nil},
		{"copies of the first append are under way", script{noAnswer, expects(5, &w)}, false, ErrSequenceLost},
		{"copies of the first append may be stored", script{noAnswer, expects(1, &w)}, false, ErrSequenceLost},
		{"copies are under way", script{noAnswer, expects(2, &w)}, true, ErrSequenceLost},
		{"another append took the number", script{expects(1, &w)}, true, ErrSequenceLost},
		{"the number was known", script{expects(-3, &w)}, true, ErrSequenceLost},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			if c.before {
				c.script = append(script{stored}, c.script...)
			}
			w, _ = newTestWriter(append(c.script, stored)...)
			if c.before {
				assert.NilError(t, w.Append(context.Background(), other))
			}
			assert.ErrorIs(t, w.Append(context.Background(), someRecords), c.want)
			assert.ErrorIs(t, w.Append(context.Background(), other), c.want)
		})
	}
}

// Guards against two appends under one number, of which the store drops the later one.
func TestNothingElseIsAppendedWhileAnOutcomeIsUnknown(t *testing.T) {
	w, store := newTestWriter(answers(platform.NoAnswer), stored)
	var retry *RetryError
	assert.Assert(t, errors.As(w.Try(context.Background(), someRecords), &retry))
	assert.ErrorIs(t, w.Try(context.Background(), recordsOf("other")), ErrOutcomeUnknown)
	assert.ErrorIs(t, w.Try(context.Background(), nil), ErrOutcomeUnknown)
	assert.NilError(t, w.Try(context.Background(), someRecords))
	assert.NilError(t, w.Try(context.Background(), recordsOf("other")))
	assert.Equal(t, store.calls[0].Producer.Sequence, store.calls[1].Producer.Sequence)
	assert.Equal(t, store.calls[1].Producer.Sequence+1, store.calls[2].Producer.Sequence)
}

// Guards against acknowledged records that the store drops as a repeat of an append of an earlier owner.
func TestFirstNumberOfAnEpochIsNotOneOfAnEarlierOwner(t *testing.T) {
	const draws = 1 << 23 // in 2^20 numbers, five are met in almost every series of as many draws
	ctx := context.Background()
	store := &modelStore{repeatsOutliveEpochs: true}
	w := NewWriter(store, 1, bubbleClock)
	for i := range 5 {
		assert.NilError(t, w.Append(ctx, recordsOf(fmt.Sprint("a", i))))
	}
	next := NewWriter(store, 2, bubbleClock)
	for range draws {
		if slices.Contains(store.repeated, next.sequence) {
			break
		}
		next = NewWriter(store, 2, bubbleClock)
	}
	assert.NilError(t, next.Append(ctx, recordsOf("b")))
	assert.DeepEqual(t, store.stored(), []string{"a0", "a1", "a2", "a3", "a4", "b"})
}
