// Package deploy builds the stand-in's workers for a deployment.
package deploy

import (
	"fmt"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/platform"
)

const workersPerRack = 3

// Shape describes the workers of a deployment, all of one size.
type Shape struct {
	DataCentres []string
	Workers     int
	Capacity    *pb.Resources
}

// Infos returns the workers, dealt to the data centres in turn.
func (s Shape) Infos() []platform.WorkerInfo {
	out := make([]platform.WorkerInfo, 0, s.Workers)
	for i := range s.Workers {
		dc := s.DataCentres[i%len(s.DataCentres)]
		rack := i / len(s.DataCentres) / workersPerRack
		out = append(out, platform.WorkerInfo{
			Name: fmt.Sprintf("worker-%d", i+1), DataCentre: dc,
			Rack: fmt.Sprintf("%s-rack-%d", dc, rack+1), Capacity: s.Capacity,
		})
	}
	return out
}
