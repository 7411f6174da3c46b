package estimate

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/scheduler/placement/model"
)

// TestReserve checks when what was learned replaces what is declared.
func TestReserve(t *testing.T) {
	declared := model.Amount{CPUMilli: 16_000, MemoryMB: 64_000, Accelerators: 1}
	peak := &pb.Resources{CpuMilli: 2_000, MemoryMb: 4_000}
	cases := []struct {
		name        string
		learned     *pb.ClassLearned
		need, floor model.Amount
	}{
		{"nothing known", nil, declared, declared},
		{"too few finished", &pb.ClassLearned{Finished: trustAfter - 1, Peak: peak}, declared, declared},
		{"no use reported", &pb.ClassLearned{Finished: trustAfter}, declared, declared},
		{
			"learned", &pb.ClassLearned{Finished: trustAfter, Peak: peak},
			model.Amount{CPUMilli: 2_200, MemoryMB: 4_400, Accelerators: 1}, model.Amount{CPUMilli: 2_000, MemoryMB: 4_000, Accelerators: 1},
		},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := Reserve(declared, tc.learned)
			assert.Equal(t, got, Size{Need: tc.need, Floor: tc.floor})
		})
	}
}

// TestRunTime checks the sources of a run time and what is left of one.
func TestRunTime(t *testing.T) {
	known := &pb.ClassLearned{Finished: trustAfter, MeanMs: 5_000}
	assert.Equal(t, RunTime(60_000, known), 5*time.Second)
	assert.Equal(t, RunTime(60_000, nil), time.Minute)
	assert.Equal(t, RunTime(0, nil), unknownRunTime)
	assert.Equal(t, Remaining(10*time.Second, 4*time.Second), 6*time.Second)
	assert.Equal(t, Remaining(10*time.Second, 20*time.Second), 10*time.Second)
}
