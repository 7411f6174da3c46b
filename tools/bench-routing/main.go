// Command bench-routing compares the routing policies of the entry in a simulation
// and prints the results as Markdown tables.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"
	"strings"

	"k8s.io/klog/v2"

	"chervilridge/internal/bench/routing"
	"chervilridge/internal/request/pick"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of the random number generators")
	replyLoad := flag.Bool("reply-load", true, "replies carry the load of their agent, as heartbeats do")
	policy := flag.String("policy", pick.NameNearLeastTime, "policy to check against the targets")
	only := flag.String("only", "", "run only the cases whose name contains this text")
	flag.Parse()
	if !slices.Contains(pick.PolicyNames(), *policy) {
		fmt.Fprintln(os.Stderr, "unknown policy:", *policy)
		os.Exit(2)
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	run(routing.Options{Seed: *seed, ReplyLoad: *replyLoad}, *policy, *only)
}

func run(o routing.Options, policy, only string) {
	fmt.Printf("routing benchmark, seed %d, load in answers: %t\n", o.Seed, o.ReplyLoad)
	var all []*routing.Comparison
	for _, d := range routing.Deployments() {
		for _, c := range routing.Cases() {
			if !strings.Contains(c.Name, only) {
				continue
			}
			comparison := routing.Compare(d, c, o)
			comparison.WriteTable(os.Stdout)
			all = append(all, comparison)
		}
	}
	routing.WriteTargetChecks(os.Stdout, policy, all)
}
