// Package logstore is the stand-in for the platform's append-only log: streams
// with offsets, long-poll reads, retention, and faults that can be switched on.
package logstore

import (
	"context"
	"sync"
	"time"

	"chervilridge/internal/platform"
)

// Faults are the troubles that the log is in. The zero value is none.
type Faults struct {
	// Down refuses every call before it takes effect.
	Down bool `json:"down"`
	// Delay slows every call.
	Delay time.Duration `json:"delay_ns"`
	// LoseAnswers drops the answer of that many appends after they took effect.
	LoseAnswers int `json:"lose_answers"`
	// DoubleAppends stores that many appends twice.
	DoubleAppends int `json:"double_appends"`
	// HoldAppends keeps that many appends in flight without an answer; they take
	// effect at Store.Land.
	HoldAppends int `json:"hold_appends"`
}

// Options bound what the log keeps and takes.
type Options struct {
	// RetainEntries is the most entries that a stream keeps; 0 keeps all.
	RetainEntries int
	// RetainFor is how long a stream keeps an entry; 0 keeps all.
	RetainFor time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Store implements platform.Log in memory. One lock guards all streams.
type Store struct {
	options Options

	mu      sync.Mutex
	faults  Faults
	streams map[string]*stream
	held    []inFlight
	appends uint64
	bytes   uint64
}

// inFlight is an append that has not taken effect yet.
type inFlight struct {
	stream  string
	payload []byte
}

type stream struct {
	oldest  uint64
	entries []stored
	changed chan struct{} // closed and replaced at each append
}

type stored struct {
	payload []byte
	at      time.Time
}

// New returns an empty store.
func New(options Options) *Store {
	if options.Now == nil {
		options.Now = time.Now
	}
	return &Store{options: options, streams: map[string]*stream{}}
}

// SetFaults replaces the faults in force.
func (s *Store) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Faults returns the faults in force.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Totals returns how many appends and payload bytes took effect so far.
func (s *Store) Totals() (appends, bytes uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.appends, s.bytes
}

// Append implements platform.Log.
func (s *Store) Append(ctx context.Context, name string, payload []byte) (uint64, error) {
	if err := s.delay(ctx); err != nil {
		return 0, platform.ErrUnavailable
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return 0, platform.ErrUnavailable
	}
	if s.faults.HoldAppends > 0 {
		s.faults.HoldAppends--
		s.held = append(s.held, inFlight{stream: name, payload: append([]byte(nil), payload...)})
		return 0, platform.ErrUnknownOutcome
	}
	st := s.stream(name)
	offset := s.add(st, payload)
	if s.faults.DoubleAppends > 0 {
		s.faults.DoubleAppends--
		s.add(st, payload)
	}
	st.wake()
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, platform.ErrUnknownOutcome
	}
	return offset, nil
}

// Land lets the held appends take effect, in the order they came.
func (s *Store) Land() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, h := range s.held {
		st := s.stream(h.stream)
		s.add(st, h.payload)
		st.wake()
	}
	s.held = nil
}

// Held returns how many appends are in flight.
func (s *Store) Held() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.held)
}

// wake ends the waits of readers at the tail. The store's lock must be held.
func (st *stream) wake() {
	close(st.changed)
	st.changed = make(chan struct{})
}

func (s *Store) add(st *stream, payload []byte) uint64 {
	offset := st.oldest + uint64(len(st.entries))
	kept := append([]byte(nil), payload...)
	st.entries = append(st.entries, stored{payload: kept, at: s.options.Now()})
	s.appends++
	s.bytes += uint64(len(payload))
	s.trim(st)
	return offset
}

func (s *Store) trim(st *stream) {
	drop := 0
	if n := s.options.RetainEntries; n > 0 && len(st.entries) > n {
		drop = len(st.entries) - n
	}
	if d := s.options.RetainFor; d > 0 {
		limit := s.options.Now().Add(-d)
		for drop < len(st.entries) && st.entries[drop].at.Before(limit) {
			drop++
		}
	}
	st.entries = st.entries[drop:]
	st.oldest += uint64(drop)
}

// Read implements platform.Log.
func (s *Store) Read(ctx context.Context, name string, from uint64, limit int, wait time.Duration) (platform.ReadResult, error) {
	if err := s.delay(ctx); err != nil {
		return platform.ReadResult{}, platform.ErrUnavailable
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		res, changed, err := s.readNow(name, from, limit)
		if err != nil || len(res.Entries) > 0 || wait <= 0 {
			return res, err
		}
		select {
		case <-changed:
		case <-timer.C:
			return res, nil
		case <-ctx.Done():
			return res, platform.ErrUnavailable
		}
	}
}

func (s *Store) readNow(name string, from uint64, limit int) (platform.ReadResult, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.faults.Down {
		return platform.ReadResult{}, nil, platform.ErrUnavailable
	}
	st := s.stream(name)
	s.trim(st)
	res := platform.ReadResult{Oldest: st.oldest, Next: st.oldest + uint64(len(st.entries))}
	if from < st.oldest {
		return res, nil, platform.ErrTrimmed
	}
	for o := from; o < res.Next && len(res.Entries) < limit; o++ {
		res.Entries = append(res.Entries, platform.Entry{Offset: o, Payload: st.entries[o-st.oldest].payload})
	}
	return res, st.changed, nil
}

func (s *Store) stream(name string) *stream {
	st, ok := s.streams[name]
	if !ok {
		st = &stream{changed: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Store) delay(ctx context.Context) error {
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
