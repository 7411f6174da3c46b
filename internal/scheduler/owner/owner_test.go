package owner

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/agent/grants"
	"chervilridge/internal/scheduler/placement"
	"chervilridge/internal/shard"
	"chervilridge/internal/table"
)

// outLimit is the promise: no start in a data centre this long after the change
// that took it out was accepted.
const outLimit = 3 * time.Second

func TestNoStartLaterThanPromised(t *testing.T) {
	latest := TableFreshness + StartAllowance + grants.DefaultCallDelay
	assert.Check(t, latest <= outLimit, "a start may happen %s after the change", latest)
}

func newTestOwner() *Owner {
	o := New(Options{Grant: time.Minute, Lease: 5 * time.Second}, nil, nil, nil, nil, nil)
	o.enter(1)
	return o
}

func attemptOf(job string, attempt uint32) attemptKey {
	return attemptKey{shard.TaskRef{JobID: job}, attempt}
}

func TestUnknownAttemptMayRunAsLongAsAnEarlierOwnerCouldGrant(t *testing.T) {
	o := newTestOwner()
	least := time.Now().Add(o.options.Lease + StartAllowance + o.options.Grant + o.margin())
	assert.Check(t, !o.view(attemptOf("j", 1)).mayRunUntil.Before(least))
}

func TestLateCallerOfAnOlderEpochChangesNothing(t *testing.T) {
	o := newTestOwner()
	o.enter(3)
	assert.Check(t, o.occupy(attemptOf("j", 1)))
	o.enter(2)
	assert.Equal(t, o.epoch, uint64(3))
	assert.Check(t, !o.occupy(attemptOf("j", 1)), "still busy")
}

func workerWith(cpu int64, jobs ...string) *shard.Worker {
	w := &shard.Worker{
		Registered: &pb.WorkerRegistered{Worker: "w", DataCentre: "a", Address: "x", Capacity: &pb.Resources{CpuMilli: cpu}},
		Reserved:   &pb.Resources{}, Assigned: map[shard.TaskRef]*pb.Task{},
	}
	for i, job := range jobs {
		w.Assigned[shard.TaskRef{JobID: job}] = &pb.Task{ChangedMs: int64(i), Attempt: 1, Reserved: &pb.Resources{CpuMilli: 1}}
		w.Reserved.CpuMilli++
	}
	return w
}

func TestExcessOnSmallerWorker(t *testing.T) {
	cases := []struct {
		cpu  int64
		want []string
	}{{3, nil}, {2, []string{"c"}}, {1, []string{"b", "c"}}, {0, []string{"a", "b", "c"}}}
	for _, c := range cases {
		t.Run(fmt.Sprint(c.cpu), func(t *testing.T) {
			excess := excessOn(workerWith(c.cpu, "a", "b", "c"))
			assert.Equal(t, len(excess), len(c.want))
			for _, job := range c.want {
				assert.Check(t, excess[shard.TaskRef{JobID: job}], job)
			}
		})
	}
}

func tableWith(t *testing.T, out bool) *table.Table {
	t.Helper()
	rows := table.New()
	rej := rows.Apply(&pb.Record{Body: &pb.Record_RowPut{RowPut: &pb.RowPut{Row: &pb.Row{
		Kind: pb.RowKind_ROW_KIND_DATA_CENTRE, Name: "a", Region: "r", Weight: 1, Out: out,
	}}}})
	if rej != nil {
		t.Fatal(rej)
	}
	return rows
}

func TestDecideForOneAttempt(t *testing.T) {
	past, future := time.Now().Add(-time.Hour), time.Now().Add(time.Hour)
	cases := []struct {
		name      string
		view      attemptView
		cancelled bool
		out       bool
		excess    bool
		want      action
		reason    pb.ReleaseReason
	}{
		{"runs as granted", attemptView{mayRunUntil: future, confirmed: time.Now()}, false, false, false, actionNone, 0},
		{"busy", attemptView{busy: true, mayRunUntil: past}, true, true, true, actionNone, 0},
		{"grant over comes before all", attemptView{mayRunUntil: past}, true, true, true, actionLose, pb.ReleaseReason_RELEASE_REASON_LOST},
		{"cancelled", attemptView{mayRunUntil: future}, true, true, false, actionStop, pb.ReleaseReason_RELEASE_REASON_CANCELLED},
		{"data centre out", attemptView{mayRunUntil: future}, false, true, true, actionStop, pb.ReleaseReason_RELEASE_REASON_DRAINED},
		{"worker shrank", attemptView{mayRunUntil: future, confirmed: time.Now()}, false, false, true, actionStop, pb.ReleaseReason_RELEASE_REASON_EVICTED},
		{"unreported", attemptView{mayRunUntil: future, granted: past}, false, false, false, actionFence, 0},
		{"unanswered waits", attemptView{mayRunUntil: future, granted: past, unanswered: backoff{until: future}}, true, true, true, actionNone, 0},
		{"unanswered does not hide a grant that is over", attemptView{mayRunUntil: past, unanswered: backoff{until: future}}, false, false, false, actionLose, pb.ReleaseReason_RELEASE_REASON_LOST},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newTestOwner()
			o.attempts[attemptOf("j", 1)] = &c.view
			got := o.decide(tableWith(t, c.out), &pb.Job{Cancelled: c.cancelled}, attemptOf("j", 1), "w", workerWith(4, "j"), c.excess)
			assert.Equal(t, got.action, c.want)
			assert.Equal(t, got.reason, c.reason)
		})
	}
}

func TestRenewalAfterTheEndIsRefused(t *testing.T) {
	v := attemptView{mayRunUntil: time.Now().Add(-time.Second)}
	o := newTestOwner()
	o.attempts[attemptOf("j", 1)] = &v
	assert.Equal(t, o.renew(attemptOf("j", 1), &pb.AttemptReport{}), verdictWait)
	assert.Check(t, v.confirmed.IsZero())
	v.mayRunUntil = time.Now().Add(time.Hour)
	assert.Equal(t, o.renew(attemptOf("j", 1), &pb.AttemptReport{Checkpoint: []byte("c")}), verdictRenew)
	assert.Equal(t, string(v.checkpoint), "c")
}

func TestStartsUnderWayAreBounded(t *testing.T) {
	o := newTestOwner()
	admitted, workers := 0, map[string]int{}
	for i := range 10 * maxStarts {
		name := fmt.Sprint("w", i%40)
		if o.admit(attemptOf(fmt.Sprint("j", i), 1), name) != nil {
			admitted++
			workers[name]++
		}
	}
	assert.Equal(t, admitted, maxStarts)
	for name, n := range workers {
		assert.Check(t, n <= maxStartsPerWorker, name)
	}
}

func TestStartsPauseAfterAFailedAppend(t *testing.T) {
	o := newTestOwner()
	o.noteLog(errors.New("log down"))
	assert.Check(t, o.admit(attemptOf("j", 1), "w") == nil)
	o.noteLog(nil)
	assert.Check(t, o.admit(attemptOf("j", 1), "w") != nil)
}

func TestHoldBack(t *testing.T) {
	cases := []struct {
		name   string
		faults func(*Owner)
		ready  bool
	}{
		{"fine", func(*Owner) {}, true},
		{"worker's own fault", func(o *Owner) { o.noteFailed(shard.TaskRef{JobID: "j"}, "w", true) }, false},
		{"one job fails often", func(o *Owner) { failTimes(o, 5, "j") }, true},
		{"several jobs fail", func(o *Owner) { failTimes(o, 2, "j"); failTimes(o, 1, "k") }, false},
		{"a task finished in between", func(o *Owner) {
			failTimes(o, 2, "j")
			o.noteRan(shard.TaskRef{JobID: "m"}, "w")
			failTimes(o, 1, "k")
		}, true},
		{"after an eviction", func(o *Owner) { o.noteEvicted("w") }, false},
		{"an eviction outlasts a finished task", func(o *Owner) {
			o.noteEvicted("w")
			o.noteRan(shard.TaskRef{JobID: "m"}, "w")
		}, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			o := newTestOwner()
			c.faults(o)
			snap := placement.Snapshot{Workers: []placement.Worker{{Name: "w", Ready: true}}}
			o.holdBack(&snap)
			assert.Equal(t, snap.Workers[0].Ready, c.ready)
		})
	}
}

func failTimes(o *Owner, times int, job string) {
	for range times {
		o.noteFailed(shard.TaskRef{JobID: job}, "w", false)
	}
}

func TestTaskThatWasNotStartedWaits(t *testing.T) {
	o := newTestOwner()
	ref := shard.TaskRef{JobID: "j"}
	o.noteNotStarted(ref)
	snap := placement.Snapshot{Tasks: []placement.Task{{Ref: ref}, {Ref: shard.TaskRef{JobID: "k"}}}}
	o.holdBack(&snap)
	assert.Equal(t, len(snap.Tasks), 1)
	assert.Equal(t, snap.Tasks[0].Ref.JobID, "k")
}

func TestBackoffDoublesUpToItsLimit(t *testing.T) {
	var b backoff
	now := time.Now()
	var pauses []time.Duration
	for range 7 {
		b.fail(now, longestPause)
		pauses = append(pauses, b.until.Sub(now))
	}
	assert.DeepEqual(t, pauses, []time.Duration{
		firstPause, 2 * firstPause, 4 * firstPause, 8 * firstPause, 16 * firstPause, longestPause, longestPause,
	})
	for range 100 {
		b.fail(now, longestPause)
	}
	assert.Equal(t, b.until.Sub(now), longestPause)
}

// TestPlanningKnowsWhereATaskFailed reads the history as the ledger writes it.
func TestPlanningKnowsWhereATaskFailed(t *testing.T) {
	s := shard.New()
	write := func(rec *pb.Record) {
		t.Helper()
		rec.Epoch = 1
		if rej := s.Apply(rec); rej != nil {
			t.Fatal(rej)
		}
	}
	write(&pb.Record{Body: &pb.Record_ShardClaim{ShardClaim: &pb.ShardClaim{Epoch: 1, Owner: "o"}}})
	write(&pb.Record{Body: &pb.Record_JobSubmitted{JobSubmitted: &pb.JobSubmitted{JobId: "j", Spec: &pb.JobSpec{
		Team: "t", JobClass: "c", Tasks: 1, MaxFailures: 9, Resources: &pb.Resources{CpuMilli: 1},
	}}}})
	ends := []pb.ReleaseReason{
		pb.ReleaseReason_RELEASE_REASON_FAILED, pb.ReleaseReason_RELEASE_REASON_EVICTED, pb.ReleaseReason_RELEASE_REASON_WORKER_FAULT,
	}
	for i, reason := range ends {
		name, attempt := fmt.Sprint("w", i), uint32(i+1)
		write(&pb.Record{Body: &pb.Record_WorkerRegistered{WorkerRegistered: &pb.WorkerRegistered{Worker: name, Capacity: &pb.Resources{CpuMilli: 1}}}})
		write(&pb.Record{Body: &pb.Record_TaskAssigned{TaskAssigned: &pb.TaskAssigned{
			JobId: "j", Attempt: attempt, Worker: name, Reserved: &pb.Resources{CpuMilli: 1},
		}}})
		write(&pb.Record{Body: &pb.Record_TaskReleased{TaskReleased: &pb.TaskReleased{JobId: "j", Attempt: attempt, Reason: reason}}})
	}
	_, task := s.Task(shard.TaskRef{JobID: "j"})
	assert.DeepEqual(t, failedOn(task), []string{"w0", "w2"})
}

// TestSteadyClock: a wall clock that was set forward or back is not trusted.
func TestSteadyClock(t *testing.T) {
	began := time.Now()
	later := began.Add(time.Hour)
	assert.Assert(t, steady(began, later))
	for _, step := range []time.Duration{25 * time.Hour, -25 * time.Hour, 2 * time.Minute} {
		// Round strips the monotonic reading; the difference is then the wall's alone.
		stepped := began.Round(0).Add(-step)
		assert.Assert(t, !steadyBetween(later.UnixMilli()-stepped.UnixMilli(), later.Sub(began)), "step of %v", step)
	}
}
