// Package execution remembers what became of each request, so that none runs
// twice and its outcome can be asked for again.
package execution

import (
	"context"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "chervilridge/api/chervil/v1"
)

const shardCount = 16

// Store holds the outcomes in shards with a lock each. An outcome is kept for
// the retention after it was settled.
type Store struct {
	retention time.Duration
	shards    [shardCount]storeShard
}

type storeShard struct {
	mu      sync.Mutex
	records map[string]*record
	settled []settled // oldest first
}

type settled struct {
	id string
	at time.Time
}

type record struct {
	done  chan struct{} // closed when reply is set
	reply *pb.ExecuteReply
}

// NewStore returns an empty store.
func NewStore(retention time.Duration) *Store {
	s := &Store{retention: retention}
	for i := range s.shards {
		s.shards[i].records = map[string]*record{}
	}
	return s
}

func (s *Store) shard(id string) *storeShard { return &s.shards[xxhash.Sum64String(id)%shardCount] }

// Begin enters a request. It returns false if the id is known: the request
// must not be run again.
func (s *Store) Begin(id string) bool {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	if sh.records[id] != nil {
		return false
	}
	sh.records[id] = &record{done: make(chan struct{})}
	return true
}

// Settle sets the final outcome of a request that Begin entered.
func (s *Store) Settle(id string, reply *pb.ExecuteReply) {
	sh := s.shard(id)
	sh.mu.Lock()
	defer sh.mu.Unlock()
	sh.settle(id, reply, s.retention)
}

func (sh *storeShard) settle(id string, reply *pb.ExecuteReply, retention time.Duration) {
	rec := sh.records[id]
	rec.reply = reply
	close(rec.done)
	now := time.Now()
	sh.settled = append(sh.settled, settled{id, now})
	for len(sh.settled) > 0 && now.Sub(sh.settled[0].at) > retention {
		delete(sh.records, sh.settled[0].id)
		sh.settled = sh.settled[1:]
	}
}

// Resolve returns the outcome of a request, waiting up to wait for a running
// one. An unknown id is refused for good: it will not run later.
func (s *Store) Resolve(ctx context.Context, id string, wait time.Duration) *pb.ExecuteReply {
	sh := s.shard(id)
	sh.mu.Lock()
	rec := sh.records[id]
	if rec == nil {
		rec = &record{done: make(chan struct{})}
		sh.records[id] = rec
		sh.settle(id, fenced(id), s.retention)
	}
	sh.mu.Unlock()
	return await(ctx, id, rec, wait)
}

func await(ctx context.Context, id string, rec *record, wait time.Duration) *pb.ExecuteReply {
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-rec.done:
		return rec.reply
	case <-t.C:
	case <-ctx.Done():
	}
	return &pb.ExecuteReply{RequestId: id, Outcome: pb.Outcome_OUTCOME_RUNNING, Detail: "request is running"}
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
