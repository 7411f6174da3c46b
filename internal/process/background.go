package process

import (
	"context"
	"sync"

	"go.uber.org/fx"
)

// Background runs loops in goroutines for the lifetime of a process. When the process stops,
// their common context is cancelled and the stop waits until all have returned.
type Background struct {
	ctx    context.Context
	cancel context.CancelFunc
	wg     sync.WaitGroup
}

// NewBackground returns a Background that stops with the lifecycle.
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

// Go starts loop in a goroutine. loop must return when its context is cancelled.
func (b *Background) Go(loop func(ctx context.Context)) {
	b.wg.Go(func() { loop(b.ctx) })
}
