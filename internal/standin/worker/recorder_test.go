package worker

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/platform"
)

// bench is two workers in two data centres on one logical clock.
type bench struct {
	now      time.Time
	recorder *Recorder
	a, b     *Worker
}

func newBench() *bench {
	x := &bench{now: time.Unix(1000, 0), recorder: NewRecorder()}
	worker := func(name string) *Worker {
		return New(Options{Recorder: x.recorder, Now: func() time.Time { return x.now }, Info: platform.WorkerInfo{
			Name: name, DataCentre: "dc-" + name, Capacity: &pb.Resources{CpuMilli: 2, MemoryMb: 2},
		}})
	}
	x.a, x.b = worker("a"), worker("b")
	return x
}

func (x *bench) start(t *testing.T, w *Worker, job string, attempt uint32, cpu int64, checkpoint []byte) {
	t.Helper()
	assert.NilError(t, w.Start(t.Context(), platform.StartSpec{
		Key: platform.TaskKey{JobID: job, Attempt: attempt}, Reserved: &pb.Resources{CpuMilli: cpu},
		Duration: time.Minute, Lease: 10 * time.Second, Checkpoint: checkpoint,
	}))
}

func (x *bench) pass(d time.Duration, w *Worker) {
	x.now = x.now.Add(d)
	w.Running()
}

func TestRecorderFails(t *testing.T) {
	cases := []struct {
		name string
		do   func(*testing.T, *bench)
		want string // part of the violation; empty means none
	}{
		{"one attempt", func(t *testing.T, x *bench) { x.start(t, x.a, "j", 1, 1, nil) }, ""},
		{"overlap", func(t *testing.T, x *bench) {
			x.start(t, x.a, "j", 1, 1, nil)
			x.start(t, x.b, "j", 2, 1, nil)
		}, "starts on b while attempt 1 runs on a"},
		{"overlap after a renewal", func(t *testing.T, x *bench) {
			x.start(t, x.a, "j", 1, 1, nil)
			x.now = x.now.Add(9 * time.Second)
			assert.NilError(t, x.a.Renew(t.Context(), platform.TaskKey{JobID: "j", Attempt: 1}, 10*time.Second))
			x.now = x.now.Add(9 * time.Second)
			x.start(t, x.b, "j", 2, 1, nil)
		}, "starts on b while attempt 1 runs on a"},
		{"after the lease nobody asked about", func(t *testing.T, x *bench) {
			x.start(t, x.a, "j", 1, 1, nil)
			x.now = x.now.Add(10 * time.Second)
			x.start(t, x.b, "j", 2, 1, nil)
		}, ""},
		{"overcommitment", func(t *testing.T, x *bench) {
			x.start(t, x.a, "j", 1, 2, nil)
			x.start(t, x.a, "k", 1, 1, nil)
		}, "worker a overcommitted"},
		{"data centre out", func(t *testing.T, x *bench) {
			x.recorder.ForbidStartsFrom("dc-a", true, x.now)
			x.start(t, x.a, "j", 1, 1, nil)
		}, "which is out"},
		{"data centre out, within the time allowed", func(t *testing.T, x *bench) {
			x.recorder.ForbidStartsFrom("dc-a", true, x.now.Add(time.Second))
			x.start(t, x.a, "j", 1, 1, nil)
		}, ""},
		{"data centre back", func(t *testing.T, x *bench) {
			x.recorder.ForbidStarts("dc-a", true)
			x.recorder.ForbidStarts("dc-a", false)
			x.start(t, x.a, "j", 1, 1, nil)
		}, ""},
		{"finished twice", func(t *testing.T, x *bench) {
			for attempt, w := range []*Worker{x.a, x.b} {
				x.start(t, w, "j", uint32(attempt+1), 1, []byte(`{"done_ms":59000}`))
				x.pass(2*time.Second, w)
			}
		}, "finished 2 times"},
		{"two results", func(_ *testing.T, x *bench) {
			x.recorder.NoteResult("j", 0, []byte("r"))
			x.recorder.NoteResult("j", 0, []byte("r"))
		}, "has two results"},
		{"start after the result", func(t *testing.T, x *bench) {
			x.recorder.NoteResult("j", 0, []byte("r"))
			x.start(t, x.a, "j", 2, 1, nil)
		}, "after its result was recorded"},
		{"lost result", func(_ *testing.T, x *bench) { x.recorder.CheckResult("j", 0, []byte("r")) }, "lost its result"},
		{"wrong result", func(_ *testing.T, x *bench) {
			x.recorder.NoteResult("j", 0, []byte("q"))
			x.recorder.CheckResult("j", 0, []byte("r"))
		}, `has result "q", want "r"`},
		{"older checkpoint", func(t *testing.T, x *bench) {
			x.recorder.NoteCheckpoint("j", 0, []byte(`{"done_ms":500}`))
			x.start(t, x.a, "j", 2, 1, []byte(`{"done_ms":499}`))
		}, "resumes at 499ms, the newest recorded checkpoint is at 500ms"},
		{"newest checkpoint", func(t *testing.T, x *bench) {
			x.recorder.NoteCheckpoint("j", 0, []byte(`{"done_ms":500}`))
			x.start(t, x.a, "j", 2, 1, []byte(`{"done_ms":500}`))
		}, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			x := newBench()
			c.do(t, x)
			got := strings.Join(x.recorder.Violations(), "; ")
			if c.want == "" {
				assert.Equal(t, got, "")
				return
			}
			assert.Check(t, strings.Contains(got, c.want), "got %q", got)
		})
	}
}

func TestEndedContextHasNoEffect(t *testing.T) {
	x := newBench()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	err := x.a.Start(ctx, platform.StartSpec{Key: platform.TaskKey{JobID: "j"}, Lease: time.Minute, Duration: time.Minute})
	assert.ErrorIs(t, err, platform.ErrUnavailable)
	assert.Equal(t, len(x.a.Running()), 0)
}
