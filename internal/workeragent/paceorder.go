package workeragent

import (
	"context"
	"time"

	"chervilridge/internal/boottime"
	"chervilridge/internal/events"
	"chervilridge/platform"
)

const (
	// paceTimeout bounds one pace call.
	paceTimeout = 500 * time.Millisecond
	// paceRepeatTime is how long a worker may take to execute a call that it has not
	// answered. Meanwhile the present pace is sent again every paceRepeatInterval, since an
	// older one may have replaced it.
	paceRepeatTime     = 13 * time.Second
	paceRepeatInterval = time.Second
)

// paceOrder is the pace that the agent has ordered for a run. At most one call for a run is
// in flight, so that calls cannot overtake each other.
type paceOrder struct {
	percent  uint32
	inFlight bool
	failed   bool // the last call failed
	// sentAt is when the last call ended, repeatUntil until when it is repeated; 0 if all
	// calls were answered.
	sentAt, repeatUntil boottime.Instant
}

// needed reports whether a pace has to be ordered. A nil order is that of a run that has its
// full pace since this process started it.
func (o *paceOrder) needed(percent uint32, now boottime.Instant) bool {
	if o == nil {
		return percent != fullPace
	}
	repeat := o.repeatUntil.After(now) && now.Sub(o.sentAt) >= paceRepeatInterval
	return o.percent != percent || !o.inFlight && (o.failed || repeat)
}

// orderPace orders the pace of a run. If a call is in flight, the new pace is sent after it.
// The caller holds mu.
func (a *Agent) orderPace(ctx context.Context, inc *incarnation, key runKey, percent uint32) {
	o := a.paceOrders[key]
	if o == nil {
		o = &paceOrder{}
		a.paceOrders[key] = o
	}
	o.percent = percent
	if !o.inFlight {
		o.inFlight = true
		go a.sendPaces(ctx, inc.id, key, o)
	}
}

// sendPaces sends the pace of a run, and again if it has changed meanwhile. If a call fails,
// the pace is ordered again after a later list of runs.
func (a *Agent) sendPaces(ctx context.Context, workerID string, key runKey, o *paceOrder) {
	for {
		a.mu.Lock()
		percent, ownerEpoch := o.percent, a.ownerEpoch
		a.mu.Unlock()
		callCtx, cancel := context.WithTimeout(ctx, paceTimeout)
		err := a.worker.Pace(callCtx, workerID, key.task, key.attempt, percent, ownerEpoch)
		cancel()
		if a.paceSent(key, o, percent, err) {
			return
		}
	}
}

// paceSent records the outcome of a pace call and reports whether no further one is due now.
func (a *Agent) paceSent(key runKey, o *paceOrder, percent uint32, err error) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.clock()
	o.sentAt, o.failed = now, false
	if err != nil {
		events.SetPaceFailed.LogError(err, "task", key.task, "attempt", key.attempt, "percent", percent)
		kind := platform.KindOf(err)
		if kind == platform.NoAnswer {
			o.repeatUntil = now.Add(paceRepeatTime)
		}
		o.failed = kind != platform.Superseded
	} else if o.percent != percent {
		return false
	}
	o.inFlight = false
	return true
}
