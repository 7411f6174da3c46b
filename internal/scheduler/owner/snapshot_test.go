package owner

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/scheduler/placement"
	"chervilridge/internal/scheduler/placement/model"
	"chervilridge/internal/scheduler/placement/ramp"
	"chervilridge/internal/shard"
	"chervilridge/internal/table"
)

var began = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

func apply(t *testing.T, s *shard.State, recs ...*pb.Record) {
	t.Helper()
	for _, r := range recs {
		r.Epoch = s.Epoch()
		if rej := s.Apply(r); rej != nil {
			t.Fatal(rej)
		}
	}
}

// newBuilder returns a builder over one worker and one job of four tasks of one
// core, the first of which is granted.
func newBuilder(t *testing.T) (*snapshotBuilder, *Owner) {
	t.Helper()
	s, rows := shard.New(), table.New()
	apply(t, s, &pb.Record{Body: &pb.Record_ShardClaim{ShardClaim: &pb.ShardClaim{Epoch: 1, Owner: "o"}}})
	apply(t, s,
		&pb.Record{Body: &pb.Record_WorkerRegistered{WorkerRegistered: &pb.WorkerRegistered{Worker: "w", DataCentre: "a", Capacity: &pb.Resources{CpuMilli: 8_000, MemoryMb: 1}}}},
		&pb.Record{Body: &pb.Record_JobSubmitted{JobSubmitted: &pb.JobSubmitted{JobId: "j", Spec: &pb.JobSpec{
			Team: "team", JobClass: "class", Tasks: 4, Resources: &pb.Resources{CpuMilli: 1_000},
		}}}},
		&pb.Record{Body: &pb.Record_TaskAssigned{TaskAssigned: &pb.TaskAssigned{JobId: "j", Attempt: 1, Worker: "w", Reserved: &pb.Resources{CpuMilli: 1_000}}}})
	put := func(row *pb.Row) {
		if rej := rows.Apply(&pb.Record{Author: "t", Body: &pb.Record_RowPut{RowPut: &pb.RowPut{Row: row}}}); rej != nil {
			t.Fatal(rej)
		}
	}
	put(&pb.Row{Kind: pb.RowKind_ROW_KIND_TEAM, Name: "team", Weight: 2, Limit: 3})
	put(&pb.Row{Kind: pb.RowKind_ROW_KIND_JOB_CLASS, Name: "class", Weight: 1, Urgent: true, DataCentres: []string{"a"}})
	put(&pb.Row{Kind: pb.RowKind_ROW_KIND_DATA_CENTRE, Name: "a", Region: "r", Weight: 1})
	o := &Owner{options: Options{WorkerSilence: time.Second}, attempts: map[attemptKey]*attemptView{}, workers: map[string]*workerView{}}
	o.insight.enter(1, began, nil)
	return &snapshotBuilder{
		owner: o, table: rows, state: s, now: began.Add(time.Minute), teams: map[string]*model.Team{},
		classes: map[string]*model.Class{}, onWorker: map[string][]placement.Assignment{},
	}, o
}

func keyOf(index uint32) attemptKey { return attemptKey{shard.TaskRef{JobID: "j", Index: index}, 1} }

// TestSnapshotCountsWhatIsUnderWay: an assignment that the ledger does not have
// yet holds its room and counts against limits; one that it has counts once.
func TestSnapshotCountsWhatIsUnderWay(t *testing.T) {
	b, o := newBuilder(t)
	for _, index := range []uint32{0, 1} {
		k := keyOf(index)
		o.attempts[k] = &attemptView{busy: true, granted: b.now}
		o.insight.begin(k, placement.Assignment{Task: placement.Task{Ref: k.ref}, Worker: "w", Reserved: &pb.Resources{CpuMilli: 1_000}})
	}
	b.build()
	assert.Equal(t, len(b.snap.Tasks), 2)
	assert.Equal(t, len(b.snap.Workers[0].Held), 2)
	assert.Equal(t, b.snap.Teams[0].Running, uint32(2))
	assert.Equal(t, b.snap.Teams[0].Limit, uint32(3))
	assert.Equal(t, b.snap.Classes[0].Used.CPUMilli, int64(2_000))
	assert.Check(t, b.snap.Tasks[0].Urgent)
	assert.DeepEqual(t, b.snap.Classes[0].DataCentres, []string{"a"})
}

// TestSnapshotCountsUnseenStarts: a start counts on top of a usage report that
// was measured before it, and not on top of a later one.
func TestSnapshotCountsUnseenStarts(t *testing.T) {
	for name, tc := range map[string]struct {
		measured time.Duration // after the start
		want     int64
	}{"report is older": {-time.Second, 1_000}, "report is newer": {time.Second, 0}} {
		t.Run(name, func(t *testing.T) {
			b, o := newBuilder(t)
			start := b.now.Add(-10 * time.Second)
			o.attempts[keyOf(0)] = &attemptView{granted: start}
			o.insight.services["w"] = serviceView{measured: start.Add(tc.measured)}
			b.build()
			assert.Equal(t, b.snap.Workers[0].Unseen.CPUMilli, tc.want)
		})
	}
}

// TestSnapshotReady: a worker is ready only while its beats are fresh.
func TestSnapshotReady(t *testing.T) {
	for name, tc := range map[string]struct {
		view *workerView
		want bool
	}{
		"never heard of": {nil, false},
		"fresh":          {&workerView{seen: began.Add(time.Minute)}, true},
		"silent":         {&workerView{seen: began.Add(58 * time.Second)}, false},
		"leaving":        {&workerView{seen: began.Add(time.Minute), leaving: true}, false},
	} {
		t.Run(name, func(t *testing.T) {
			b, o := newBuilder(t)
			if tc.view != nil {
				o.workers["w"] = tc.view
			}
			b.build()
			assert.Equal(t, b.snap.Workers[0].Ready, tc.want)
		})
	}
}

// TestSnapshotSettled: just after a takeover nothing is declared impossible.
func TestSnapshotSettled(t *testing.T) {
	b, _ := newBuilder(t)
	b.now = began.Add(time.Second / 2)
	b.build()
	assert.Check(t, !b.snap.Settled)
}

// TestCentreRampsUp: a data centre that was seen out comes back step by step; one
// that never was out is used in full.
func TestCentreRampsUp(t *testing.T) {
	_, o := newBuilder(t)
	row := &pb.Row{Name: "a"}
	assert.Equal(t, o.insight.share(row, began), 1.0)
	row.Out = true
	o.insight.share(row, began)
	row.Out = false
	assert.Equal(t, o.insight.share(row, began.Add(time.Minute)), ramp.FirstShare)
	assert.Equal(t, o.insight.share(row, began.Add(time.Minute+ramp.Duration)), 1.0)
}

// TestProbes: a quarantined worker is tried again after a time that doubles.
func TestProbes(t *testing.T) {
	_, o := newBuilder(t)
	now := began
	for _, period := range []time.Duration{firstProbe, 2 * firstProbe, 4 * firstProbe} {
		assert.Equal(t, len(o.probes([]string{"w"}, now)), 0)
		assert.Equal(t, len(o.probes([]string{"w"}, now.Add(period-time.Second))), 0)
		now = now.Add(period)
		assert.DeepEqual(t, o.probes([]string{"w"}, now), []string{"w"})
	}
}

// TestPlanPause: planning takes at most a share of the time, and starts of urgent
// work are never held up for long.
func TestPlanPause(t *testing.T) {
	assert.Equal(t, planPause(0), shortestPause)
	assert.Equal(t, planPause(5*time.Millisecond), 100*time.Millisecond)
	assert.Equal(t, planPause(time.Minute), longestPlanPause)
	_, o := newBuilder(t)
	o.insight.planned, o.insight.planTook = began, 5*time.Millisecond
	assert.Check(t, !o.planDue(began.Add(99*time.Millisecond)))
	assert.Check(t, o.planDue(began.Add(100*time.Millisecond)))
}
