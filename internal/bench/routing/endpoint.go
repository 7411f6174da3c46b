package routing

import (
	"time"

	pb "chervilridge/api/chervil/v1"
)

// health is whether a modelled endpoint answers.
type health int

const (
	alive health = iota
	// deadRefusing closes connections: a hand-over fails after one round trip.
	deadRefusing
	// deadSilent never answers: a hand-over fails at its deadline.
	deadSilent
)

// handover is one request at a modelled agent.
type handover struct {
	work     time.Duration
	deadline time.Time
	// reply is called once, at the agent's time.
	reply func(result)
}

// result is what the agent replies, with its load at that moment.
type result struct {
	refusal pb.Refusal
	cut     bool // the agent died
	running int64
	queued  int64
}

// endpoint models an agent with its endpoint: the rules of admission, in order
// of arrival, since all requests have the same client.
type endpoint struct {
	clock    *clock
	info     *pb.Endpoint
	slowdown float64
	health   health

	running []*handover
	queue   []*handover
	service time.Duration // smoothed service time
}

const (
	admissionSmoothing = 0.1
	admissionPrior     = meanService
)

func newEndpoint(c *clock, info *pb.Endpoint) *endpoint {
	return &endpoint{clock: c, info: info, slowdown: 1, service: admissionPrior}
}

// enter takes a free slot, queues the request, or refuses it.
func (e *endpoint) enter(h *handover) {
	switch {
	case e.health == deadRefusing:
		h.reply(result{cut: true})
	case e.health == deadSilent:
	case len(e.running) < slotsEach:
		e.start(h)
	case len(e.queue) >= maxQueue:
		e.refuse(h, pb.Refusal_REFUSAL_QUEUE_FULL)
	case e.expectedWait() > h.deadline.Sub(e.clock.now):
		e.refuse(h, pb.Refusal_REFUSAL_TOO_LATE)
	default:
		e.queue = append(e.queue, h)
		e.clock.at(h.deadline, func() { e.withdraw(h) })
	}
}

func (e *endpoint) expectedWait() time.Duration {
	turns := float64(len(e.queue)+1)/slotsEach + 1
	return time.Duration(turns * float64(e.service))
}

func (e *endpoint) refuse(h *handover, why pb.Refusal) {
	h.reply(result{refusal: why, running: int64(len(e.running)), queued: int64(len(e.queue))})
}

func (e *endpoint) start(h *handover) {
	e.running = append(e.running, h)
	took := time.Duration(float64(h.work) * e.slowdown)
	e.clock.after(took, func() { e.finish(h, took) })
}

func (e *endpoint) finish(h *handover, took time.Duration) {
	if e.health != alive {
		return
	}
	e.running = remove(e.running, h)
	e.service += time.Duration(admissionSmoothing * float64(took-e.service))
	e.fill()
	h.reply(result{running: int64(len(e.running)), queued: int64(len(e.queue))})
}

func (e *endpoint) fill() {
	for len(e.running) < slotsEach && len(e.queue) > 0 {
		h := e.queue[0]
		e.queue = e.queue[1:]
		if h.deadline.Sub(e.clock.now) < e.service/2 {
			e.refuse(h, pb.Refusal_REFUSAL_TOO_LATE)
			continue
		}
		e.start(h)
	}
}

// withdraw refuses a request that still waits at its deadline.
func (e *endpoint) withdraw(h *handover) {
	before := len(e.queue)
	e.queue = remove(e.queue, h)
	if len(e.queue) < before {
		e.refuse(h, pb.Refusal_REFUSAL_TOO_LATE)
	}
}

// kill drops all requests; if refusing, their connections break at once.
func (e *endpoint) kill(how health) {
	e.health = how
	lost := append(e.running, e.queue...)
	e.running, e.queue = nil, nil
	if how == deadSilent {
		return
	}
	for _, h := range lost {
		h.reply(result{cut: true})
	}
}

func remove(list []*handover, h *handover) []*handover {
	for i, x := range list {
		if x == h {
			return append(list[:i], list[i+1:]...)
		}
	}
	return list
}
