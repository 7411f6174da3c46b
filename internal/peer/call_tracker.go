package peer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// CallTracker records whether a call may have reached the other end.
type CallTracker struct {
	streamOpened atomic.Bool
}

// StreamOpened reports whether a stream was opened for the call. If not, no byte of the
// call was written, because gRPC sends messages on open streams only.
func (t *CallTracker) StreamOpened() bool { return t.streamOpened.Load() }

type callTrackerKey struct{}

// TrackCall returns a context for a single call and the CallTracker that records it.
func TrackCall(ctx context.Context) (context.Context, *CallTracker) {
	t := &CallTracker{}
	return context.WithValue(ctx, callTrackerKey{}, t), t
}

// streamRecorder is the stats.Handler that records opened streams.
type streamRecorder struct{}

// TagRPC implements stats.Handler.
func (streamRecorder) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (streamRecorder) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if t, ok := ctx.Value(callTrackerKey{}).(*CallTracker); ok {
		t.streamOpened.Store(true)
	}
}

// TagConn implements stats.Handler.
func (streamRecorder) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (streamRecorder) HandleConn(context.Context, stats.ConnStats) {}
