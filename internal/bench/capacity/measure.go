// Package capacity measures what one more agent, worker, task or row costs, so
// that docs/CAPACITY.md can work out the target size from slopes.
package capacity

import (
	"fmt"
	"io"
	"net"
	"runtime"
	"sync/atomic"
	"syscall"
	"time"
)

// Row is one measured figure at one size.
type Row struct {
	What  string
	Size  int
	Unit  string
	Value float64
}

// Print writes rows as a table.
func Print(w io.Writer, rows []Row) {
	fmt.Fprintf(w, "%-46s %8s %14s  %s\n", "figure", "size", "value", "unit")
	for _, r := range rows {
		fmt.Fprintf(w, "%-46s %8d %14.2f  %s\n", r.What, r.Size, r.Value, r.Unit)
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes of live objects.
func heap() int64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapAlloc)
}

// countingListener counts the bytes of all its connections, both ways.
type countingListener struct {
	net.Listener
	bytes atomic.Int64
}

type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func listen() (*countingListener, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	return &countingListener{Listener: l}, nil
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &countingConn{Conn: c, bytes: &l.bytes}, nil
}

// Read implements net.Conn.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}
