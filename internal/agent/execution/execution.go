// Package execution records the outcome of each request, so that no request runs twice and its
// outcome can be queried later.
package execution

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
)

const (
	shardCount = 16
	// fenceRetention is longer than the longest deadline of a request (10 minutes), so that a
	// hand-off that was delayed until its deadline is still rejected.
	fenceRetention = 15 * time.Minute
	// maxFences limits the fences in each shard. A fence is the record of a request that was
	// resolved as not run before it arrived.
	maxFences = 4096
	// maxQueryTransit is the longest time that a query may take to arrive while its caller
	// still accepts the reply.
	maxQueryTransit = 5 * time.Second
	// recordOverheadBytes is the estimated memory of a record without its answer.
	recordOverheadBytes = 512
)

// Options limit what the store keeps.
type Options struct {
	// Retention is how long an outcome is kept after the request was settled.
	Retention time.Duration
	// MaxBytes limits the memory of settled outcomes. Above it, the oldest outcomes of
	// repeatable requests are forgotten, and then the oldest answers of the others are
	// dropped. 0 means no limit.
	MaxBytes int64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Store holds the outcomes, in shards with a lock each.
type Store struct {
	options Options
	bytes   atomic.Int64
	shards  [shardCount]storeShard
}

// storeShard holds a subset of the requests. mu guards the shard and its records.
type storeShard struct {
	mu        sync.Mutex
	records   map[string]*record
	evictable []*record // settled, may be forgotten before the retention ends; oldest first
	retained  []*record // settled, kept until the retention ends; oldest first
	fences    []*record // resolved as not run before they arrived; oldest first
	// lastForgotten is the settling time of the newest outcome that was forgotten.
	// lastRetainedForgotten is the same without the outcomes that may be forgotten early.
	lastForgotten         time.Time
	lastRetainedForgotten time.Time
}

// RequestInfo describes a request apart from its id.
type RequestInfo struct {
	// Digest identifies the client, service, content type and body. It tells requests with the
	// same id apart; 0 means unknown.
	Digest uint64
	// Repeatable allows the outcome to be forgotten before the retention ends.
	Repeatable bool
}

// record is the state of one request. settledAt and reply are set when it is settled.
type record struct {
	id        string
	info      RequestInfo
	done      chan struct{} // closed when reply is set
	reply     *pb.ExecuteReply
	settledAt time.Time
}

// evictable reports whether a settled outcome may be forgotten before the retention ends. That
// includes requests that did not run: running one of them later repeats nothing.
func (rec *record) evictable() bool {
	return rec.info.Repeatable || rec.reply.Outcome == pb.Outcome_OUTCOME_NOT_RUN
}

// BeginResult is the result of Begin.
type BeginResult int

const (
	// Accepted means that the id is new: the caller must run the request and settle it.
	Accepted BeginResult = iota
	// Duplicate means that the request was seen before and must not run again.
	Duplicate
	// IDConflict means that a different request has used the id.
	IDConflict
)

// Query asks for the outcome of a request.
type Query struct {
	ID string
	// Wait is how long to wait for a running request.
	Wait time.Duration
	// Age is the time since the hand-off of the request began, or 0 if unknown.
	Age time.Duration
	// Peek leaves an id that was never seen unfenced, so that the request can still run.
	Peek bool
	// Once states that the request must not be repeated, so that its outcome is not forgotten
	// early.
	Once bool
}

// NewStore returns an empty store.
func NewStore(options Options) *Store {
	if options.Now == nil {
		options.Now = time.Now
	}
	s := &Store{options: options}
	for i := range s.shards {
		s.shards[i].records = map[string]*record{}
	}
	return s
}

func (s *Store) shard(id string) *storeShard { return &s.shards[xxhash.Sum64String(id)%shardCount] }

// Begin records that the request is about to run. The caller may run it only if the result
// is Accepted.
func (s *Store) Begin(id string, info RequestInfo) BeginResult {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	existing := sh.records[id]
	switch {
	case existing == nil:
		sh.records[id] = &record{id: id, info: info, done: make(chan struct{})}
		return Accepted
	case existing.info.Digest != 0 && existing.info.Digest != info.Digest:
		return IDConflict
	}
	return Duplicate
}

// Settle sets the final outcome of a request that Begin accepted. It must be called once.
func (s *Store) Settle(id string, reply *pb.ExecuteReply) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	rec := sh.records[id]
	s.settle(sh, rec, reply)
	if rec.evictable() {
		sh.evictable = append(sh.evictable, rec)
	} else {
		sh.retained = append(sh.retained, rec)
	}
	s.enforceMemoryLimit(sh)
}

func (s *Store) settle(sh *storeShard, rec *record, reply *pb.ExecuteReply) {
	rec.reply = reply
	rec.settledAt = s.options.Now()
	close(rec.done)
	s.bytes.Add(memoryCost(rec))
	s.expire(sh, rec.settledAt)
}

func memoryCost(rec *record) int64 { return recordOverheadBytes + int64(len(rec.reply.Body)) }

// expire forgets the outcomes that were settled longer ago than the retention, and the fences
// set longer ago than both the retention and fenceRetention.
func (s *Store) expire(sh *storeShard, now time.Time) {
	sh.evictable = s.expireQueue(sh, sh.evictable, now.Add(-s.options.Retention))
	sh.retained = s.expireQueue(sh, sh.retained, now.Add(-s.options.Retention))
	sh.fences = s.expireQueue(sh, sh.fences, now.Add(-max(s.options.Retention, fenceRetention)))
}

// expireQueue forgets the records settled before limit and returns the rest of the queue.
func (s *Store) expireQueue(sh *storeShard, queue []*record, limit time.Time) []*record {
	for len(queue) > 0 && queue[0].settledAt.Before(limit) {
		s.forget(sh, queue[0])
		queue = queue[1:]
	}
	return queue
}

// forget deletes a record and remembers when the newest deleted one was settled.
func (s *Store) forget(sh *storeShard, rec *record) {
	delete(sh.records, rec.id)
	s.bytes.Add(-memoryCost(rec))
	if rec.settledAt.After(sh.lastForgotten) {
		sh.lastForgotten = rec.settledAt
	}
	if !rec.evictable() && rec.settledAt.After(sh.lastRetainedForgotten) {
		sh.lastRetainedForgotten = rec.settledAt
	}
}

// enforceMemoryLimit reduces the shard until the store is below MaxBytes. It always keeps the
// newest outcome of each kind.
func (s *Store) enforceMemoryLimit(sh *storeShard) {
	if s.options.MaxBytes <= 0 {
		return
	}
	for s.bytes.Load() > s.options.MaxBytes && len(sh.evictable) > 1 {
		s.forget(sh, sh.evictable[0])
		sh.evictable = sh.evictable[1:]
	}
	for i := 0; i < len(sh.retained)-1 && s.bytes.Load() > s.options.MaxBytes; i++ {
		s.dropAnswer(sh.retained[i])
	}
}

// dropAnswer replaces the answer of a record by the fact that the request ran.
func (s *Store) dropAnswer(rec *record) {
	if len(rec.reply.Body) == 0 {
		return
	}
	s.bytes.Add(-int64(len(rec.reply.Body)))
	rec.reply = &pb.ExecuteReply{
		RequestId: rec.id, Outcome: rec.reply.Outcome, Status: rec.reply.Status, AnswerGone: true,
		Detail: "request ran; its answer is no longer kept",
	}
}

// Resolve returns the outcome of a request and waits up to q.Wait for a running one. An id that
// was never seen is fenced, so that its request can no longer run, unless q.Peek is set.
func (s *Store) Resolve(ctx context.Context, q Query) *pb.ExecuteReply {
	sh := s.shard(q.ID)
	sh.mu.Lock()
	rec := sh.records[q.ID]
	if rec == nil {
		defer sh.mu.Unlock()
		return s.resolveUnseen(sh, q)
	}
	sh.mu.Unlock()
	if !waitSettled(ctx, rec, q.Wait) {
		return &pb.ExecuteReply{RequestId: q.ID, Outcome: pb.Outcome_OUTCOME_RUNNING, Detail: "request is running"}
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return rec.reply
}

// resolveUnseen returns the outcome of an id without a record. "Not run" requires proof that
// the record was not forgotten, and a fence that keeps the request from running later.
func (s *Store) resolveUnseen(sh *storeShard, q Query) *pb.ExecuteReply {
	if q.Peek {
		return unknownReply(q.ID, "request has not been seen")
	}
	if !s.provablyUnseen(sh, q) {
		events.OutcomeExpired.Log("request", q.ID, "age", q.Age)
		return unknownReply(q.ID, "request may have run; outcomes from that time are no longer kept")
	}
	if len(sh.fences) >= maxFences {
		return unknownReply(q.ID, "too many unseen requests are fenced")
	}
	rec := &record{id: q.ID, done: make(chan struct{})}
	sh.records[q.ID] = rec
	sh.fences = append(sh.fences, rec)
	s.settle(sh, rec, fencedReply(q.ID))
	return rec.reply
}

// provablyUnseen reports whether the request would still have a record if it had been seen. Its
// outcome cannot have been settled before its hand-off began, so a hand-off after the newest
// forgotten outcome proves it. If q.Once is set, outcomes that may be forgotten early (see
// record.evictable) are ignored: a request that must not be repeated has one only if it did not
// run.
func (s *Store) provablyUnseen(sh *storeShard, q Query) bool {
	lastForgotten := sh.lastForgotten
	if q.Once {
		lastForgotten = sh.lastRetainedForgotten
	}
	if lastForgotten.IsZero() {
		return true
	}
	return q.Age > 0 && s.options.Now().Add(-q.Age-maxQueryTransit).After(lastForgotten)
}

// waitSettled waits until the record is settled and reports whether it is.
func waitSettled(ctx context.Context, rec *record, wait time.Duration) bool {
	select {
	case <-rec.done:
		return true
	default:
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-rec.done:
		return true
	case <-t.C:
	case <-ctx.Done():
	}
	return false
}

func unknownReply(id, detail string) *pb.ExecuteReply {
	return &pb.ExecuteReply{RequestId: id, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Detail: detail}
}

func fencedReply(id string) *pb.ExecuteReply {
	return &pb.ExecuteReply{
		RequestId: id, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Refusal: pb.Refusal_REFUSAL_FENCED,
		Detail: "request was never seen and is fenced from running",
	}
}

// Len returns the number of requests on record.
func (s *Store) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.Lock()
		n += len(s.shards[i].records)
		s.shards[i].mu.Unlock()
	}
	return n
}

// Bytes returns the estimated memory of the settled outcomes, in bytes.
func (s *Store) Bytes() int64 { return s.bytes.Load() }
