// Package logstore is an in-memory stand-in for the platform's append-only log: streams
// with offsets, long-poll reads, retention, and faults that tests can inject.
package logstore

import (
	"context"
	"sync"
	"time"

	"chervilridge/internal/recordlog"
)

// Faults are the faults to inject into calls of the log. The zero value injects none.
type Faults struct {
	// Down rejects every call with recordlog.ErrUnavailable before it takes effect.
	Down bool `json:"down"`
	// Delay is added before every call.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers is the number of appends that take effect and then return
	// recordlog.ErrUnknownOutcome.
	LoseAnswers int `json:"lose_answers"`
	// DoubleAppends is the number of appends that are stored twice.
	DoubleAppends int `json:"double_appends"`
	// HoldAppends is the number of appends that return recordlog.ErrUnknownOutcome at once
	// and take effect only at Store.ApplyHeld.
	HoldAppends int `json:"hold_appends"`
}

// Options configure the retention and the clock of a Store.
type Options struct {
	// RetainEntries is the largest number of entries that a stream keeps; 0 keeps all.
	RetainEntries int
	// RetainFor is how long a stream keeps an entry; 0 keeps all.
	RetainFor time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Store implements recordlog.Log in memory. It is safe for concurrent use.
type Store struct {
	options Options

	mu           sync.Mutex // guards all fields below and all streams
	faults       Faults
	streams      map[string]*stream
	held         []heldAppend
	totalAppends uint64
	totalBytes   uint64
}

// heldAppend is an append that has not taken effect yet.
type heldAppend struct {
	stream  string
	payload []byte
}

type stream struct {
	oldest  uint64 // offset of entries[0]
	entries []storedEntry
	changed chan struct{} // closed and replaced at each append
}

type storedEntry struct {
	payload  []byte
	storedAt time.Time
}

// New returns an empty store.
func New(options Options) *Store {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Store{options: options, streams: map[string]*stream{}}
}

// SetFaults replaces the active faults.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the active faults, with the remaining counts.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Totals returns the number of appends that took effect and their payload bytes. An
// append that was stored twice counts twice.
func (s *Store) Totals() (appends, bytes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalAppends, s.totalBytes
}

// Append implements recordlog.Log.
func (s *Store) Append(ctx context.Context, name string, payload []byte) (uint64, error) {
	if err := s.waitDelay(ctx); err != nil {
		return 0, recordlog.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return 0, recordlog.ErrUnavailable
	}
	if s.faults.HoldAppends > 0 {
		s.faults.HoldAppends--
		s.held = append(s.held, heldAppend{stream: name, payload: append([]byte(nil), payload...)})
		return 0, recordlog.ErrUnknownOutcome
	}
	st := s.streamNamed(name)
	offset := s.appendEntry(st, payload)
	if s.faults.DoubleAppends > 0 {
		s.faults.DoubleAppends--
		s.appendEntry(st, payload)
	}
	st.wakeReaders()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, recordlog.ErrUnknownOutcome
	}
	return offset, nil
}

// ApplyHeld lets the held appends take effect, in the order of their calls.
func (s *Store) ApplyHeld() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.held {
		st := s.streamNamed(h.stream)
		s.appendEntry(st, h.payload)
		st.wakeReaders()
	}
	s.held = nil
}

// HeldCount returns the number of held appends.
func (s *Store) HeldCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// wakeReaders wakes the readers that wait for new entries. Store.mu must be held.
func (st *stream) wakeReaders() {
	close(st.changed)
	st.changed = make(chan struct{})
}

// appendEntry stores an entry and returns its offset. Store.mu must be held.
func (s *Store) appendEntry(st *stream, payload []byte) uint64 {
	offset := st.oldest + uint64(len(st.entries))
	kept := append([]byte(nil), payload...)
	st.entries = append(st.entries, storedEntry{payload: kept, storedAt: s.options.Now()})
	s.totalAppends++
	s.totalBytes += uint64(len(payload))
	s.trimExpired(st)
	return offset
}

// trimExpired drops the entries that exceed the retention. Store.mu must be held.
func (s *Store) trimExpired(st *stream) {
	drop := 0
	if n := s.options.RetainEntries; n > 0 && len(st.entries) > n {
		drop = len(st.entries) - n
	}
	if d := s.options.RetainFor; d > 0 {
		cutoff := s.options.Now().Add(-d)
		for drop < len(st.entries) && st.entries[drop].storedAt.Before(cutoff) {
			drop++
		}
	}
	st.entries = st.entries[drop:]
	st.oldest += uint64(drop)
}

// Read implements recordlog.Log.
func (s *Store) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (recordlog.ReadResult, error) {
	if err := s.waitDelay(ctx); err != nil {
		return recordlog.ReadResult{}, recordlog.ErrUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		res, changed, err := s.readAvailable(name, from, limit)
		if err != nil || len(res.Entries) > 0 || wait <= 0 {
			return res, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return res, nil
		case <-ctx.Done():
			return res, recordlog.ErrUnavailable
		}
	}
}

// readAvailable reads without waiting. The returned channel is closed at the stream's
// next append.
func (s *Store) readAvailable(name string, from uint64, limit int) (recordlog.ReadResult, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return recordlog.ReadResult{}, nil, recordlog.ErrUnavailable
	}
	st := s.streamNamed(name)
	s.trimExpired(st)
	res := recordlog.ReadResult{Oldest: st.oldest, Next: st.oldest + uint64(len(st.entries))}
	if from < st.oldest {
		return res, nil, recordlog.ErrTrimmed
	}
	for o := from; o < res.Next && len(res.Entries) < limit; o++ {
		res.Entries = append(res.Entries, recordlog.Entry{Offset: o, Payload: st.entries[o-st.oldest].payload})
	}
	return res, st.changed, nil
}

// streamNamed returns the stream, which it creates at its first use.
func (s *Store) streamNamed(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

// waitDelay waits for Faults.Delay, or returns the error of a context that ends before.
func (s *Store) waitDelay(ctx context.Context) error {
	s.mu.Lock()
	d := s.faults.Delay
	s.mu.Unlock()
	if d <= 0 {
		return nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
