package blame

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func fails(jobs ...string) (out []Outcome) {
	for i, id := range jobs {
		out = append(out, Outcome{JobID: id, Index: uint32(i), Failed: true})
	}
	return out
}

var success = Outcome{JobID: "fine"}

// TestJudge tells bad workers from bad jobs.
func TestJudge(t *testing.T) {
	healthy := func(name string) Worker { return Worker{Name: name, Outcomes: []Outcome{success}} }
	cases := []struct {
		name    string
		workers []Worker
		jobs    []Job
		want    Verdict
	}{
		{"black hole", []Worker{{Name: "w1", Outcomes: fails("a", "b", "c")}, healthy("w2"), healthy("w3")}, nil, Verdict{Workers: []string{"w1"}}},
		{"too few jobs", []Worker{{Name: "w1", Outcomes: fails("a", "b", "b", "b")}, healthy("w2")}, nil, Verdict{}},
		{"a success in between", []Worker{{Name: "w1", Outcomes: append(append(fails("a"), success), fails("b", "c")...)}}, nil, Verdict{}},
		{
			"one job that finishes elsewhere", []Worker{{Name: "w1", Outcomes: fails("a", "a", "a")}, healthy("w2")},
			[]Job{{ID: "a", FailedOn: []string{"w1"}, Finished: 5}}, Verdict{Workers: []string{"w1"}},
		},
		{
			"bad job, workers not blamed",
			[]Worker{{Name: "w1", Outcomes: fails("a")}, {Name: "w2", Outcomes: fails("a")}, {Name: "w3", Outcomes: fails("a")}},
			[]Job{{ID: "a", FailedOn: []string{"w1", "w2", "w3"}}}, Verdict{Jobs: []string{"a"}},
		},
		{
			"three bad jobs everywhere, workers not blamed",
			[]Worker{{Name: "w1", Outcomes: fails("a", "b", "c")}, {Name: "w2", Outcomes: fails("b", "c", "a")}, {Name: "w3", Outcomes: fails("c", "a", "b")}},
			[]Job{
				{ID: "a", FailedOn: []string{"w1", "w2", "w3"}}, {ID: "b", FailedOn: []string{"w1", "w2", "w3"}},
				{ID: "c", FailedOn: []string{"w1", "w2", "w3"}},
			}, Verdict{Jobs: []string{"a", "b", "c"}},
		},
		{
			"black hole and bad job at once",
			[]Worker{
				{Name: "w1", Outcomes: fails("a", "b", "bad", "c")}, {Name: "w2", Outcomes: fails("bad")},
				{Name: "w3", Outcomes: fails("bad")}, {Name: "w4", Outcomes: fails("bad")},
			},
			[]Job{{ID: "bad", FailedOn: []string{"w1", "w2", "w3", "w4"}}, {ID: "a", FailedOn: []string{"w1"}}},
			Verdict{Workers: []string{"w1"}, Jobs: []string{"bad"}},
		},
		{
			"job that failed on two workers and a black hole",
			[]Worker{{Name: "w1", Outcomes: fails("a", "b", "c")}, {Name: "w2", Outcomes: fails("a")}, {Name: "w3", Outcomes: fails("a")}},
			[]Job{{ID: "a", FailedOn: []string{"w1", "w2", "w3"}}}, Verdict{Workers: []string{"w1"}},
		},
		{
			"job that fails here and there but finishes", nil,
			[]Job{{ID: "a", FailedOn: []string{"w1", "w2", "w3"}, Finished: 9}}, Verdict{},
		},
		{"one failure on probation", []Worker{{Name: "w1", Probation: true, Outcomes: fails("a")}, healthy("w2")}, nil, Verdict{Workers: []string{"w1"}}},
	}
	for _, tc := range cases {
		t.Run(tc.name, func(t *testing.T) {
			got := Judge(tc.workers, tc.jobs)
			if tc.want.Workers == nil {
				tc.want.Workers = []string{}
			}
			if tc.want.Jobs == nil {
				tc.want.Jobs = []string{}
			}
			assert.DeepEqual(t, got, tc.want)
		})
	}
}

// TestProbePeriod doubles up to the ceiling.
func TestProbePeriod(t *testing.T) {
	for n, want := range map[int]time.Duration{0: time.Minute, 1: time.Minute, 2: 2 * time.Minute, 5: 16 * time.Minute, 7: time.Hour, 99: time.Hour} {
		assert.Equal(t, ProbePeriod(time.Minute, time.Hour, n), want)
	}
}
