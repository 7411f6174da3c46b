package matrix

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

const parallelCells = 6

// TestMatrix runs every fault at every step. A cell that was not exercised is
// printed as such and is not counted as passed.
func TestMatrix(t *testing.T) {
	began := time.Now()
	verdicts := RunAll(t.Context(), Cells(), parallelCells)
	fmt.Print(Table(verdicts))
	counts, reasons := map[string]int{}, map[string]bool{}
	for _, v := range verdicts {
		counts[v.Outcome]++
		switch v.Outcome {
		case "ok":
		case "n/a":
			reasons[fmt.Sprintf("n/a, %s: %s", v.Cell.Fault.Name, v.Detail)] = true
		case "not exercised":
			reasons[fmt.Sprintf("not exercised, %s at %s: %s", v.Cell.Fault.Name, v.Cell.Step, v.Detail)] = true
		default:
			t.Errorf("%s at %s: %s", v.Cell.Fault.Name, v.Cell.Step, v.Detail)
		}
	}
	for r := range reasons {
		fmt.Println(r)
	}
	fmt.Println(counts, time.Since(began).Round(time.Second))
	assert.Check(t, counts["ok"] > 0)
}
