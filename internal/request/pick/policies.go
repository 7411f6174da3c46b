package pick

import (
	"sync/atomic"
	"time"

	"chervilridge/internal/membership"
)

// Random picks uniformly at random.
type Random struct {
	Rand Rand
}

// Name implements Policy.
func (Random) Name() string { return NameRandom }

// Pick implements Policy.
func (p Random) Pick(c []*membership.Member, _ time.Time) Decision {
	return Decision{Member: c[p.Rand.IntN(len(c))]}
}

// RoundRobin picks the candidates in rotation.
type RoundRobin struct {
	next atomic.Uint64
}

// Name implements Policy.
func (*RoundRobin) Name() string { return NameRoundRobin }

// Pick implements Policy.
func (p *RoundRobin) Pick(c []*membership.Member, _ time.Time) Decision {
	return Decision{Member: c[(p.next.Add(1)-1)%uint64(len(c))]}
}

// TwoChoices picks the member with the lower score out of two different random ones
// (power of two choices).
type TwoChoices struct {
	name  string
	rand  Rand
	score ScoreFunc
}

// Name implements Policy.
func (p *TwoChoices) Name() string { return p.name }

// Pick implements Policy.
func (p *TwoChoices) Pick(c []*membership.Member, now time.Time) Decision {
	if len(c) == 1 {
		return Decision{Member: c[0]}
	}
	i := p.rand.IntN(len(c))
	j := p.rand.IntN(len(c) - 1)
	if j >= i {
		j++
	}
	scoreContext := ScoreContext{Now: now, TypicalServiceTime: typicalServiceTime(c)}
	a, b := p.score(c[i], scoreContext), p.score(c[j], scoreContext)
	if b < a {
		return Decision{Member: c[j], Score: b, RunnerUp: c[i], RunnerUpScore: a}
	}
	return Decision{Member: c[i], Score: a, RunnerUp: c[j], RunnerUpScore: b}
}

// LowestScore picks the member with the lowest score. The search starts after the last
// pick, so that members with equal scores are picked in turn.
type LowestScore struct {
	name  string
	score ScoreFunc
	next  atomic.Uint64
}

// Name implements Policy.
func (p *LowestScore) Name() string { return p.name }

// Pick implements Policy.
func (p *LowestScore) Pick(c []*membership.Member, now time.Time) Decision {
	scoreContext := ScoreContext{Now: now, TypicalServiceTime: typicalServiceTime(c)}
	start := int(p.next.Load() % uint64(len(c)))
	best, at := Decision{}, 0
	for i := range c {
		k := start + i
		if k >= len(c) {
			k -= len(c)
		}
		s := p.score(c[k], scoreContext)
		switch {
		case best.Member == nil || s < best.Score:
			best = Decision{Member: c[k], Score: s, RunnerUp: best.Member, RunnerUpScore: best.Score}
			at = k
		case best.RunnerUp == nil || s < best.RunnerUpScore:
			best.RunnerUp, best.RunnerUpScore = c[k], s
		}
	}
	p.next.Store(uint64(at + 1))
	return best
}
