package proofs

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

var (
	// testReference matches the name of a test in code format in docs/PROOFS.md.
	testReference = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)`")
	// testDefinition matches the first line of a test function.
	testDefinition = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)\(`)
)

// TestEveryNamedTestExists guards against references in docs/PROOFS.md to tests that were
// renamed or removed.
func TestEveryNamedTestExists(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROOFS.md")
	assert.NilError(t, err)
	defined := definedTests(t)
	references := testReference.FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(references) > 0)
	for _, m := range references {
		assert.Check(t, defined[m[1]], "docs/PROOFS.md names %s, which does not exist", m[1])
	}
}

// definedTests returns the names of all tests, fuzz tests and benchmarks in the repository.
func definedTests(t *testing.T) map[string]bool {
	defined := map[string]bool{}
	walk := func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		for _, m := range testDefinition.FindAllStringSubmatch(string(content), -1) {
			defined[m[1]] = true
		}
		return err
	}
	assert.NilError(t, filepath.WalkDir("../..", walk))
	return defined
}
