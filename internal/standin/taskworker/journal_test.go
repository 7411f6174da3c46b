package taskworker

import (
	"testing"

	"gotest.tools/v3/assert"
)

// A second run of a task is a violation only if the first one still runs, or if its end was
// or will be acknowledged.
func TestJournalDetectsViolationsOnly(t *testing.T) {
	cases := []struct {
		name   string
		record func(j *Journal)
		want   int
	}{
		{"one run", func(j *Journal) {
			j.recordStart("a", "t", 1)
			j.recordEnd("a", "t", 1, "done")
			j.recordAcknowledgement("a", "t", 1)
		}, 0},
		{"two at once", func(j *Journal) { j.recordStart("a", "t", 1); j.recordStart("b", "t", 2) }, 1},
		{"again after a crash", func(j *Journal) {
			j.recordStart("a", "t", 1)
			j.recordEnd("a", "t", 1, "crashed")
			j.recordStart("b", "t", 2)
		}, 0},
		{"again after an end that was not acknowledged", func(j *Journal) {
			j.recordStart("a", "t", 1)
			j.recordEnd("a", "t", 1, "done")
			j.recordStart("b", "t", 2)
			j.recordEnd("b", "t", 2, "done")
			j.recordAcknowledgement("b", "t", 2)
		}, 0},
		{"again after an acknowledged end", func(j *Journal) {
			j.recordStart("a", "t", 1)
			j.recordEnd("a", "t", 1, "done")
			j.recordAcknowledgement("a", "t", 1)
			j.recordStart("b", "t", 2)
		}, 1},
		{"the end is acknowledged after another start", func(j *Journal) {
			j.recordStart("a", "t", 1)
			j.recordEnd("a", "t", 1, "done")
			j.recordStart("b", "t", 2)
			j.recordAcknowledgement("a", "t", 1)
		}, 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			j := NewJournal()
			c.record(j)
			assert.Equal(t, len(j.Violations()), c.want, "%v", j.Violations())
		})
	}
}
