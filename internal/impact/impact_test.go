package impact

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
)

func endpoints(dc string, count, slots, running int) []Endpoint {
	var out []Endpoint
	for range count {
		out = append(out, Endpoint{Service: "quick", DataCentre: dc, Worker: "w", Slots: slots, Running: running})
	}
	return out
}

func input(running int) Input {
	in := Input{DataCentre: "b", Now: time.Unix(1000, 0), Rows: []*pb.Row{
		{Kind: pb.RowKind_ROW_KIND_DATA_CENTRE, Name: "b", Version: 7},
		{Kind: pb.RowKind_ROW_KIND_SERVICE, Name: "quick", Team: "t"},
		{Kind: pb.RowKind_ROW_KIND_CLIENT, Name: "one", Weight: 2, Notice: "call the office"},
		{Kind: pb.RowKind_ROW_KIND_CLIENT, Name: "two", Weight: 1, Team: "t"},
		{Kind: pb.RowKind_ROW_KIND_CLIENT, Name: "other", Team: "elsewhere"},
	}}
	for _, dc := range []string{"a", "b", "c"} {
		in.Endpoints = append(in.Endpoints, endpoints(dc, 4, 8, running)...)
	}
	return in
}

func TestIdleServiceSlowsNobody(t *testing.T) {
	p := Predict(input(0))
	assert.Equal(t, p.RowVersion, uint64(7))
	assert.Equal(t, p.WorkersLeaving, 4)
	assert.Equal(t, p.Workers, 12)
	assert.DeepEqual(t, p.Services, []Service{{Name: "quick", SlotsNow: 96, SlotsAfter: 64, SlowdownMilli: perMille}})
	assert.Equal(t, len(p.Clients), 0)
}

func TestUnservedLoadIsReportedAsShare(t *testing.T) {
	p := Predict(input(7)) // 84 of 96 slots now, 64 afterwards
	assert.Equal(t, p.Services[0].UnservedMilli, int64(238))
	assert.Equal(t, p.Services[0].SlowdownMilli, int64(0))
	assert.DeepEqual(t, p.Unwarned(), []string{"one", "two"})
	assert.Equal(t, p.Clients[0].Contact, "call the office")
}

func TestTightServiceSlows(t *testing.T) {
	in := input(0)
	in.Endpoints = append(endpoints("a", 1, 4, 3), endpoints("b", 1, 4, 0)...)
	p := Predict(in)
	assert.Assert(t, p.Services[0].MaySlow)
	assert.Assert(t, p.Services[0].SlowdownMilli > noticeableSlowdownMilli)
	assert.Equal(t, p.Services[0].UnservedMilli, int64(0))
}

func TestLastDataCentreLeavesNothing(t *testing.T) {
	in := input(0)
	in.Endpoints = endpoints("b", 2, 8, 0)
	p := Predict(in)
	assert.Equal(t, p.Services[0].UnservedMilli, int64(perMille))
	assert.Assert(t, p.Services[0].MaySlow)
}

func TestDataCentreThatIsOutAlreadyGivesNoCapacity(t *testing.T) {
	in := input(4)
	in.Rows = append(in.Rows, &pb.Row{Kind: pb.RowKind_ROW_KIND_DATA_CENTRE, Name: "c", Out: true})
	p := Predict(in)
	assert.Equal(t, p.Services[0].SlotsAfter, 32)
	assert.Equal(t, p.Services[0].UnservedMilli, int64(333))
}

// TestNoticeCountsUntilItExpiresAndForItsSubject checks that a notice counts only for its
// client, for its subject and until it expires.
func TestNoticeCountsUntilItExpiresAndForItsSubject(t *testing.T) {
	now := time.Unix(1000, 0)
	cases := []struct {
		name   string
		notice *pb.NoticeGiven
		warned bool
	}{
		{"the data centre", &pb.NoticeGiven{Client: "one", Subject: "b", UntilMs: now.UnixMilli() + 1}, true},
		{"the service", &pb.NoticeGiven{Client: "one", Subject: "quick", UntilMs: now.UnixMilli() + 1}, true},
		{"expired", &pb.NoticeGiven{Client: "one", Subject: "b", UntilMs: now.UnixMilli()}, false},
		{"another data centre", &pb.NoticeGiven{Client: "one", Subject: "c", UntilMs: now.UnixMilli() + 1}, false},
		{"another client", &pb.NoticeGiven{Client: "two", Subject: "b", UntilMs: now.UnixMilli() + 1}, false},
	}
	for _, c := range cases {
		in := input(7)
		in.Notices = []*pb.NoticeGiven{c.notice}
		assert.Check(t, Predict(in).Clients[0].Warned == c.warned, c.name)
	}
}

// TestResponseTimeMatchesClosedForms compares with the closed forms for one server,
// 1/(1-load), and for two servers, 1/(1-(load/2)^2).
func TestResponseTimeMatchesClosedForms(t *testing.T) {
	for _, load := range []float64{0, 0.1, 0.5, 0.9} {
		one, _ := responseTime(1, load)
		assert.Assert(t, math.Abs(one-1/(1-load)) < 1e-9)
		two, _ := responseTime(2, 2*load)
		assert.Assert(t, math.Abs(two-1/(1-load*load)) < 1e-9)
	}
	_, fits := responseTime(4, 4)
	assert.Assert(t, !fits)
}
