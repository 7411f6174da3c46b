package grants

import (
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/agent/colocation"
	"chervilridge/internal/platform"
	"chervilridge/internal/resources"
)

// hold is what the agent knows of an attempt beyond what its worker tells. It is
// lost with the process; the worker's own list and the leases remain.
type hold struct {
	key      platform.TaskKey
	reserved *pb.Resources
	jobClass string
	// shareMilli is the share of its processors; 0 if it is not known.
	shareMilli uint32
	// since and until bound the grant; zero if it is not known.
	since, until time.Time
	// doubtful means that the start had no answer.
	doubtful bool
	// reason is why the agent stopped the attempt.
	reason       pb.ReleaseReason
	checkpoint   []byte
	checkpointed time.Time
}

// hold enters an attempt that is about to start, in doubt until settled.
func (g *Grants) hold(key platform.TaskKey, req *pb.StartTaskRequest, until time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.held[key] = &hold{
		key: key, reserved: req.Reserved, jobClass: req.JobClass, shareMilli: colocation.FullShare,
		since: time.Now(), until: until, doubtful: true, checkpointed: time.Now(),
	}
}

// settle notes that the worker has answered for the attempt.
func (g *Grants) settle(key platform.TaskKey) { g.change(key, func(h *hold) { h.doubtful = false }) }

func (g *Grants) setReason(key platform.TaskKey, reason pb.ReleaseReason) {
	g.change(key, func(h *hold) {
		if h.reason == pb.ReleaseReason_RELEASE_REASON_UNSPECIFIED {
			h.reason = reason
		}
	})
}

// change updates the hold of an attempt; one that an earlier incarnation
// started gets a hold now, one that was given up stays so.
func (g *Grants) change(key platform.TaskKey, do func(*hold)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.held[key]
	if _, gone := g.tombstones[key]; gone && h == nil {
		return
	}
	if h == nil {
		h = &hold{key: key, checkpointed: time.Now()}
		g.held[key] = h
	}
	do(h)
}

// begun reports whether this incarnation sent a start of the attempt to the
// worker, and whether that had no answer.
func (g *Grants) begun(key platform.TaskKey) (begun, doubtful bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.held[key]
	if h == nil {
		return false, false
	}
	return true, h.doubtful
}

// doubtful reports whether a start of the attempt may still take effect.
func (g *Grants) doubtful(key platform.TaskKey) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.held[key]
	return h != nil && h.doubtful && time.Now().Before(h.until)
}

// young reports whether calls of the agent's predecessor may still take effect
// on the worker.
func (g *Grants) young() bool { return g.Clock() < g.options.CallDelay }

// present returns the attempts that run on the worker or may come to run there.
func (g *Grants) present(list []platform.TaskStatus) []hold {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []hold
	listed := map[platform.TaskKey]bool{}
	for _, s := range list {
		listed[s.Key] = true
		if s.Phase != platform.PhaseRunning {
			continue
		}
		present := hold{key: s.Key, reserved: s.Used}
		if h := g.held[s.Key]; h != nil && h.reserved != nil {
			present.reserved = resources.Max(h.reserved, s.Used)
		}
		out = append(out, present)
	}
	now := time.Now()
	for key, h := range g.held {
		if h.doubtful && !listed[key] && now.Before(h.until) {
			out = append(out, *h)
		}
	}
	return out
}

// complete adds to a report what the worker does not tell.
func (g *Grants) complete(s platform.TaskStatus, r *pb.AttemptReport) {
	g.mu.Lock()
	defer g.mu.Unlock()
	h := g.held[s.Key]
	if s.Phase == platform.PhaseLapsed {
		r.Reason = pb.ReleaseReason_RELEASE_REASON_LOST
		r.Detail = "grant ran out"
	}
	if h == nil {
		return
	}
	r.ShareMilli = h.shareMilli
	if len(r.Checkpoint) == 0 {
		r.Checkpoint = h.checkpoint
	}
	if s.Phase == platform.PhaseStopped {
		r.Reason = h.reason
	}
}
