package events

import (
	"fmt"
	"os"
	"regexp"
	"testing"

	"gotest.tools/v3/assert"
)

// row matches a table row of docs/EVENTS.md: number, severity and text.
var row = regexp.MustCompile(`(?m)^\| (\d{4}) \| (\w+) \| ([^|]+) \|`)

// TestCatalogueMatchesPage guards against events that docs/EVENTS.md lacks, lists with
// another severity or text, or still lists after their removal.
func TestCatalogueMatchesPage(t *testing.T) {
	page, err := os.ReadFile("../../docs/EVENTS.md")
	assert.NilError(t, err)
	documented := map[string]bool{}
	for _, m := range row.FindAllStringSubmatch(string(page), -1) {
		documented[fmt.Sprintf("%s %s %s", m[1], m[2], m[3])] = true
	}
	for n, e := range All() {
		key := fmt.Sprintf("%d %s %s", n, e.Severity, e.Text)
		assert.Check(t, documented[key], "not in docs/EVENTS.md: %s", key)
		delete(documented, key)
	}
	assert.Equal(t, len(documented), 0, "in docs/EVENTS.md only: %v", documented)
}
