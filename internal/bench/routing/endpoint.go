package routing

import (
	"time"

	pb "chervilridge/api/chervil/v1"
)

// health is the way in which a modelled endpoint answers or fails.
type health int

const (
	alive health = iota
	// deadRefusing refuses connections: a hand-off fails after one round trip.
	deadRefusing
	// deadUnresponsive never answers: a hand-off fails at its deadline.
	deadUnresponsive
)

// handoff is one attempt of a request at a modelled agent.
type handoff struct {
	work     time.Duration // service time at an endpoint that is not slowed down
	deadline time.Time
	// respond is called at most once, when the agent sends its reply.
	respond func(agentReply)
}

// agentReply is the reply of an agent, with its load at that moment.
type agentReply struct {
	refusal        pb.Refusal
	connectionLost bool // the agent died
	running        int64
	queued         int64
}

// endpoint models an agent with its endpoint. It applies the admission rules of the agent
// to a first-in first-out queue: all requests are of one client, so fairness among
// clients has no effect.
type endpoint struct {
	clock    *clock
	info     *pb.Endpoint
	slowdown float64 // factor of the service time
	health   health

	running             []*handoff
	queue               []*handoff
	smoothedServiceTime time.Duration // exponential moving average
}

// admissionSmoothing is the weight of the latest service time in the moving average.
const admissionSmoothing = 0.1

// newEndpoint returns an idle endpoint whose admission starts with the given service time
// as its average.
func newEndpoint(c *clock, service time.Duration, info *pb.Endpoint) *endpoint {
	return &endpoint{clock: c, info: info, slowdown: 1, smoothedServiceTime: service}
}

// admit starts the request in a free slot, queues it, or rejects it.
func (e *endpoint) admit(h *handoff) {
	switch {
	case e.health == deadRefusing:
		h.respond(agentReply{connectionLost: true})
	case e.health == deadUnresponsive:
	case len(e.running) < slotsPerEndpoint:
		e.start(h)
	case len(e.queue) >= maxQueue:
		e.reject(h, pb.Refusal_REFUSAL_QUEUE_FULL)
	case e.expectedWait() > h.deadline.Sub(e.clock.now):
		e.reject(h, pb.Refusal_REFUSAL_TOO_LATE)
	default:
		e.queue = append(e.queue, h)
		e.clock.at(h.deadline, func() { e.expireQueued(h) })
	}
}

// expectedWait estimates the time until a newly queued request is answered: its turns in
// the queue and its own run.
func (e *endpoint) expectedWait() time.Duration {
	turns := float64(len(e.queue)+1)/slotsPerEndpoint + 1
	return time.Duration(turns * float64(e.smoothedServiceTime))
}

func (e *endpoint) reject(h *handoff, why pb.Refusal) {
	h.respond(agentReply{refusal: why, running: int64(len(e.running)), queued: int64(len(e.queue))})
}

func (e *endpoint) start(h *handoff) {
	e.running = append(e.running, h)
	took := time.Duration(float64(h.work) * e.slowdown)
	e.clock.after(took, func() { e.finish(h, took) })
}

func (e *endpoint) finish(h *handoff, took time.Duration) {
	if e.health != alive {
		return
	}
	e.running = remove(e.running, h)
	e.smoothedServiceTime += time.Duration(admissionSmoothing * float64(took-e.smoothedServiceTime))
	e.startQueued()
	h.respond(agentReply{running: int64(len(e.running)), queued: int64(len(e.queue))})
}

// startQueued fills free slots from the queue. It rejects requests that have less than
// half of an average service time left.
func (e *endpoint) startQueued() {
	for len(e.running) < slotsPerEndpoint && len(e.queue) > 0 {
		h := e.queue[0]
		e.queue = e.queue[1:]
		if h.deadline.Sub(e.clock.now) < e.smoothedServiceTime/2 {
			e.reject(h, pb.Refusal_REFUSAL_TOO_LATE)
			continue
		}
		e.start(h)
	}
}

// expireQueued rejects the request if it is still queued at its deadline.
func (e *endpoint) expireQueued(h *handoff) {
	before := len(e.queue)
	e.queue = remove(e.queue, h)
	if len(e.queue) < before {
		e.reject(h, pb.Refusal_REFUSAL_TOO_LATE)
	}
}

// kill drops all requests. With deadRefusing their connections break at once.
func (e *endpoint) kill(how health) {
	e.health = how
	lost := append(e.running, e.queue...)
	e.running, e.queue = nil, nil
	if how == deadUnresponsive {
		return
	}
	for _, h := range lost {
		h.respond(agentReply{connectionLost: true})
	}
}

func remove(list []*handoff, h *handoff) []*handoff {
	for i, x := range list {
		if x == h {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
