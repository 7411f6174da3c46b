package pick

import (
	"sync"
	"sync/atomic"

	"chervilridge/internal/events"
)

// ejectionOverrides holds the services of which more endpoints are failing than may be
// ejected. It logs when a service enters or leaves this state.
type ejectionOverrides struct {
	serviceCount atomic.Int64 // size of services; saves the map access while there are none
	services     sync.Map     // service -> struct{}
}

// record updates the state of the service from the exclusions of a scan.
func (o *ejectionOverrides) record(service string, excluded Exclusions) {
	switch {
	case excluded.Readmitted > 0:
		if _, known := o.services.LoadOrStore(service, struct{}{}); !known {
			o.serviceCount.Add(1)
			events.EjectionLimitExceeded.Log("service", service, "leftOut", excluded)
		}
	case o.serviceCount.Load() > 0:
		if _, known := o.services.LoadAndDelete(service); known {
			o.serviceCount.Add(-1)
			events.EjectionLimitRestored.Log("service", service, "leftOut", excluded)
		}
	}
}
