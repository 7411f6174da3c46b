//go:build review3

// Command harness3 runs the scripted cases of the third review. It starts the project's programs as separate
// processes, with stand-ins for the platform, clients and workers, and judges by what these see.
//
// It exits with 1 if the rule was broken, with 0 if it held, and with 2 if the case could not run.
package main

import (
	"errors"
	"fmt"
	"os"
	"time"
)

// verdict is the result of a case.
type verdict struct {
	broken bool
	text   string
}

// cases are the scripted cases by the names of their folders.
var cases = map[string]func(r *record, trouble bool) (verdict, error){
	"bodies": largeBodies,
	"ends":   manyEnds,
}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: harness3 CASE RECORD; TROUBLE=0 leaves the disruption out")
		os.Exit(2)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Getenv("TROUBLE") != "0"))
}

func run(name, path string, trouble bool) int {
	out, err := os.Create(path)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 2
	}
	defer func() { _ = out.Close() }()
	r := &record{out: out, start: time.Now()}
	r.log("case %s, disruption %t", name, trouble)
	result, err := cases[name](r, trouble)
	switch {
	case err != nil:
		r.log("cannot run: %v", err)
		fmt.Println("cannot run:", err)
		if errors.Is(err, errCannotRun) {
			return 2
		}
		return 2
	case result.broken:
		r.log("BROKEN: %s", result.text)
		fmt.Println("broken:", result.text)
		return 1
	}
	r.log("held: %s", result.text)
	fmt.Println("held:", result.text)
	return 0
}
