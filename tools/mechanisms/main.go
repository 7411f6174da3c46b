// Command mechanisms shows that the tests notice a missing mechanism: it
// switches each listed mechanism off in a scratch copy and runs the tests that
// prove it, which must then fail.
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

const testTimeout = 4 * time.Minute

// Mechanism is what one promise rests on, with the edits that switch it off.
type Mechanism struct {
	Name    string `json:"name"`
	Edits   []Edit `json:"edits"`
	Package string `json:"package"`
	Tests   string `json:"tests"`
}

// Edit replaces a text that stands exactly once in a file.
type Edit struct {
	File string `json:"file"`
	Old  string `json:"old"`
	New  string `json:"new"`
}

// Verdict is what the tests said with the mechanism off.
type Verdict string

// Verdicts of a run.
const (
	Noticed    Verdict = "noticed"
	NotNoticed Verdict = "NOT NOTICED"
	NotRun     Verdict = "NOT RUN"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "error:", err)
		os.Exit(1)
	}
}

func run(only []string) error {
	var list []Mechanism
	if err := json.Unmarshal(listJSON, &list); err != nil {
		return err
	}
	dir, err := scratchCopy()
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(dir) }()
	missed := 0
	for _, m := range list {
		if len(only) > 0 && !matches(m, only) {
			continue
		}
		verdict, detail := try(dir, m)
		if verdict != Noticed {
			missed++
		}
		fmt.Printf("%-12s %-60s %s %s\n", verdict, m.Name, m.Tests, detail)
	}
	if missed > 0 {
		return fmt.Errorf("%d mechanisms are missed by no test", missed)
	}
	return nil
}

func matches(m Mechanism, only []string) bool {
	for _, word := range only {
		if strings.Contains(m.Name, word) {
			return true
		}
	}
	return false
}

// scratchCopy copies the tracked files to a new folder.
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

// try switches one mechanism off, runs its tests and switches it on again.
func try(dir string, m Mechanism) (Verdict, string) {
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
	return judge(dir, m)
}

func apply(path, content string, e Edit) error {
	if n := strings.Count(content, e.Old); n != 1 {
		return fmt.Errorf("the text stands %d times in %s", n, e.File)
	}
	return os.WriteFile(path, []byte(strings.Replace(content, e.Old, e.New, 1)), 0o644)
}

func judge(dir string, m Mechanism) (Verdict, string) {
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", "test", "-count=1", "-vet=off", "-run", m.Tests, m.Package)
	cmd.Dir = dir
	out, err := cmd.CombinedOutput()
	switch {
	case err == nil:
		return NotNoticed, ""
	case strings.Contains(string(out), "--- FAIL"), strings.Contains(string(out), "panic:"):
		return Noticed, ""
	}
	return NotRun, firstLine(string(out))
}

func firstLine(s string) string {
	line, _, _ := strings.Cut(strings.TrimSpace(s), "\n")
	return line
}
