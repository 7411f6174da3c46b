package scale

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"chervilridge/internal/scheduler/placement"
)

// BenchmarkPlan plans snapshots of several sizes.
func BenchmarkPlan(b *testing.B) {
	for _, size := range [][2]int{{11, 1}, {100, 1}, {100, 1_000}, {1_000, 1_000}} {
		b.Run(fmt.Sprintf("workers=%d/waiting=%d", size[0], size[1]), func(b *testing.B) {
			s := snapshot(size[0], size[1])
			b.ReportAllocs()
			for b.Loop() {
				placement.Make(s)
			}
		})
	}
}

// TestMeasure checks that what is measured is a plan that places tasks, and a
// state that took all records.
func TestMeasure(t *testing.T) {
	p := Measure(11, 100)
	assert.Equal(t, p.Placed, 100)
	m, err := MeasureMemory(11, 100)
	assert.NilError(t, err)
	assert.Equal(t, m.Tasks, 100)
	assert.Check(t, MeasureLife().Total() > 0)
}
