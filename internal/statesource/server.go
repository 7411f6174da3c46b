// Package statesource lets a process that starts while the platform's log is down load
// replayed states from its peers, and serves its own states to such processes.
package statesource

import (
	"context"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
)

// Source is a follower whose state is served to peers.
type Source interface {
	Stream() string
	Export() (ledger.State, error)
}

// Server implements the StateSource service. It is safe for concurrent use.
type Server struct {
	pb.UnimplementedStateSourceServer

	sources []Source
}

// NewServer returns a server for the streams of the sources.
func NewServer(sources ...Source) *Server { return &Server{sources: sources} }

// GetState implements the StateSource service. It replies Found false, without an error,
// if this process has no state of the stream.
func (s *Server) GetState(_ context.Context, req *pb.GetStateRequest) (*pb.GetStateReply, error) {
	for _, source := range s.sources {
		if source.Stream() != req.Stream {
			continue
		}
		state, err := source.Export()
		if err != nil {
			return &pb.GetStateReply{}, nil
		}
		return &pb.GetStateReply{Found: true, Covers: state.Covers, Data: state.Data, AgeMs: ceilMilliseconds(state.Age)}, nil
	}
	return &pb.GetStateReply{}, nil
}

// ceilMilliseconds rounds up, so that a state is never reported younger than it is.
func ceilMilliseconds(age time.Duration) int64 {
	return (age + time.Millisecond - 1).Milliseconds()
}
