// Package execution remembers what became of each request, so that none runs
// twice and its outcome can be asked for again.
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
	// fenceRetention outlasts the longest deadline of a request (10 minutes), so
	// that a hand-over that was delayed for all of it still finds the refusal.
	fenceRetention = 15 * time.Minute
	// maxFences bounds the refusals of requests never seen, in each shard.
	maxFences = 4096
	// maxTransit is the longest that a question may be on its way while its asker
	// still takes the answer.
	maxTransit = 5 * time.Second
	// recordBytes is the memory of a record without its answer.
	recordBytes = 512
)

// Options bound what the store keeps.
type Options struct {
	// Retention is how long an outcome is kept after it was settled.
	Retention time.Duration
	// MaxBytes bounds the memory of settled outcomes. Above it, outcomes of
	// repeatable requests are forgotten and answers of the others dropped, oldest
	// first; 0 is no bound.
	MaxBytes int64
	// Now is the clock; nil means time.Now.
	Now func() time.Time
}

// Store holds the outcomes in shards with a lock each.
type Store struct {
	options Options
	bytes   atomic.Int64
	shards  [shardCount]storeShard
}

// storeShard holds a share of the requests. Its lock also guards the records.
type storeShard struct {
	mu      sync.Mutex
	records map[string]*record
	brief   []*record // settled, may be forgotten early; oldest first
	firm    []*record // settled, kept for the retention; oldest first
	fences  []*record // refused before they were seen; oldest first
	// forgotten and firmForgotten are when the newest forgotten outcome was
	// settled: of all, and of those that are not forgotten early.
	forgotten     time.Time
	firmForgotten time.Time
}

// Mark tells requests apart that carry the same id.
type Mark struct {
	// Owner is a digest of client, service and body.
	Owner uint64
	// Repeatable allows the outcome to be forgotten early.
	Repeatable bool
}

type record struct {
	id      string
	mark    Mark
	done    chan struct{} // closed when reply is set
	reply   *pb.ExecuteReply
	settled time.Time
}

// brief reports whether a settled outcome may be forgotten early.
func (rec *record) brief() bool {
	return rec.mark.Repeatable || rec.reply.Outcome == pb.Outcome_OUTCOME_NOT_RUN
}

// Entry is what Begin found.
type Entry int

// Results of Begin.
const (
	// Begun means that the caller must run the request and settle it.
	Begun Entry = iota
	// Known means that the request was seen before and must not be run.
	Known
	// Reused means that another request had the id.
	Reused
)

// Question asks what became of a request.
type Question struct {
	ID string
	// Wait is how long to wait for a running request.
	Wait time.Duration
	// Age is the time since the hand-over began; 0 if it is not known.
	Age time.Duration
	// Peek leaves a request never seen free to run later.
	Peek bool
	// Once says that the request must not be repeated.
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

// Begin enters a request. Only after Begun may it be run.
func (s *Store) Begin(id string, mark Mark) Entry {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	held := sh.records[id]
	switch {
	case held == nil:
		sh.records[id] = &record{id: id, mark: mark, done: make(chan struct{})}
		return Begun
	case held.mark.Owner != 0 && held.mark.Owner != mark.Owner:
		return Reused
	}
	return Known
}

// Settle sets the final outcome of a request that Begin entered.
func (s *Store) Settle(id string, reply *pb.ExecuteReply) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	rec := sh.records[id]
	s.settle(sh, rec, reply)
	if rec.brief() {
		sh.brief = append(sh.brief, rec)
	} else {
		sh.firm = append(sh.firm, rec)
	}
	s.shrink(sh)
}

func (s *Store) settle(sh *storeShard, rec *record, reply *pb.ExecuteReply) {
	rec.reply = reply
	rec.settled = s.options.Now()
	close(rec.done)
	s.bytes.Add(cost(rec))
	s.expire(sh, rec.settled)
}

func cost(rec *record) int64 { return recordBytes + int64(len(rec.reply.Body)) }

// expire forgets what was settled longer ago than the retention.
func (s *Store) expire(sh *storeShard, now time.Time) {
	sh.brief = s.expireQueue(sh, sh.brief, now.Add(-s.options.Retention))
	sh.firm = s.expireQueue(sh, sh.firm, now.Add(-s.options.Retention))
	sh.fences = s.expireQueue(sh, sh.fences, now.Add(-max(s.options.Retention, fenceRetention)))
}

func (s *Store) expireQueue(sh *storeShard, queue []*record, limit time.Time) []*record {
	for len(queue) > 0 && queue[0].settled.Before(limit) {
		s.forget(sh, queue[0])
		queue = queue[1:]
	}
	return queue
}

func (s *Store) forget(sh *storeShard, rec *record) {
	delete(sh.records, rec.id)
	s.bytes.Add(-cost(rec))
	if rec.settled.After(sh.forgotten) {
		sh.forgotten = rec.settled
	}
	if !rec.brief() && rec.settled.After(sh.firmForgotten) {
		sh.firmForgotten = rec.settled
	}
}

// shrink gets below the bound on memory, but keeps the newest outcome whole.
func (s *Store) shrink(sh *storeShard) {
	if s.options.MaxBytes <= 0 {
		return
	}
	for s.bytes.Load() > s.options.MaxBytes && len(sh.brief) > 1 {
		s.forget(sh, sh.brief[0])
		sh.brief = sh.brief[1:]
	}
	for i := 0; i < len(sh.firm)-1 && s.bytes.Load() > s.options.MaxBytes; i++ {
		s.dropAnswer(sh.firm[i])
	}
}

// dropAnswer keeps that the request ran but not what it answered.
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

// Resolve returns the outcome of a request, waiting for a running one. An id
// never seen is refused for good, unless the question only peeks.
func (s *Store) Resolve(ctx context.Context, q Question) *pb.ExecuteReply {
	sh := s.shard(q.ID)
	sh.mu.Lock()
	rec := sh.records[q.ID]
	if rec == nil {
		defer sh.mu.Unlock()
		return s.unseen(sh, q)
	}
	sh.mu.Unlock()
	if !await(ctx, rec, q.Wait) {
		return &pb.ExecuteReply{RequestId: q.ID, Outcome: pb.Outcome_OUTCOME_RUNNING, Detail: "request is running"}
	}
	sh.mu.Lock()
	defer sh.mu.Unlock()
	return rec.reply
}

// unseen answers for an id without a record. "Not run" needs proof that its
// record was not forgotten, and a refusal that stays.
func (s *Store) unseen(sh *storeShard, q Question) *pb.ExecuteReply {
	if q.Peek {
		return unknown(q.ID, "request was not seen so far")
	}
	if !s.neverSeen(sh, q) {
		events.OutcomeForgotten.Log("request", q.ID, "age", q.Age)
		return unknown(q.ID, "request may have run; outcomes of its time are no longer kept")
	}
	if len(sh.fences) >= maxFences {
		return unknown(q.ID, "too many requests are refused before they were seen")
	}
	rec := &record{id: q.ID, done: make(chan struct{})}
	sh.records[q.ID] = rec
	sh.fences = append(sh.fences, rec)
	s.settle(sh, rec, fenced(q.ID))
	return rec.reply
}

// neverSeen reports whether the request would still be remembered: its outcome
// cannot have been settled before its hand-over began. A refusal that was
// forgotten early does no harm: the request did not run.
func (s *Store) neverSeen(sh *storeShard, q Question) bool {
	forgotten := sh.forgotten
	if q.Once {
		forgotten = sh.firmForgotten
	}
	if forgotten.IsZero() {
		return true
	}
	return q.Age > 0 && s.options.Now().Add(-q.Age-maxTransit).After(forgotten)
}

func await(ctx context.Context, rec *record, wait time.Duration) bool {
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

func unknown(id, detail string) *pb.ExecuteReply {
	return &pb.ExecuteReply{RequestId: id, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Detail: detail}
}

func fenced(id string) *pb.ExecuteReply {
	return &pb.ExecuteReply{
		RequestId: id, Outcome: pb.Outcome_OUTCOME_NOT_RUN, Refusal: pb.Refusal_REFUSAL_FENCED,
		Detail: "request was never seen and will not run",
	}
}

// Len returns the number of requests remembered.
func (s *Store) Len() int {
	n := 0
	for i := range s.shards {
		s.shards[i].mu.Lock()
		n += len(s.shards[i].records)
		s.shards[i].mu.Unlock()
	}
	return n
}

// Bytes returns the memory of the settled outcomes.
func (s *Store) Bytes() int64 { return s.bytes.Load() }
