// Package election decides which entry owns the schedule. A claim is one conditional
// append to the store, so only one of several concurrent claims succeeds. Appends of an
// earlier owner are fenced by their epoch, so a claim need not wait for a lease to
// expire.
package election

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/dispatch"
	"chervilridge/internal/events"
	"chervilridge/internal/ident"
	"chervilridge/internal/schedulestore"
)

const (
	// checkInterval is the pause between two checks of the owner.
	checkInterval = 200 * time.Millisecond
	// pingTimeout bounds a call to other entries and each try to append an owner record.
	// It exceeds the latency between data centres of different regions.
	pingTimeout = 500 * time.Millisecond
	// suspectAfter is how long an owner may be unreachable before it is suspected. It is
	// longer than two check intervals, so that one lost message does not change the
	// owner.
	suspectAfter = 700 * time.Millisecond
	// maxStoreOutage is how long an owner may fail to reach the store, or make no progress,
	// before an entry that does reach the store takes over.
	maxStoreOutage = 1500 * time.Millisecond
	// maxPeerContactAge is how recently a peer must have reached the owner for its report
	// to count as evidence that the owner is alive.
	maxPeerContactAge = 600 * time.Millisecond
	// claimTimeout bounds the attempts to write a claim and to resolve its outcome.
	claimTimeout       = 3 * time.Second
	claimRetryInterval = 60 * time.Millisecond
	// maxClaimDelay is the delay before a claim of an entry with capacity score 0; one
	// with score 1 does not wait. maxFirstClaimDelay replaces it for the very first
	// claim: processes start some hundred milliseconds apart, and no client is waiting
	// yet.
	maxClaimDelay      = 250 * time.Millisecond
	maxFirstClaimDelay = 1500 * time.Millisecond
	// sufficientLinkMbps is a bandwidth that the owner of some hundred workers does not
	// saturate. More does not raise the capacity score.
	sufficientLinkMbps = 100
	claimJitter        = 60 * time.Millisecond
	// noAgentsTimeout is how long an owner without any attached agent keeps the schedule
	// if other entries are known. It then claims nothing for standDownTime.
	noAgentsTimeout = 2500 * time.Millisecond
	standDownTime   = 4 * time.Second
	// releaseTimeout bounds the time for storing pending changes, and again that for storing
	// that the ownership is free.
	releaseTimeout = 1500 * time.Millisecond
	// peerSample is how many other entries are asked for the owner at a time.
	peerSample = 8
)

// Peers calls the other entries.
type Peers interface {
	Ping(ctx context.Context, address string, known *chervilv2.OwnerRecord) (*chervilv2.PingReply, error)
	// Entries returns the known addresses of the other entries, Sample up to n of them at
	// random.
	Entries() []string
	Sample(n int) []string
}

// Identity describes this entry: its name and address for other entries, and its
// capacity.
type Identity struct {
	Node    string
	Address string
	// CPUShare is the share of one core that the process may use.
	CPUShare float64
	// LinkMbps is the bandwidth of the process, in megabits per second.
	LinkMbps float64
}

// capacityScore rates the entry from 0 to 1. The owner needs both processor and
// bandwidth, so the scarcer one counts.
func (i Identity) capacityScore() float64 {
	return min(i.CPUShare, i.LinkMbps/sufficientLinkMbps, 1)
}

// Elector tracks the owner of the schedule and claims the ownership when the owner fails
// or releases it. It is safe for concurrent use.
type Elector struct {
	self           Identity
	store          schedulestore.Store
	peers          Peers
	clock          boottime.Clock
	newEngine      func(*schedulestore.Writer, *schedulestore.State) *dispatch.Engine
	storeReachable func() bool
	newNonce       func() string // of a claim

	mu            sync.Mutex
	owner         *chervilv2.OwnerRecord
	ownerSeenAt   boottime.Instant
	engine        *dispatch.Engine
	noClaimBefore boottime.Instant // set when this process releases the ownership for lack of agents
	resigned      bool             // set by Resign; no further claims
}

// New returns an elector. storeReachable reports whether the store recently answered this
// process; newEngine creates the engine when this process becomes the owner.
func New(self Identity, store schedulestore.Store, peers Peers, clock boottime.Clock, storeReachable func() bool,
	newEngine func(*schedulestore.Writer, *schedulestore.State) *dispatch.Engine,
) *Elector {
	return &Elector{self: self, store: store, peers: peers, clock: clock, newEngine: newEngine, storeReachable: storeReachable, newNonce: ident.New, ownerSeenAt: clock()}
}

// Owner returns the newest known owner record, or nil if none is known.
func (e *Elector) Owner() *chervilv2.OwnerRecord {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.owner
}

// Engine returns the scheduling engine if this process is the owner, or nil. It returns nil as soon as
// a newer owner is known, since the engine may not end at once.
func (e *Elector) Engine() *dispatch.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.engine == nil || e.owner.GetEpoch() > e.engine.Epoch() {
		return nil
	}
	return e.engine
}

// ownEngine returns the engine of this process until it has ended, or nil.
func (e *Elector) ownEngine() *dispatch.Engine {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.engine
}

// State returns what this entry knows about the owner, for other entries.
func (e *Elector) State() *chervilv2.PingReply {
	reply := &chervilv2.PingReply{Owner: e.Owner(), OwnerSeenMs: e.SinceOwnerSeen().Milliseconds()}
	if engine := e.Engine(); engine != nil {
		reply.Leads = true
		reply.StoreSilentMs = max(engine.ConfirmationAge(), engine.SinceProgress()).Milliseconds()
	}
	return reply
}

// ownerNeverSeen is the time since an owner was reached if none is known. It is negative in
// milliseconds too, in which other processes get it.
const ownerNeverSeen = -time.Millisecond

// SinceOwnerSeen returns the time since the owner was last reached, negative if no owner is known.
// If this process is the owner, it is the time since its engine last made progress.
func (e *Elector) SinceOwnerSeen() time.Duration {
	if engine := e.Engine(); engine != nil {
		return engine.SinceProgress()
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.owner == nil {
		return ownerNeverSeen
	}
	return e.clock().Sub(e.ownerSeenAt)
}

// Observe records an owner reported by another entry or read from the store, unless a
// newer one is known. A nil owner is ignored.
func (e *Elector) Observe(owner *chervilv2.OwnerRecord) {
	if owner == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.updateOwner(owner)
}

// updateOwner records the owner if it is newer than the known one, or the same epoch with
// a changed released flag. It reports whether it did. The caller holds mu.
func (e *Elector) updateOwner(owner *chervilv2.OwnerRecord) bool {
	if e.owner != nil && (owner.Epoch < e.owner.Epoch || owner.Epoch == e.owner.Epoch && owner.Released == e.owner.Released) {
		return false
	}
	if e.owner == nil || owner.Epoch > e.owner.Epoch {
		e.ownerSeenAt = e.clock()
		events.OwnerChanged.Log("epoch", owner.Epoch, "owner", owner.Node, "address", owner.Address)
	}
	e.owner = proto.Clone(owner).(*chervilv2.OwnerRecord)
	return true
}

// Run checks the owner every checkInterval until ctx ends.
func (e *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		e.check(ctx)
		select {
		case <-time.After(checkInterval):
		case <-ctx.Done():
		}
	}
}

// check checks the epoch of this process if it is the owner, and otherwise claims the
// ownership if the owner is not healthy.
func (e *Elector) check(ctx context.Context) {
	if engine := e.ownEngine(); engine != nil {
		e.checkOwnEpoch(ctx, engine)
		return
	}
	healthy, cutOff := e.ownerHealthy(ctx)
	if healthy {
		return
	}
	e.mu.Lock()
	mayNotClaim := e.resigned || e.noClaimBefore.After(e.clock())
	e.mu.Unlock()
	if mayNotClaim {
		e.refreshOwner(ctx)
		return
	}
	e.tryClaim(ctx, cutOff)
}

// refreshOwner reads the newest owner from the store, or asks the other entries if the
// store does not answer.
func (e *Elector) refreshOwner(ctx context.Context) {
	owner, _, err := schedulestore.ReadOwner(ctx, e.store)
	if err == nil {
		e.Observe(owner)
		return
	}
	e.askPeersForOwner(ctx, e.Owner())
}

// checkOwnEpoch abandons the epoch of this process if a newer owner is known, and
// releases it if no agent has been attached for noAgentsTimeout and other entries could
// take over. An engine that stands still cannot release it.
func (e *Elector) checkOwnEpoch(ctx context.Context, engine *dispatch.Engine) {
	owner := e.Owner()
	if owner.GetEpoch() > engine.Epoch() {
		engine.Abandon()
		return
	}
	stalled := engine.SinceProgress() > maxStoreOutage
	if stalled || engine.ConfirmationAge() > maxStoreOutage {
		e.askPeersForOwner(ctx, owner)
	}
	if stalled || engine.TimeWithoutAgents() < noAgentsTimeout || len(e.peers.Entries()) == 0 {
		return
	}
	e.mu.Lock()
	e.noClaimBefore = e.clock().Add(standDownTime)
	e.mu.Unlock()
	e.release(engine)
}

// askPeersForOwner asks some other entries for a newer owner. While the store is
// unreachable, this is how this process learns that it was replaced.
func (e *Elector) askPeersForOwner(ctx context.Context, owner *chervilv2.OwnerRecord) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range e.peers.Sample(peerSample) {
		wg.Go(func() {
			if reply, err := e.peers.Ping(ctx, address, owner); err == nil {
				e.Observe(reply.Owner)
			}
		})
	}
	wg.Wait()
}

// ownerHealthy pings the known owner and reports whether it still works, as far as this
// process can tell. cutOff is set if the owner is alive but has not reached the store for
// maxStoreOutage, while this process does reach it.
func (e *Elector) ownerHealthy(ctx context.Context) (healthy, cutOff bool) {
	owner := e.Owner()
	if owner == nil || owner.Released || owner.Address == e.self.Address {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	reply, err := e.peers.Ping(ctx, owner.Address, owner)
	e.mu.Lock()
	defer e.mu.Unlock()
	if err == nil && reply.Owner != nil && e.updateOwner(reply.Owner) {
		return true, false // the next check pings the new owner
	}
	if err == nil && reply.Leads {
		e.ownerSeenAt = e.clock()
		cutOff = time.Duration(reply.StoreSilentMs)*time.Millisecond > maxStoreOutage && e.storeReachable()
		return !cutOff, cutOff
	}
	return e.clock().Sub(e.ownerSeenAt) < suspectAfter, false
}

// tryClaim claims the ownership, unless the store holds a newer owner or a peer still
// reaches an owner that this process does not.
func (e *Elector) tryClaim(ctx context.Context, cutOff bool) {
	owner, end, minEpoch, err := e.ownerBeforeClaim(ctx)
	if err != nil { // no claim is possible without the store, but a peer may know a newer owner
		e.askPeersForOwner(ctx, e.Owner())
		return
	}
	e.mu.Lock()
	if owner != nil && e.updateOwner(owner) && !owner.Released && owner.Address != e.self.Address {
		e.mu.Unlock()
		return
	}
	e.mu.Unlock()
	if owner != nil && !owner.Released && owner.Address != e.self.Address {
		events.OwnerSuspected.Log("epoch", owner.Epoch, "owner", owner.Node, "seenBefore", e.SinceOwnerSeen(), "storeCutOff", cutOff)
		if !cutOff && e.peerReachesOwner(ctx, owner) {
			return
		}
	}
	if e.waitBeforeClaim(ctx, owner == nil) && !e.hasResigned() {
		e.claim(ctx, owner, end, minEpoch)
	}
}

func (e *Elector) hasResigned() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.resigned
}

// peerReachesOwner reports whether one of some peers recently reached this owner or a newer one.
// Then only the connection of this process is broken, and replacing the owner would not
// help.
func (e *Elector) peerReachesOwner(ctx context.Context, owner *chervilv2.OwnerRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	entries := slices.DeleteFunc(e.peers.Sample(peerSample), func(address string) bool { return address == owner.Address })
	reached := make(chan bool, len(entries))
	for _, address := range entries {
		go func() {
			reply, err := e.peers.Ping(ctx, address, owner)
			reached <- err == nil && reply.Owner != nil && reply.Owner.Epoch >= owner.Epoch &&
				reply.OwnerSeenMs >= 0 && reply.OwnerSeenMs < maxPeerContactAge.Milliseconds()
		}()
	}
	for range entries {
		if <-reached {
			return true
		}
	}
	return false
}

// waitBeforeClaim delays a claim by the capacity score and some jitter, so that entries
// with more capacity claim first. It returns false if ctx ended first.
func (e *Elector) waitBeforeClaim(ctx context.Context, first bool) bool {
	maxDelay := maxClaimDelay
	if first {
		maxDelay = maxFirstClaimDelay
	}
	delay := time.Duration((1-e.self.capacityScore())*float64(maxDelay)) + rand.N(claimJitter)
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// release stops the engine and stores that the ownership is free, so that another entry
// can claim it at once.
func (e *Elector) release(engine *dispatch.Engine) {
	stopCtx, cancelStop := context.WithTimeout(context.Background(), releaseTimeout)
	engine.Stop(stopCtx)
	cancelStop()
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	owner := e.Owner()
	newest, end, err := schedulestore.ReadOwner(ctx, e.store)
	if err != nil || !sameClaim(newest, owner) {
		return
	}
	newest.Released = true
	if e.writeRecord(ctx, newest, end) {
		events.OwnershipReleased.Log("epoch", newest.Epoch, "node", e.self.Node)
		e.Observe(newest)
	}
}

// Resign releases the ownership if this process has it, and prevents further claims.
func (e *Elector) Resign() {
	e.mu.Lock()
	e.resigned = true
	engine := e.engine
	e.mu.Unlock()
	if engine != nil {
		e.release(engine)
	}
}
