package configcheck

import (
	"slices"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/plan"
	"chervilridge/platform"
)

func stepAt(index int, field operatorconfig.Field) operatorconfig.Location {
	return operatorconfig.Location{Section: operatorconfig.SectionSteps, Index: index, Field: field}
}

// checkJob checks a job against the configuration and the known workers.
func (c *checker) checkJob(j Job, workers []platform.Heartbeat) {
	c.file = j.File
	defer func() { c.file = "" }()
	spec, err := platform.DecodeJob(sampleJobID, j.Queue, j.Body)
	if err != nil {
		c.add(Error, CodeNotAJob, position(j.Body, err), "the system rejects the job: %v", err)
		return
	}
	c.checkMembers(platform.InspectJobMembers(j.Body))
	for i, s := range spec.Steps {
		c.checkMayMiss(i, s)
	}
	if c.config == nil {
		return
	}
	if limit := c.config.Limits.BodyBytes; limit > 0 && int64(len(j.Body)) > limit {
		c.add(Warning, CodeBodyTooLarge, "", "the job has %d bytes, the configuration allows %d: it is rejected with status 413", len(j.Body), limit)
	}
	services := c.servicesOf(j.Queue)
	if j.Queue != "" && len(services) == 0 {
		c.add(Warning, CodeUnknownQueue, "", "the configuration has no queue %s", text(j.Queue))
	}
	if workers == nil {
		return
	}
	for _, service := range services {
		if idle := idleWorkers(workers, service); len(idle) > 0 {
			c.checkDemand(spec, service, idle)
		}
	}
}

// servicesOf returns the service of the queue with the name, or the services of all queues if
// the name is empty.
func (c *checker) servicesOf(queue string) []string {
	var out []string
	for _, q := range c.config.Queues {
		if queue == "" && !slices.Contains(out, q.Service) {
			out = append(out, q.Service)
		}
	}
	if q := c.config.Queue(queue); queue != "" && q != nil {
		out = append(out, q.Service)
	}
	return out
}

// checkMayMiss reports a number of interruptions that exceeds the tasks, or that is not used:
// maintenance interrupts long-running tasks only.
func (c *checker) checkMayMiss(index int, s *chervilv2.Step) {
	at := stepAt(index, operatorconfig.FieldMayMiss)
	switch {
	case s.MayMiss > s.Tasks:
		c.addAt(Warning, CodeMayMissAboveCount, at, "%d tasks may be missing, but the step has only %d", s.MayMiss, s.Tasks)
	case s.MayMiss > 0 && !s.LongRunning:
		c.addAt(Info, CodeMayMissIgnored, at, "has no effect: the step is not long-running")
	}
}

// checkDemand reports steps that the service never runs as they ask, with nothing else running.
// It uses the planner's answer for idle workers.
func (c *checker) checkDemand(spec *chervilv2.JobSpec, service string, workers []plan.Worker) {
	var longRunning []plan.Request
	for i, s := range spec.Steps {
		if !c.checkStep(i, s, service, workers) {
			continue
		}
		if s.LongRunning {
			longRunning = append(longRunning, request(service, i, s, s.Tasks))
		}
	}
	waiting := unplaced(workers, longRunning...)
	for i, s := range spec.Steps {
		if n := waiting[uint32(i)]; n > 0 {
			c.addAt(Warning, CodeLongRunningTooLarge, stepAt(i, operatorconfig.FieldTasks),
				"%d of %d tasks wait even on idle workers: those of service %s have no room for all long-running tasks of the job", n, s.Tasks, text(service))
		}
	}
}

// checkStep reports whether each task of a step, or its gang, can be placed by itself.
func (c *checker) checkStep(index int, s *chervilv2.Step, service string, workers []plan.Worker) bool {
	if s.DataRack != "" && !slices.ContainsFunc(workers, func(w plan.Worker) bool { return w.Rack == s.DataRack }) {
		c.addAt(Info, CodeUnmetAffinity, stepAt(index, operatorconfig.FieldDataRack), "no known worker of service %s is in the rack %s", text(service), text(s.DataRack))
	}
	if s.RequiredLabel != "" {
		workers = slices.DeleteFunc(slices.Clone(workers), func(w plan.Worker) bool { return !hasLabel(s.RequiredLabel)(w) })
		if len(workers) == 0 {
			c.addAt(Warning, CodeUnmetConstraint, stepAt(index, operatorconfig.FieldRequiredLabel), "no known worker of service %s has the label %s", text(service), text(s.RequiredLabel))
			return false
		}
	}
	single := request(service, index, s, 1)
	if unplaced(workers, single) != nil {
		c.addTooLarge(index, s, service, workers)
		return false
	}
	if s.Gang && unplaced(workers, request(service, index, s, s.Tasks)) != nil {
		c.addAt(Warning, CodeGangTooLarge, stepAt(index, operatorconfig.FieldTasks), "the gang of %d tasks doesn't fit on the workers of service %s at once", s.Tasks, text(service))
		return false
	}
	return true
}

// addTooLarge reports each resource of which a task asks for more than any of the workers has,
// or the combination if there is none.
func (c *checker) addTooLarge(index int, s *chervilv2.Step, service string, workers []plan.Worker) {
	var most plan.Resources
	for _, w := range workers {
		most.CPUMilli = max(most.CPUMilli, w.Capacity.CPUMilli)
		most.MemoryMB = max(most.MemoryMB, w.Capacity.MemoryMB)
		most.GPUs = max(most.GPUs, w.Capacity.GPUs)
	}
	found := false
	for _, r := range []struct {
		field      operatorconfig.Field
		need, most int64
	}{
		{operatorconfig.FieldCPU, int64(s.CpuMilli), most.CPUMilli},
		{operatorconfig.FieldMemory, int64(s.MemoryMb), most.MemoryMB},
		{operatorconfig.FieldGPUs, int64(s.Gpus), most.GPUs},
	} {
		if r.need > r.most {
			found = true
			c.addAt(Warning, CodeTaskTooLarge, stepAt(index, r.field), "a task asks for %d, the largest suitable worker of service %s has %d", r.need, text(service), r.most)
		}
	}
	if !found {
		c.addAt(Warning, CodeTaskTooLarge, stepAt(index, operatorconfig.FieldNone), "no single worker of service %s has all that a task asks for", text(service))
	}
}

func hasLabel(label string) func(plan.Worker) bool {
	return func(w plan.Worker) bool { return slices.Contains(w.Labels, label) }
}
