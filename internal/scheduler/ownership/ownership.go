// Package ownership holds the lease on a shard: claims, renewals, release and
// the holder's own check, all through the shard's log stream.
package ownership

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/ledger"
	"chervilridge/internal/shard"
)

const (
	checkInterval = 100 * time.Millisecond
	// checksPerLease bounds the checks of a long lease.
	checksPerLease = 20
	renewals       = 3  // renewals in the length of one lease
	marginShare    = 5  // the holder stops this part of a lease before its end
	staleShare     = 2  // a view older than this part of a lease tells no silence
	retryShare     = 20 // pause after a failed append, as part of a lease
)

// Options describe the candidate.
type Options struct {
	Shard uint32
	// Owner is unique for each start of a process.
	Owner string
	// Address is the candidate's gRPC address.
	Address string
	Lease   time.Duration
	// Now is the clock; nil means time.Now.
	Now func() time.Time
	// Random draws evenly from [0, 1); nil means the process's own source.
	Random func() float64
}

// Lease is a candidate's hold on a shard. One lock guards the hold. The lock is
// taken under the follower's, never the other way round.
type Lease struct {
	options   Options
	follower  *ledger.Follower[*shard.State]
	committer *ledger.Committer
	seen      sighting  // only Run's goroutine touches it
	notBefore time.Time // of the next append after a failed one; likewise

	mu       sync.Mutex
	epoch    uint64    // held epoch; 0 if none
	from     time.Time // the holder starts acting here
	until    time.Time // the holder stops acting here
	released bool      // given up for good
	signs    uint64    // claims and renewals that replay accepted
	before   uint64    // signs before this candidate's newest accepted claim
	attempt  attempt
}

// attempt is a claim whose outcome is unknown.
type attempt struct {
	epoch    uint64
	sent     time.Time
	signs    uint64
	restores uint64
}

// New returns a candidate that holds nothing.
func New(options Options, follower *ledger.Follower[*shard.State], committer *ledger.Committer) *Lease {
	if options.Now == nil {
		options.Now = time.Now
	}
	if options.Random == nil {
		options.Random = rand.Float64
	}
	l := &Lease{options: options, follower: follower, committer: committer}
	follower.OnApply(l.note)
	return l
}

// note counts the signs of life of the shard's owners in the order of the log.
func (l *Lease) note(rec *pb.Record, v ledger.Verdict) {
	claim := rec.GetShardClaim()
	if v.Rejection != nil || claim == nil && rec.GetShardRenew() == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if claim != nil && claim.Owner == l.options.Owner {
		l.before = l.signs
	}
	l.signs++
}

// Held returns the epoch if the lease is held at this moment.
func (l *Lease) Held() (uint64, bool) {
	now := l.options.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, l.epoch > 0 && !now.Before(l.from) && now.Before(l.until)
}

// Run claims, renews and gives up until the context ends.
func (l *Lease) Run(ctx context.Context) {
	if l.follower.WaitLoaded(ctx) != nil {
		return
	}
	t := time.NewTicker(max(checkInterval, l.options.Lease/checksPerLease))
	defer t.Stop()
	for ctx.Err() == nil {
		l.step(ctx)
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// step looks at the log's state once and acts on it.
func (l *Lease) step(ctx context.Context) {
	l.seen = l.look(l.seen)
	l.adopt()
	now := l.options.Now()
	switch {
	case l.gone() || now.Before(l.notBefore):
	case l.holds(l.seen):
		l.renewIfDue(ctx)
	case l.mayClaim(l.seen, now):
		l.claim(ctx, l.seen)
	}
}

func (l *Lease) gone() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.released
}

// holds reports whether the lease is held or about to be; one that lapsed or was
// overtaken is dropped.
func (l *Lease) holds(seen sighting) bool {
	now := l.options.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == 0 {
		return false
	}
	if now.Before(l.until) && seen.epoch <= l.epoch {
		return true
	}
	events.ShardLapsed.Log("shard", l.options.Shard, "epoch", l.epoch, "newest", seen.epoch)
	l.epoch = 0
	return false
}

func (l *Lease) renewIfDue(ctx context.Context) {
	l.mu.Lock()
	epoch, left := l.epoch, l.until.Sub(l.options.Now())
	l.mu.Unlock()
	if left > l.usable()*(renewals-1)/renewals {
		return
	}
	rec := &pb.Record{Epoch: epoch, Body: &pb.Record_ShardRenew{ShardRenew: &pb.ShardRenew{Epoch: epoch}}}
	sent := l.options.Now()
	if !l.commit(ctx, rec, left) {
		l.notBefore = l.options.Now().Add(l.options.Lease / retryShare)
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.epoch == epoch {
		l.until = sent.Add(l.usable())
	}
}

// claim appends a claim that builds on what was seen. The lease counts from
// before it was sent.
func (l *Lease) claim(ctx context.Context, seen sighting) {
	a := attempt{epoch: seen.epoch + 1, sent: l.options.Now(), signs: seen.signs, restores: seen.restores}
	l.mu.Lock()
	l.attempt = a
	l.mu.Unlock()
	rec := &pb.Record{Epoch: a.epoch, Body: &pb.Record_ShardClaim{ShardClaim: &pb.ShardClaim{
		Epoch: a.epoch, Owner: l.options.Owner, Address: l.options.Address,
	}}}
	if l.commit(ctx, rec, l.usable()) {
		l.adopt()
		return
	}
	l.notBefore = l.options.Now().Add(l.options.Lease/retryShare + l.draw())
	events.ShardClaimLost.Log("shard", l.options.Shard, "epoch", a.epoch)
}

// adopt takes the lease if the log says that this candidate's newest claim was
// accepted, also when its answer had been lost.
func (l *Lease) adopt() {
	epoch, owner := l.owner()
	restores := l.follower.Restores()
	now := l.options.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	a := l.attempt
	if a.epoch == 0 || a.epoch != epoch || owner != l.options.Owner || l.released {
		return
	}
	l.attempt = attempt{}
	l.epoch, l.from, l.until = a.epoch, now, a.sent.Add(l.usable())
	if l.before != a.signs || restores != a.restores {
		l.from = now.Add(l.options.Lease)
		events.ShardClaimWaits.Log("shard", l.options.Shard, "epoch", a.epoch, "wait", l.options.Lease)
	}
	events.ShardClaimed.Log("shard", l.options.Shard, "epoch", a.epoch, "owner", l.options.Owner)
}

// commit appends a record and reports whether replay accepted it.
func (l *Lease) commit(ctx context.Context, rec *pb.Record, timeout time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	v, err := l.committer.Commit(ctx, rec)
	return err == nil && v.Rejection == nil
}

// Release gives the lease up for good, so that another candidate need not wait
// for its end. The holder stops acting before the release is written.
func (l *Lease) Release(ctx context.Context) {
	epoch, held := l.Held()
	l.mu.Lock()
	l.released, l.epoch = true, 0
	l.mu.Unlock()
	if !held {
		return
	}
	rec := &pb.Record{Epoch: epoch + 1, Body: &pb.Record_ShardClaim{ShardClaim: &pb.ShardClaim{Epoch: epoch + 1}}}
	if l.commit(ctx, rec, l.usable()) {
		events.ShardReleased.Log("shard", l.options.Shard, "epoch", epoch)
	}
}

func (l *Lease) margin() time.Duration { return l.options.Lease / marginShare }

func (l *Lease) usable() time.Duration { return l.options.Lease - l.margin() }
