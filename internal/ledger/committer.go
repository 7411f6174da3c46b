package ledger

import (
	"context"
	"errors"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/ident"
	"chervilridge/internal/recordlog"
)

// MaxAppendBytes is the largest payload of one append. A record that alone exceeds
// it is rejected.
const MaxAppendBytes = 1 << 20

const (
	maxBatchRecords = 512  // records in one append
	queueCapacity   = 4096 // records that wait for an append
	// recordOverheadBytes bounds what a batch adds to each encoded record.
	recordOverheadBytes = 8
)

// AppendLimiter limits the rate of appends.
type AppendLimiter interface {
	// Wait blocks until the next append may be sent. It fails if the context ends.
	Wait(ctx context.Context) error
}

// Committer appends records to one stream. It puts all waiting records into one
// append and limits the appends per second. It is safe for concurrent use.
type Committer struct {
	log      recordlog.Log
	stream   string
	author   string
	limiter  AppendLimiter
	replay   replayTracker // delivers the results of the appended records
	queue    chan *pending
	deferred *pending // dequeued but did not fit into the append; used by Run only
}

// replayTracker is the part of a follower that a committer needs.
type replayTracker interface {
	registerWaiter(id string) <-chan ApplyResult
	unregisterWaiter(id string, waiter <-chan ApplyResult)
	hasWaiter(id string) bool
	newestReadSeq() uint64
	awaitTail(ctx context.Context, afterSeq uint64, stop func() bool)
}

// pending is a record that a caller of Commit waits for.
type pending struct {
	rec  *pb.Record // private copy, never changed
	size int        // bytes that the record takes in a batch

	mu         sync.Mutex
	submitted  bool       // part of an append that was or will be sent
	callerDone bool       // the caller has its result or has given up
	failed     chan error // receives the error of an append that had no effect
}

// NewCommitter returns a committer that appends to the follower's stream and gets
// the results of its records from the follower. author is set in records that
// have none.
func NewCommitter[M StateMachine](log recordlog.Log, follower *Follower[M], author string, appendsPerSecond int64) *Committer {
	return &Committer{
		log: log, stream: follower.stream, author: author, replay: follower,
		limiter: rate.NewLimiter(rate.Limit(appendsPerSecond), 1),
		queue:   make(chan *pending, queueCapacity),
	}
}

// SetLimiter replaces the rate limiter. It must be called before Run.
func (c *Committer) SetLimiter(l AppendLimiter) { c.limiter = l }

// QueueLen returns the number of records that wait for an append.
func (c *Committer) QueueLen() int { return len(c.queue) }

// Commit appends the record and waits until the follower has replayed it. It
// fails with outcome "not run" if the record certainly is not in the log, and with
// "unknown" if the context ended while it may be in the log. It sets the record's
// time, and its id and author if they are empty.
func (c *Committer) Commit(ctx context.Context, rec *pb.Record) (ApplyResult, error) {
	p, err := c.prepare(rec)
	if err != nil {
		return ApplyResult{}, err
	}
	result := c.replay.registerWaiter(rec.Id)
	select {
	case c.queue <- p:
	default:
		c.replay.unregisterWaiter(rec.Id, result)
		return ApplyResult{}, fault.New(fault.CodeOverloaded, fault.StepAppend, c.stream, "append queue is full")
	}
	return c.awaitResult(ctx, p, result)
}

// prepare fills in the record's id, author and time. It rejects a record that
// cannot be encoded or is too large here, since it would make the append fail for
// the other records of its batch.
func (c *Committer) prepare(rec *pb.Record) (*pending, error) {
	if rec.Id == "" {
		rec.Id = ident.New()
	}
	if rec.Author == "" {
		rec.Author = c.author
	}
	rec.TimeMs = time.Now().UnixMilli()
	data, err := proto.Marshal(rec)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeBadRequest, fault.StepAppend, c.stream, "record cannot be encoded")
	}
	size := len(data) + recordOverheadBytes
	if size > MaxAppendBytes {
		return nil, fault.Newf(fault.CodeTooLarge, fault.StepAppend, c.stream, "record of %d bytes exceeds the limit of %d bytes", size, MaxAppendBytes)
	}
	return &pending{rec: proto.CloneOf(rec), size: size, failed: make(chan error, 1)}, nil
}

// awaitResult waits for the result, a failed append or the end of the context.
func (c *Committer) awaitResult(ctx context.Context, p *pending, result <-chan ApplyResult) (ApplyResult, error) {
	select {
	case v := <-result:
		p.markCallerDone()
		return v, nil
	case err := <-p.failed:
		c.replay.unregisterWaiter(p.rec.Id, result)
		return ApplyResult{}, err
	case <-ctx.Done():
		c.replay.unregisterWaiter(p.rec.Id, result)
		return ApplyResult{}, c.withdraw(p, ctx.Err())
	}
}

// withdraw keeps the record from being appended unless it was submitted already,
// and returns the error for its caller.
func (c *Committer) withdraw(p *pending, cause error) error {
	if p.markCallerDone() {
		return fault.Wrap(cause, fault.CodeOutcomeUnknown, fault.StepAppend, c.stream, "record was submitted, but not read back in time").WithOutcome(fault.Unknown)
	}
	return fault.Wrap(cause, fault.CodeLogDown, fault.StepAppend, c.stream, "record was not submitted in time")
}

// markSubmitted marks the record as part of an append and returns true, unless its
// caller has given up.
func (p *pending) markSubmitted() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.submitted = p.submitted || !p.callerDone
	return !p.callerDone
}

// markCallerDone records that the caller no longer waits, and reports whether the
// record was submitted.
func (p *pending) markCallerDone() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.callerDone = true
	return p.submitted
}

// Run appends queued records until the context ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		first := c.nextPending(ctx)
		if first == nil || c.limiter.Wait(ctx) != nil {
			return
		}
		c.appendGroup(ctx, c.collectGroup(first))
	}
}

// nextPending waits for the next record. It returns nil if the context ends.
func (c *Committer) nextPending(ctx context.Context) *pending {
	if p := c.deferred; p != nil {
		c.deferred = nil
		return p
	}
	select {
	case p := <-c.queue:
		return p
	case <-ctx.Done():
		return nil
	}
}

// collectGroup returns the first record and all queued records that fit with it
// into one append. It skips records whose caller has given up.
func (c *Committer) collectGroup(first *pending) []*pending {
	var group []*pending
	size := 0
	for p := first; p != nil; p = c.tryDequeue() {
		if size+p.size > MaxAppendBytes {
			c.deferred = p
			return group
		}
		if !p.markSubmitted() {
			continue
		}
		group = append(group, p)
		size += p.size
		if len(group) == maxBatchRecords {
			return group
		}
	}
	return group
}

// tryDequeue returns the next queued record, or nil if there is none.
func (c *Committer) tryDequeue() *pending {
	select {
	case p := <-c.queue:
		return p
	default:
		return nil
	}
}

// appendGroup appends the group. If the outcome is unknown, it waits until the
// follower has read to the tail and appends the missing records again. They keep
// their ids, so if both copies are in the log, replay rejects the later one.
func (c *Committer) appendGroup(ctx context.Context, group []*pending) {
	outcomeUnknown := false
	for len(group) > 0 {
		seqBefore := c.replay.newestReadSeq()
		err := c.appendBatch(ctx, group)
		switch {
		case err == nil:
			return
		case errors.Is(err, recordlog.ErrUnavailable) && !outcomeUnknown:
			c.failAll(group, err)
			return
		case !outcomeUnknown:
			events.AppendOutcomeUnknown.LogError(err, "stream", c.stream, "records", len(group))
		}
		outcomeUnknown = true
		group = c.findMissing(ctx, group, max(seqBefore, c.replay.newestReadSeq()))
		if c.limiter.Wait(ctx) != nil {
			return
		}
	}
	if outcomeUnknown {
		events.AppendOutcomeResolved.Log("stream", c.stream)
	}
}

func (c *Committer) appendBatch(ctx context.Context, group []*pending) error {
	batch := &pb.Batch{}
	for _, p := range group {
		batch.Records = append(batch.Records, p.rec)
	}
	payload, err := proto.Marshal(batch)
	if err != nil {
		return err
	}
	_, err = c.log.Append(ctx, c.stream, payload)
	return err
}

// findMissing waits for a read that was sent after the append failed and that
// reached the tail. It returns the records that were not read by then and whose
// callers still wait.
func (c *Committer) findMissing(ctx context.Context, group []*pending, afterSeq uint64) []*pending {
	c.replay.awaitTail(ctx, afterSeq, func() bool { return len(c.filterAwaited(group)) == 0 })
	return c.filterAwaited(group)
}

// filterAwaited returns the records of the group that have no result yet and whose
// callers still wait.
func (c *Committer) filterAwaited(group []*pending) []*pending {
	var awaited []*pending
	for _, p := range group {
		if c.replay.hasWaiter(p.rec.Id) {
			awaited = append(awaited, p)
		}
	}
	return awaited
}

// failAll reports to all callers of the group that the append had no effect.
func (c *Committer) failAll(group []*pending, cause error) {
	err := fault.Wrap(cause, fault.CodeLogDown, fault.StepAppend, c.stream, "log rejected the append")
	for _, p := range group {
		p.failed <- err
	}
}
