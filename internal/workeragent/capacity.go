package workeragent

import (
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/platform"
)

// resources is what runs reserve on the worker.
type resources struct{ cpuMilli, memoryMB, gpus int64 }

// reserved returns what a run reserves. Best-effort runs reserve no CPU.
func reserved(bestEffort bool, cpuMilli, memoryMB, gpus uint32) resources {
	if bestEffort {
		cpuMilli = 0
	}
	return resources{int64(cpuMilli), int64(memoryMB), int64(gpus)}
}

func (r resources) add(o resources) resources {
	return resources{r.cpuMilli + o.cpuMilli, r.memoryMB + o.memoryMB, r.gpus + o.gpus}
}

// maxCapacityAge returns how old the worker's newest heartbeat may be when a run is started by its
// capacity: an agent that was paused may have missed that it shrank. One heartbeat may come late.
func (a *Agent) maxCapacityAge() time.Duration {
	return max(a.node.Bounds.ReactionTime, a.node.HeartbeatInterval*3/2)
}

// capacityReportedAt returns when the worker made its newest heartbeat, at the latest. It may have
// been received long after that.
func (inc *incarnation) capacityReportedAt() boottime.Instant {
	if inc.heartbeat.Clock == 0 || inc.workerClockAt == 0 {
		return inc.heartbeatAt
	}
	made := inc.workerClockAt.Add(inc.heartbeat.Clock - inc.workerClock)
	return min(inc.heartbeatAt, made)
}

// listsRunOfUnknownSize reports whether the worker lists another run that the owner has not described,
// as after a restart of the agent. The owner describes its runs, and stops those that it does not
// know. The caller holds mu.
func (a *Agent) listsRunOfUnknownSize(inc *incarnation, key runKey) bool {
	for run := range inc.runs {
		if _, described := a.runInfos[run]; run != key && !described {
			return true
		}
	}
	return false
}

// pruneUnlisted forgets the unlisted runs that a list requested at the time covers: it names
// the runs or their ends, or it was requested after their start.
func (inc *incarnation) pruneUnlisted(list platform.RunReport, requestedAt boottime.Instant) {
	for key, confirmedAt := range inc.unlisted {
		if _, running := inc.runs[key]; running || confirmedAt < requestedAt {
			delete(inc.unlisted, key)
		}
	}
	for _, e := range list.Ended {
		delete(inc.unlisted, runKey{e.Task, e.Attempt})
	}
}

// fits reports whether a start stays within the capacity that the worker last reported. The
// owner may have granted it before the capacity shrank. Runs being stopped count until the
// worker lists their end. The caller holds mu.
func (a *Agent) fits(inc *incarnation, key runKey, s *chervilv2.StartOrder) bool {
	used := reserved(s.Fills, s.CpuMilli, s.MemoryMb, s.Gpus)
	for run := range inc.runs {
		if run != key {
			used = used.add(a.runInfos[run].reserved)
		}
	}
	for run := range inc.unlisted {
		if run != key {
			used = used.add(a.runInfos[run].reserved)
		}
	}
	for run := range a.pendingOrders {
		_, listed := inc.runs[run]
		if _, sent := inc.startedAt[run]; sent && a.startPending(run) && !listed && run != key {
			used = used.add(a.runInfos[run].reserved)
		}
	}
	h := &inc.heartbeat
	return used.cpuMilli <= int64(h.CPUMilli) && used.memoryMB <= int64(h.MemoryMB) && used.gpus <= int64(h.GPUs)
}
