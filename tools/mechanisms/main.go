// Command mechanisms checks that the tests detect a missing mechanism, by mutation: it
// switches off each mechanism of list.json in a scratch copy and runs the tests that
// guard it, which must then fail. Arguments select the mechanisms whose name contains one
// of them.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	_ "embed"
)

//go:embed list.json
var listJSON []byte

const testTimeout = 4 * time.Minute // for the tests of one mechanism

// Mechanism is a part of the code that a guarantee depends on: the edits that switch it
// off, and the package and -run pattern of the tests that must then fail.
type Mechanism struct {
	Name    string `json:"name"`
	Edits   []Edit `json:"edits"`
	Package string `json:"package"`
	Tests   string `json:"tests"`
}

// Edit replaces a text that occurs exactly once in a file.
type Edit struct {
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Result says whether the tests detect that a mechanism is switched off.
type Result string

// NotRun means that the edits could not be applied or the tests could not be built or run.
const (
	Detected   Result = "noticed"
	Undetected Result = "NOT NOTICED"
	NotRun     Result = "NOT RUN"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func run(filters []string) error {
	var list []Mechanism
	if err := json.Unmarshal(listJSON, &list); err != nil {
		return err
	}
	dir, err := scratchCopy()
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	undetected := 0
	for _, m := range list {
		if len(filters) > 0 && !matches(m, filters) {
			continue
		}
		result, detail := testWithout(dir, m)
		if result != Detected {
			undetected++
		}
		fmt.Printf("%-12s %-60s %s %s\n", result, m.Name, m.Tests, detail)
	}
	if undetected > 0 {
		return fmt.Errorf("%d mechanisms were switched off undetected or not tested", undetected)
	}
	return nil
}

func matches(m Mechanism, filters []string) bool {
	for _, word := range filters {
		if strings.Contains(m.Name, word) {
			return true
		}
	}
	return false
}

// scratchCopy copies the tracked files to a new directory.
func scratchCopy() (string, error) {
	dir, err := os.MkdirTemp("", "chervil-mechanisms-")
	if err != nil {
		return "", err
	}
	out, err := exec.Command("git", "ls-files").Output()
	if err != nil {
		return "", err
	}
	for _, name := range strings.Fields(string(out)) {
		if err := copyFile(name, filepath.Join(dir, name)); err != nil {
			return "", err
		}
	}
	return dir, nil
}

func copyFile(from, to string) error {
	content, err := os.ReadFile(from)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(filepath.Dir(to), 0o755); err != nil {
		return err
	}
	return os.WriteFile(to, content, 0o644)
}

// testWithout runs the tests of a mechanism with its edits applied, and restores the files.
// The string is a detail for NotRun.
func testWithout(dir string, m Mechanism) (Result, string) {
	for _, e := range m.Edits {
		path := filepath.Join(dir, e.File)
		content, err := os.ReadFile(path)
		if err != nil {
			return NotRun, err.Error()
		}
		defer func() { _ = os.WriteFile(path, content, 0o644) }()
		if err := apply(path, string(content), e); err != nil {
			return NotRun, err.Error()
		}
	}
	return runTests(dir, m)
}

func apply(path, content string, e Edit) error {
	if n := strings.Count(content, e.Old); n != 1 {
		return fmt.Errorf("text to replace occurs %d times in %s, want 1: %q", n, e.File, e.Old)
	}
	return os.WriteFile(path, []byte(strings.Replace(content, e.Old, e.New, 1)), 0o644)
}

func runTests(dir string, m Mechanism) (Result, string) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-vet=off", "-run", m.Tests, m.Package)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	switch {
	case err == nil:
		return Undetected, ""
	case strings.Contains(string(out), "--- FAIL"), strings.Contains(string(out), "panic:"):
		return Detected, ""
	}
	return NotRun, firstLine(string(out))
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(s), "\n")
	return line
}
