package taskworker

import (
	"testing"

	"gotest.tools/v3/assert"
)

// The platform counts a second start against the system only if the first end was, or
// will be, taken note of.
func TestJournalTellsAllowedRepeatsFromDoubledWork(t *testing.T) {
	cases := []struct {
		name string
		play func(j *Journal)
		want int
	}{
		{"one run", func(j *Journal) { j.start("a", "t", 1); j.end("a", "t", 1, "done"); j.note("a", "t", 1) }, 0},
		{"two at once", func(j *Journal) { j.start("a", "t", 1); j.start("b", "t", 2) }, 1},
		{"again after a crash", func(j *Journal) { j.start("a", "t", 1); j.end("a", "t", 1, "crashed"); j.start("b", "t", 2) }, 0},
		{"again after an end that nobody heard of", func(j *Journal) {
			j.start("a", "t", 1)
			j.end("a", "t", 1, "done")
			j.start("b", "t", 2)
			j.end("b", "t", 2, "done")
			j.note("b", "t", 2)
		}, 0},
		{"again after an acknowledged end", func(j *Journal) {
			j.start("a", "t", 1)
			j.end("a", "t", 1, "done")
			j.note("a", "t", 1)
			j.start("b", "t", 2)
		}, 1},
		{"the end is acknowledged after another start", func(j *Journal) {
			j.start("a", "t", 1)
			j.end("a", "t", 1, "done")
			j.start("b", "t", 2)
			j.note("a", "t", 1)
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := NewJournal()
			c.play(j)
			assert.Equal(t, len(j.Problems()), c.want, "%v", j.Problems())
		})
	}
}
