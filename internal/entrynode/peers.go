package entrynode

import (
	"context"
	"errors"
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
	// entryForget is how long an entry that is not heard of is still asked.
	entryForget = 20 * time.Second
	// operatorTimeout bounds a question for the operator's records.
	operatorTimeout = 500 * time.Millisecond
)

var errNoPeer = errors.New("no peer answered")

// Peers knows the other entries and calls them. It is safe for concurrent use.
type Peers struct {
	node string
	self string
	pool *peer.Pool

	mu    sync.Mutex
	heard map[string]time.Time
	seeds []string
}

// InnerAddress returns where a process of the system listens for the others: the first
// port that the platform leaves free, the same on all machines.
func InnerAddress(n *platform.Node) string {
	return net.JoinHostPort(n.IP, strconv.Itoa(n.FirstPort))
}

// SeedAddresses returns the inner addresses of the entries that the settings name.
func SeedAddresses(n *platform.Node) []string {
	var out []string
	for _, s := range n.Seeds {
		if host, _, err := net.SplitHostPort(s); err == nil {
			out = append(out, net.JoinHostPort(host, strconv.Itoa(n.FirstPort)))
		}
	}
	return out
}

// NewPeers returns the peers named in the settings.
func NewPeers(n *platform.Node, pool *peer.Pool) *Peers {
	return &Peers{node: n.Name, self: InnerAddress(n), pool: pool, heard: map[string]time.Time{}, seeds: SeedAddresses(n)}
}

// Heard notes that an entry lives.
func (p *Peers) Heard(address string) {
	if address == "" || address == p.self {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.heard[address] = time.Now()
}

// Entries returns the other entries.
func (p *Peers) Entries() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := make([]string, 0, len(p.heard)+len(p.seeds))
	for a, at := range p.heard {
		if time.Since(at) > entryForget {
			delete(p.heard, a)
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

// Live returns the entries heard of lately, this one included.
func (p *Peers) Live() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := []string{p.self}
	for a := range p.heard {
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

// Ping tells an entry of the owner that is known here, and asks for the one known there.
func (p *Peers) Ping(ctx context.Context, address string, known *chervilv2.OwnerRecord) (*chervilv2.PingReply, error) {
	client, err := p.client(address)
	if err != nil {
		return nil, err
	}
	reply, err := client.Ping(ctx, &chervilv2.PingRequest{Node: p.node, EntryAddress: p.self, Owner: known})
	if err != nil {
		return nil, err
	}
	p.Heard(address)
	for _, a := range reply.Entries {
		p.mu.Lock()
		_, known := p.heard[a]
		p.mu.Unlock()
		if !known {
			p.Heard(a)
		}
	}
	return reply, nil
}

// Operator returns the operator's records of the first peer that has newer ones.
func (p *Peers) Operator(ctx context.Context, known int64) (*chervilv2.OperatorReply, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()
	entries := p.Entries()
	replies := make(chan *chervilv2.OperatorReply, len(entries))
	for _, address := range entries {
		go func() {
			client, err := p.client(address)
			if err != nil {
				replies <- nil
				return
			}
			reply, err := client.Operator(ctx, &chervilv2.OperatorRequest{KnownOffset: known})
			if err != nil {
				reply = nil
			}
			replies <- reply
		}()
	}
	for range entries {
		if reply := <-replies; reply != nil && reply.Offset > known {
			return reply, nil
		}
	}
	return nil, errNoPeer
}
