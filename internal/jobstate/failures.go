package jobstate

// FailExhausted ends the job as failed if a task, or all members of a gang together, have failed
// maxAttempts times, as with a limit that was lowered or unknown; 0 means no limit.
func (j *Job) FailExhausted(maxAttempts int, nowUnixMs int64) EndEffect {
	if maxAttempts <= 0 {
		return EndEffect{}
	}
	for _, o := range j.Occurrences {
		for s := range o.Steps {
			step := &o.Steps[s]
			if step.Done || step.Spec.LongRunning {
				continue
			}
			for i := range step.Tasks {
				if task := &step.Tasks[i]; !task.Done && failureCount(step, task) >= maxAttempts {
					return j.Fail(nowUnixMs)
				}
			}
		}
	}
	return EndEffect{}
}

// failureCount returns the failures of a task, or of all members of its gang.
func failureCount(step *Step, task *Task) int {
	if !step.Spec.Gang {
		return int(task.Failures)
	}
	n := 0
	for i := range step.Tasks {
		n += int(step.Tasks[i].Failures)
	}
	return n
}
