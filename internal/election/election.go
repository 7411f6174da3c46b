// Package election decides which entry owns the schedule. A claim is one conditional
// append to the store, so that of several claims one wins; older owners are fenced by
// the epoch of their appends, and no claim has to wait for a lease to run out.
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
	// roundInterval is how often the owner is looked at.
	roundInterval = 200 * time.Millisecond
	// pingTimeout is longer than a message between data centres of two regions takes.
	pingTimeout = 500 * time.Millisecond
	// suspectAfter is how long an owner may be out of reach. It is longer than two
	// rounds, so that one lost message does not change the owner.
	suspectAfter = 700 * time.Millisecond
	// storeSilentLimit is how long an owner may be without the store before an entry
	// that reaches the store takes over.
	storeSilentLimit = 1500 * time.Millisecond
	// peerSightLimit is how fresh a peer's sight of the owner must be to count.
	peerSightLimit = 600 * time.Millisecond
	// claimTimeout bounds how long the outcome of a claim is looked for.
	claimTimeout = 3 * time.Second
	claimPause   = 60 * time.Millisecond
	// weakDelay is how much longer than a strong entry one without any processor or link
	// would wait before it claims; firstDelay is the same for the first claim of all,
	// since processes start some hundred milliseconds apart and nobody waits yet.
	weakDelay  = 250 * time.Millisecond
	firstDelay = 1500 * time.Millisecond
	// ampleLinkMbps is a link that the owner of some hundred workers does not fill.
	ampleLinkMbps = 100
	claimJitter   = 60 * time.Millisecond
	// lonelyAfter is how long an owner without any agent keeps the schedule while
	// others could take it, and lonelyPause how long it then stands back.
	lonelyAfter = 2500 * time.Millisecond
	lonelyPause = 4 * time.Second
	releaseTime = 1500 * time.Millisecond
)

// Peers calls other entries.
type Peers interface {
	Ping(ctx context.Context, address string, known *chervilv2.OwnerRecord) (*chervilv2.PingReply, error)
	// Entries returns the addresses of the other entries that are known.
	Entries() []string
}

// Identity is this process as others see it.
type Identity struct {
	Node    string
	Address string
	// CPUShare is the share of a core that the process gets, LinkMbps its bandwidth.
	CPUShare float64
	LinkMbps float64
}

// strength ranks entries from 0 to 1: the owner needs both processor and link, and the
// scarcer one counts.
func (i Identity) strength() float64 {
	return min(i.CPUShare, i.LinkMbps/ampleLinkMbps, 1)
}

// Elector follows who owns the schedule, and claims it when the owner is gone.
type Elector struct {
	me      Identity
	store   statelog.Store
	peers   Peers
	clock   boottime.Clock
	build   func(*statelog.Writer, *statelog.State) *dispatch.Engine
	storeOK func() bool

	mu      sync.Mutex
	owner   *chervilv2.OwnerRecord
	seen    boottime.Instant
	engine  *dispatch.Engine
	standBy boottime.Instant // no claim before
	leaving bool
}

// New returns an elector. storeOK tells whether the store served this process lately.
func New(me Identity, store statelog.Store, peers Peers, clock boottime.Clock, storeOK func() bool,
	build func(*statelog.Writer, *statelog.State) *dispatch.Engine,
) *Elector {
	return &Elector{me: me, store: store, peers: peers, clock: clock, build: build, storeOK: storeOK, seen: clock()}
}

// Owner returns the newest owner known; nil if there is none.
func (x *Elector) Owner() *chervilv2.OwnerRecord {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.owner
}

// Engine returns the schedule if this process owns it, or nil.
func (x *Elector) Engine() *dispatch.Engine {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.engine
}

// OwnerSeen returns how long ago the owner was last reached; negative if never.
func (x *Elector) OwnerSeen() time.Duration {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.engine != nil:
		return 0
	case x.owner == nil:
		return -1
	}
	return x.clock().Sub(x.seen)
}

// Observe takes in an owner that somebody else told of.
func (x *Elector) Observe(owner *chervilv2.OwnerRecord) {
	if owner == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.adopt(owner)
}

// adopt takes a newer owner in; it reports whether that changed anything.
func (x *Elector) adopt(owner *chervilv2.OwnerRecord) bool {
	if x.owner != nil && (owner.Epoch < x.owner.Epoch || owner.Epoch == x.owner.Epoch && owner.Released == x.owner.Released) {
		return false
	}
	if x.owner == nil || owner.Epoch > x.owner.Epoch {
		x.seen = x.clock()
		events.OwnerObserved.Log("epoch", owner.Epoch, "owner", owner.Node, "address", owner.Address)
	}
	x.owner = proto.Clone(owner).(*chervilv2.OwnerRecord)
	return true
}

// Run follows the owner until the context ends.
func (x *Elector) Run(ctx context.Context) {
	for ctx.Err() == nil {
		x.round(ctx)
		select {
		case <-time.After(roundInterval):
		case <-ctx.Done():
		}
	}
}

func (x *Elector) round(ctx context.Context) {
	if engine := x.Engine(); engine != nil {
		x.watchOwn(ctx, engine)
		return
	}
	serves, cutOff := x.ownerServes(ctx)
	if serves {
		return
	}
	x.mu.Lock()
	standsBack := x.leaving || x.standBy.After(x.clock())
	x.mu.Unlock()
	if standsBack {
		x.lookUp(ctx)
		return
	}
	x.tryClaim(ctx, cutOff)
}

// lookUp learns of a newer owner from the store, or else from the other entries.
func (x *Elector) lookUp(ctx context.Context) {
	owner, _, err := statelog.ReadOwner(ctx, x.store)
	if err == nil {
		x.Observe(owner)
		return
	}
	x.askNewer(ctx, x.peers.Entries(), x.Owner())
}

// watchOwn gives an epoch up that has no use: one that no agent reaches, or one that
// another entry has ended.
func (x *Elector) watchOwn(ctx context.Context, engine *dispatch.Engine) {
	owner := x.Owner()
	if owner.GetEpoch() > engine.Epoch() {
		engine.Abandon()
		return
	}
	entries := x.peers.Entries()
	if engine.ConfirmationAge() > storeSilentLimit {
		x.askNewer(ctx, entries, owner)
	}
	if engine.TimeWithoutAgents() < lonelyAfter || len(entries) == 0 {
		return
	}
	x.mu.Lock()
	x.standBy = x.clock().Add(lonelyPause)
	x.mu.Unlock()
	x.giveUp(engine)
}

// askNewer asks the other entries for an owner newer than this one: without the store
// this process would not hear that it was replaced.
func (x *Elector) askNewer(ctx context.Context, entries []string, owner *chervilv2.OwnerRecord) {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	var wait sync.WaitGroup
	for _, address := range entries {
		wait.Go(func() {
			if reply, err := x.peers.Ping(ctx, address, owner); err == nil {
				x.Observe(reply.Owner)
			}
		})
	}
	wait.Wait()
}

// ownerServes reports whether the known owner still does its work, as far as this
// process can tell; cutOff is set if it lives but the store does not serve it.
func (x *Elector) ownerServes(ctx context.Context) (serves, cutOff bool) {
	owner := x.Owner()
	if owner == nil || owner.Released || owner.Address == x.me.Address {
		return false, false
	}
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	reply, err := x.peers.Ping(ctx, owner.Address, owner)
	x.mu.Lock()
	defer x.mu.Unlock()
	if err == nil && reply.Owner != nil && x.adopt(reply.Owner) {
		return true, false // look at the new owner in the next round
	}
	if err == nil && reply.Leads {
		x.seen = x.clock()
		cutOff = time.Duration(reply.StoreSilentMs)*time.Millisecond > storeSilentLimit && x.storeOK()
		return !cutOff, cutOff
	}
	return x.clock().Sub(x.seen) < suspectAfter, false
}

// tryClaim claims the schedule unless the store or, for an owner that is only out of
// reach, a peer knows better.
func (x *Elector) tryClaim(ctx context.Context, cutOff bool) {
	owner, end, err := statelog.ReadOwner(ctx, x.store)
	if err != nil { // without the store nobody can claim, but others may know more
		x.askNewer(ctx, x.peers.Entries(), x.Owner())
		return
	}
	x.mu.Lock()
	if owner != nil && x.adopt(owner) && !owner.Released && owner.Address != x.me.Address {
		x.mu.Unlock()
		return
	}
	x.mu.Unlock()
	if owner != nil && !owner.Released && owner.Address != x.me.Address {
		events.OwnerSuspected.Log("epoch", owner.Epoch, "owner", owner.Node, "seenBefore", x.OwnerSeen(), "storeCutOff", cutOff)
		if !cutOff && x.peerSeesOwner(ctx, owner) {
			return
		}
	}
	if x.pause(ctx, owner == nil) {
		x.claim(ctx, owner, end)
	}
}

// peerSeesOwner reports whether a peer reached a sound owner lately: then this process
// is cut off from it, and another owner would be no better.
func (x *Elector) peerSeesOwner(ctx context.Context, owner *chervilv2.OwnerRecord) bool {
	ctx, cancel := context.WithTimeout(ctx, pingTimeout)
	defer cancel()
	entries := x.peers.Entries()
	sights := make(chan bool, len(entries))
	for _, address := range entries {
		go func() {
			reply, err := x.peers.Ping(ctx, address, owner)
			sights <- err == nil && address != owner.Address && reply.Owner != nil && reply.Owner.Epoch >= owner.Epoch &&
				reply.OwnerSeenMs >= 0 && reply.OwnerSeenMs < peerSightLimit.Milliseconds()
		}()
	}
	for range entries {
		if <-sights {
			return true
		}
	}
	return false
}

// pause lets stronger entries claim first.
func (x *Elector) pause(ctx context.Context, first bool) bool {
	longest := weakDelay
	if first {
		longest = firstDelay
	}
	delay := time.Duration((1-x.me.strength())*float64(longest)) + rand.N(claimJitter)
	select {
	case <-time.After(delay):
		return true
	case <-ctx.Done():
		return false
	}
}

// claim appends a claim under the next epoch and takes over if it won.
func (x *Elector) claim(ctx context.Context, previous *chervilv2.OwnerRecord, end int64) {
	mine := &chervilv2.OwnerRecord{Epoch: 1, Node: x.me.Node, Address: x.me.Address, Nonce: ulid.Make().String()}
	if previous != nil {
		mine.Epoch = previous.Epoch + 1
	}
	if !x.write(ctx, mine, end) {
		return
	}
	events.OwnershipClaimed.Log("epoch", mine.Epoch, "node", x.me.Node, "previous", previous.GetNode())
	if err := x.takeOver(ctx, mine); err != nil {
		events.ClaimFailed.LogError(err, "epoch", mine.Epoch, "step", fault.StepRestore)
		x.mu.Lock()
		x.adopt(mine)
		x.mu.Unlock()
	}
}

// write appends the record and reports whether it is the newest one. An append without
// an answer is repeated with the same condition: at most one copy can land.
func (x *Elector) write(ctx context.Context, record *chervilv2.OwnerRecord, end int64) bool {
	ctx, cancel := context.WithTimeout(ctx, claimTimeout)
	defer cancel()
	for ctx.Err() == nil {
		try, stop := context.WithTimeout(ctx, pingTimeout)
		err := statelog.WriteOwner(try, x.store, record, end)
		stop()
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
			events.ClaimFailed.LogError(err, "epoch", record.Epoch)
			return false
		}
		select {
		case <-time.After(claimPause):
		case <-ctx.Done():
		}
	}
	return false
}

func (x *Elector) takeOver(ctx context.Context, mine *chervilv2.OwnerRecord) error {
	began := time.Now()
	writer := statelog.NewWriter(x.store, mine.Epoch, x.clock)
	if err := writer.Fence(ctx); err != nil {
		return err
	}
	restored, err := statelog.Load(ctx, x.store)
	for err != nil && ctx.Err() == nil && !fault.Is(err, fault.CodeInternal) {
		events.ClaimFailed.LogError(err, "epoch", mine.Epoch, "step", fault.StepRestore)
		if err = writer.Fence(ctx); err != nil {
			return err
		}
		restored, err = statelog.Load(ctx, x.store)
	}
	if err != nil {
		return err
	}
	engine := x.build(writer, restored)
	events.StateLoaded.Log("epoch", mine.Epoch, "jobs", len(restored.Jobs), "pairs", len(restored.Interference), "took", time.Since(began))
	x.mu.Lock()
	x.adopt(mine)
	x.engine = engine
	x.mu.Unlock()
	go func() {
		engine.Run(ctx)
		x.mu.Lock()
		defer x.mu.Unlock()
		if x.engine == engine {
			x.engine = nil
			x.seen = x.clock()
		}
	}()
	return nil
}

// giveUp stops the engine and marks the ownership as free.
func (x *Elector) giveUp(engine *dispatch.Engine) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTime)
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
	if x.write(ctx, newest, end) {
		events.OwnershipReleased.Log("epoch", newest.Epoch, "node", x.me.Node)
	}
	x.Observe(newest)
}

// Leave gives the ownership up, if this process has it, and claims it no more.
func (x *Elector) Leave() {
	x.mu.Lock()
	x.leaving = true
	engine := x.engine
	x.mu.Unlock()
	if engine != nil {
		x.giveUp(engine)
	}
}
