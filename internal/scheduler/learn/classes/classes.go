// Package classes learns sizes and run times of job classes from finished tasks.
package classes

import pb "chervilridge/api/chervil/v1"

const (
	// meanShift: a finished task moves the mean run time by 1/2^meanShift.
	meanShift = 3
	// peakShift: a task below the peak lowers it by 1/2^peakShift of the
	// difference, so that one outlier is forgotten in the end.
	peakShift = 5
)

// Finished takes a finished task into what is known of its class. It is part of
// replay and depends on nothing but its arguments.
func Finished(c *pb.ClassLearned, f *pb.TaskFinished) {
	c.Finished++
	if f.RanMs > 0 {
		c.MeanMs = smooth(c.MeanMs, f.RanMs)
		c.MaxMs = decayingPeak(c.MaxMs, f.RanMs)
	}
	if f.Used == nil {
		return
	}
	if c.Peak == nil {
		c.Peak = &pb.Resources{}
	}
	c.Peak.CpuMilli = decayingPeak(c.Peak.CpuMilli, f.Used.CpuMilli)
	c.Peak.MemoryMb = decayingPeak(c.Peak.MemoryMb, f.Used.MemoryMb)
	c.Peak.Accelerators = max(c.Peak.Accelerators, f.Used.Accelerators)
}

func smooth(mean, seen int64) int64 {
	if mean == 0 {
		return seen
	}
	return mean + (seen-mean)>>meanShift
}

func decayingPeak(peak, seen int64) int64 {
	if seen >= peak {
		return seen
	}
	return peak - (peak-seen)>>peakShift
}
