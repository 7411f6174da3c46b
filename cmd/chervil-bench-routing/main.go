// Command chervil-bench-routing compares the routing policies on a fake clock
// and prints their figures.
package main

import (
	"flag"
	"fmt"
	"io"
	"os"
	"slices"

	"k8s.io/klog/v2"

	"chervilridge/internal/bench/routing"
	"chervilridge/internal/request/pick"
)

func main() {
	seed := flag.Uint64("seed", 1, "seed of all random numbers")
	replyLoad := flag.Bool("reply-load", true, "answers carry the agent's load besides its heartbeats")
	policy := flag.String("policy", pick.NameNearLeastTime, "policy whose targets are judged")
	flag.Parse()
	if !slices.Contains(pick.Names(), *policy) {
		fmt.Fprintln(os.Stderr, "no such policy:", *policy)
		os.Exit(2)
	}
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	run(routing.Options{Seed: *seed, ReplyLoad: *replyLoad}, *policy)
}

func run(o routing.Options, policy string) {
	fmt.Printf("routing benchmark, seed %d, load in answers: %t\n", o.Seed, o.ReplyLoad)
	var all []*routing.Comparison
	for _, d := range routing.Deployments() {
		for _, c := range routing.Cases() {
			comparison := routing.Compare(d, c, o)
			comparison.WriteTable(os.Stdout)
			all = append(all, comparison)
		}
	}
	routing.WriteVerdicts(os.Stdout, policy, all)
}
