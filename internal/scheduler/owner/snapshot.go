package owner

import (
	"slices"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/scheduler/placement"
	"chervilridge/internal/scheduler/placement/estimate"
	"chervilridge/internal/scheduler/placement/model"
	"chervilridge/internal/shard"
	"chervilridge/internal/table"
)

// snapshotBuilder collects one snapshot. The locks of owner and insight, and the
// views of table and ledger, are held while it works.
type snapshotBuilder struct {
	owner   *Owner
	table   *table.Table
	state   *shard.State
	now     time.Time
	snap    placement.Snapshot
	teams   map[string]*model.Team
	classes map[string]*model.Class
	// onWorker are the assignments under way by worker.
	onWorker map[string][]placement.Assignment
}

// snapshot copies what planning needs out of ledger, table and beats. Tasks
// whose assignment is under way are left out, and the room they take is counted.
func (o *Owner) snapshot() placement.Snapshot {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.insight.mu.Lock()
	defer o.insight.mu.Unlock()
	b := snapshotBuilder{
		owner: o, now: time.Now(), teams: map[string]*model.Team{}, classes: map[string]*model.Class{},
		onWorker: map[string][]placement.Assignment{},
	}
	o.table.View(func(t *table.Table) {
		o.state.View(func(s *shard.State) {
			b.table, b.state = t, s
			if len(s.Pending()) > 0 {
				b.build()
			}
		})
	})
	return b.snap
}

func (b *snapshotBuilder) build() {
	b.snap.NowMs = b.now.UnixMilli()
	b.snap.Settled = b.now.Sub(b.owner.insight.began) > b.owner.options.WorkerSilence
	b.snap.Effects = b.owner.insight.learner.Table()
	b.snap.DataCentres = b.owner.insight.dataCentres(b.table, b.now)
	b.addUnderWay()
	b.addTasks()
	for name, w := range b.state.Workers() {
		b.snap.Workers = append(b.snap.Workers, b.planWorker(name, w))
	}
	for _, t := range b.teams {
		b.snap.Teams = append(b.snap.Teams, *t)
	}
	for _, c := range b.classes {
		b.snap.Classes = append(b.snap.Classes, *c)
	}
}

// addUnderWay sorts the assignments that the ledger does not have yet by worker.
// One that it has is among the worker's granted tasks already.
func (b *snapshotBuilder) addUnderWay() {
	for key, a := range b.owner.insight.underWay {
		if task := b.state.Pending()[key.ref]; task != nil && task.Attempt+1 == key.attempt {
			b.onWorker[a.Worker] = append(b.onWorker[a.Worker], a)
		}
	}
}

func (b *snapshotBuilder) addTasks() {
	for ref, task := range b.state.Pending() {
		v := b.owner.attempts[attemptKey{ref, task.Attempt + 1}]
		if v == nil || !v.busy {
			b.snap.Tasks = append(b.snap.Tasks, b.planTask(ref, task))
		}
	}
}

func (b *snapshotBuilder) planTask(ref shard.TaskRef, task *pb.Task) placement.Task {
	job := b.state.Job(ref.JobID)
	learned := b.state.Class(job.Spec.JobClass)
	size := estimate.Reserve(model.FromProto(job.Spec.Resources), learned)
	b.team(job.Spec.Team)
	b.class(job.Spec.JobClass)
	return placement.Task{
		Ref: ref, Attempt: task.Attempt, Team: job.Spec.Team, Class: job.Spec.JobClass,
		Need: size.Need, Floor: size.Floor, RunTime: estimate.RunTime(job.Spec.DurationMs, learned),
		Urgent: b.table.Row(pb.RowKind_ROW_KIND_JOB_CLASS, job.Spec.JobClass).GetUrgent(), Since: job.SubmittedMs,
		FailedOn: failedOn(task),
	}
}

// failedOn returns the workers on which an attempt of the task failed.
func failedOn(task *pb.Task) []string {
	var out []string
	for _, e := range task.History {
		if failed, _ := shard.Outcome(e); failed && !slices.Contains(out, e.Worker) {
			out = append(out, e.Worker)
		}
	}
	return out
}

func (b *snapshotBuilder) team(name string) *model.Team {
	if b.teams[name] == nil {
		row := b.table.Row(pb.RowKind_ROW_KIND_TEAM, name)
		b.teams[name] = &model.Team{
			Name: name, Weight: row.GetWeight(), Limit: row.GetLimit(), Quota: model.FromProto(row.GetQuota()),
		}
	}
	return b.teams[name]
}

func (b *snapshotBuilder) class(name string) *model.Class {
	if b.classes[name] == nil {
		row := b.table.Row(pb.RowKind_ROW_KIND_JOB_CLASS, name)
		b.classes[name] = &model.Class{
			Name: name, Weight: row.GetWeight(), Limit: row.GetLimit(), Quota: model.FromProto(row.GetQuota()),
			DataCentres: row.GetDataCentres(),
		}
	}
	return b.classes[name]
}

func (b *snapshotBuilder) planWorker(name string, w *shard.Worker) placement.Worker {
	o := b.owner
	view, service := o.workers[name], o.insight.services[name]
	out := placement.Worker{
		Name: name, DataCentre: w.Registered.DataCentre, Rack: w.Registered.Rack,
		Capacity: model.FromProto(w.Registered.Capacity), Measured: service.used,
		Ready:       view != nil && !view.leaving && b.now.Sub(view.seen) <= o.options.WorkerSilence,
		Quarantined: w.Quarantined, Probation: w.Probation(),
		Service: service.service, LoadBand: service.loadBand, Throttled: service.throttled, Slowdown: service.slowdown,
	}
	for ref, task := range w.Assigned {
		b.hold(&out, b.state.Job(ref.JobID).Spec, model.FromProto(task.Reserved), o.attempts[attemptKey{ref, task.Attempt}], service.measured)
	}
	for _, a := range b.onWorker[name] {
		b.hold(&out, b.state.Job(a.Task.Ref.JobID).Spec, model.FromProto(a.Reserved), nil, service.measured)
	}
	return out
}

// hold counts a granted task on its worker, its team and its class. One that
// started after the usage was measured is not in that figure.
func (b *snapshotBuilder) hold(w *placement.Worker, spec *pb.JobSpec, reserved model.Amount, v *attemptView, measured time.Time) {
	started := b.now
	if v != nil {
		started = v.granted
	}
	if started.After(measured) {
		w.Unseen = w.Unseen.Add(reserved)
	}
	expected := estimate.RunTime(spec.DurationMs, b.state.Class(spec.JobClass))
	w.Held = append(w.Held, model.Held{
		Class: spec.JobClass, Reserved: reserved, Remaining: estimate.Remaining(expected, b.now.Sub(started)),
	})
	team, class := b.team(spec.Team), b.class(spec.JobClass)
	team.Running, team.Used = team.Running+1, team.Used.Add(reserved)
	class.Running, class.Used = class.Running+1, class.Used.Add(reserved)
}
