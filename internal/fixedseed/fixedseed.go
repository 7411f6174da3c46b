// Package fixedseed lets generated tests run alike each time, unless the
// command line names another seed or number of checks.
package fixedseed

import (
	"flag"
	"strconv"
	"testing"
)

// Options are the flags of rapid; a zero number of checks or steps keeps its
// default.
type Options struct {
	Seed   uint64
	Checks int
	Steps  int
}

// Run sets the flags, lets the command line override them, and runs the tests.
// It returns their exit code, for TestMain.
func Run(m *testing.M, o Options) int {
	set("rapid.seed", strconv.FormatUint(o.Seed, 10))
	if o.Checks > 0 {
		set("rapid.checks", strconv.Itoa(o.Checks))
	}
	if o.Steps > 0 {
		set("rapid.steps", strconv.Itoa(o.Steps))
	}
	flag.Parse()
	return m.Run()
}

// set panics if the test binary does not have the flag: a seed that is silently
// not fixed would make the verdict differ from run to run.
func set(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
