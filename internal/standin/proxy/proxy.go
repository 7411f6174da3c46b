// Package proxy is a stand-in for what lies between two ends of a TCP
// connection: it can go silent on the connections it has while new ones work.
package proxy

import (
	"net"
	"sync"
)

const bufferBytes = 32 << 10

// Proxy forwards connections from its own address to a target. It is safe for
// concurrent use.
type Proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	links []*link
}

// link is one forwarded connection. The proxy keeps reading from both ends, so
// that they see every byte acknowledged.
type link struct {
	near, far net.Conn

	mu sync.Mutex
	// budget is how many more bytes pass: negative is no bound.
	toTarget, toCaller int64
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
		go l.forward(near, far, &l.toTarget)
		go l.forward(far, near, &l.toCaller)
	}
}

func (l *link) close() {
	_ = l.near.Close()
	_ = l.far.Close()
}

func (l *link) forward(from, to net.Conn, budget *int64) {
	defer l.close()
	buffer := make([]byte, bufferBytes)
	for {
		n, err := from.Read(buffer)
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
