package matrix

import (
	"sync"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

var errGone = status.Error(codes.Unavailable, "process is gone or cut off")

// gate stands between one process and the rest of the world. One lock guards it.
type gate struct {
	mu     sync.Mutex
	dead   bool
	cut    bool          // no message in or out, the platform stays reachable
	mute   bool          // no message out
	paused chan struct{} // closed at the end of a pause; nil if there is none
}

// pass waits while the process is paused; false if it is dead.
func (g *gate) pass() bool {
	for {
		g.mu.Lock()
		dead, paused := g.dead, g.paused
		g.mu.Unlock()
		if dead {
			return false
		}
		if paused == nil {
			return true
		}
		<-paused
	}
}

// receives reports whether messages reach the process.
func (g *gate) receives() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.dead && !g.cut
}

// sends reports whether messages of the process reach others.
func (g *gate) sends() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	return !g.cut && !g.mute
}

func (g *gate) set(change func(*gate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	change(g)
}

func (g *gate) pause() {
	g.set(func(g *gate) {
		if g.paused == nil {
			g.paused = make(chan struct{})
		}
	})
}

func (g *gate) resume() {
	g.set(func(g *gate) {
		if g.paused != nil {
			close(g.paused)
			g.paused = nil
		}
	})
}

// die marks the process as dead; false if it was already.
func (g *gate) die() bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	was := g.dead
	g.dead = true
	return !was
}
