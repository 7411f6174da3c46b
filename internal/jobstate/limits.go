package jobstate

import (
	"fmt"

	chervilv2 "chervilridge/api/chervil/v2"
)

// MaxTasks is the number of tasks that a job may have in all its occurrences. The progress of
// a job is one record of the store, and its owner holds all of its tasks that are due in memory.
const MaxTasks = 10000

// CheckSize returns an error if a job has more than MaxTasks tasks.
func CheckSize(spec *chervilv2.JobSpec) error {
	tasks := uint64(0) // of one occurrence; the sum of 32-bit numbers does not overflow
	for _, s := range spec.Steps {
		tasks += uint64(s.Tasks)
	}
	occurrences := uint64(max(spec.Occurrences, 1))
	if tasks > MaxTasks || tasks*occurrences > MaxTasks {
		return fmt.Errorf("the job has more than %d tasks in all its occurrences", MaxTasks)
	}
	return nil
}
