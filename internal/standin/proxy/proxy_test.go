package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const ioTimeout = 10 * time.Second

// dialEcho starts an echo server behind a proxy and returns the proxy and a connection
// through it.
func dialEcho(t *testing.T) (*Proxy, net.Conn) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	p, err := Listen(l.Addr().String())
	assert.NilError(t, err)
	c, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close(); p.Close(); _ = l.Close() })
	return p, c
}

// roundTrip sends a byte and reads its echo. It returns the time that this took and the
// error of the read.
func roundTrip(t *testing.T, c net.Conn, wait time.Duration) (time.Duration, error) {
	began := time.Now()
	_, err := c.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(began.Add(wait)))
	_, err = c.Read(make([]byte, 1))
	return time.Since(began), err
}

func TestDelayIsAddedEachWay(t *testing.T) {
	p, c := dialEcho(t)
	const delay = 50 * time.Millisecond
	p.Impair(Impairment{Delay: delay})
	took, err := roundTrip(t, c, ioTimeout)
	assert.NilError(t, err)
	assert.Assert(t, took >= 2*delay, "%v", took)
}

func TestConnectionThatLostBytesIsReset(t *testing.T) {
	for name, cut := range map[string]Impairment{"to the target": {DropToTarget: true}, "to the caller": {DropToCaller: true}} {
		t.Run(name, func(t *testing.T) {
			p, c := dialEcho(t)
			p.Impair(cut)
			_, err := roundTrip(t, c, 100*time.Millisecond)
			var timeout net.Error
			assert.Assert(t, err != nil)
			assert.ErrorType(t, err, &net.OpError{})
			assert.Assert(t, isTimeout(err, &timeout), "connection is not open: %v", err)
			p.Impair(Impairment{})
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(ioTimeout)))
			_, err = c.Read(make([]byte, 1))
			assert.Assert(t, err != nil && !isTimeout(err, &timeout), "connection that lost bytes is not reset: %v", err)
		})
	}
}

func isTimeout(err error, target *net.Error) bool {
	e, ok := err.(net.Error)
	if ok {
		*target = e
	}
	return ok && e.Timeout()
}

func TestResetEndsPresentConnectionsOnly(t *testing.T) {
	p, c := dialEcho(t)
	_, err := roundTrip(t, c, ioTimeout)
	assert.NilError(t, err)
	p.ResetConnections()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(ioTimeout)))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	second, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	defer func() { _ = second.Close() }()
	_, err = roundTrip(t, second, ioTimeout)
	assert.NilError(t, err)
}
