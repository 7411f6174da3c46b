// Package proxy is a TCP proxy that stands in for the network between two processes. It can
// blackhole, close or reset its open connections while new ones work, and it can impair all
// connections.
package proxy

import (
	"net"
	"sync"
	"time"
)

const bufferBytes = 32 << 10

// Proxy forwards connections from its own address to a target. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu          sync.Mutex
	connections []*connection // all accepted so far, closed ones included
	impairment  Impairment
}

// Impairment is a network fault on all connections, new ones included. The zero value is
// no fault.
type Impairment struct {
	// Delay is added to the latency of each direction.
	Delay time.Duration
	// DropToTarget and DropToCaller drop all bytes of that direction.
	DropToTarget, DropToCaller bool
}

// Impair replaces the impairment. The zero Impairment also resets the connections that
// lost bytes: the proxy has acknowledged those bytes, so no retransmission restores the
// stream.
func (p *Proxy) Impair(impairment Impairment) {
	p.mu.Lock()
	p.impairment = impairment
	p.mu.Unlock()
	if impairment == (Impairment{}) {
		p.resetLossy()
	}
}

func (p *Proxy) currentImpairment() Impairment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairment
}

// ResetConnections resets the open connections.
func (p *Proxy) ResetConnections() {
	for _, c := range p.snapshot() {
		c.reset()
	}
}

// resetLossy resets the connections that lost bytes.
func (p *Proxy) resetLossy() {
	for _, c := range p.snapshot() {
		c.mu.Lock()
		lostBytes := c.lostBytes
		c.mu.Unlock()
		if lostBytes {
			c.reset()
		}
	}
}

// connection is one forwarded connection. The proxy keeps reading from both ends even when
// it drops bytes, so both ends see every byte acknowledged.
type connection struct {
	caller, target net.Conn

	mu sync.Mutex
	// How many more bytes are forwarded in each direction; negative is unlimited.
	toTargetBudget, toCallerBudget int64
	lostBytes                      bool // an Impairment dropped bytes
}

// Listen starts a proxy on a free port of the loopback interface.
func Listen(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target}
	go p.acceptLoop()
	return p, nil
}

// Address returns the host and port to which callers connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted returns the number of connections that were forwarded so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.connections)
}

// Blackhole drops all later bytes of the open connections in both directions.
func (p *Proxy) Blackhole() { p.setBudgets(0, 0) }

// BlackholeResponses forwards the given number of further bytes to the caller of each open
// connection and drops the rest. Bytes to the target are still forwarded.
func (p *Proxy) BlackholeResponses(after int64) { p.setBudgets(-1, after) }

// CloseConnections closes the open connections.
func (p *Proxy) CloseConnections() {
	for _, c := range p.snapshot() {
		c.close()
	}
}

// Close stops listening and closes the open connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.CloseConnections()
}

// snapshot returns a copy of the list of connections.
func (p *Proxy) snapshot() []*connection {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*connection(nil), p.connections...)
}

func (p *Proxy) setBudgets(toTarget, toCaller int64) {
	for _, c := range p.snapshot() {
		c.mu.Lock()
		c.toTargetBudget, c.toCallerBudget = toTarget, toCaller
		c.mu.Unlock()
	}
}

func (p *Proxy) acceptLoop() {
	for {
		caller, err := p.listener.Accept()
		if err != nil {
			return
		}
		target, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = caller.Close()
			continue
		}
		c := &connection{caller: caller, target: target, toTargetBudget: -1, toCallerBudget: -1}
		p.mu.Lock()
		p.connections = append(p.connections, c)
		p.mu.Unlock()
		go c.forward(caller, target, &c.toTargetBudget, func() (time.Duration, bool) { i := p.currentImpairment(); return i.Delay, i.DropToTarget })
		go c.forward(target, caller, &c.toCallerBudget, func() (time.Duration, bool) { i := p.currentImpairment(); return i.Delay, i.DropToCaller })
	}
}

// reset closes both ends with a TCP RST: with a linger time of 0, close sends no FIN.
func (c *connection) reset() {
	for _, end := range []net.Conn{c.caller, c.target} {
		if tcp, ok := end.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	c.close()
}

func (c *connection) close() {
	_ = c.caller.Close()
	_ = c.target.Close()
}

// forward copies one direction until either end closes, within the direction's budget and
// under the impairment.
func (c *connection) forward(from, to net.Conn, budget *int64, currentImpairment func() (time.Duration, bool)) {
	defer c.close()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		delay, drop := currentImpairment()
		if drop && n > 0 {
			c.markLost()
			continue
		}
		time.Sleep(delay)
		if pass := c.consumeBudget(budget, int64(n)); pass > 0 {
			if _, writeErr := to.Write(buffer[:pass]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (c *connection) markLost() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.lostBytes = true
}

// consumeBudget deducts n bytes from the budget and returns how many of them to forward.
func (c *connection) consumeBudget(budget *int64, n int64) int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if *budget < 0 {
		return n
	}
	pass := min(n, *budget)
	*budget -= pass
	return pass
}
