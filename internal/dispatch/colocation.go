package dispatch

import (
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/interference"
)

// modelInterval is the least time between two sendings of what was learned.
const modelInterval = 300 * time.Millisecond

// atWork is the percentage at which a serving task serves.
const atWork = 100

// learn takes the tails of a worker's serving tasks in.
func (e *Engine) learn(n *node) {
	use := map[string]float64{}
	for _, h := range n.runs {
		if h.step.Fills && h.gauge > 0 {
			use[h.step.Image] += cores(h.gauge)
		}
	}
	for _, h := range n.runs {
		if h.step.TargetLatencyMs > 0 && h.gauge > 0 && h.percent >= atWork {
			e.model.Observe(h.step.Image, float64(h.gauge)/float64(h.step.TargetLatencyMs), use)
		}
	}
}

// shareModel tells the agents what was learned.
func (e *Engine) shareModel(now boottime.Instant) {
	if e.model.Revision() == e.modelSent || now.Sub(e.modelAt) < modelInterval {
		return
	}
	e.modelSent, e.modelAt = e.model.Revision(), now
	known := e.interference()
	for _, n := range e.nodes {
		if n.session != nil && n.serving > 0 {
			n.session.edit(func(next *chervilv2.OwnerOrders) { next.Interference = known })
		}
	}
}

func (e *Engine) interference() []*chervilv2.Interference {
	pairs := e.model.Pairs()
	out := make([]*chervilv2.Interference, 0, len(pairs))
	for _, p := range pairs {
		out = append(out, &chervilv2.Interference{Serving: p.Serving, Filling: p.Filling, SlopeMilli: uint32(e.model.Slope(interference.Pair(p)) * 1000)})
	}
	return out
}
