// Package fixedseed makes property-based tests deterministic: they run with a fixed seed and
// number of checks, unless the command line sets others.
package fixedseed

import (
	"flag"
	"strconv"
	"testing"
)

// Options are values for the flags of the rapid package. Zero Checks or Steps leave rapid's
// default.
type Options struct {
	Seed   uint64
	Checks int
	Steps  int
}

// Run sets the flags of rapid, parses the command line, which overrides them, and runs the
// tests. TestMain passes the returned exit code to os.Exit.
func Run(m *testing.M, o Options) int {
	setFlag("rapid.seed", strconv.FormatUint(o.Seed, 10))
	if o.Checks > 0 {
		setFlag("rapid.checks", strconv.Itoa(o.Checks))
	}
	if o.Steps > 0 {
		setFlag("rapid.steps", strconv.Itoa(o.Steps))
	}
	flag.Parse()
	return m.Run()
}

// setFlag panics if the test binary does not define the flag: with a seed that is silently
// not fixed, test results would differ from run to run.
func setFlag(name, value string) {
	if err := flag.Set(name, value); err != nil {
		panic(err)
	}
}
