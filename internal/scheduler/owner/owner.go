// Package owner acts as the scheduler of one shard while this process holds the
// shard's lease: it plans, commits, starts, renews, stops and records.
package owner

import (
	"cmp"
	"context"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
	"chervilridge/internal/ledger"
	"chervilridge/internal/peer"
	"chervilridge/internal/scheduler/ownership"
	"chervilridge/internal/shard"
	"chervilridge/internal/table"
)

const (
	reconcileInterval = 500 * time.Millisecond
	candidateTick     = 500 * time.Millisecond
	tickInterval      = 100 * time.Millisecond
	commitTimeout     = 5 * time.Second
	callTimeout       = 2 * time.Second
	// StartAllowance is how late a start may reach the agent after it was sent.
	StartAllowance = time.Second
	// TableFreshness is how old the view of the table may be at a start.
	TableFreshness = 1500 * time.Millisecond
	// confirmAfter is how long a granted attempt may go unreported before the
	// agent is asked about it.
	confirmAfter = 3 * time.Second
	// DefaultJobRetention is how long ended jobs are kept unless a setting says
	// otherwise.
	DefaultJobRetention = 24 * time.Hour
	// evictPause lets the service beside a worker recover.
	evictPause = 15 * time.Second
	// grantMarginShare is the part of a grant added for clocks that run at
	// different rates.
	grantMarginShare = 10
)

// Options describe the owner. A zero duration below Grant means the default.
type Options struct {
	Shard uint32
	Grant time.Duration
	// WorkerSilence is how long a worker may be silent and still get tasks.
	WorkerSilence time.Duration
	// Lease is how long an earlier owner that missed the claim may go on acting.
	Lease          time.Duration
	StartAllowance time.Duration
	TableFreshness time.Duration
	ConfirmAfter   time.Duration
	// EvictPause is how long a worker gets nothing new after an eviction.
	EvictPause time.Duration
	// JobRetention is how long an ended job and its idempotency key are kept.
	JobRetention time.Duration
}

func (o Options) withDefaults() Options {
	o.StartAllowance = cmp.Or(o.StartAllowance, StartAllowance)
	o.TableFreshness = cmp.Or(o.TableFreshness, TableFreshness)
	o.ConfirmAfter = cmp.Or(o.ConfirmAfter, confirmAfter)
	o.EvictPause = cmp.Or(o.EvictPause, evictPause)
	o.JobRetention = cmp.Or(o.JobRetention, DefaultJobRetention)
	return o
}

// Owner schedules one shard. One lock guards what it knows of workers and
// attempts beyond the ledger; that is lost with the process and learned anew.
type Owner struct {
	pb.UnimplementedShardOwnerServiceServer

	options   Options
	lease     *ownership.Lease
	state     *ledger.Follower[*shard.State]
	table     *ledger.Follower[*table.Table]
	committer *ledger.Committer
	pool      *peer.Pool

	began time.Time // of this process's part, by both clocks

	mu         sync.Mutex
	epoch      uint64 // epoch that the maps below belong to
	workers    map[string]*workerView
	attempts   map[attemptKey]*attemptView
	walk       uint64    // counts the walks through all granted attempts
	reconciled time.Time // when the newest walk began
	pace       *pace

	insight insight
}

// attemptKey names an attempt in the owner's maps.
type attemptKey struct {
	ref     shard.TaskRef
	attempt uint32
}

// workerView is what beats told of a worker.
type workerView struct {
	incarnation string
	address     string
	clock       time.Duration // the agent's clock at the newest beat
	seen        time.Time     // when that beat came
	leaving     bool
}

// attemptView is what the owner knows of a granted attempt beyond the ledger.
type attemptView struct {
	granted     time.Time // when this owner took notice of the grant
	mayRunUntil time.Time
	confirmed   time.Time // newest beat that reported it
	busy        bool      // a start, stop, fence or commit is under way
	walk        uint64    // newest walk that found it granted
	checkpoint  []byte    // newest that a report of the running attempt named
	unanswered  backoff   // calls about the attempt that had no answer
}

// New returns an owner that does nothing until the lease is held.
func New(options Options, lease *ownership.Lease, state *ledger.Follower[*shard.State],
	rows *ledger.Follower[*table.Table], committer *ledger.Committer, pool *peer.Pool) *Owner {
	return &Owner{
		options: options.withDefaults(), lease: lease, state: state, table: rows, committer: committer, pool: pool,
		workers: map[string]*workerView{}, attempts: map[attemptKey]*attemptView{},
		pace: newPace(), began: time.Now(),
	}
}

// Run acts in rounds until the context ends.
func (o *Owner) Run(ctx context.Context) {
	t := time.NewTimer(0)
	defer t.Stop()
	for {
		changed := o.state.Changed()
		o.round(ctx)
		t.Reset(o.tick())
		select {
		case <-t.C:
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// tick is the time to the next round if nothing changes before; a candidate
// without the lease has nothing to do.
func (o *Owner) tick() time.Duration {
	if _, held := o.lease.Held(); !held {
		return candidateTick
	}
	return tickInterval
}

// round does what the lease allows now. The lease is checked again after each
// wait, since a paused process wakes up late.
func (o *Owner) round(ctx context.Context) {
	epoch, held := o.lease.Held()
	if !held {
		return
	}
	o.enter(epoch)
	if o.reconcileDue(time.Now()) {
		o.reconcile(ctx, epoch)
	}
	o.schedule(ctx, epoch)
}

// reconcileDue bounds how often all granted attempts are walked through: a round
// follows each change of the ledger, and what a walk acts on takes seconds.
func (o *Owner) reconcileDue(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Sub(o.reconciled) < reconcileInterval {
		return false
	}
	o.reconciled = now
	return true
}

// enter forgets what was learned under an older epoch. A late caller of an older
// epoch changes nothing.
func (o *Owner) enter(epoch uint64) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if epoch <= o.epoch {
		return
	}
	o.epoch = epoch
	o.workers = map[string]*workerView{}
	o.attempts = map[attemptKey]*attemptView{}
	o.pace = newPace()
}

// margin covers clocks that run at different rates.
func (o *Owner) margin() time.Duration { return o.options.Grant / grantMarginShare }

// view returns the view of an attempt; a new one assumes the worst, that an
// earlier owner that missed the claim grants it as late as its lease allows.
func (o *Owner) view(key attemptKey) *attemptView {
	v := o.attempts[key]
	if v == nil {
		now := time.Now()
		worst := o.options.Lease + o.options.StartAllowance + o.options.Grant + o.margin()
		v = &attemptView{granted: now, mayRunUntil: now.Add(worst)}
		o.attempts[key] = v
	}
	return v
}

// occupy marks an attempt as busy; false if it was already.
func (o *Owner) occupy(key attemptKey) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	v := o.view(key)
	if v.busy {
		return false
	}
	v.busy = true
	return true
}

func (o *Owner) vacate(key attemptKey) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if v := o.attempts[key]; v != nil {
		v.busy = false
	}
}

// holds reports whether the lease is held for the epoch at this moment. It is
// asked again before each message, since a paused process wakes up late.
func (o *Owner) holds(epoch uint64) bool {
	held, ok := o.lease.Held()
	return ok && held == epoch
}

// commit writes a record under the epoch and returns replay's verdict.
func (o *Owner) commit(ctx context.Context, epoch uint64, rec *pb.Record) (ledger.Verdict, error) {
	if !o.holds(epoch) {
		return ledger.Verdict{}, fault.New(fault.CodeNotOwner, fault.StepAppend, "", "shard lease is not held")
	}
	rec.Epoch = epoch
	ctx, cancel := context.WithTimeout(ctx, commitTimeout)
	defer cancel()
	return o.committer.Commit(ctx, rec)
}

// GetJob implements the ShardOwnerService.
func (o *Owner) GetJob(_ context.Context, req *pb.GetJobRequest) (*pb.GetJobReply, error) {
	reply := &pb.GetJobReply{AgeMs: o.state.Age(time.Now()).Milliseconds()}
	o.state.View(func(s *shard.State) {
		reply.Epoch = s.Epoch()
		if job := s.Job(req.JobId); job != nil {
			reply.Found, reply.Job = true, cloneJob(job)
		}
	})
	return reply, nil
}
