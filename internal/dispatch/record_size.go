package dispatch

import (
	"fmt"

	"chervilridge/internal/events"
	"chervilridge/internal/jobstate"
	"chervilridge/internal/schedulestore"
	"chervilridge/platform"
)

// checkRecordSize returns an error if the store would reject the record. Such a rejection ends
// the epoch, and the next owner would append the same record again.
func (e *Engine) checkRecordSize(r platform.Record) error {
	if limit := e.settings.MaxRecordBytes; limit > 0 && platform.RecordSize(r) > limit {
		return fmt.Errorf("the record has %d bytes, at most %d are allowed", platform.RecordSize(r), limit)
	}
	return nil
}

// encodeJob returns the record of a job's progress, and that of its specification if the job is
// new or the specification has changed. If the progress is too large, it is stored without
// checkpoints; if a changed specification is, the stored one remains.
func (e *Engine) encodeJob(job *jobstate.Job, isNew, specChanged bool) ([]platform.Record, error) {
	progress, err := schedulestore.ProgressRecord(job.Spec.Id, job.Record())
	if err == nil && e.checkRecordSize(progress) != nil {
		events.CheckpointsNotStored.Log("job", job.Spec.Id, "bytes", platform.RecordSize(progress), "limit", e.settings.MaxRecordBytes)
		progress, err = schedulestore.ProgressRecord(job.Spec.Id, job.RecordWithoutCheckpoints())
	}
	if err == nil {
		err = e.checkRecordSize(progress)
	}
	if err != nil || !isNew && !specChanged {
		return []platform.Record{progress}, err
	}
	spec, err := schedulestore.SpecRecord(job.Spec)
	if err == nil {
		err = e.checkRecordSize(spec)
	}
	if err != nil && !isNew {
		events.RecordNotEncoded.LogError(err, "key", spec.Key)
		return []platform.Record{progress}, nil
	}
	return []platform.Record{spec, progress}, err
}

// endUnstorableJob takes a job whose records cannot be stored out of the batch: a new one is
// rejected, another one fails with the next batch. Its start orders are discarded then, since
// its runs are being stopped.
func (e *Engine) endUnstorableJob(b *batch, id string, en *jobEntry, cause error) {
	events.RecordNotEncoded.LogError(cause, "job", id, "new", b.newJobs[id])
	if b.newJobs[id] {
		e.rejectJob(b, id, e.reject(id, "the job cannot be stored: "+cause.Error(), 0))
		e.notifySettled()
		return
	}
	effect := en.job.Fail(e.wall().UnixMilli())
	if !effect.Changed { // no smaller record is possible, and waiting for one would hold all orders back
		delete(b.changedJobs, id)
		return
	}
	e.postpone(b, id)
	e.orderStops(effect.RunsToStop, "job cannot be stored")
	events.JobEnded.Log("job", id, "phase", en.job.Phase, "queue", en.job.Spec.Queue, "cause", "its progress cannot be stored")
	e.markDirty(id, en)
}
