package explore

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

var coin = []Option[int]{{"zero", 0}, {"one", 1}, {"two", 2}}

// digits chooses three digits; the third only if the first is not 1.
func digits(p *Path) [3]int {
	var out [3]int
	out[0], out[1] = Choose(p, "first", coin), Choose(p, "second", coin)
	if out[0] != 1 {
		out[2] = Choose(p, "third", coin)
	}
	return out
}

func TestAllSequencesArePlayedOnce(t *testing.T) {
	played := map[[3]int]int{}
	result := Search(3, func(p *Path) string {
		d := digits(p)
		if p.deviated == p.limit {
			played[d]++
		}
		return ""
	})
	assert.Equal(t, len(played), 2*9+3)
	for d, times := range played {
		assert.Equal(t, times, 1, "%v", d)
	}
	assert.Equal(t, result.Paths, len(played))
}

func TestShortestFailingSequenceIsReported(t *testing.T) {
	result := Search(3, func(p *Path) string {
		if d := digits(p); d[1]+d[2] >= 3 {
			return fmt.Sprint(d)
		}
		return ""
	})
	assert.Equal(t, result.Deviations, 2)
	assert.Equal(t, result.Violation, "[0 1 2]")
	assert.Equal(t, result.Events, "1 second: one; 2 third: two")
	assert.Equal(t, Search(1, func(p *Path) string { digits(p); return "" }).Events, "")
}
