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
func (v TargetCheck) MeetsIdeal() bool { return v.P99OverIdeal <= maxOverIdeal }

// MeetsBest reports whether the target relative to the best other policy is met.
func (v TargetCheck) MeetsBest() bool { return v.P99OverBest <= maxOverBest }

// CheckTargets compares the p99 of the policy with the ideal queue and the best other policy.
// The policy must be one of c.Policies.
func (c *Comparison) CheckTargets(policy string) TargetCheck {
	var own, best *Stats
	for _, f := range c.Policies {
		switch {
		case f.Policy == policy:
			own = f
		case best == nil || f.p99() < best.p99():
			best = f
		}
	}
	return TargetCheck{P99OverIdeal: ratio(own, c.Ideal), P99OverBest: ratio(own, best), BestOther: best.Policy}
}

func (f *Stats) p99() time.Duration { return f.Quantile(0.99) }

// ratio returns the p99 of a divided by that of b.
func ratio(a, b *Stats) float64 { return float64(a.p99()) / float64(b.p99()) }

// WriteTable writes the results of one comparison as a Markdown table.
func (c *Comparison) WriteTable(w io.Writer) {
	fmt.Fprintf(w, "\n### %s, %s (%d requests)\n\n", c.Deployment.Name, c.Case.Name, c.Ideal.Requests)
	fmt.Fprintln(w, "| policy | p50 ms | p99 ms | p99.9 ms | in time % | retries | refusals | p99 / ideal |")
	fmt.Fprintln(w, "|---|---|---|---|---|---|---|---|")
	for _, f := range append([]*Stats{c.Ideal}, c.Policies...) {
		fmt.Fprintf(w, "| %s | %.1f | %.1f | %.1f | %.3f | %d | %d | %.2f |\n", f.Policy,
			milliseconds(f.Quantile(0.5)), milliseconds(f.p99()), milliseconds(f.Quantile(0.999)), 100*f.WithinDeadlineShare(),
			f.Retries, f.Rejections, ratio(f, c.Ideal))
	}
}

// WriteTargetChecks writes a Markdown table of the policy's ratios to the targets, one row for
// each comparison, and whether each target is met.
func WriteTargetChecks(w io.Writer, policy string, comparisons []*Comparison) {
	fmt.Fprintf(w, "\n### targets of %s\n\n", policy)
	fmt.Fprintf(w, "| deployment | case | p99 / ideal (at most %.1f) | p99 / best other (at most %.1f) | best other |\n", maxOverIdeal, maxOverBest)
	fmt.Fprintln(w, "|---|---|---|---|---|")
	for _, c := range comparisons {
		v := c.CheckTargets(policy)
		fmt.Fprintf(w, "| %s | %s | %.2f %s | %.2f %s | %s |\n", c.Deployment.Name, c.Case.Name,
			v.P99OverIdeal, metText(v.MeetsIdeal()), v.P99OverBest, metText(v.MeetsBest()), v.BestOther)
	}
}

func metText(ok bool) string {
	if ok {
		return "met"
	}
	return "NOT MET"
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
