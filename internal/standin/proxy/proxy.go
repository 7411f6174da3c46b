// Package proxy is a stand-in for what lies between two ends of a TCP
// connection: it can go silent on the connections it has while new ones work, and it can
// impair all of them.
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

	mu         sync.Mutex
	links      []*link
	impairment Impairment
}

// Impairment is what is wrong with all connections, new ones included. The zero value is
// a sound network.
type Impairment struct {
	// Delay is how much later bytes arrive, each way.
	Delay time.Duration
	// DropToTarget and DropToCaller lose all bytes of that direction; both are a silent
	// network.
	DropToTarget, DropToCaller bool
}

// Impair replaces the impairment. Bytes that were lost stay lost: when the network is
// sound again, connections that lost some are reset, as a retransmission would never fit.
func (p *Proxy) Impair(i Impairment) {
	p.mu.Lock()
	p.impairment = i
	p.mu.Unlock()
	if i == (Impairment{}) {
		p.resetTorn()
	}
}

func (p *Proxy) impaired() Impairment {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.impairment
}

// Reset resets the present connections.
func (p *Proxy) Reset() {
	for _, l := range p.present() {
		l.reset()
	}
}

func (p *Proxy) resetTorn() {
	for _, l := range p.present() {
		l.mu.Lock()
		torn := l.torn
		l.mu.Unlock()
		if torn {
			l.reset()
		}
	}
}

// link is one forwarded connection. The proxy keeps reading from both ends, so
// that they see every byte acknowledged.
type link struct {
	near, far net.Conn

	mu sync.Mutex
	// budget is how many more bytes pass: negative is no bound.
	toTarget, toCaller int64
	torn               bool // bytes were lost
}

// Listen starts a proxy on a free port of the loopback interface.
func Listen(target string) (*Proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{listener: l, target: target}
	go p.accept()
	return p, nil
}

// Address returns where callers connect.
func (p *Proxy) Address() string { return p.listener.Addr().String() }

// Accepted returns how many connections were made so far.
func (p *Proxy) Accepted() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.links)
}

// Silence drops all later bytes of the present connections.
func (p *Proxy) Silence() { p.limit(0, 0) }

// SilenceAnswers drops all later bytes to the callers of the present
// connections after the given number, and passes those to the target.
func (p *Proxy) SilenceAnswers(after int64) { p.limit(-1, after) }

// Cut closes the present connections.
func (p *Proxy) Cut() {
	for _, l := range p.present() {
		l.close()
	}
}

// Close stops the proxy and closes the present connections.
func (p *Proxy) Close() {
	_ = p.listener.Close()
	p.Cut()
}

func (p *Proxy) present() []*link {
	p.mu.Lock()
	defer p.mu.Unlock()
	return append([]*link(nil), p.links...)
}

func (p *Proxy) limit(toTarget, toCaller int64) {
	for _, l := range p.present() {
		l.mu.Lock()
		l.toTarget, l.toCaller = toTarget, toCaller
		l.mu.Unlock()
	}
}

func (p *Proxy) accept() {
	for {
		near, err := p.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", p.target)
		if err != nil {
			_ = near.Close()
			continue
		}
		l := &link{near: near, far: far, toTarget: -1, toCaller: -1}
		p.mu.Lock()
		p.links = append(p.links, l)
		p.mu.Unlock()
		go l.forward(near, far, &l.toTarget, func() (time.Duration, bool) { i := p.impaired(); return i.Delay, i.DropToTarget })
		go l.forward(far, near, &l.toCaller, func() (time.Duration, bool) { i := p.impaired(); return i.Delay, i.DropToCaller })
	}
}

// reset closes both ends so that their peers see a reset.
func (l *link) reset() {
	for _, c := range []net.Conn{l.near, l.far} {
		if tcp, ok := c.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
	}
	l.close()
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

func (l *link) forward(from, to net.Conn, budget *int64, impaired func() (time.Duration, bool)) {
	defer l.close()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
		delay, drop := impaired()
		if drop && n > 0 {
			l.tear()
			continue
		}
		time.Sleep(delay)
		if pass := l.take(budget, int64(n)); pass > 0 {
			if _, writeErr := to.Write(buffer[:pass]); writeErr != nil {
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (l *link) tear() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.torn = true
}

// take returns how many of n bytes pass.
func (l *link) take(budget *int64, n int64) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	if *budget < 0 {
		return n
	}
	pass := min(n, *budget)
	*budget -= pass
	return pass
}
