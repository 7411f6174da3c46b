// Command bench-scale measures how planning, a shard's memory and the ledger grow
// with workers and tasks.
package main

import (
	"fmt"
	"os"

	"chervilridge/internal/bench/scale"
)

func main() {
	if err := scale.Report(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}
