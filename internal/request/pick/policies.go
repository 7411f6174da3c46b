package pick

import (
	"math/rand/v2"
	"sync/atomic"

	"chervilridge/internal/membership"
	"chervilridge/internal/request"
)

// Random picks evenly at random.
type Random struct{}

// Name implements Policy.
func (Random) Name() string { return "random" }

// Pick implements Policy.
func (Random) Pick(c []*membership.Member, _ *request.Request) *membership.Member {
	return c[rand.IntN(len(c))]
}

// RoundRobin picks one after the other.
type RoundRobin struct {
	next atomic.Uint64
}

// Name implements Policy.
func (*RoundRobin) Name() string { return "round-robin" }

// Pick implements Policy.
func (p *RoundRobin) Pick(c []*membership.Member, _ *request.Request) *membership.Member {
	return c[(p.next.Add(1)-1)%uint64(len(c))]
}

// TwoChoices picks the less loaded of two random endpoints by what this entry
// has in flight there.
type TwoChoices struct{}

// Name implements Policy.
func (TwoChoices) Name() string { return "two-choices" }

// Pick implements Policy.
func (TwoChoices) Pick(c []*membership.Member, _ *request.Request) *membership.Member {
	a, b := c[rand.IntN(len(c))], c[rand.IntN(len(c))]
	if b.InFlight.Load() < a.InFlight.Load() {
		return b
	}
	return a
}
