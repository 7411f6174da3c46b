package dispatch

import (
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/events"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/schedulestore"
	"chervilridge/platform"
)

// batch collects the changes for one append to the store, and what to do once it is
// stored.
type batch struct {
	newJobs      map[string]bool // IDs of jobs whose spec is to be written
	changedJobs  map[string]bool
	changedSpecs map[string]bool // IDs of changed jobs whose spec is to be written again
	deletedJobs  []string
	modelChanged bool // store the interference model
	waves        map[string]*wave
	// unreachable replaces the stored record of unreachable agents; nil leaves it
	// unchanged.
	unreachable map[string]int64
	orders      []order
	jobStatus   map[string]jobStatus
}

// jobStatus is the state of a job in the records of a batch.
type jobStatus struct {
	phase   chervilv2.JobPhase
	changes uint64
}

// order is sent to the agent of a node once its batch is stored. It starts a run, stops a
// run, acknowledges the run ends up to storedEnd, or the end of the worker.
type order struct {
	node string
	// run identifies the run to start or stop.
	run       runKey
	start     *chervilv2.StartOrder
	stop      *chervilv2.StopOrder
	storedEnd int64
	workerEnd bool
	// worker is the incarnation to start the run on, whose ends are stored, or that has ended.
	worker jobstate.WorkerKey
}

func newBatch() *batch {
	return &batch{newJobs: map[string]bool{}, changedJobs: map[string]bool{}, changedSpecs: map[string]bool{}, waves: map[string]*wave{}, jobStatus: map[string]jobStatus{}}
}

func (b *batch) empty() bool {
	return !b.modelChanged && b.unreachable == nil && len(b.waves) == 0 && len(b.newJobs) == 0 && len(b.changedJobs) == 0 && len(b.deletedJobs) == 0 && len(b.orders) == 0
}

// markDirty stores the job's progress with the next batch.
func (e *Engine) markDirty(id string, en *jobEntry) {
	en.changes++
	e.batch.changedJobs[id] = true
	e.updateActive(id, en)
	e.wake()
}

// nextBatch runs the planner if requested, then returns the pending batch with its
// records and begins a new one. It returns nil if there is nothing to store.
func (e *Engine) nextBatch() (*batch, []platform.Record) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.planDue {
		e.planDue = false
		began := time.Now()
		e.plan()
		planTime.observe(time.Since(began))
	}
	if e.batch.empty() {
		return nil, nil
	}
	b := e.batch
	e.batch = newBatch()
	return b, e.encode(b)
}

// encode returns the records of a batch. Jobs that do not fit in one append move to the
// next batch together with all orders, so that no order is sent before its job is stored.
func (e *Engine) encode(b *batch) []platform.Record {
	var records []platform.Record
	size := 0
	for id := range b.changedJobs {
		en, ok := e.jobs[id]
		if !ok {
			continue
		}
		if size > schedulestore.MaxBatchBytes {
			e.postpone(b, id)
			continue
		}
		jobRecords, err := e.encodeJob(en.job, b.newJobs[id], b.changedSpecs[id])
		if err != nil {
			e.endUnstorableJob(b, id, en, err)
			continue
		}
		for _, r := range jobRecords {
			size += platform.RecordSize(r)
		}
		records = append(records, jobRecords...)
		en.appended = true
		b.jobStatus[id] = jobStatus{phase: en.job.Phase, changes: en.changes}
	}
	records = append(records, e.encodeSharedRecords(b)...)
	for _, id := range b.deletedJobs {
		records = append(records, schedulestore.DeletionRecords(id)...)
	}
	return records
}

// encodeSharedRecords returns the records of a batch that do not belong to a job. One
// that cannot be stored is logged and skipped; it is written again with the next change.
func (e *Engine) encodeSharedRecords(b *batch) []platform.Record {
	var records []platform.Record
	add := func(record platform.Record, err error) {
		if err == nil {
			err = e.checkRecordSize(record)
		}
		if err != nil {
			events.RecordNotEncoded.LogError(err, "key", record.Key)
			return
		}
		records = append(records, record)
	}
	if b.modelChanged {
		add(schedulestore.InterferenceRecord(e.encodeModel(nil)))
	}
	e.unreachableAgents.appending = b.unreachable
	if b.unreachable != nil {
		add(schedulestore.UngrantedRecord(b.unreachable))
	}
	for name, w := range b.waves {
		add(schedulestore.WaveRecord(w.progress(name)))
	}
	return records
}

// postpone moves a job and all orders of the batch to the next one.
func (e *Engine) postpone(b *batch, id string) {
	e.batch.changedJobs[id] = true
	delete(b.changedJobs, id)
	if b.newJobs[id] {
		e.batch.newJobs[id] = true
		delete(b.newJobs, id)
	}
	if b.changedSpecs[id] {
		e.batch.changedSpecs[id] = true
		delete(b.changedSpecs, id)
	}
	e.batch.orders = append(b.orders, e.batch.orders...)
	b.orders = nil
	e.wake()
}
