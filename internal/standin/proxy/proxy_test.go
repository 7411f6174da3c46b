package proxy

import (
	"io"
	"net"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const patience = 10 * time.Second

// echo starts a server that sends back what it gets, behind a proxy, and dials it.
func echo(t *testing.T) (*Proxy, net.Conn) {
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

// call sends a byte and returns how long its echo took, and the error.
func call(t *testing.T, c net.Conn, wait time.Duration) (time.Duration, error) {
	began := time.Now()
	_, err := c.Write([]byte("x"))
	assert.NilError(t, err)
	assert.NilError(t, c.SetReadDeadline(began.Add(wait)))
	_, err = c.Read(make([]byte, 1))
	return time.Since(began), err
}

func TestDelayIsAddedEachWay(t *testing.T) {
	p, c := echo(t)
	const delay = 50 * time.Millisecond
	p.Impair(Impairment{Delay: delay})
	took, err := call(t, c, patience)
	assert.NilError(t, err)
	assert.Assert(t, took >= 2*delay, "%v", took)
}

func TestBytesOfACutDirectionAreLostForGood(t *testing.T) {
	for name, cut := range map[string]Impairment{"to the target": {DropToTarget: true}, "to the caller": {DropToCaller: true}} {
		t.Run(name, func(t *testing.T) {
			p, c := echo(t)
			p.Impair(cut)
			_, err := call(t, c, 100*time.Millisecond)
			var timeout net.Error
			assert.Assert(t, err != nil)
			assert.ErrorType(t, err, &net.OpError{})
			assert.Assert(t, asTimeout(err, &timeout), "the connection stays open: %v", err)
			p.Impair(Impairment{})
			assert.NilError(t, c.SetReadDeadline(time.Now().Add(patience)))
			_, err = c.Read(make([]byte, 1))
			assert.Assert(t, err != nil && !asTimeout(err, &timeout), "a connection that lost bytes is reset: %v", err)
		})
	}
}

func asTimeout(err error, target *net.Error) bool {
	e, ok := err.(net.Error)
	if ok {
		*target = e
	}
	return ok && e.Timeout()
}

func TestResetEndsPresentConnectionsOnly(t *testing.T) {
	p, c := echo(t)
	_, err := call(t, c, patience)
	assert.NilError(t, err)
	p.Reset()
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(patience)))
	_, err = c.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	again, err := net.Dial("tcp", p.Address())
	assert.NilError(t, err)
	defer func() { _ = again.Close() }()
	_, err = call(t, again, patience)
	assert.NilError(t, err)
}
