package jobstate

import (
	"fmt"

	chervilv2 "chervilridge/api/chervil/v2"
)

// MaxTasks is the number of tasks that a job may have in all its occurrences. The progress of
// a job is one record of the store, and its owner holds all of its tasks that are due in memory.
const MaxTasks = 10000

// MaxRuns is the number of runs that a job may have at a time. Each takes some 70 bytes of the
// record with its worker.
const MaxRuns = 1000

// CheckSize returns an error if a job has more than MaxTasks tasks, or a gang that could never
// start.
func CheckSize(spec *chervilv2.JobSpec) error {
	tasks := uint64(0) // of one occurrence; the sum of 32-bit numbers does not overflow
	for i, s := range spec.Steps {
		if s.Gang && s.Tasks > MaxRuns {
			return fmt.Errorf("the gang of step %d has more than %d tasks", i, MaxRuns)
		}
		tasks += uint64(s.Tasks)
	}
	occurrences := uint64(max(spec.Occurrences, 1))
	if tasks > MaxTasks || tasks*occurrences > MaxTasks {
		return fmt.Errorf("the job has more than %d tasks in all its occurrences", MaxTasks)
	}
	return nil
}
