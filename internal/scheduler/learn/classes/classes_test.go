package classes

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
)

// TestFinished: estimates reach what tasks really use, whatever one outlier did.
func TestFinished(t *testing.T) {
	c := &pb.ClassLearned{}
	use := func(cpu int64) *pb.TaskFinished {
		return &pb.TaskFinished{RanMs: cpu, Used: &pb.Resources{CpuMilli: cpu, MemoryMb: 10}}
	}
	Finished(c, use(8_000))
	assert.Equal(t, c.Peak.CpuMilli, int64(8_000))
	assert.Equal(t, c.MeanMs, int64(8_000))
	for range 200 {
		Finished(c, use(2_000))
	}
	assert.Check(t, c.Peak.CpuMilli >= 2_000 && c.Peak.CpuMilli < 2_200, "%d", c.Peak.CpuMilli)
	assert.Check(t, c.MeanMs >= 2_000 && c.MeanMs < 2_200, "%d", c.MeanMs)
	Finished(c, use(4_000))
	assert.Equal(t, c.Peak.CpuMilli, int64(4_000))
	assert.Equal(t, c.Finished, uint32(202))
}
