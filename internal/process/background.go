package process

import (
	"context"
	"sync"

	"go.uber.org/fx"
)

// Background runs loops for the life of a process: they start in the order they
// are added and are told to end in the reverse order.
type Background struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewBackground returns a group whose loops end when the process stops.
func NewBackground(lc fx.Lifecycle) *Background {
	ctx, cancel := context.WithCancel(context.Background())
	b := &Background{ctx: ctx, cancel: cancel}
	lc.Append(fx.Hook{OnStop: func(context.Context) error {
		b.cancel()
		b.wg.Wait()
		return nil
	}})
	return b
}

// Go runs a loop until the process stops.
func (b *Background) Go(loop func(ctx context.Context)) {
	b.wg.Go(func() { loop(b.ctx) })
}
