// Package estimate turns what a job declares and what its class has taught into
// what to reserve and how long to expect. Declared values are hints.
package estimate

import (
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/scheduler/placement/model"
)

const (
	// trustAfter is how many finished tasks of a class outweigh what is declared.
	trustAfter = 3
	// margin is reserved above the highest use seen.
	margin = 0.1
	// unknownRunTime is that of a task of which nothing is known.
	unknownRunTime = time.Minute
)

// Size is what to reserve for a task and the least that a worker must have.
type Size struct {
	Need  model.Amount
	Floor model.Amount
}

// Reserve returns the size of a task. Accelerators are taken as declared: they
// are whole and not shared.
func Reserve(declared model.Amount, learned *pb.ClassLearned) Size {
	if learned.GetFinished() < trustAfter {
		return Size{Need: declared, Floor: declared}
	}
	floor := model.FromProto(learned.Peak)
	floor.Accelerators = declared.Accelerators
	if floor.CPUMilli == 0 && floor.MemoryMB == 0 {
		return Size{Need: declared, Floor: declared}
	}
	need := floor.Scale(1 + margin).Max(floor)
	need.Accelerators = floor.Accelerators
	return Size{Need: need, Floor: floor}
}

// RunTime returns how long a task is expected to run.
func RunTime(declaredMs int64, learned *pb.ClassLearned) time.Duration {
	if learned.GetFinished() >= trustAfter && learned.MeanMs > 0 {
		return time.Duration(learned.MeanMs) * time.Millisecond
	}
	if declaredMs > 0 {
		return time.Duration(declaredMs) * time.Millisecond
	}
	return unknownRunTime
}

// Remaining returns how long a task that has run for a while is expected to go
// on. One that has outlived its estimate is expected to need half as long again.
func Remaining(expected, ran time.Duration) time.Duration {
	return max(expected-ran, ran/2)
}
