package sidecar

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/oklog/ulid/v2"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/entrynode"
	"chervilridge/internal/events"
	"chervilridge/internal/peer"
	"chervilridge/internal/statelog"
	"chervilridge/platform"
)

const (
	// reportInterval is how often the agent reports if nothing changes.
	reportInterval = 400 * time.Millisecond
	// reportGap gathers changes that come together.
	reportGap = 4 * time.Millisecond
	// ownerSilentLimit is how long the owner may leave reports unanswered.
	ownerSilentLimit = 1300 * time.Millisecond
	// searchTimeout bounds one search for the owner, searchPause lies between two.
	searchTimeout = 400 * time.Millisecond
	// relaySight is how lately an entry must have reached the owner to pass on to it.
	relaySight   = time.Second
	searchPause  = 80 * time.Millisecond
	searchJitter = 60 * time.Millisecond
)

var errOwnerSilent = errors.New("the owner does not answer reports")

// Link keeps the agent attached to the owner of the schedule.
type Link struct {
	agent       *Agent
	store       statelog.Store
	pool        *peer.Pool
	node        *platform.NodeSettings
	incarnation string

	mu      sync.Mutex
	entries []string
	owner   *chervilv2.OwnerRecord
}

// NewLink returns a link that is not attached.
func NewLink(agent *Agent, store statelog.Store, pool *peer.Pool, node *platform.NodeSettings) *Link {
	return &Link{agent: agent, store: store, pool: pool, node: node, incarnation: ulid.Make().String(), entries: entrynode.SeedAddresses(node)}
}

// Run attaches to the owner, and to the next one when that is lost.
func (k *Link) Run(ctx context.Context) {
	for ctx.Err() == nil {
		if address := k.search(ctx); address != "" {
			err := k.attach(ctx, address)
			if ctx.Err() == nil {
				events.OwnerDetached.LogError(err, "address", address)
			}
		}
		select {
		case <-time.After(searchPause + rand.N(searchJitter)):
		case <-ctx.Done():
		}
	}
}

// answer is what an entry said in a search.
type answer struct {
	address string
	leads   bool
	// sees is set if the entry reached the owner lately.
	sees bool
}

// search asks the store and all known entries who owns the schedule. It returns where to
// attach: at the owner, or at an entry that reaches it if this process does not.
func (k *Link) search(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	k.mu.Lock()
	entries := slices.Clone(k.entries)
	k.mu.Unlock()
	answers := make(chan answer, len(entries)+1)
	go func() {
		owner, _, err := statelog.ReadOwner(ctx, k.store)
		if err == nil {
			k.observe(owner)
		}
		answers <- answer{}
	}()
	for _, address := range entries {
		go func() { answers <- k.ask(ctx, address) }()
	}
	relay := ""
	for range len(entries) + 1 {
		a := <-answers
		if a.leads {
			return a.address
		}
		if a.sees {
			relay = a.address
		}
	}
	if relay != "" {
		return relay
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.owner == nil || k.owner.Released {
		return ""
	}
	return k.owner.Address
}

// ask asks an entry for the owner.
func (k *Link) ask(ctx context.Context, address string) answer {
	conn, err := k.pool.Get(address)
	if err != nil {
		return answer{}
	}
	reply, err := chervilv2.NewSchedulerClient(conn).Ping(ctx, &chervilv2.PingRequest{Node: k.node.Name})
	if err != nil {
		return answer{}
	}
	k.observe(reply.Owner)
	k.learn(reply.Entries)
	sees := reply.OwnerSeenMs >= 0 && reply.OwnerSeenMs < relaySight.Milliseconds()
	return answer{address: address, leads: reply.Leads, sees: sees && !reply.Leads}
}

func (k *Link) observe(owner *chervilv2.OwnerRecord) {
	if owner == nil {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.owner == nil || owner.Epoch > k.owner.Epoch || owner.Epoch == k.owner.Epoch && owner.Released {
		k.owner = owner
	}
}

func (k *Link) learn(entries []string) {
	k.mu.Lock()
	defer k.mu.Unlock()
	for _, e := range entries {
		if !slices.Contains(k.entries, e) {
			k.entries = append(k.entries, e)
		}
	}
}

// attach reports to the owner until the connection fails or the owner falls silent.
func (k *Link) attach(ctx context.Context, address string) error {
	conn, err := peer.Dial(address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stream, err := chervilv2.NewSchedulerClient(conn).Attach(ctx)
	if err != nil {
		return err
	}
	s := &reports{sent: map[uint64]boottime.Instant{}, answered: k.agent.clock(), agent: k.agent}
	go func() {
		for {
			orders, err := stream.Recv()
			if err != nil {
				cancel(err)
				return
			}
			k.learn(orders.Entries)
			if !s.take(orders) {
				cancel(errors.New("an older owner answers"))
				return
			}
		}
	}()
	k.agent.relist()
	for ctx.Err() == nil {
		if s.silent() > ownerSilentLimit {
			return errOwnerSilent
		}
		r := k.agent.report()
		r.Node, r.Incarnation, r.Address = k.node.Name, k.incarnation, entrynode.InternalAddress(k.node)
		r.Sequence = s.next()
		if err := stream.Send(r); err != nil {
			k.agent.keep(r)
			cancel(err)
			break
		}
		select {
		case <-time.After(reportInterval):
			k.agent.relist()
		case <-k.agent.changed:
			time.Sleep(reportGap)
		case <-ctx.Done():
		}
	}
	return context.Cause(ctx)
}

// reports matches the owner's answers with the times at which reports were sent.
type reports struct {
	agent    *Agent
	mu       sync.Mutex
	sequence uint64
	sent     map[uint64]boottime.Instant
	answered boottime.Instant
	attached bool
}

func (s *reports) next() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	s.sent[s.sequence] = s.agent.clock()
	return s.sequence
}

func (s *reports) silent() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.agent.clock().Sub(s.answered)
}

// take hands orders on; the right to hold runs counts from when the answered report
// was sent.
func (s *reports) take(o *chervilv2.OwnerOrders) bool {
	s.mu.Lock()
	sentAt := s.sent[o.Report]
	if o.Report > 0 {
		s.answered = s.agent.clock()
		for n := range s.sent {
			if n <= o.Report {
				delete(s.sent, n)
			}
		}
	}
	first := !s.attached
	s.attached = true
	s.mu.Unlock()
	if first {
		events.OwnerAttached.Log("epoch", o.Epoch)
	}
	return s.agent.Orders(context.Background(), o, sentAt)
}

// relist has the next report list all runs.
func (a *Agent) relist() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.full = true
}

// keep puts back what a report that was not sent carried.
func (a *Agent) keep(r *chervilv2.AgentReport) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.results = append(r.Results, a.results...)
}

// report returns what the owner has to know.
func (a *Agent) report() *chervilv2.AgentReport {
	a.mu.Lock()
	defer a.mu.Unlock()
	r := &chervilv2.AgentReport{Results: a.results}
	a.results = nil
	l := a.life
	if l == nil || l.id == "" {
		return r
	}
	b := l.beat
	r.Worker = &chervilv2.Worker{
		Id: l.id, BornUnixMs: l.born, Service: b.Service, Zone: b.DataCentre, CpuMilli: b.CPUMilli, MemoryMb: b.MemoryMB, Gpus: b.GPUs,
		Labels: b.Labels, Draining: l.draining || l.left, Machine: b.Machine, SilentMs: a.clock().Sub(l.answered).Milliseconds(),
		ColdLeftMs: b.WarmUpRemaining.Milliseconds(), Listed: l.listed && !l.gone, Gone: l.gone || l.lapsed,
	}
	for _, e := range l.ends {
		r.Ends = append(r.Ends, &chervilv2.RunEnd{Number: e.Number, Task: e.Task, Attempt: e.Attempt, Kind: endKinds[e.Kind], Checkpoint: e.Checkpoint})
	}
	if !a.full || !l.listed {
		return r
	}
	a.full, r.Full = false, true
	for key, run := range l.runs {
		pace, paced := a.paced[key]
		r.Runs = append(r.Runs, &chervilv2.Run{
			Paced: paced, Task: run.Task, Attempt: run.Attempt, Percent: run.Percent, Checkpoint: run.Checkpoint, Gauge: run.Gauge, Pace: pace,
		})
	}
	for key := range a.tasks {
		if _, listed := l.runs[key]; !listed {
			r.Runs = append(r.Runs, &chervilv2.Run{Task: key.task, Attempt: key.attempt, Starting: true})
		}
	}
	return r
}

var endKinds = map[platform.EndKind]chervilv2.EndKind{
	platform.EndDone: chervilv2.EndKind_END_KIND_DONE, platform.EndFailed: chervilv2.EndKind_END_KIND_FAILED,
	platform.EndStopped: chervilv2.EndKind_END_KIND_STOPPED, platform.EndLeaseExpired: chervilv2.EndKind_END_KIND_LAPSED,
	platform.EndGangBroken: chervilv2.EndKind_END_KIND_BROKEN, platform.EndGangIncomplete: chervilv2.EndKind_END_KIND_ALONE,
}
