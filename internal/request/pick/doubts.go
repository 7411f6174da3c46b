package pick

import (
	"sync"
	"sync/atomic"

	"chervilridge/internal/events"
)

// doubts holds the services with more failing endpoints than may be set aside,
// so that each change is logged once.
type doubts struct {
	count    atomic.Int64 // of services; spares the map in ordinary work
	services sync.Map     // service -> struct{}
}

// note takes what a scan of the service left out.
func (d *doubts) note(service string, left LeftOut) {
	switch {
	case left.Readmitted > 0:
		if _, known := d.services.LoadOrStore(service, struct{}{}); !known {
			d.count.Add(1)
			events.EjectionDoubted.Log("service", service, "leftOut", left)
		}
	case d.count.Load() > 0:
		if _, known := d.services.LoadAndDelete(service); known {
			d.count.Add(-1)
			events.EjectionTrusted.Log("service", service, "leftOut", left)
		}
	}
}
