package peer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// Handoff records whether a call may have reached the other end.
type Handoff struct {
	streamOpened atomic.Bool
}

// StreamOpened reports whether a stream was opened for the call. If not, no byte of the
// call was written, because gRPC sends messages on open streams only.
func (h *Handoff) StreamOpened() bool { return h.streamOpened.Load() }

type handoffKey struct{}

// TrackHandoff returns a context for a single call and the Handoff that records it.
func TrackHandoff(ctx context.Context) (context.Context, *Handoff) {
	h := &Handoff{}
	return context.WithValue(ctx, handoffKey{}, h), h
}

// handoffRecorder is the stats.Handler that records opened streams.
type handoffRecorder struct{}

// TagRPC implements stats.Handler.
func (handoffRecorder) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (handoffRecorder) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if h, ok := ctx.Value(handoffKey{}).(*Handoff); ok {
		h.streamOpened.Store(true)
	}
}

// TagConn implements stats.Handler.
func (handoffRecorder) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (handoffRecorder) HandleConn(context.Context, stats.ConnStats) {}
