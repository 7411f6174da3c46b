// Package bodylimit reads HTTP request bodies within a budget of bytes that all requests of a
// process share.
package bodylimit

import (
	"errors"
	"io"
	"net/http"
	"os"
	"sync"
	"time"

	"chervilridge/internal/connlimit"
)

const (
	// firstChunkBytes and maxChunkBytes are the sizes of the first and the largest buffers that a
	// body is read into. Buffers grow with what has arrived, never by a declared length.
	firstChunkBytes = 512
	maxChunkBytes   = 32 << 10
	// smallBodyBytes is the size up to which a body may use the reserve. Nearly all jobs and
	// requests are smaller.
	smallBodyBytes = 16 << 10
	// reserveShare is the part of the budget that only small bodies may use: one in reserveShare.
	reserveShare = 4
	// stallTime is the time without a byte after which a body may be refused for another.
	stallTime = 500 * time.Millisecond
	// A body that has been read for slowAge at less than slowBytesPerSecond may be refused for
	// another, after those that stall.
	slowAge            = 2 * time.Second
	slowBytesPerSecond = 16 << 10
	// releaseTimeout bounds the wait for the bytes of a body that was refused for this one.
	releaseTimeout = 250 * time.Millisecond
	// drainTime is how long the rest of a refused body, or of one that no handler reads, is read and
	// discarded, so that a client that is still sending sees the response.
	drainTime = 250 * time.Millisecond
)

// Errors of Read. The request has not been handled.
var (
	// ErrExhausted means that the budget has no room, or that another body got the room.
	ErrExhausted = errors.New("too many request bodies in flight")
	// ErrTooLarge means that the body exceeds the limit.
	ErrTooLarge = errors.New("request body too large")
	// ErrDeadline means that the body was not complete by the deadline.
	ErrDeadline = errors.New("request body not complete by the deadline")
)

// Reasons of refusals.
const (
	ReasonExhausted = "body_budget"   // a new body, or one that could not grow
	ReasonStalled   = "body_stalled"  // a body without progress, for another
	ReasonSlow      = "body_slow"     // a body with little progress, for another
	ReasonYoungest  = "body_youngest" // a body that began after another one
	ReasonDeadline  = "body_deadline"
	ReasonTooLarge  = "body_too_large"
)

// Budget is the number of bytes that bodies in flight may take. It is safe for concurrent use.
type Budget struct {
	general, reserve int64
	refused          func(reason string)

	mu                       sync.Mutex
	usedGeneral, usedReserve int64
	reading                  map[*reader]struct{} // bodies that are not complete
	released                 chan struct{}        // closed and replaced when bytes are released
}

// New returns a budget. A part of it is reserved for small bodies. refused is called for each
// refused body with a reason, unless it is nil.
func New(bytes int64, refused func(reason string)) *Budget {
	if refused == nil {
		refused = func(string) {}
	}
	return &Budget{
		general: bytes - bytes/reserveShare, reserve: bytes / reserveShare, refused: refused,
		reading: map[*reader]struct{}{}, released: make(chan struct{}),
	}
}

// InFlight returns the bytes that bodies take now.
func (b *Budget) InFlight() int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.usedGeneral + b.usedReserve
}

// Body is a complete body. Its bytes count as in flight until Release.
type Body struct {
	Bytes  []byte
	budget *Budget
	charge charge
}

// Release gives the bytes back to the budget. Calling it again has no effect.
func (b *Body) Release() {
	if b.budget == nil {
		return
	}
	b.budget.mu.Lock()
	b.budget.release(&b.charge)
	b.budget.mu.Unlock()
	b.budget = nil
}

// charge is what a body takes of the budget.
type charge struct{ general, reserve int64 }

func (c charge) sum() int64 { return c.general + c.reserve }

// reader is a body that is being read. Its fields are guarded by the budget's mu.
type reader struct {
	charge       charge
	small        bool // may use the reserve
	started      time.Time
	lastProgress time.Time
	received     int64
	waiting      bool   // for bytes of the budget, not for the client
	refusedFor   string // reason; empty unless another body got the room
	abort        func() // ends a pending read
}

// Read reads the body of a request, of at most limit bytes, until the deadline. A limit of 0 or less
// means the whole budget. After an error the rest of the body is left to net/http, with a short
// deadline; except for ErrTooLarge, the connection is closed after the response.
func (b *Budget) Read(w http.ResponseWriter, r *http.Request, limit int64, deadline time.Time) (*Body, error) {
	if r.Body == nil || r.Body == http.NoBody || r.ContentLength == 0 {
		return &Body{}, nil
	}
	if limit <= 0 {
		limit = b.general
	}
	control := http.NewResponseController(w)
	if r.ContentLength > limit {
		b.refuse(w, control, ErrTooLarge, ReasonTooLarge)
		return nil, ErrTooLarge
	}
	now := time.Now()
	rd := &reader{
		small: r.ContentLength <= smallBodyBytes, started: now, lastProgress: now,
		abort: func() { _ = control.SetReadDeadline(time.Unix(1, 0)) },
	}
	_ = control.SetReadDeadline(deadline)
	b.mu.Lock()
	b.reading[rd] = struct{}{}
	b.mu.Unlock()
	connlimit.SetReadsBody(r.Context(), true)
	chunks, err := b.readChunks(rd, r.Body, limit)
	connlimit.SetReadsBody(r.Context(), false)
	reason, err := b.finish(rd, err)
	if err != nil {
		chunks = nil
		b.mu.Lock()
		b.release(&rd.charge)
		b.mu.Unlock()
		b.refuse(w, control, err, reason)
		return nil, err
	}
	_ = control.SetReadDeadline(time.Time{}) // net/http reads on while the request is handled
	return b.join(rd, chunks), nil
}

// refuse prepares the response to a body that was not read completely.
func (b *Budget) refuse(w http.ResponseWriter, control *http.ResponseController, err error, reason string) {
	if reason != "" {
		b.refused(reason)
	}
	drain := time.Now().Add(drainTime)
	switch {
	case errors.Is(err, ErrTooLarge):
	case reason == ReasonStalled, reason == ReasonSlow, reason == ReasonDeadline:
		drain = time.Unix(1, 0) // the client is not sending
		fallthrough
	default:
		w.Header().Set("Connection", "close")
	}
	_ = control.SetReadDeadline(drain)
}

// readChunks reads the body into chunks of rising size.
func (b *Budget) readChunks(rd *reader, body io.Reader, limit int64) ([][]byte, error) {
	var chunks [][]byte
	var total int64
	size := int64(firstChunkBytes)
	for {
		space := min(size, limit+1-total)
		if err := b.grow(rd, space); err != nil {
			return nil, err
		}
		chunk := make([]byte, 0, space)
		for len(chunk) < cap(chunk) {
			n, err := body.Read(chunk[len(chunk):cap(chunk)])
			chunk = chunk[:len(chunk)+n]
			total += int64(n)
			if n > 0 {
				b.progress(rd, total)
			}
			if err != nil && err != io.EOF {
				return nil, err
			}
			if total > limit {
				return nil, ErrTooLarge
			}
			if err == io.EOF {
				return append(chunks, chunk), nil
			}
		}
		chunks = append(chunks, chunk)
		size = min(2*size, maxChunkBytes)
	}
}

func (b *Budget) progress(rd *reader, received int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	rd.received, rd.lastProgress = received, time.Now()
}

// finish ends the reading of a body. It returns the error and the reason of a refusal, which
// another body may have caused.
func (b *Budget) finish(rd *reader, err error) (string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.reading, rd)
	switch {
	case rd.refusedFor != "":
		return rd.refusedFor, ErrExhausted
	case errors.Is(err, ErrExhausted):
		return ReasonExhausted, err
	case errors.Is(err, ErrTooLarge):
		return ReasonTooLarge, err
	case errors.Is(err, os.ErrDeadlineExceeded):
		return ReasonDeadline, ErrDeadline
	}
	return "", err
}

// joining serializes the joins of chunks: each takes its body's size twice for a moment, beyond the
// budget, because a body that was read completely is never refused.
var joining sync.Mutex

// join returns the chunks as one body that is charged with its size.
func (b *Budget) join(rd *reader, chunks [][]byte) *Body {
	var total int64
	for _, c := range chunks {
		total += int64(len(c))
	}
	bytes := chunks[0]
	if len(chunks) > 1 {
		joining.Lock()
		defer joining.Unlock()
		bytes = make([]byte, 0, total)
		for i, c := range chunks {
			bytes = append(bytes, c...)
			chunks[i] = nil
		}
	}
	body := &Body{Bytes: bytes, budget: b, charge: rd.charge}
	b.mu.Lock()
	defer b.mu.Unlock()
	surplus := charge{general: min(body.charge.general, body.charge.sum()-int64(cap(bytes)))}
	surplus.reserve = body.charge.sum() - int64(cap(bytes)) - surplus.general
	body.charge.general -= surplus.general
	body.charge.reserve -= surplus.reserve
	b.release(&surplus)
	return body
}

// release gives a charge back. The caller holds mu.
func (b *Budget) release(c *charge) {
	if c.sum() == 0 {
		return
	}
	b.usedGeneral -= c.general
	b.usedReserve -= c.reserve
	*c = charge{}
	b.wake()
}

// wake has all bodies that wait for bytes look again. The caller holds mu.
func (b *Budget) wake() {
	close(b.released)
	b.released = make(chan struct{})
}

// grow charges n more bytes to a body. If there is no room, a body with less progress is refused for
// it; if there is none, this one is.
func (b *Budget) grow(rd *reader, n int64) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	timeout := time.NewTimer(releaseTimeout)
	defer timeout.Stop()
	for {
		switch {
		case rd.refusedFor != "":
			return ErrExhausted
		case b.take(rd, n):
			rd.lastProgress = time.Now()
			return nil
		case !b.refuseAnother(rd, n):
			return ErrExhausted
		}
		rd.waiting = true
		released := b.released
		b.mu.Unlock()
		expired := false
		select {
		case <-released:
		case <-timeout.C:
			expired = true
		}
		b.mu.Lock()
		rd.waiting = false
		if expired {
			return ErrExhausted
		}
	}
}

// take charges n bytes to a body if there is room. A body that has the general part to itself may
// exceed it, so that the largest legal body is served where there is no other load.
func (b *Budget) take(rd *reader, n int64) bool {
	switch {
	case b.usedGeneral+n <= b.general, b.usedGeneral == rd.charge.general:
		b.usedGeneral += n
		rd.charge.general += n
	case rd.mayUseReserve(n) && b.usedReserve+n <= b.reserve:
		b.usedReserve += n
		rd.charge.reserve += n
	default:
		return false
	}
	return true
}

// mayUseReserve reports whether the next n bytes of a body may be charged to the reserve.
func (rd *reader) mayUseReserve(n int64) bool {
	return rd.small && rd.charge.sum()+n <= 2*smallBodyBytes
}

// refuseAnother refuses a body for the next n bytes of rd: the one without progress for longest, else the
// slowest, else the youngest, if that is not rd itself. Bodies whose bytes rd can't use, because they are
// in the reserve, are left. It returns false if there is none, and true if one was refused now
// or earlier and has yet to give its bytes back.
func (b *Budget) refuseAnother(rd *reader, n int64) bool {
	now := time.Now()
	var stalled, slow, youngest *reader
	pending := false
	for other := range b.reading {
		switch {
		case other == rd || other.charge.sum() == 0:
			continue
		case other.charge.general == 0 && !rd.mayUseReserve(n):
			continue
		case other.refusedFor != "":
			pending = true
			continue
		}
		age := now.Sub(other.started)
		if !other.waiting && now.Sub(other.lastProgress) >= stallTime && (stalled == nil || other.lastProgress.Before(stalled.lastProgress)) {
			stalled = other
		}
		if age >= slowAge && other.rate(now) < slowBytesPerSecond && (slow == nil || other.rate(now) < slow.rate(now)) {
			slow = other
		}
		if other.started.After(rd.started) && (youngest == nil || other.started.After(youngest.started)) {
			youngest = other
		}
	}
	switch {
	case stalled != nil:
		b.refuseFor(stalled, ReasonStalled)
	case pending:
	case slow != nil:
		b.refuseFor(slow, ReasonSlow)
	case youngest != nil:
		b.refuseFor(youngest, ReasonYoungest)
	default:
		return false
	}
	return true
}

// rate returns the bytes per second since the start of the body.
func (rd *reader) rate(now time.Time) float64 {
	return float64(rd.received) / now.Sub(rd.started).Seconds()
}

// refuseFor refuses a body for another one. The body may itself be waiting for bytes.
func (b *Budget) refuseFor(rd *reader, reason string) {
	rd.refusedFor = reason
	rd.abort()
	b.wake()
}
