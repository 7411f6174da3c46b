// Package statesource gives replayed states to processes that start while the
// platform's log is down, and takes them from peers at such a start.
package statesource

import (
	"context"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
)

// Source is a follower whose state may be given away.
type Source interface {
	Stream() string
	Export() (ledger.State, error)
}

// Server implements the StateSource service. It is safe for concurrent use.
type Server struct {
	pb.UnimplementedStateSourceServer

	sources []Source
}

// NewServer returns a server of the sources' streams.
func NewServer(sources ...Source) *Server { return &Server{sources: sources} }

// GetState implements the StateSource service. A process that has no state of
// the stream says that it found none.
func (s *Server) GetState(_ context.Context, req *pb.GetStateRequest) (*pb.GetStateReply, error) {
	for _, source := range s.sources {
		if source.Stream() != req.Stream {
			continue
		}
		state, err := source.Export()
		if err != nil {
			return &pb.GetStateReply{}, nil
		}
		return &pb.GetStateReply{Found: true, Covers: state.Covers, Data: state.Data, AgeMs: roundUp(state.Age)}, nil
	}
	return &pb.GetStateReply{}, nil
}

// roundUp returns whole milliseconds that are not below the age.
func roundUp(age time.Duration) int64 {
	return (age + time.Millisecond - 1).Milliseconds()
}
