package peer

import (
	"context"
	"sync/atomic"

	"google.golang.org/grpc/stats"
)

// HandOver tells whether a call can have reached the other end.
type HandOver struct {
	began atomic.Bool
}

// Began reports whether a stream was opened for the call. Without one no byte
// of the call was written: gRPC sends a message on an open stream only.
func (h *HandOver) Began() bool { return h.began.Load() }

type handOverKey struct{}

// TrackHandOver returns a context whose one call is recorded in the result.
func TrackHandOver(ctx context.Context) (context.Context, *HandOver) {
	h := &HandOver{}
	return context.WithValue(ctx, handOverKey{}, h), h
}

// handOverRecorder is the stats.Handler that notes opened streams.
type handOverRecorder struct{}

// TagRPC implements stats.Handler.
func (handOverRecorder) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (handOverRecorder) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if h, ok := ctx.Value(handOverKey{}).(*HandOver); ok {
		h.began.Store(true)
	}
}

// TagConn implements stats.Handler.
func (handOverRecorder) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context {
	return ctx
}

// HandleConn implements stats.Handler.
func (handOverRecorder) HandleConn(context.Context, stats.ConnStats) {}
