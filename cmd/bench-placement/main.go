// Command bench-placement measures placement decisions on modelled workers and
// prints a table for each deployment and seed.
package main

import (
	"flag"
	"os"

	"chervilridge/internal/bench/placement"
)

func main() {
	first := flag.Uint64("seed", 1, "seed of load and tasks")
	seeds := flag.Uint64("seeds", 1, "how many seeds to run, from the first on")
	only := flag.String("policy", "", "only this policy beside the oracle")
	flag.Parse()
	for seed := *first; seed < *first+*seeds; seed++ {
		for _, d := range placement.Deployments() {
			placement.Report(os.Stdout, placement.Run(d, seed, *only))
		}
	}
}
