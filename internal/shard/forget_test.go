package shard

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
)

// TestOnlyEndedJobsAreForgotten: a job with a waiting or running task stays, and
// what was learned from a forgotten one stays too.
func TestOnlyEndedJobsAreForgotten(t *testing.T) {
	s := withTasks(t, 2)
	forget := &pb.Record{Epoch: 1, Body: &pb.Record_JobsForgotten{JobsForgotten: &pb.JobsForgotten{JobIds: []string{"j", "unknown"}}}}
	assign(t, s, 0, 1, "w1")
	finish(t, s, 0, 1, 10)
	assert.Assert(t, s.Apply(forget) != nil, "a task still waits")
	assign(t, s, 1, 1, "w1")
	assert.Assert(t, s.Apply(forget) != nil, "a task still runs")
	assert.Equal(t, len(s.EndedBefore(1_000, 10)), 0)
	finish(t, s, 1, 1, 20)
	assert.Equal(t, len(s.EndedBefore(20, 10)), 0)
	assert.DeepEqual(t, s.EndedBefore(21, 10), []string{"j"})
	mustOwned(t, s, forget)
	assert.Equal(t, s.JobCount(), 0)
	assert.Equal(t, s.Class("c").Finished, uint32(2))
	assert.Assert(t, s.Apply(forget) != nil, "a second copy is void")
}
