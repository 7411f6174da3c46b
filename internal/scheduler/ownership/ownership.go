// Package ownership holds the lease on a shard: claims, renewals and the
// holder's own check, all through the shard's log stream.
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
	renewals      = 3 // renewals in the length of one lease
	marginShare   = 5 // the holder stops this part of a lease before its end
)

// Options describe the candidate.
type Options struct {
	Shard uint32
	// Owner is unique for each start of a process.
	Owner string
	// Address is the candidate's gRPC address.
	Address string
	Lease   time.Duration
}

// Lease is a candidate's hold on a shard. One lock guards the hold.
type Lease struct {
	options   Options
	follower  *ledger.Follower[*shard.State]
	committer *ledger.Committer

	mu    sync.Mutex
	epoch uint64    // held epoch; 0 if none
	until time.Time // the holder stops acting here
}

// New returns a candidate that holds nothing.
func New(options Options, follower *ledger.Follower[*shard.State], committer *ledger.Committer) *Lease {
	return &Lease{options: options, follower: follower, committer: committer}
}

// Held returns the epoch if the lease is held at this moment.
func (l *Lease) Held() (uint64, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.epoch, l.epoch > 0 && time.Now().Before(l.until)
}

// sighting is the newest sign of life of a shard's owner.
type sighting struct {
	epoch    uint64
	renewals uint64
	owner    string
	at       time.Time
}

// Run claims, renews and gives up until the context ends.
func (l *Lease) Run(ctx context.Context) {
	if l.follower.WaitLoaded(ctx) != nil {
		return
	}
	seen := l.look(sighting{})
	wait := l.jitter()
	t := time.NewTicker(checkInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		seen = l.look(seen)
		switch {
		case l.holds(seen):
			l.renewIfDue(ctx)
		case seen.epoch == 0 || time.Since(seen.at) > l.options.Lease+wait:
			l.claim(ctx, seen.epoch+1)
			wait = l.jitter()
		}
		select {
		case <-t.C:
		case <-ctx.Done():
		}
	}
}

// jitter keeps candidates from claiming all at once; its least value is the
// margin for clocks that run at different rates.
func (l *Lease) jitter() time.Duration {
	margin := l.options.Lease / marginShare
	return margin + rand.N(margin)
}

// look returns the newest sighting. Its time is when this process read the
// record, which is later than when the owner sent it.
func (l *Lease) look(old sighting) sighting {
	now := old
	l.follower.View(func(s *shard.State) {
		owner, _ := s.Owner()
		now.epoch, now.renewals, now.owner = s.Epoch(), s.Renewals(), owner
	})
	if now.epoch != old.epoch || now.renewals != old.renewals || old.at.IsZero() {
		now.at = time.Now()
	}
	return now
}

func (l *Lease) holds(seen sighting) bool {
	epoch, held := l.Held()
	if epoch == 0 {
		return false
	}
	if held && seen.epoch <= epoch {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch = 0
	events.ShardLapsed.Log("shard", l.options.Shard, "epoch", epoch, "newest", seen.epoch)
	return false
}

func (l *Lease) renewIfDue(ctx context.Context) {
	l.mu.Lock()
	epoch, left := l.epoch, time.Until(l.until)
	l.mu.Unlock()
	if left > l.usable()*(renewals-1)/renewals {
		return
	}
	rec := &pb.Record{Epoch: epoch, Body: &pb.Record_ShardRenew{ShardRenew: &pb.ShardRenew{Epoch: epoch}}}
	l.commit(ctx, rec, epoch)
}

func (l *Lease) claim(ctx context.Context, epoch uint64) {
	if !l.follower.FreshWithin(l.options.Lease) {
		return
	}
	rec := &pb.Record{Epoch: epoch, Body: &pb.Record_ShardClaim{ShardClaim: &pb.ShardClaim{
		Epoch: epoch, Owner: l.options.Owner, Address: l.options.Address,
	}}}
	if l.commit(ctx, rec, epoch) {
		events.ShardClaimed.Log("shard", l.options.Shard, "epoch", epoch, "owner", l.options.Owner)
		return
	}
	events.ShardClaimLost.Log("shard", l.options.Shard, "epoch", epoch)
}

// commit appends a claim or a renewal; the lease counts from before it was sent.
func (l *Lease) commit(ctx context.Context, rec *pb.Record, epoch uint64) bool {
	sent := time.Now()
	ctx, cancel := context.WithTimeout(ctx, l.options.Lease/renewals)
	defer cancel()
	v, err := l.committer.Commit(ctx, rec)
	if err != nil || v.Rejection != nil {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.epoch, l.until = epoch, sent.Add(l.usable())
	return true
}

func (l *Lease) usable() time.Duration {
	return l.options.Lease - l.options.Lease/marginShare
}
