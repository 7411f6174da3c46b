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
	namedTest  = regexp.MustCompile("`((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)`")
	definition = regexp.MustCompile(`(?m)^func ((?:Test|Fuzz|Benchmark)[A-Za-z0-9_]+)\(`)
)

// TestEveryNamedTestExists compares docs/PROOFS.md with the tests of the tree.
func TestEveryNamedTestExists(t *testing.T) {
	page, err := os.ReadFile("../../docs/PROOFS.md")
	assert.NilError(t, err)
	defined := definedTests(t)
	named := namedTest.FindAllStringSubmatch(string(page), -1)
	assert.Assert(t, len(named) > 0)
	for _, m := range named {
		assert.Check(t, defined[m[1]], "docs/PROOFS.md names %s, which does not exist", m[1])
	}
}

func definedTests(t *testing.T) map[string]bool {
	defined := map[string]bool{}
	walk := func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		content, err := os.ReadFile(path)
		for _, m := range definition.FindAllStringSubmatch(string(content), -1) {
			defined[m[1]] = true
		}
		return err
	}
	assert.NilError(t, filepath.WalkDir("../..", walk))
	return defined
}
