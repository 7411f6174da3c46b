// Command chervil-bench-routing compares the routing policies on a fake clock
// and prints their figures.
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
	seed := flag.Uint64("seed", 1, "seed of all random numbers")
	replyLoad := flag.Bool("reply-load", true, "answers carry the agent's load besides its heartbeats")
	policy := flag.String("policy", pick.NameNearLeastTime, "policy whose targets are judged")
	only := flag.String("only", "", "run only the cases whose name contains this")
	flag.Parse()
	if !slices.Contains(pick.PolicyNames(), *policy) {
		fmt.Fprintln(os.Stderr, "no such policy:", *policy)
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
	routing.WriteVerdicts(os.Stdout, policy, all)
}
