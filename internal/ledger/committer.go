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
	"chervilridge/internal/platform"
)

// MaxAppendBytes bounds one append. A record that is larger alone is refused.
const MaxAppendBytes = 1 << 20

const (
	maxBatchRecords = 512
	queueLength     = 4096
	// recordOverhead bounds the bytes that a batch adds to each record.
	recordOverhead = 8
)

// Budget says when the next append may be sent.
type Budget interface {
	Wait(ctx context.Context) error
}

// Committer appends records to one stream: all that waits goes into one
// append, within a budget of appends a second. It is safe for concurrent use.
type Committer struct {
	log     platform.Log
	stream  string
	author  string
	budget  Budget
	watcher watcher
	queue   chan *pending
	next    *pending // taken from the queue, did not fit; only Run touches it
}

// watcher is the part of a follower that a committer needs.
type watcher interface {
	expect(id string) <-chan Verdict
	unexpect(id string, waiter <-chan Verdict)
	awaits(id string) bool
	readsSent() uint64
	awaitTail(ctx context.Context, after uint64, stop func() bool)
}

// pending is a record on its way into the log.
type pending struct {
	rec  *pb.Record // a copy that nobody changes
	size int        // bytes of the encoded record

	mu     sync.Mutex
	taken  bool // part of an append that may have taken effect
	gone   bool // its caller has the verdict or has left
	failed chan error
}

// NewCommitter returns a committer whose records are read back by the follower.
func NewCommitter[M Machine](log platform.Log, follower *Follower[M], author string, appendsPerSecond int64) *Committer {
	return &Committer{
		log: log, stream: follower.stream, author: author, watcher: follower,
		budget: rate.NewLimiter(rate.Limit(appendsPerSecond), 1),
		queue:  make(chan *pending, queueLength),
	}
}

// SetBudget replaces the budget. It must be called before Run.
func (c *Committer) SetBudget(b Budget) { c.budget = b }

// Waiting returns how many records wait for an append.
func (c *Committer) Waiting() int { return len(c.queue) }

// Commit appends the record and waits for replay's verdict. It fails with
// outcome "not run" if the record certainly is not in the log, and "unknown" if
// the context ended while it may be. It sets the record's id and time.
func (c *Committer) Commit(ctx context.Context, rec *pb.Record) (Verdict, error) {
	p, err := c.prepare(rec)
	if err != nil {
		return Verdict{}, err
	}
	verdict := c.watcher.expect(rec.Id)
	select {
	case c.queue <- p:
	default:
		c.watcher.unexpect(rec.Id, verdict)
		return Verdict{}, fault.New(fault.CodeOverloaded, fault.StepAppend, c.stream, "too many records wait for the log")
	}
	return c.await(ctx, p, verdict)
}

// prepare refuses a record that cannot be encoded, before it shares an append
// with others.
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
	size := len(data) + recordOverhead
	if size > MaxAppendBytes {
		return nil, fault.Newf(fault.CodeTooLarge, fault.StepAppend, c.stream, "record of %d bytes, the most is %d", size, MaxAppendBytes)
	}
	return &pending{rec: proto.CloneOf(rec), size: size, failed: make(chan error, 1)}, nil
}

func (c *Committer) await(ctx context.Context, p *pending, verdict <-chan Verdict) (Verdict, error) {
	select {
	case v := <-verdict:
		p.leave()
		return v, nil
	case err := <-p.failed:
		c.watcher.unexpect(p.rec.Id, verdict)
		return Verdict{}, err
	case <-ctx.Done():
		c.watcher.unexpect(p.rec.Id, verdict)
		return Verdict{}, c.abandon(p, ctx.Err())
	}
}

// abandon takes the record back if it was not handed to the log yet.
func (c *Committer) abandon(p *pending, cause error) error {
	if p.leave() {
		return fault.Wrap(cause, fault.CodeOutcomeUnknown, fault.StepAppend, c.stream, "append not read back in time").WithOutcome(fault.Unknown)
	}
	return fault.Wrap(cause, fault.CodeLogDown, fault.StepAppend, c.stream, "record not appended in time")
}

// take marks the record as handed to the log, unless its caller has left.
func (p *pending) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.taken = p.taken || !p.gone
	return !p.gone
}

// leave marks the caller as gone and reports whether the record was taken.
func (p *pending) leave() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.gone = true
	return p.taken
}

// Run writes until the context ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		first := c.first(ctx)
		if first == nil || c.budget.Wait(ctx) != nil {
			return
		}
		c.write(ctx, c.gather(first))
	}
}

// first returns the next record, or nil when the context ended.
func (c *Committer) first(ctx context.Context) *pending {
	if p := c.next; p != nil {
		c.next = nil
		return p
	}
	select {
	case p := <-c.queue:
		return p
	case <-ctx.Done():
		return nil
	}
}

// gather takes the first record and all behind it that fit into one append.
func (c *Committer) gather(first *pending) []*pending {
	var group []*pending
	size := 0
	for p := first; p != nil; p = c.poll() {
		if size+p.size > MaxAppendBytes {
			c.next = p
			return group
		}
		if !p.take() {
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

func (c *Committer) poll() *pending {
	select {
	case p := <-c.queue:
		return p
	default:
		return nil
	}
}

// write appends the group. After an unknown outcome it reads to the tail; what
// is not there is appended again with the same id, so that of two copies the
// later is void.
func (c *Committer) write(ctx context.Context, group []*pending) {
	doubted := false
	for len(group) > 0 {
		before := c.watcher.readsSent()
		err := c.append(ctx, group)
		switch {
		case err == nil:
			return
		case errors.Is(err, platform.ErrUnavailable) && !doubted:
			c.fail(group, err)
			return
		case !doubted:
			events.AppendUnknown.LogError(err, "stream", c.stream, "records", len(group))
		}
		doubted = true
		group = c.unread(ctx, group, max(before, c.watcher.readsSent()))
		if c.budget.Wait(ctx) != nil {
			return
		}
	}
	if doubted {
		events.AppendResolved.Log("stream", c.stream)
	}
}

func (c *Committer) append(ctx context.Context, group []*pending) error {
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

// unread waits for a read that was sent after the append failed and reached the
// tail. It returns the records that it did not show and whose caller waits.
func (c *Committer) unread(ctx context.Context, group []*pending, after uint64) []*pending {
	c.watcher.awaitTail(ctx, after, func() bool { return len(c.awaited(group)) == 0 })
	return c.awaited(group)
}

func (c *Committer) awaited(group []*pending) []*pending {
	var left []*pending
	for _, p := range group {
		if c.watcher.awaits(p.rec.Id) {
			left = append(left, p)
		}
	}
	return left
}

func (c *Committer) fail(group []*pending, cause error) {
	err := fault.Wrap(cause, fault.CodeLogDown, fault.StepAppend, c.stream, "log refused the append")
	for _, p := range group {
		p.failed <- err
	}
}
