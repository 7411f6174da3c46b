package connlimit

import (
	"context"
	"math"
	"net"
	"net/http"
	"sync/atomic"
	"time"
)

// Conn is a connection of a Listener.
type Conn struct {
	net.Conn
	listener   *Listener
	source     string
	lastActive atomic.Int64 // time of the accept, of the last byte read or of the last response, in Unix nanoseconds
	received   atomic.Int64 // bytes; GRPC only
	state      atomic.Int32
	readsBody  atomic.Bool
	// headerBytes is what the connection has sent of an incomplete or a large header; guarded by the
	// listener's mu.
	headerBytes int64
	// messageBytes is what it has sent of incomplete messages; guarded by the listener's mu. frames
	// computes it and is used by Read only.
	messageBytes int64
	frames       frames
}

// silent returns how long the server has waited for the other end.
func (c *Conn) silent(now time.Time) time.Duration {
	return now.Sub(time.Unix(0, c.lastActive.Load()))
}

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n <= 0 {
		return n, err
	}
	c.lastActive.Store(time.Now().UnixNano())
	if c.listener.options.Protocol == GRPC {
		if c.received.Load() < grpcPrefaceBytes {
			c.received.Add(int64(n))
		}
		before := c.frames.pending
		c.frames.feed(p[:n])
		if c.frames.pending != before {
			c.listener.setMessageBytes(c, c.frames.pending)
		}
		return n, err
	}
	if state(c.state.Load()) == stateActive {
		return n, err
	}
	c.state.Store(int32(stateHeader))
	if !c.listener.addHeaderBytes(c, int64(n)) {
		return 0, errHeadersFull
	}
	return n, err
}

// Write implements net.Conn. A write over HTTP fails if the other end takes nothing for
// writeTimeout.
func (c *Conn) Write(p []byte) (int, error) {
	if c.listener.options.Protocol == GRPC {
		return c.Conn.Write(p)
	}
	written := 0
	for {
		piece := p[written:min(len(p), written+writePieceBytes)]
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		n, err := c.Conn.Write(piece)
		written += n
		if err != nil || written == len(p) {
			return written, err
		}
	}
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.listener.mu.Lock()
	c.listener.unregister(c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

// CloseWrite closes the sending side. net/http calls it before it closes a connection whose client
// may still be sending, so that the response is not lost.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// TrackState is the ConnState hook of an HTTP server on a Listener.
func TrackState(conn net.Conn, s http.ConnState) {
	c, ok := conn.(*Conn)
	if !ok {
		return
	}
	switch s {
	case http.StateActive:
		c.state.Store(int32(stateActive))
		c.limitHeaderBytes(keptHeaderBytes)
	case http.StateIdle:
		// The time of a long request does not count as idle: the client may be about to send the next.
		c.lastActive.Store(time.Now().UnixNano())
		c.state.Store(int32(stateIdle))
		c.limitHeaderBytes(math.MaxInt64)
	}
}

// limitHeaderBytes keeps what exceeds the given number of header bytes counted.
func (c *Conn) limitHeaderBytes(uncounted int64) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	released := min(c.headerBytes, uncounted)
	c.listener.headerBytes -= released
	c.headerBytes -= released
}

type contextKey struct{}

// WithConn is the ConnContext hook of an HTTP server on a Listener.
func WithConn(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, contextKey{}, conn)
}

// SetReadsBody records whether the handler of a request waits for the body. A connection counts as
// half-sent meanwhile.
func SetReadsBody(ctx context.Context, reads bool) {
	if c, ok := ctx.Value(contextKey{}).(*Conn); ok {
		c.readsBody.Store(reads)
	}
}
