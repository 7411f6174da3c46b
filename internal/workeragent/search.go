package workeragent

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/jobentry"
	"chervilridge/internal/peer"
	"chervilridge/internal/schedulestore"
)

const (
	// searchTimeout bounds one search for the owner.
	searchTimeout = 400 * time.Millisecond
	// maxRelayContactAge is how recently an entry must have reached the owner to serve as
	// a relay to it.
	maxRelayContactAge = time.Second
	// searchInterval, plus a jitter of up to searchJitter, is the pause between searches.
	searchInterval = 80 * time.Millisecond
	searchJitter   = 60 * time.Millisecond
	// searchSample is how many entries a search asks, besides the last known owner.
	searchSample = 4
)

// searchReply is the reply of an entry to a search for the owner. It is empty if the
// entry did not answer.
type searchReply struct {
	address string
	isOwner bool
	// reachesOwner is set if the entry is not the owner but recently reached it.
	reachesOwner bool
}

// search asks the store, the last known owner and some entries for the owner, and the owner
// that they name. It returns the address to attach to: the owner's if it answers, or else
// that of an entry that relays to the owner, or else the owner's last known address. It is
// empty if there is none. All agents search at once when the owner fails, so that none may
// ask all entries.
func (l *OwnerLink) search(ctx context.Context) string {
	ctx, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	replies := make(chan searchReply)
	asked := map[string]bool{"": true}
	waiting := 1
	go func() {
		owner, _, err := schedulestore.ReadOwner(ctx, l.store)
		if err == nil {
			l.observeOwner(owner)
		}
		sendReply(ctx, replies, searchReply{})
	}()
	ask := func(address string) {
		if asked[address] {
			return
		}
		asked[address] = true
		waiting++
		go func() { sendReply(ctx, replies, l.pingEntry(ctx, address)) }()
	}
	ask(l.ownerAddress())
	for _, address := range l.sampleEntries() {
		ask(address)
	}
	relay := ""
	for waiting > 0 && ctx.Err() == nil {
		select {
		case reply := <-replies:
			waiting--
			if reply.isOwner {
				return reply.address
			}
			if reply.reachesOwner {
				relay = reply.address
			}
			ask(l.ownerAddress())
		case <-ctx.Done():
		}
	}
	if relay != "" {
		return relay
	}
	return l.ownerAddress()
}

func sendReply(ctx context.Context, replies chan<- searchReply, reply searchReply) {
	select {
	case replies <- reply:
	case <-ctx.Done():
	}
}

// ownerAddress returns the address of the last known owner, or "".
func (l *OwnerLink) ownerAddress() string {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.owner == nil || l.owner.Released {
		return ""
	}
	return l.owner.Address
}

// sampleEntries returns some of the known entries at random.
func (l *OwnerLink) sampleEntries() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	sample := slices.Clone(l.entries)
	rand.Shuffle(len(sample), func(i, j int) { sample[i], sample[j] = sample[j], sample[i] })
	return sample[:min(searchSample, len(sample))]
}

// pingEntry asks an entry for the owner, and records the owner and entries in its reply.
func (l *OwnerLink) pingEntry(ctx context.Context, address string) searchReply {
	conn, err := l.pool.Get(address)
	if err != nil {
		return searchReply{}
	}
	reply, err := chervilv2.NewSchedulerClient(conn).Ping(ctx, &chervilv2.PingRequest{Node: l.node.Name})
	if err != nil {
		return searchReply{}
	}
	l.observeOwner(reply.Owner)
	l.addEntries(reply.Entries)
	if l.knowsNewerOwner(reply.Owner) {
		return searchReply{}
	}
	reachesOwner := reply.OwnerSeenMs >= 0 && reply.OwnerSeenMs < maxRelayContactAge.Milliseconds()
	return searchReply{address: address, isOwner: reply.Leads, reachesOwner: reachesOwner && !reply.Leads}
}

// knowsNewerOwner reports whether a newer owner is known than the one in an entry's reply. Such an entry
// neither owns the schedule nor relays to its owner, whatever it replies.
func (l *OwnerLink) knowsNewerOwner(owner *chervilv2.OwnerRecord) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.owner.GetEpoch() > owner.GetEpoch()
}

// observeOwner records the owner if it is newer than the known one.
func (l *OwnerLink) observeOwner(owner *chervilv2.OwnerRecord) {
	if owner == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.owner == nil || owner.Epoch > l.owner.Epoch || owner.Epoch == l.owner.Epoch && owner.Released {
		l.owner = owner
	}
}

// replaceEntries takes over the owner's list of live entries, if it sent one, besides the
// seeds.
func (l *OwnerLink) replaceEntries(entries []string) {
	if len(entries) == 0 {
		return
	}
	l.mu.Lock()
	l.entries = jobentry.SeedAddresses(l.node)
	l.mu.Unlock()
	l.addEntries(entries)
}

// addEntries adds the addresses to the known entries. It ignores malformed ones.
func (l *OwnerLink) addEntries(entries []string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range entries {
		if peer.ValidAddress(e) && !slices.Contains(l.entries, e) {
			l.entries = append(l.entries, e)
		}
	}
}
