package jobentry

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"slices"
	"strconv"
	"sync"
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/peer"
	"chervilridge/platform"
)

const (
	// peerExpiry is how long an entry stays in the list of peers after it was last seen.
	peerExpiry = 20 * time.Second
	// operatorTimeout limits a query of peers for the operator's records.
	operatorTimeout = 500 * time.Millisecond
	// operatorSample is how many peers are asked whether they have newer records.
	operatorSample = 4
)

// errNoPeer means that no call was sent, or that no peer sent a usable reply.
var errNoPeer = errors.New("no peer available")

// Peers keeps the addresses of the other entries and calls them. It is safe for
// concurrent use.
type Peers struct {
	node string
	self string
	pool *peer.Pool

	mu sync.Mutex
	// lastSeen is when an entry last called or responded, by address.
	lastSeen map[string]time.Time
	seeds    []string
}

// InternalAddress returns the address on which a process listens for calls from other
// processes of the system. Its port is the first of the system's port range, which is
// the same on all machines.
func InternalAddress(n *platform.NodeSettings) string {
	return net.JoinHostPort(n.IP, strconv.Itoa(n.FirstPort))
}

// SeedAddresses returns the internal addresses of the seed entries in the settings.
func SeedAddresses(n *platform.NodeSettings) []string {
	var out []string
	for _, s := range n.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(n.FirstPort)))
		}
	}
	return out
}

// NewPeers returns the peers, initially the seeds in the settings.
func NewPeers(n *platform.NodeSettings, pool *peer.Pool) *Peers {
	return &Peers{node: n.Name, self: InternalAddress(n), pool: pool, lastSeen: map[string]time.Time{}, seeds: SeedAddresses(n)}
}

// MarkSeen records that an entry is alive. It ignores a malformed address.
func (p *Peers) MarkSeen(address string) {
	if address == p.self || !peer.ValidAddress(address) {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.lastSeen[address] = time.Now()
}

// Entries returns the sorted addresses of the other entries: those seen recently and the
// seeds.
func (p *Peers) Entries() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]string, 0, len(p.lastSeen)+len(p.seeds))
	for a, at := range p.lastSeen {
		if time.Since(at) > peerExpiry {
			delete(p.lastSeen, a)
			continue
		}
		out = append(out, a)
	}
	for _, a := range p.seeds {
		if a != p.self && !slices.Contains(out, a) {
			out = append(out, a)
		}
	}
	slices.Sort(out)
	return out
}

// Sample returns up to n other entries at random. Asking all of them would cost calls in
// proportion to the square of their number when all of them need something at once.
func (p *Peers) Sample(n int) []string {
	entries := p.Entries()
	rand.Shuffle(len(entries), func(i, j int) { entries[i], entries[j] = entries[j], entries[i] })
	return entries[:min(n, len(entries))]
}

// LiveEntries returns the sorted addresses of the entries seen recently, including this
// one. Only Entries removes those that were not seen for peerExpiry.
func (p *Peers) LiveEntries() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []string{p.self}
	for a := range p.lastSeen {
		out = append(out, a)
	}
	slices.Sort(out)
	return out
}

func (p *Peers) client(address string) (chervilv2.SchedulerClient, error) {
	conn, err := p.pool.Get(address)
	if err != nil {
		return nil, err
	}
	return chervilv2.NewSchedulerClient(conn), nil
}

// Ping sends an entry the owner that is known here; the reply holds the one known there.
// It also records the entries that the reply lists.
func (p *Peers) Ping(ctx context.Context, address string, known *chervilv2.OwnerRecord) (*chervilv2.PingReply, error) {
	client, err := p.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Ping(ctx, &chervilv2.PingRequest{Node: p.node, EntryAddress: p.self, Owner: known})
	if err != nil {
		return nil, err
	}
	p.MarkSeen(address)
	for _, a := range reply.Entries {
		p.mu.Lock()
		_, seen := p.lastSeen[a]
		p.mu.Unlock()
		if !seen {
			p.MarkSeen(a)
		}
	}
	return reply, nil
}

// FetchOperatorRecords gets the operator's records after the known offset from a peer. It
// first asks some peers how new their records are, since a configuration may be large.
func (p *Peers) FetchOperatorRecords(ctx context.Context, known int64) (*chervilv2.OperatorReply, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	address := p.peerWithRecords(ctx, known)
	if address == "" {
		return nil, errNoPeer
	}
	client, err := p.client(address)
	if err != nil {
		return nil, err
	}
	return client.Operator(ctx, &chervilv2.OperatorRequest{KnownOffset: known})
}

// peerWithRecords returns the first of some peers that replies and has newer records than
// the known offset, or "" if there is none.
func (p *Peers) peerWithRecords(ctx context.Context, known int64) string {
	type offer struct {
		address string
		offset  int64
	}
	sample := p.Sample(operatorSample)
	offers := make(chan offer, len(sample))
	for _, address := range sample {
		go func() {
			reply, err := p.Ping(ctx, address, nil)
			if err != nil {
				offers <- offer{offset: -1}
				return
			}
			offers <- offer{address, reply.OperatorOffset}
		}()
	}
	for range sample {
		if o := <-offers; o.offset > known {
			return o.address
		}
	}
	return ""
}
