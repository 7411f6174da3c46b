// Package explore plays a scenario through every sequence of its choices, up to a number of
// deviations from the usual ones. Few deviations are played first, so that the first sequence that
// fails is one of the shortest.
package explore

import (
	"fmt"
	"strings"
)

// Option is an alternative at a choice. The first option of a choice is the usual one; each other one
// is a deviation.
type Option[T any] struct {
	Name  string
	Value T
}

// decision is a choice that was made.
type decision struct {
	point, name    string
	taken, options int
}

// Path is one sequence of choices. It is not safe for concurrent use.
type Path struct {
	decisions []decision
	next      int // index of the next decision
	deviated  int // number of deviations before that decision
	limit     int // maximum number of deviations
}

// Choose returns one of the options, at least one. The point names the choice in an event list.
func Choose[T any](p *Path, point string, options []Option[T]) T {
	taken := 0
	if p.next < len(p.decisions) {
		taken = p.decisions[p.next].taken
		p.decisions[p.next].name = options[taken].Name
	} else {
		p.decisions = append(p.decisions, decision{point: point, name: options[0].Name, options: len(options)})
	}
	p.next++
	if taken > 0 {
		p.deviated++
	}
	return options[taken].Value
}

// String lists the deviations, each with the number of its choice and the point.
func (p *Path) String() string {
	var out []string
	for i, d := range p.decisions {
		if d.taken > 0 {
			out = append(out, fmt.Sprintf("%d %s: %s", i, d.point, d.name))
		}
	}
	if len(out) == 0 {
		return "no deviation"
	}
	return strings.Join(out, "; ")
}

// advance moves on to the next path, in depth-first order, with at most limit deviations. It returns
// false after the last one.
func (p *Path) advance() bool {
	for i := len(p.decisions) - 1; i >= 0; i-- {
		d := &p.decisions[i]
		before := 0
		for _, earlier := range p.decisions[:i] {
			if earlier.taken > 0 {
				before++
			}
		}
		if d.taken+1 < d.options && before < p.limit {
			d.taken++
			p.decisions = p.decisions[:i+1]
			return true
		}
	}
	return false
}

// Result is what a search has found.
type Result struct {
	// Paths is the number of sequences played, Deviations the most in one of them.
	Paths, Deviations int
	// Events and Violation describe the first sequence that fails; empty if none does.
	Events, Violation string
}

// Search plays all sequences with at most the number of deviations, until one fails. The scenario
// returns what it has violated, or "". It must make the same choices whenever it gets the same options.
func Search(deviations int, scenario func(*Path) string) Result {
	var result Result
	for limit := range deviations + 1 {
		p := &Path{limit: limit}
		for more := true; more; more = p.advance() {
			p.next, p.deviated = 0, 0
			violation := scenario(p)
			if p.deviated < limit && violation == "" {
				continue // played before, with a lower limit
			}
			result.Paths++
			result.Deviations = limit
			if violation != "" {
				result.Events, result.Violation = p.String(), violation
				return result
			}
		}
	}
	return result
}
