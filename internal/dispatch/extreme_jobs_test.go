package dispatch

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/platform"
)

// extremeJob generates the body of a submission with values at the limits of their types.
func extremeJob(t *rapid.T) []byte {
	number := rapid.SampledFrom([]uint32{0, 1, 2, 1000, 1<<31 - 1, 1<<32 - 1})
	signed := rapid.SampledFrom([]int64{0, 1, -1, 1 << 40, -1 << 40, 1<<63 - 1, -1 << 63})
	decimal := rapid.SampledFrom([]float64{0, -1, 0.5, 1e9, 1e300, -1e300})
	text := rapid.SampledFrom([]string{"", "a", "r1-0", "r9", "\x00", "\ufffd\u2028"})
	step := func(index int) map[string]any {
		after := []int{}
		for a := range index {
			if rapid.Bool().Draw(t, "after") {
				after = append(after, a)
			}
		}
		flag := func(name string) bool { return rapid.IntRange(0, 3).Draw(t, name) == 0 }
		return map[string]any{
			"count": rapid.SampledFrom([]uint32{1, 2, 7, 100}).Draw(t, "count"), "after": after,
			"cpu": number.Draw(t, "cpu"), "mem-mb": number.Draw(t, "memory"), "gpus": number.Draw(t, "gpus"),
			"estimate-ms": decimal.Draw(t, "estimate"), "target-ms": decimal.Draw(t, "target"),
			"gang": flag("gang"), "same-rack": flag("rack"), "long-running": flag("long"), "speculative": flag("copies"), "fills": flag("fills"),
			"constraints": text.Draw(t, "label"), "affinity": text.Draw(t, "data"), "image": text.Draw(t, "image"),
			"max-per-server": number.Draw(t, "spread"), "may-miss": number.Draw(t, "miss"),
		}
	}
	steps := make([]map[string]any, rapid.IntRange(1, 4).Draw(t, "steps"))
	for i := range steps {
		steps[i] = step(i)
	}
	body, err := json.Marshal(map[string]any{
		"task-spec": text.Draw(t, "payload"), "task-groups": steps, "repeat-count": rapid.SampledFrom([]uint32{0, 1, 3, 20}).Draw(t, "occurrences"),
		"start-at-ms": signed.Draw(t, "start"), "interval-ms": signed.Draw(t, "interval"),
	})
	if err != nil {
		t.Fatal(err)
	}
	return body
}

// A job that ends its owner would end each of its successors.
func TestExtremeJobsEndNoOwner(t *testing.T) {
	r := newRig(t)
	agents := []*testAgent{r.attach("side-1", 32000), r.attach("side-2", 1<<32-1)}
	jobs := 0
	rapid.Check(t, func(rt *rapid.T) {
		spec, err := platform.DecodeJob(jobID(jobs), testQueue, extremeJob(rt))
		if err != nil {
			return
		}
		jobs++
		r.submit(spec)
		time.Sleep(2 * minCommitInterval)
		for _, a := range agents {
			a.endRandomly(rt)
		}
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		r.engine.Cancel(ctx, spec.Id)
	})
	assert.Assert(t, jobs > 0)
	r.engine.Abandon()
	<-r.engine.Done()
	r.start(2)
	a := r.attach("side-3", 32000)
	r.completes(fmt.Sprintf("%015xf", jobs), a, 1)
}

// endRandomly reports ends of some of the runs that the agent was ordered to start.
func (a *testAgent) endRandomly(t *rapid.T) {
	kinds := rapid.SampledFrom([]chervilv2.EndKind{done, failed, chervilv2.EndKind_END_KIND_LAPSED, chervilv2.EndKind_END_KIND_STOPPED, chervilv2.EndKind_END_KIND_ALONE})
	report := &chervilv2.AgentReport{}
	for _, s := range a.started()[a.ended:] {
		a.ended++
		report.Ends = append(report.Ends, &chervilv2.RunEnd{Number: int64(a.ended), Task: s.Task, Attempt: s.Attempt, Kind: kinds.Draw(t, "end")})
	}
	a.report(report)
}
