// Package election decides which entry owns the schedule. A claim is one conditional
// append to the store, so only one of several concurrent claims succeeds. Appends of an
// earlier owner are fenced by their epoch, so a claim need not wait for a lease to
// expire.
package election

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"
	"google.golang.org/protobuf/proto"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/dispatch"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/statelog"
	"chervilridge/platform"
)

const (
	// checkInterval is the pause between two checks of the owner.
	checkInterval = 200 * time.Millisecond
	// pingTimeout exceeds the latency between data centres of different regions.
	pingTimeout = 500 * time.Millisecond
	// suspectAfter is how long an owner may be unreachable before it is suspected. It is
	// longer than two check intervals, so that one lost message does not change the
	// owner.
	suspectAfter = 700 * time.Millisecond
	// maxStoreOutage is how long an owner may fail to reach the store before an entry
	// that does reach it takes over.
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
	releaseTimeout  = 1500 * time.Millisecond
)

// Peers calls the other entries.
type Peers interface {
	Ping(ctx context.Context, address string, known *chervilv2.OwnerRecord) (*chervilv2.PingReply, error)
	// Entries returns the known addresses of the other entries.
	Entries() []string
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
	store          statelog.Store
	peers          Peers
	clock          boottime.Clock
	newEngine      func(*statelog.Writer, *statelog.State) *dispatch.Engine
	storeReachable func() bool

	mu            sync.Mutex
	owner         *chervilv2.OwnerRecord
	ownerSeenAt   boottime.Instant
	engine        *dispatch.Engine
	noClaimBefore boottime.Instant // set after an owner without agents released the schedule
	resigned      bool             // set by Resign; no further claims
}

// New returns an elector. storeReachable reports whether the store recently answered this
// process; newEngine creates the engine when this process becomes the owner.
func New(self Identity, store statelog.Store, peers Peers, clock boottime.Clock, storeReachable func() bool,
	newEngine func(*statelog.Writer, *statelog.State) *dispatch.Engine,
) *Elector {
	return &Elector{self: self, store: store, peers: peers, clock: clock, newEngine: newEngine, storeReachable: storeReachable, ownerSeenAt: clock()}
}

// Owner returns the newest known owner record, or nil if none is known.
func (x *Elector) Owner() *chervilv2.OwnerRecord {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.owner
}

// Engine returns the scheduling engine if this process is the owner, or nil.
func (x *Elector) Engine() *dispatch.Engine {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.engine
}

// SinceOwnerSeen returns the time since the owner was last reached: 0 if this process is
// the owner, negative if no owner is known.
func (x *Elector) SinceOwnerSeen() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.engine != nil:
		return 0
	case x.owner == nil:
		return -1
	}
	return x.clock().Sub(x.ownerSeenAt)
}

// Observe records an owner reported by another entry or read from the store, unless a
// newer one is known. A nil owner is ignored.
func (x *Elector) Observe(owner *chervilv2.OwnerRecord) {
	if owner == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.updateOwner(owner)
}

// updateOwner records the owner if it is newer than the known one, or the same epoch with
// a changed released flag. It reports whether it did. The caller holds mu.
func (x *Elector) updateOwner(owner *chervilv2.OwnerRecord) bool {
	if x.owner != nil && (owner.Epoch < x.owner.Epoch || owner.Epoch == x.owner.Epoch && owner.Released == x.owner.Released) {
		return false
	}
	if x.owner == nil || owner.Epoch > x.owner.Epoch {
		x.ownerSeenAt = x.clock()
		events.OwnerChanged.Log("epoch", owner.Epoch, "owner", owner.Node, "address", owner.Address)
	}
	x.owner = proto.Clone(owner).(*chervilv2.OwnerRecord)
	return true
}

// Run checks the owner every checkInterval until ctx ends.
func (x *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		x.check(ctx)
		select {
		case <-time.After(checkInterval):
		case <-ctx.Done():
		}
	}
}

// check checks the own epoch if this process is the owner, and otherwise claims the
// ownership if the owner is not healthy.
func (x *Elector) check(ctx context.Context) {
	if engine := x.Engine(); engine != nil {
		x.checkOwnEpoch(ctx, engine)
		return
	}
	healthy, cutOff := x.ownerHealthy(ctx)
	if healthy {
		return
	}
	x.mu.Lock()
	mayNotClaim := x.resigned || x.noClaimBefore.After(x.clock())
	x.mu.Unlock()
	if mayNotClaim {
		x.refreshOwner(ctx)
		return
	}
	x.tryClaim(ctx, cutOff)
}

// refreshOwner reads the newest owner from the store, or asks the other entries if the
// store does not answer.
func (x *Elector) refreshOwner(ctx context.Context) {
	owner, _, err := statelog.ReadOwner(ctx, x.store)
	if err == nil {
		x.Observe(owner)
		return
	}
	x.askPeersForOwner(ctx, x.peers.Entries(), x.Owner())
}

// checkOwnEpoch abandons the epoch of this process if a newer owner is known, and
// releases it if no agent has been attached for noAgentsTimeout and other entries could
// take over.
func (x *Elector) checkOwnEpoch(ctx context.Context, engine *dispatch.Engine) {
	owner := x.Owner()
	if owner.GetEpoch() > engine.Epoch() {
		engine.Abandon()
		return
	}
	entries := x.peers.Entries()
	if engine.ConfirmationAge() > maxStoreOutage {
		x.askPeersForOwner(ctx, entries, owner)
	}
	if engine.TimeWithoutAgents() < noAgentsTimeout || len(entries) == 0 {
		return
	}
	x.mu.Lock()
	x.noClaimBefore = x.clock().Add(standDownTime)
	x.mu.Unlock()
	x.release(engine)
}

// askPeersForOwner asks the other entries for a newer owner. While the store is
// unreachable, this is how this process learns that it was replaced.
func (x *Elector) askPeersForOwner(ctx context.Context, entries []string, owner *chervilv2.OwnerRecord) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, address := range entries {
		wg.Go(func() {
			if reply, err := x.peers.Ping(ctx, address, owner); err == nil {
				x.Observe(reply.Owner)
			}
		})
	}
	wg.Wait()
}

// ownerHealthy pings the known owner and reports whether it still works, as far as this
// process can tell. cutOff is set if the owner is alive but has not reached the store for
// maxStoreOutage, while this process does reach it.
func (x *Elector) ownerHealthy(ctx context.Context) (healthy, cutOff bool) {
	owner := x.Owner()
	if owner == nil || owner.Released || owner.Address == x.self.Address {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	reply, err := x.peers.Ping(ctx, owner.Address, owner)
	x.mu.Lock()
	defer x.mu.Unlock()
	if err == nil && reply.Owner != nil && x.updateOwner(reply.Owner) {
		return true, false // the next check pings the new owner
	}
	if err == nil && reply.Leads {
		x.ownerSeenAt = x.clock()
		cutOff = time.Duration(reply.StoreSilentMs)*time.Millisecond > maxStoreOutage && x.storeReachable()
		return !cutOff, cutOff
	}
	return x.clock().Sub(x.ownerSeenAt) < suspectAfter, false
}

// tryClaim claims the ownership, unless the store holds a newer owner or a peer still
// reaches an owner that this process does not.
func (x *Elector) tryClaim(ctx context.Context, cutOff bool) {
	owner, end, err := statelog.ReadOwner(ctx, x.store)
	if err != nil { // no claim is possible without the store, but a peer may know a newer owner
		x.askPeersForOwner(ctx, x.peers.Entries(), x.Owner())
		return
	}
	x.mu.Lock()
	if owner != nil && x.updateOwner(owner) && !owner.Released && owner.Address != x.self.Address {
		x.mu.Unlock()
		return
	}
	x.mu.Unlock()
	if owner != nil && !owner.Released && owner.Address != x.self.Address {
		events.OwnerSuspected.Log("epoch", owner.Epoch, "owner", owner.Node, "seenBefore", x.SinceOwnerSeen(), "storeCutOff", cutOff)
		if !cutOff && x.peerReachesOwner(ctx, owner) {
			return
		}
	}
	if x.waitBeforeClaim(ctx, owner == nil) {
		x.claim(ctx, owner, end)
	}
}

// peerReachesOwner reports whether a peer recently reached this owner or a newer one.
// Then only the connection of this process is broken, and replacing the owner would not
// help.
func (x *Elector) peerReachesOwner(ctx context.Context, owner *chervilv2.OwnerRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	entries := x.peers.Entries()
	reached := make(chan bool, len(entries))
	for _, address := range entries {
		go func() {
			reply, err := x.peers.Ping(ctx, address, owner)
			reached <- err == nil && address != owner.Address && reply.Owner != nil && reply.Owner.Epoch >= owner.Epoch &&
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
func (x *Elector) waitBeforeClaim(ctx context.Context, first bool) bool {
	maxDelay := maxClaimDelay
	if first {
		maxDelay = maxFirstClaimDelay
	}
	delay := time.Duration((1-x.self.capacityScore())*float64(maxDelay)) + rand.N(claimJitter)
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// claim appends a claim for the next epoch and takes over if the claim succeeded.
func (x *Elector) claim(ctx context.Context, previous *chervilv2.OwnerRecord, end int64) {
	record := &chervilv2.OwnerRecord{Epoch: 1, Node: x.self.Node, Address: x.self.Address, Nonce: ulid.Make().String()}
	if previous != nil {
		record.Epoch = previous.Epoch + 1
	}
	if !x.writeRecord(ctx, record, end) {
		return
	}
	events.OwnershipClaimed.Log("epoch", record.Epoch, "node", x.self.Node, "previous", previous.GetNode())
	if err := x.takeOver(ctx, record); err != nil {
		events.OwnershipClaimFailed.LogError(err, "epoch", record.Epoch, "step", fault.StepRestore)
		x.mu.Lock()
		x.updateOwner(record)
		x.mu.Unlock()
	}
}

// writeRecord appends the owner record and reports whether it is the newest one. An
// unanswered append is retried with the same condition, so at most one copy is stored.
func (x *Elector) writeRecord(ctx context.Context, record *chervilv2.OwnerRecord, end int64) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for ctx.Err() == nil {
		attemptCtx, cancelAttempt := context.WithTimeout(ctx, pingTimeout)
		err := statelog.WriteOwner(attemptCtx, x.store, record, end)
		cancelAttempt()
		if err == nil {
			return true
		}
		switch platform.KindOf(err) {
		case platform.Conflict:
			newest, _, readErr := statelog.ReadOwner(ctx, x.store)
			if readErr == nil {
				return newest.GetNonce() == record.Nonce && newest.GetReleased() == record.Released
			}
		case platform.Invalid:
			events.OwnershipClaimFailed.LogError(err, "epoch", record.Epoch)
			return false
		}
		select {
		case <-time.After(claimRetryInterval):
		case <-ctx.Done():
		}
	}
	return false
}

// takeOver fences the earlier owners, loads the stored state and runs an engine on it.
// Loading is retried after a new fence, until ctx ends, unless the state is invalid.
func (x *Elector) takeOver(ctx context.Context, record *chervilv2.OwnerRecord) error {
	startedAt := time.Now()
	writer := statelog.NewWriter(x.store, record.Epoch, x.clock)
	if err := writer.Fence(ctx); err != nil {
		return err
	}
	restored, err := statelog.Load(ctx, x.store)
	for err != nil && ctx.Err() == nil && !fault.Is(err, fault.CodeInternal) {
		events.OwnershipClaimFailed.LogError(err, "epoch", record.Epoch, "step", fault.StepRestore)
		if err = writer.Fence(ctx); err != nil {
			return err
		}
		restored, err = statelog.Load(ctx, x.store)
	}
	if err != nil {
		return err
	}
	engine := x.newEngine(writer, restored)
	events.StateLoaded.Log("epoch", record.Epoch, "jobs", len(restored.Jobs), "pairs", len(restored.Interference), "took", time.Since(startedAt))
	x.mu.Lock()
	x.updateOwner(record)
	x.engine = engine
	x.mu.Unlock()
	go func() {
		engine.Run(ctx)
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.engine == engine {
			x.engine = nil
			x.ownerSeenAt = x.clock()
		}
	}()
	return nil
}

// release stops the engine and stores that the ownership is free, so that another entry
// can claim it at once.
func (x *Elector) release(engine *dispatch.Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	engine.Stop(ctx)
	x.mu.Lock()
	owner := x.owner
	x.mu.Unlock()
	newest, end, err := statelog.ReadOwner(ctx, x.store)
	if err != nil || newest == nil || owner == nil || newest.Nonce != owner.Nonce {
		return
	}
	newest.Released = true
	if x.writeRecord(ctx, newest, end) {
		events.OwnershipReleased.Log("epoch", newest.Epoch, "node", x.self.Node)
	}
	x.Observe(newest)
}

// Resign releases the ownership if this process has it, and prevents further claims.
func (x *Elector) Resign() {
	x.mu.Lock()
	x.resigned = true
	engine := x.engine
	x.mu.Unlock()
	if engine != nil {
		x.release(engine)
	}
}
