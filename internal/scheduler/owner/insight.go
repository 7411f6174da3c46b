package owner

import (
	"slices"
	"sync"
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/scheduler/learn"
	"chervilridge/internal/scheduler/placement"
	"chervilridge/internal/scheduler/placement/model"
	"chervilridge/internal/scheduler/placement/ramp"
	"chervilridge/internal/shard"
	"chervilridge/internal/table"
)

const fullShareMilli = 1000

// insight is what planning knows beyond ledger, table and grants: how services
// do beside batch work, which assignments are under way, when data centres came
// back, when workers were quarantined. It is lost with the process and learned
// anew. One lock guards it; it may be taken while Owner.mu is held, not the other
// way round.
type insight struct {
	mu sync.Mutex
	epochInsight
}

// epochInsight is the part that begins anew with each epoch.
type epochInsight struct {
	epoch       uint64
	began       time.Time
	learner     *learn.Learner
	services    map[string]serviceView
	underWay    map[attemptKey]placement.Assignment
	centres     map[string]*centreView
	quarantines map[string]*quarantineView
	waiting     map[string]string // by job: the reason logged last
	held        map[string]string // by worker: the job it was held back for last
	judged      time.Time
	published   time.Time
	forgot      time.Time
	planned     time.Time // when the newest plan was made
	planTook    time.Duration
}

// serviceView is what the newest beat told of a worker's usage and its service.
type serviceView struct {
	service  string
	loadBand uint32
	slowdown float64
	// throttled is set while the agent holds batch work back.
	throttled bool
	used      model.Amount
	measured  time.Time // when the usage was measured
}

type centreView struct {
	out  bool
	back time.Time // when it came back; zero if it never was out
}

type quarantineView struct {
	since time.Time
	times int
}

// enter starts anew under a new epoch, with what the ledger has learned.
func (i *insight) enter(epoch uint64, now time.Time, known []*pb.InterferenceLearned) {
	i.mu.Lock()
	defer i.mu.Unlock()
	if i.learner != nil && i.epoch == epoch {
		return
	}
	i.epochInsight = epochInsight{
		epoch: epoch, began: now, learner: learn.New(known), services: map[string]serviceView{},
		underWay: map[attemptKey]placement.Assignment{}, centres: map[string]*centreView{},
		quarantines: map[string]*quarantineView{}, waiting: map[string]string{},
	}
}

func (i *insight) entered(epoch uint64) bool {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.learner != nil && i.epoch == epoch
}

// begin notes an assignment that is under way, so that the next plan counts it.
func (i *insight) begin(key attemptKey, a placement.Assignment) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.underWay[key] = a
}

func (i *insight) end(key attemptKey) {
	i.mu.Lock()
	defer i.mu.Unlock()
	delete(i.underWay, key)
}

// observe takes a beat's measurements in.
// It returns the latency expected of the service alone, 0 if that is not learned.
func (o *Owner) observe(epoch uint64, req *pb.BeatRequest) time.Duration {
	now := time.Now()
	uses := o.uses(req)
	i := &o.insight
	o.enterInsight(epoch, now)
	i.mu.Lock()
	defer i.mu.Unlock()
	reading := i.learner.Observe(learn.Sample{
		Worker: req.Worker.Worker, Service: req.Service, P99: time.Duration(req.ServiceP99Us) * time.Microsecond,
		LoadMilli: req.ServiceLoadMilli, CapacityMilli: req.Worker.Capacity.GetCpuMilli(), Uses: uses, At: now.Sub(i.began),
	})
	i.services[req.Worker.Worker] = serviceView{
		service: req.Service, loadBand: reading.Band, slowdown: reading.Slowdown,
		throttled: slices.ContainsFunc(req.Attempts, throttled), used: model.FromProto(req.Used), measured: now.Add(-time.Duration(req.UsedAgeMs) * time.Millisecond),
	}
	if reading.Slowdown <= 0 {
		return 0
	}
	return time.Duration(float64(req.ServiceP99Us)/reading.Slowdown) * time.Microsecond
}

func (o *Owner) enterInsight(epoch uint64, now time.Time) {
	if o.insight.entered(epoch) {
		return
	}
	var known []*pb.InterferenceLearned
	o.state.View(func(s *shard.State) { known = s.Interference() })
	o.insight.enter(epoch, now, known)
}

// uses returns what each running attempt holds of the worker's processors.
func (o *Owner) uses(req *pb.BeatRequest) []learn.Use {
	var out []learn.Use
	o.state.View(func(s *shard.State) {
		for _, r := range req.Attempts {
			job, task := s.Task(shard.TaskRef{JobID: r.Attempt.JobId, Index: r.Attempt.Index})
			if task == nil || task.Reserved == nil || r.State != pb.AttemptState_ATTEMPT_STATE_RUNNING {
				continue
			}
			out = append(out, learn.Use{Class: job.Spec.JobClass, CPUMilli: task.Reserved.CpuMilli, Share: shareOf(r)})
		}
	})
	return out
}

// shareOf returns the part of its processors that an attempt may use; an agent
// that reports none does not throttle.
func shareOf(r *pb.AttemptReport) float64 {
	if r.ShareMilli == 0 {
		return 1
	}
	return float64(r.ShareMilli) / fullShareMilli
}

func throttled(r *pb.AttemptReport) bool {
	return r.State == pb.AttemptState_ATTEMPT_STATE_RUNNING && shareOf(r) < 1
}

// dataCentres returns the data centres of the table with the share of each that
// may be used. The lock must be held.
func (i *insight) dataCentres(t *table.Table, now time.Time) []model.DataCentre {
	var out []model.DataCentre
	for _, row := range t.Rows() {
		if row.Kind == pb.RowKind_ROW_KIND_DATA_CENTRE {
			out = append(out, model.DataCentre{Name: row.Name, Out: row.Out, Share: i.share(row, now)})
		}
	}
	return out
}

func (i *insight) share(row *pb.Row, now time.Time) float64 {
	v := i.centres[row.Name]
	if v == nil {
		v = &centreView{out: row.Out}
		i.centres[row.Name] = v
	}
	if v.out && !row.Out {
		v.back = now
		events.DataCentreRamping.Log("dataCentre", row.Name, "over", ramp.Duration)
	}
	v.out = row.Out
	if v.back.IsZero() {
		return 1
	}
	return ramp.Share(now.Sub(v.back))
}

// logWaiting logs why a job waits when the reason is new.
func (i *insight) logWaiting(p placement.Plan) {
	i.mu.Lock()
	defer i.mu.Unlock()
	still := map[string]string{}
	for _, u := range p.Unplaced {
		id := u.Task.Ref.JobID
		if _, seen := still[id]; seen {
			continue
		}
		still[id] = u.Reason
		if i.waiting[id] != u.Reason {
			events.TaskWaits.Log("job", id, "index", u.Task.Ref.Index, "reason", u.Reason)
		}
	}
	i.waiting = still
	held := map[string]string{}
	for _, r := range p.Reservations {
		held[r.Worker] = r.Task.Ref.JobID
		if i.held[r.Worker] == r.Task.Ref.JobID {
			continue
		}
		events.WorkerReserved.Log("job", r.Task.Ref.JobID, "index", r.Task.Ref.Index, "worker", r.Worker)
	}
	i.held = held
}
