package pick

import (
	"sync/atomic"
	"time"

	"chervilridge/internal/membership"
)

// Random picks evenly at random.
type Random struct {
	Rand Rand
}

// Name implements Policy.
func (Random) Name() string { return NameRandom }

// Pick implements Policy.
func (p Random) Pick(c []*membership.Member, _ time.Time) Decision {
	return Decision{Member: c[p.Rand.IntN(len(c))]}
}

// RoundRobin picks one after the other.
type RoundRobin struct {
	next atomic.Uint64
}

// Name implements Policy.
func (*RoundRobin) Name() string { return NameRoundRobin }

// Pick implements Policy.
func (p *RoundRobin) Pick(c []*membership.Member, _ time.Time) Decision {
	return Decision{Member: c[(p.next.Add(1)-1)%uint64(len(c))]}
}

// TwoChoices picks the better of two different random members by a score.
type TwoChoices struct {
	name  string
	rand  Rand
	score Score
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
	scene := Scene{Now: now, Typical: typical(c)}
	a, b := p.score(c[i], scene), p.score(c[j], scene)
	if b < a {
		return Decision{Member: c[j], Score: b, RunnerUp: c[i], RunnerUpScore: a}
	}
	return Decision{Member: c[i], Score: a, RunnerUp: c[j], RunnerUpScore: b}
}

// Least picks the member with the lowest score, evenly among equals.
type Least struct {
	name  string
	rand  Rand
	score Score
}

// Name implements Policy.
func (p *Least) Name() string { return p.name }

// Pick implements Policy.
func (p *Least) Pick(c []*membership.Member, now time.Time) Decision {
	scene := Scene{Now: now, Typical: typical(c)}
	best := Decision{Member: c[0], Score: p.score(c[0], scene)}
	equal := 1
	for _, m := range c[1:] {
		s := p.score(m, scene)
		switch {
		case s < best.Score:
			best = Decision{Member: m, Score: s, RunnerUp: best.Member, RunnerUpScore: best.Score}
			equal = 1
		case s == best.Score:
			equal++
			if p.rand.IntN(equal) == 0 {
				best.Member, m = m, best.Member
			}
			best.RunnerUp, best.RunnerUpScore = m, s
		case best.RunnerUp == nil || s < best.RunnerUpScore:
			best.RunnerUp, best.RunnerUpScore = m, s
		}
	}
	return best
}
