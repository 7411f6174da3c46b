package placement

import (
	"fmt"
	"io"
)

// Report prints the results of one deployment as a table; the first result is
// the oracle's. It returns whether the system's own policy met all targets.
func Report(out io.Writer, results []*Result) bool {
	top := results[0]
	fmt.Fprintf(out, "\n%s, seed %d: %d workers, %d s, data centre out %d s to %d s\n",
		top.Deployment, top.Seed, workers, horizon, centreOutAt, centreBackAt)
	fmt.Fprintf(out, "%-24s %8s %8s %8s %8s %8s %7s %7s %7s %8s %9s\n", "policy", "p99", "p99wave",
		"work", "dc work", "finished", "evicted", "drained", "killed", "lost", "throttled")
	met := true
	for _, r := range results {
		all, wave := r.Slowdown()
		work, centre := r.Work/top.Work, r.CentreWork/top.CentreWork
		fmt.Fprintf(out, "%-24s %7.3fx %7.3fx %7.1f%% %7.1f%% %8d %7d %7d %7d %7.2f%% %8.1f%%\n", r.Policy, all, wave,
			100*work, 100*centre, r.Finished, r.Evictions, r.Drained, r.Killed,
			100*r.LostWork/top.Work, 100*float64(r.Throttled)/float64(workers*(horizon-warmUp)))
		if r.Policy == own {
			met = judge(out, r, wave, work, centre)
		}
	}
	for _, r := range results {
		for _, v := range r.verdicts {
			fmt.Fprintln(out, v)
		}
	}
	return met
}

// Names of the system's own policy and of the one that all are compared with.
const (
	own  = "chervilridge"
	best = "oracle"
)

func judge(out io.Writer, r *Result, wave, work, centre float64) bool {
	met := true
	check := func(what string, ok bool) {
		verdict := "met"
		if !ok {
			verdict, met = "NOT MET", false
		}
		r.verdicts = append(r.verdicts, fmt.Sprintf("%-64s %s", what, verdict))
	}
	check(fmt.Sprintf("p99 beside batch in a noisy wave %.3fx, target %.2fx", wave, targetSlowdown), wave <= targetSlowdown)
	check(fmt.Sprintf("batch work %.1f%% of the oracle's, target %.0f%%", 100*work, 100*targetThroughput), work >= targetThroughput)
	check(fmt.Sprintf("work while a data centre leaves and returns %.1f%%, target %.0f%%", 100*centre, 100*targetCentre), centre >= targetCentre)
	return met
}
