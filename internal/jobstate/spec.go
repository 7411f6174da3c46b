package jobstate

import (
	"errors"
	"fmt"

	chervilv2 "chervilridge/api/chervil/v2"
)

// MaxTasks is the number of tasks that a job may have in all its occurrences. The progress of
// a job is one record of the store, and its owner holds all of its tasks that are due in memory.
const MaxTasks = 10000

// MaxRuns is the number of runs that a job may have at a time. Each takes some 70 bytes of the
// record with its worker.
const MaxRuns = 1000

// CheckSpec returns an error if a specification cannot be executed: it is missing or incomplete,
// a step waits for itself or a later one, the job has more than MaxTasks tasks, or a gang more than
// MaxRuns.
func CheckSpec(spec *chervilv2.JobSpec) error {
	if spec == nil || len(spec.Steps) == 0 {
		return errors.New("the job has no steps")
	}
	tasks := uint64(0) // of one occurrence; the sum of 32-bit numbers does not overflow
	for i, s := range spec.Steps {
		if err := checkStep(i, s); err != nil {
			return err
		}
		tasks += uint64(s.Tasks)
	}
	occurrences := uint64(max(spec.Occurrences, 1))
	if tasks > MaxTasks || tasks*occurrences > MaxTasks {
		return fmt.Errorf("the job has more than %d tasks in all its occurrences", MaxTasks)
	}
	return nil
}

func checkStep(index int, s *chervilv2.Step) error {
	switch {
	case s.Tasks == 0:
		return fmt.Errorf("step %d has no tasks", index)
	case s.Gang && s.Tasks > MaxRuns:
		return fmt.Errorf("the gang of step %d has more than %d tasks", index, MaxRuns)
	}
	for _, a := range s.After {
		if int(a) >= index {
			return fmt.Errorf("step %d is to run after step %d, which is not an earlier one", index, a)
		}
	}
	return nil
}
