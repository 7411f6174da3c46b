package routing

import (
	"fmt"
	"io"
	"time"

	"chervilridge/internal/request/pick"
)

// Targets of the p99 latency, as a ratio.
const (
	maxOverIdeal = 1.3 // to the p99 of the ideal queue
	maxOverBest  = 1.1 // to the p99 of the best other policy
)

// Comparison holds the results of all policies and the ideal queue in one case of one
// deployment.
type Comparison struct {
	Deployment Deployment
	Case       Case
	Ideal      *Stats
	Policies   []*Stats
}

// Compare runs all policies and the ideal queue in one case.
func Compare(d Deployment, c Case, o Options) *Comparison {
	out := &Comparison{Deployment: d, Case: c, Ideal: SimulateIdeal(d, c, o)}
	for _, name := range pick.PolicyNames() {
		out.Policies = append(out.Policies, Simulate(d, c, name, o))
	}
	return out
}

// TargetCheck compares the p99 latency of a policy with the targets.
type TargetCheck struct {
	P99OverIdeal float64 // ratio to the p99 of the ideal queue
	P99OverBest  float64 // ratio to the p99 of the best other policy
	BestOther    string  // name of the best other policy
}

// MeetsIdeal reports whether the target relative to the ideal queue is met.
func (t TargetCheck) MeetsIdeal() bool { return t.P99OverIdeal <= maxOverIdeal }

// MeetsBest reports whether the target relative to the best other policy is met.
func (t TargetCheck) MeetsBest() bool { return t.P99OverBest <= maxOverBest }

// CheckTargets compares the p99 of the policy with the ideal queue and the best other policy.
// The policy must be one of c.Policies.
func (c *Comparison) CheckTargets(policy string) TargetCheck {
	var own, best *Stats
	for _, s := range c.Policies {
		switch {
		case s.Policy == policy:
			own = s
		case best == nil || s.p99() < best.p99():
			best = s
		}
	}
	return TargetCheck{P99OverIdeal: ratio(own, c.Ideal), P99OverBest: ratio(own, best), BestOther: best.Policy}
}

func (s *Stats) p99() time.Duration { return s.Quantile(0.99) }

// ratio returns the p99 of a divided by that of b.
func ratio(a, b *Stats) float64 { return float64(a.p99()) / float64(b.p99()) }

// WriteTable writes the results of one comparison as a Markdown table.
func (c *Comparison) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "\n### %s, %s (%d requests)\n\n", c.Deployment.Name, c.Case.Name, c.Ideal.Requests)
	fmt.Fprintln(w, "| policy | p50 ms | p99 ms | p99.9 ms | in time % | retries | refusals | p99 / ideal |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, s := range append([]*Stats{c.Ideal}, c.Policies...) {
		fmt.Fprintf(w, "| %s | %.1f | %.1f | %.1f | %.3f | %d | %d | %.2f |\n", s.Policy,
			milliseconds(s.Quantile(0.5)), milliseconds(s.p99()), milliseconds(s.Quantile(0.999)), 100*s.WithinDeadlineShare(),
			s.Retries, s.Rejections, ratio(s, c.Ideal))
	}
}

// WriteTargetChecks writes a Markdown table of the policy's ratios to the targets, one row for
// each comparison, and whether each target is met.
func WriteTargetChecks(w io.Writer, policy string, comparisons []*Comparison) {
	fmt.Fprintf(w, "\n### targets of %s\n\n", policy)
	fmt.Fprintf(w, "| deployment | case | p99 / ideal (at most %.1f) | p99 / best other (at most %.1f) | best other |\n", maxOverIdeal, maxOverBest)
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, c := range comparisons {
		t := c.CheckTargets(policy)
		fmt.Fprintf(w, "| %s | %s | %.2f %s | %.2f %s | %s |\n", c.Deployment.Name, c.Case.Name,
			t.P99OverIdeal, metText(t.MeetsIdeal()), t.P99OverBest, metText(t.MeetsBest()), t.BestOther)
	}
}

func metText(ok bool) string {
	if ok {
		return "met"
	}
	return "NOT MET"
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
