// Package connlimit bounds the open connections of a listener. A listener that is full closes a
// connection which waits for its other end, such as a half-sent request or an idle connection,
// in favour of a new one, and closes the new one if there is none.
package connlimit

import (
	"errors"
	"net"
	"sync"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// stallTime is the time without a byte after which a half-sent or idle connection may be
	// closed for another. It exceeds the round-trip time of distant clients.
	stallTime = 500 * time.Millisecond
	// grpcIdleTime is longer than a live gRPC connection stays without a byte: the server pings
	// after 20 s and waits 5 s for the answer.
	grpcIdleTime = 30 * time.Second
	// grpcPrefaceBytes is the least that a client sends before its connection is established:
	// the HTTP/2 preface and an empty settings frame.
	grpcPrefaceBytes = 24 + 9
	// sourceShare is the fraction of a listener's connections above which a source address is
	// preferred when a connection has to be closed: one in sourceShare. It is not a limit, since
	// all clients behind a load balancer have one address.
	sourceShare = 8
	// keptHeaderBytes is the size up to which a complete header is not counted while its request is
	// handled: the buffer of net/http, which may hold the beginning of the body as well.
	keptHeaderBytes = 4 << 10
	// writeTimeout bounds the time without progress of a response; writePieceBytes is what has
	// to be taken within it.
	writeTimeout    = 30 * time.Second
	writePieceBytes = 64 << 10
)

// Reasons for closing connections.
const (
	ReasonFull     = "connections_full"  // a new connection, as no other could be closed
	ReasonHalfSent = "half_sent_dropped" // a half-sent request or handshake, for a new connection
	ReasonIdle     = "idle_dropped"      // an idle connection, for a new connection
	ReasonSource   = "source_dropped"    // a connection of a source with many, for a new connection
	ReasonMessages = "messages_full"     // a gRPC connection with incomplete messages, which exceed their bound
	ReasonHeaders  = "headers_full"      // a header that exceeds what all headers may take
)

// errHeadersFull is a read error of the network, on which net/http closes the connection. To others it
// responds 400, and clients do not retry that.
var errHeadersFull = &net.OpError{Op: "read", Net: "tcp", Err: errors.New("too many bytes of incomplete headers")}

// Protocol is what is spoken on a listener.
type Protocol int

// Protocols.
const (
	HTTP Protocol = iota // HTTP/1; TrackState must be the server's ConnState hook
	GRPC
)

// Options of a listener.
type Options struct {
	Name     string // in metrics
	Protocol Protocol
	Max      int // open connections
	// HeaderBytes bounds the bytes that all connections together have sent of headers that are
	// not complete, or are complete and large; HTTP only.
	HeaderBytes int64
	// MessageBytes bounds what all connections together have sent of messages that are not
	// complete; GRPC only.
	MessageBytes int64
	// UserTimeout bounds how long sent bytes stay unacknowledged; 0 leaves the system's bound. A
	// gRPC server sets it only on connections that are not wrapped.
	UserTimeout time.Duration
	// Refused is called for each connection closed by this package, with a reason.
	Refused func(reason string)
}

// state of an HTTP connection.
type state int32

const (
	stateHeader state = iota // new, or the header of a request has begun
	stateActive              // a request is read or handled
	stateIdle                // between requests
)

// Listener accepts at most Max connections at a time. It is safe for concurrent use.
type Listener struct {
	net.Listener
	options Options

	mu          sync.Mutex
	conns       map[*Conn]struct{}
	bySource    map[string]int
	headerBytes int64
	// messageBytes is the sum of the connections' messageBytes.
	messageBytes int64
}

// New returns a listener that bounds the connections of another one.
func New(inner net.Listener, options Options) *Listener {
	return &Listener{Listener: inner, options: options, conns: map[*Conn]struct{}{}, bySource: map[string]int{}}
}

// Name returns the name of the listener.
func (l *Listener) Name() string { return l.options.Name }

// Accept returns the next connection that the listener has room for.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		setUserTimeout(inner, l.options.UserTimeout)
		c := &Conn{Conn: inner, listener: l, source: sourceOf(inner)}
		c.lastActive.Store(time.Now().UnixNano())
		if l.add(c) {
			return c, nil
		}
		_ = inner.Close()
	}
}

// setUserTimeout sets the TCP user timeout of a connection, as far as the system allows it.
func setUserTimeout(c net.Conn, timeout time.Duration) {
	tcp, ok := c.(*net.TCPConn)
	if !ok || timeout == 0 {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
	})
}

func sourceOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

// add registers a connection and reports whether there is room for it.
func (l *Listener) add(c *Conn) bool {
	l.mu.Lock()
	if len(l.conns) < l.options.Max {
		l.register(c)
		l.mu.Unlock()
		return true
	}
	victim, reason := l.victim(c.source, time.Now())
	if victim != nil {
		l.unregister(victim)
		l.register(c)
	}
	l.mu.Unlock()
	if victim == nil {
		l.options.Refused(ReasonFull)
		return false
	}
	l.options.Refused(reason)
	_ = victim.Conn.Close()
	return true
}

func (l *Listener) register(c *Conn) {
	l.conns[c] = struct{}{}
	l.bySource[c.source]++
}

// unregister removes a connection; removing it again has no effect.
func (l *Listener) unregister(c *Conn) {
	if _, ok := l.conns[c]; !ok {
		return
	}
	delete(l.conns, c)
	if l.bySource[c.source]--; l.bySource[c.source] == 0 {
		delete(l.bySource, c.source)
	}
	l.headerBytes -= c.headerBytes
	l.messageBytes -= c.messageBytes
	c.headerBytes, c.messageBytes = 0, 0
}

// victim returns the connection to close for a new one from the source, and the reason, or nil.
// Half-sent connections come before idle ones; among equals, those of sources above their share
// come first, then those that have been silent for longest.
func (l *Listener) victim(source string, now time.Time) (*Conn, string) {
	var best *Conn
	var bestRank, bestOver int
	var bestSilent time.Duration
	share := l.options.Max / sourceShare
	for c := range l.conns {
		silent := c.silent(now)
		over := 1
		if n := l.bySource[c.source]; n > share && n > l.bySource[source]+1 {
			over = 0
		}
		rank := c.rank(silent, over == 0)
		if rank == rankKeep {
			continue
		}
		better := best == nil || rank < bestRank ||
			rank == bestRank && (over < bestOver || over == bestOver && silent > bestSilent)
		if better {
			best, bestRank, bestOver, bestSilent = c, rank, over, silent
		}
	}
	if best == nil {
		return nil, ""
	}
	return best, []string{rankHalfSent: ReasonHalfSent, rankIdle: ReasonIdle, rankSource: ReasonSource}[bestRank]
}

// Ranks of connections, by the order in which they are closed.
const (
	rankHalfSent = iota
	rankIdle
	rankSource
	rankKeep
)

func (c *Conn) rank(silent time.Duration, overShare bool) int {
	if c.listener.options.Protocol == GRPC {
		switch {
		case c.received.Load() < grpcPrefaceBytes && silent >= stallTime:
			return rankHalfSent
		case silent >= grpcIdleTime:
			return rankIdle
		case overShare:
			return rankSource
		}
		return rankKeep
	}
	s := state(c.state.Load())
	switch {
	case silent < stallTime:
		return rankKeep
	case s == stateHeader, s == stateActive && c.readsBody.Load():
		return rankHalfSent
	case s == stateIdle:
		return rankIdle
	}
	return rankKeep
}

// addHeaderBytes counts bytes of a header and reports whether they fit. If they do not, it closes another
// connection if headerVictim returns one.
func (l *Listener) addHeaderBytes(c *Conn, n int64) bool {
	l.mu.Lock()
	var victims []*Conn
	for l.headerBytes+n > l.options.HeaderBytes && l.headerBytes > c.headerBytes {
		victim := l.headerVictim(c, c.headerBytes+n, time.Now())
		if victim == nil {
			break
		}
		l.unregister(victim)
		victims = append(victims, victim)
	}
	// A single connection always fits: the server bounds its header.
	fits := l.headerBytes+n <= l.options.HeaderBytes || l.headerBytes == c.headerBytes
	if _, open := l.conns[c]; fits && open {
		c.headerBytes += n
		l.headerBytes += n
	}
	l.mu.Unlock()
	for _, victim := range victims {
		l.options.Refused(ReasonHeaders)
		_ = victim.Conn.Close()
	}
	if !fits {
		l.options.Refused(ReasonHeaders)
	}
	return fits
}

// headerVictim returns the connection whose incomplete header has stalled for longest, else the one with the
// largest if that exceeds size, else nil. Otherwise a few large headers that progress slowly would keep out
// all requests with ordinary ones.
func (l *Listener) headerVictim(except *Conn, size int64, now time.Time) *Conn {
	var stalled, largest *Conn
	longest := stallTime
	for c := range l.conns {
		if c == except || c.headerBytes == 0 {
			continue
		}
		if silent := c.silent(now); silent >= longest && c.rank(silent, false) == rankHalfSent {
			stalled, longest = c, silent
		}
		if state(c.state.Load()) == stateHeader && c.headerBytes > size {
			largest, size = c, c.headerBytes
		}
	}
	if stalled != nil {
		return stalled
	}
	return largest
}

// setMessageBytes records what a connection has sent of incomplete messages. If all together exceed
// the bound, it closes the connection that has stalled for longest with some, else the one with most.
func (l *Listener) setMessageBytes(c *Conn, n int64) {
	l.mu.Lock()
	if _, open := l.conns[c]; open {
		l.messageBytes += n - c.messageBytes
		c.messageBytes = n
	}
	var victims []*Conn
	for l.messageBytes > l.options.MessageBytes {
		victim := l.messageVictim(time.Now())
		l.unregister(victim)
		victims = append(victims, victim)
	}
	l.mu.Unlock()
	for _, victim := range victims {
		l.options.Refused(ReasonMessages)
		_ = victim.Conn.Close()
	}
}

// messageVictim returns a connection with incomplete messages. There is one.
func (l *Listener) messageVictim(now time.Time) *Conn {
	var stalled, most *Conn
	longest := stallTime
	for c := range l.conns {
		if c.messageBytes == 0 {
			continue
		}
		if silent := c.silent(now); silent >= longest {
			stalled, longest = c, silent
		}
		if most == nil || c.messageBytes > most.messageBytes {
			most = c
		}
	}
	if stalled != nil {
		return stalled
	}
	return most
}

// MessageBytes returns what all connections together have sent of incomplete messages.
func (l *Listener) MessageBytes() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.messageBytes
}

// Counts returns the number of connections by state.
func (l *Listener) Counts() map[string]int {
	counts := map[string]int{"half_sent": 0, "active": 0, "idle": 0}
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		counts[c.stateName()]++
	}
	return counts
}

func (c *Conn) stateName() string {
	if c.listener.options.Protocol == GRPC {
		if c.received.Load() < grpcPrefaceBytes {
			return "half_sent"
		}
		return "active"
	}
	switch s := state(c.state.Load()); {
	case s == stateHeader, s == stateActive && c.readsBody.Load():
		return "half_sent"
	case s == stateIdle:
		return "idle"
	}
	return "active"
}
