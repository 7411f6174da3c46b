package dispatch

import (
	"time"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/events"
	"chervilridge/internal/statelog"
	"chervilridge/platform"
)

// batch gathers changes for one append and what follows once it is stored.
type batch struct {
	specs   map[string]bool // new jobs
	dirty   map[string]bool
	forget  []string
	learned bool // what was learned of interference is stored too
	waves   map[string]*wave
	// silent replaces the stored record of silent agents; nil leaves it.
	silent  map[string]int64
	orders  []order
	visible map[string]visible
	done    chan struct{}
	err     error
}

type visible struct {
	phase   chervilv2.JobPhase
	started bool
}

// order goes to the agent of a node once the batch is stored.
type order struct {
	node string
	// run is the run that a start or stop is about.
	run       runKey
	start     *chervilv2.StartOrder
	stop      *chervilv2.StopOrder
	storedEnd int64
	workerID  string
	born      int64
}

func newBatch() *batch {
	return &batch{specs: map[string]bool{}, dirty: map[string]bool{}, waves: map[string]*wave{}, visible: map[string]visible{}, done: make(chan struct{})}
}

func (b *batch) empty() bool {
	return !b.learned && b.silent == nil && len(b.waves) == 0 && len(b.specs) == 0 && len(b.dirty) == 0 && len(b.forget) == 0 && len(b.orders) == 0
}

// finish tells who waits for the batch; only the first call counts.
func (b *batch) finish(err error) {
	select {
	case <-b.done:
	default:
		b.err = err
		close(b.done)
	}
}

// markDirty has the job's progress stored with the next batch.
func (e *Engine) markDirty(id string, en *entry) {
	e.batch.dirty[id] = true
	e.reopen(id, en)
	e.wake()
}

// seal plans if that is due, and takes the gathered batch with its records; nil if
// there is nothing to store.
func (e *Engine) seal() (*batch, []platform.Record) {
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

// encode returns the records of a batch. What does not fit in one append goes into the
// next batch, orders included, so that nothing is ordered before it is stored.
func (e *Engine) encode(b *batch) []platform.Record {
	var records []platform.Record
	size := 0
	for id := range b.dirty {
		en, ok := e.jobs[id]
		if !ok {
			continue
		}
		if size > statelog.MaxBatchBytes {
			e.postpone(b, id, en)
			continue
		}
		progress, err := statelog.ProgressRecord(en.job)
		if err == nil && b.specs[id] {
			var spec platform.Record
			if spec, err = statelog.SpecRecord(en.job.Spec); err == nil {
				records = append(records, spec)
				size += platform.RecordSize(spec)
			}
		}
		if err != nil {
			events.JobRejected.LogError(err, "job", id)
			continue
		}
		records = append(records, progress)
		size += platform.RecordSize(progress)
		b.visible[id] = visible{phase: en.job.Phase, started: en.job.Started}
	}
	records = append(records, e.encodeBeside(b)...)
	for _, id := range b.forget {
		records = append(records, statelog.ForgetRecords(id)...)
	}
	return records
}

// encodeBeside returns the records of a batch that are not of jobs. One that cannot be
// encoded is left out: it is written again with the next change.
func (e *Engine) encodeBeside(b *batch) []platform.Record {
	var records []platform.Record
	add := func(record platform.Record, err error) {
		if err != nil {
			events.RecordNotEncoded.LogError(err, "key", record.Key)
			return
		}
		records = append(records, record)
	}
	if b.learned {
		add(statelog.LearnedRecord(e.learned(nil)))
	}
	e.silence.writing = b.silent
	if b.silent != nil {
		add(statelog.SilentRecord(b.silent))
	}
	for name, w := range b.waves {
		add(statelog.WaveRecord(w.progress(name)))
	}
	return records
}

// postpone moves a job, and all orders, to the batch after this one.
func (e *Engine) postpone(b *batch, id string, en *entry) {
	e.batch.dirty[id] = true
	if b.specs[id] {
		e.batch.specs[id] = true
		en.storedIn = e.batch
	}
	e.batch.orders = append(b.orders, e.batch.orders...)
	b.orders = nil
	e.wake()
}
