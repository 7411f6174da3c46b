package operatorconfig

import (
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
)

// Settings returns the settings of the queue that are stored with its jobs.
func (q *Queue) Settings() *chervilv2.QueueSettings {
	s := &chervilv2.QueueSettings{
		ConfigVersion: q.ConfigVersion, Service: q.Service, Priority: int64(q.Priority), MaxAttempts: int64(q.MaxAttempts),
		Stretch: q.Stretch, TargetLatencyNs: q.TargetLatency.Nanoseconds(),
	}
	if a := q.Advisor; a != nil {
		s.Advisor = &chervilv2.PlacementAdvisor{
			DecisionTimeNs: a.DecisionTime.Nanoseconds(), TimePerWorkerNs: a.TimePerWorker.Nanoseconds(),
			TicketValidityNs: a.TicketValidity.Nanoseconds(),
		}
	}
	return s
}

// RestoreQueue returns the queue with the name and the settings stored with a job, without
// those that concern calls of clients: Host, PathPrefix and Timeout.
func RestoreQueue(name string, s *chervilv2.QueueSettings) *Queue {
	q := &Queue{
		Name: name, ConfigVersion: s.GetConfigVersion(), Service: s.GetService(), Priority: int(s.GetPriority()), MaxAttempts: int(s.GetMaxAttempts()),
		Stretch: s.GetStretch(), TargetLatency: time.Duration(s.GetTargetLatencyNs()),
	}
	if a := s.GetAdvisor(); a != nil {
		q.Advisor = &PlacementAdvisor{
			DecisionTime: time.Duration(a.DecisionTimeNs), TimePerWorker: time.Duration(a.TimePerWorkerNs),
			TicketValidity: time.Duration(a.TicketValidityNs),
		}
	}
	return q
}
