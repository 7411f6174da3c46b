package schedulestore

import (
	"context"
	"errors"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/boottime"
	"chervilridge/platform"
)

// scriptedStore answers each append by the next function of its script, and the last one
// from then on.
type scriptedStore struct {
	mu     sync.Mutex
	script []func(ctx context.Context) error
	calls  []platform.AppendRequest
}

func (s *scriptedStore) Append(ctx context.Context, a platform.AppendRequest) (int64, error) {
	s.mu.Lock()
	answer := s.script[min(len(s.calls), len(s.script)-1)]
	s.calls = append(s.calls, a)
	s.mu.Unlock()
	return 0, answer(ctx)
}

func (s *scriptedStore) Newest(context.Context, string, string) (platform.Page, error) {
	return platform.Page{}, nil
}

func (s *scriptedStore) callCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.calls)
}

func stored(context.Context) error { return nil }

func answers(kind platform.ErrorKind) func(context.Context) error {
	return func(context.Context) error { return &platform.Error{Kind: kind} }
}

// silent never answers.
func silent(ctx context.Context) error {
	<-ctx.Done()
	return &platform.Error{Kind: platform.NoAnswer, Cause: ctx.Err()}
}

// storedAfter answers after the latency.
func storedAfter(latency time.Duration) func(context.Context) error {
	return func(ctx context.Context) error {
		select {
		case <-time.After(latency):
			return nil
		case <-ctx.Done():
			return &platform.Error{Kind: platform.NoAnswer, Cause: ctx.Err()}
		}
	}
}

func newTestWriter(script ...func(context.Context) error) (*Writer, *scriptedStore) {
	store := &scriptedStore{script: script}
	return NewWriter(store, 1, boottime.Now), store
}

var someRecords = []platform.Record{{Key: "k", Value: []byte("v")}}

// A store that executes appends and loses a part of the answers must not hold up all jobs
// for the time-out of an append.
func TestLostAnswerIsRecoveredByACopy(t *testing.T) {
	w, store := newTestWriter(silent, stored)
	began := time.Now()
	assert.NilError(t, w.Append(context.Background(), someRecords))
	assert.Assert(t, time.Since(began) < appendTimeout/2, "took %v", time.Since(began))
	assert.Equal(t, store.callCount(), 2)
	assert.DeepEqual(t, store.calls[0].Producer, store.calls[1].Producer)
	assert.Assert(t, !w.Uncertain())
}

func TestSlowStoreGetsNoCopies(t *testing.T) {
	const latency, appends = 120 * time.Millisecond, 12
	w, store := newTestWriter(storedAfter(latency))
	for range appends {
		assert.NilError(t, w.Append(context.Background(), someRecords))
	}
	before := store.callCount()
	for range 3 {
		assert.NilError(t, w.Append(context.Background(), someRecords))
	}
	assert.Equal(t, store.callCount(), before+3)
}

func TestTryTellsWhetherAnythingMayBeStored(t *testing.T) {
	cases := []struct {
		name          string
		script        []func(context.Context) error
		tries         int
		nothingStored bool
	}{
		{"unavailable", []func(context.Context) error{answers(platform.Unavailable)}, 3, true},
		{"throttled", []func(context.Context) error{answers(platform.Throttled)}, 1, true},
		{"connection refused", []func(context.Context) error{answers(platform.ConnectionRefused)}, 1, true},
		{"connection reset", []func(context.Context) error{answers(platform.NoAnswer)}, 1, false},
		{"unavailable after a reset", []func(context.Context) error{answers(platform.NoAnswer), answers(platform.Unavailable)}, 3, false},
		{"silent, then unavailable", []func(context.Context) error{silent, answers(platform.Unavailable)}, 1, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			w, _ := newTestWriter(c.script...)
			var retry *RetryError
			for range c.tries {
				assert.Assert(t, errors.As(w.Try(context.Background(), someRecords), &retry))
			}
			assert.Equal(t, retry.NothingStored, c.nothingStored)
			assert.Equal(t, w.Uncertain(), !c.nothingStored)
		})
	}
}

func TestUncertaintyEndsWithAStoredAppend(t *testing.T) {
	w, _ := newTestWriter(answers(platform.NoAnswer), stored, answers(platform.Unavailable))
	assert.NilError(t, w.Append(context.Background(), someRecords))
	var retry *RetryError
	assert.Assert(t, errors.As(w.Try(context.Background(), someRecords), &retry))
	assert.Assert(t, retry.NothingStored)
}

// A fence that is answered to a copy says nothing about the first one.
func TestFencedCopyLeavesTheFirstOneUncertain(t *testing.T) {
	w, _ := newTestWriter(silent, answers(platform.Fenced))
	assert.Equal(t, w.Try(context.Background(), someRecords), ErrFenced)
	assert.Assert(t, w.Uncertain())
	w, _ = newTestWriter(answers(platform.Fenced))
	assert.Equal(t, w.Try(context.Background(), someRecords), ErrFenced)
	assert.Assert(t, !w.Uncertain())
}
