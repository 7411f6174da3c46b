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

const (
	maxBatchRecords = 512
	reappendPause   = 200 * time.Millisecond
	queueLength     = 4096
)

// Committer appends records to one stream: all that waits goes into one
// append, within a budget of appends a second. It is safe for concurrent use.
type Committer struct {
	log     platform.Log
	stream  string
	author  string
	budget  *rate.Limiter
	watcher watcher
	queue   chan *pending
}

// watcher is the part of a follower that a committer needs.
type watcher interface {
	expect(id string) <-chan Verdict
	unexpect(id string, waiter <-chan Verdict)
}

// pending is a record on its way into the log.
type pending struct {
	rec *pb.Record

	mu      sync.Mutex
	taken   bool // part of an append that may have taken effect
	settled bool // its caller has the verdict or has gone
	failed  chan error
}

// NewCommitter returns a committer whose records are read back by the follower.
func NewCommitter[M Machine](log platform.Log, follower *Follower[M], author string, appendsPerSecond int64) *Committer {
	return &Committer{
		log: log, stream: follower.stream, author: author, watcher: follower,
		budget: rate.NewLimiter(rate.Limit(appendsPerSecond), 1),
		queue:  make(chan *pending, queueLength),
	}
}

// Commit appends the record and waits for replay's verdict. It fails with
// outcome "not run" if the record certainly is not in the log, and "unknown" if
// the context ended while it may be.
func (c *Committer) Commit(ctx context.Context, rec *pb.Record) (Verdict, error) {
	if rec.Id == "" {
		rec.Id = ident.New()
	}
	if rec.Author == "" {
		rec.Author = c.author
	}
	rec.TimeMs = time.Now().UnixMilli()
	p := &pending{rec: rec, failed: make(chan error, 1)}
	verdict := c.watcher.expect(rec.Id)
	select {
	case c.queue <- p:
	default:
		c.watcher.unexpect(rec.Id, verdict)
		return Verdict{}, fault.New(fault.CodeOverloaded, fault.StepAppend, c.stream, "too many records wait for the log")
	}
	return c.await(ctx, p, verdict)
}

func (c *Committer) await(ctx context.Context, p *pending, verdict <-chan Verdict) (Verdict, error) {
	select {
	case v := <-verdict:
		p.settle()
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
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled = true
	if p.taken {
		return fault.Wrap(cause, fault.CodeOutcomeUnknown, fault.StepAppend, c.stream, "append not read back in time").WithOutcome(fault.Unknown)
	}
	return fault.Wrap(cause, fault.CodeLogDown, fault.StepAppend, c.stream, "record not appended in time")
}

func (p *pending) take() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.settled {
		return false
	}
	p.taken = true
	return true
}

func (p *pending) settle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.settled = true
}

func (p *pending) isSettled() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.settled
}

// Run writes until the context ends.
func (c *Committer) Run(ctx context.Context) {
	for {
		select {
		case first := <-c.queue:
			if c.budget.Wait(ctx) != nil {
				return
			}
			c.write(ctx, c.gather(first))
		case <-ctx.Done():
			return
		}
	}
}

// gather takes the first record and all that wait behind it.
func (c *Committer) gather(first *pending) []*pending {
	var group []*pending
	if first.take() {
		group = append(group, first)
	}
	for len(group) < maxBatchRecords {
		select {
		case p := <-c.queue:
			if p.take() {
				group = append(group, p)
			}
		default:
			return group
		}
	}
	return group
}

// write appends the group. After an unknown outcome it appends the same records
// again until all callers have gone: a second copy is void by its precondition.
func (c *Committer) write(ctx context.Context, group []*pending) {
	doubted := false
	for len(group) > 0 && ctx.Err() == nil {
		err := c.append(ctx, group)
		switch {
		case err == nil:
			return
		case errors.Is(err, platform.ErrUnavailable) && !doubted:
			c.fail(group, err)
			return
		}
		if !doubted {
			events.AppendUnknown.LogError(err, "stream", c.stream, "records", len(group))
		}
		doubted = true
		pause(ctx, reappendPause)
		group = c.waiting(group)
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

// waiting returns the records whose caller still waits for a verdict.
func (c *Committer) waiting(group []*pending) []*pending {
	var left []*pending
	for _, p := range group {
		if !p.isSettled() {
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
