// Package impact foretells whom it slows when a data centre goes out of service,
// and who of them was warned. It decides nothing and changes nothing.
package impact

import (
	"slices"
	"strings"
	"time"

	pb "chervilridge/api/chervil/v1"
)

// slowdownLimitMilli is the slowdown from which on a service counts as slowed.
const slowdownLimitMilli = 1050

const milli = 1000

// Endpoint is one endpoint with its load at this moment.
type Endpoint struct {
	Service    string
	DataCentre string
	Worker     string // empty if none is beside it
	Slots      int
	Running    int
	Queued     int
}

// Input is all that a plan is made from.
type Input struct {
	DataCentre string
	Endpoints  []Endpoint
	Rows       []*pb.Row
	Notices    []*pb.NoticeGiven
	Now        time.Time
}

// Plan is what taking the data centre out does at the load of this moment.
type Plan struct {
	DataCentre string    `json:"data_centre"`
	RowVersion uint64    `json:"row_version"`
	Services   []Service `json:"services"`
	Clients    []Client  `json:"clients"`
	// WorkersLeaving of Workers workers lie in the data centre.
	WorkersLeaving int `json:"workers_leaving"`
	Workers        int `json:"workers"`
}

// Service is a service with endpoints in the data centre.
type Service struct {
	Name       string `json:"name"`
	SlotsNow   int    `json:"slots_now"`
	SlotsAfter int    `json:"slots_after"`
	Load       int    `json:"load"`
	// SlowdownMilli is the expected answer time afterwards over the one now, in
	// thousandths; 0 if the load does not fit any more.
	SlowdownMilli int64 `json:"slowdown_milli"`
	// UnservedMilli is the share of the load that does not fit, in thousandths.
	UnservedMilli int64 `json:"unserved_milli"`
	// MaySlow reports whether clients will notice.
	MaySlow bool `json:"may_slow"`
}

// Client is a client that may be slowed.
type Client struct {
	Name   string `json:"name"`
	Weight uint32 `json:"weight"`
	// Contact is the client's notice column.
	Contact string `json:"contact"`
	Warned  bool   `json:"warned"`
	// Caller told the client, valid until UntilMs (milliseconds since 1970).
	Caller  string `json:"caller,omitempty"`
	UntilMs int64  `json:"until_ms,omitempty"`
}

// Unwarned returns the names of the clients that may be slowed and were not told.
func (p Plan) Unwarned() []string {
	var out []string
	for _, c := range p.Clients {
		if !c.Warned {
			out = append(out, c.Name)
		}
	}
	return out
}

// Foretell makes the plan.
func Foretell(in Input) Plan {
	p := Plan{DataCentre: in.DataCentre, Services: services(in)}
	for _, r := range in.Rows {
		if r.Kind == pb.RowKind_ROW_KIND_DATA_CENTRE && r.Name == in.DataCentre {
			p.RowVersion = r.Version
		}
	}
	for _, e := range in.Endpoints {
		if e.Worker == "" {
			continue
		}
		p.Workers++
		if e.DataCentre == in.DataCentre {
			p.WorkersLeaving++
		}
	}
	p.Clients = clients(in, p.Services)
	return p
}

// services returns the services with endpoints in the data centre, by name.
// Endpoints in data centres that are out already carry load and no capacity.
func services(in Input) []Service {
	out := map[string]bool{}
	for _, r := range in.Rows {
		if r.Kind == pb.RowKind_ROW_KIND_DATA_CENTRE && r.Out {
			out[r.Name] = true
		}
	}
	byName := map[string]*Service{}
	touched := map[string]bool{}
	for _, e := range in.Endpoints {
		s := byName[e.Service]
		if s == nil {
			s = &Service{Name: e.Service}
			byName[e.Service] = s
		}
		s.Load += e.Running + e.Queued
		switch {
		case out[e.DataCentre]:
		case e.DataCentre == in.DataCentre:
			s.SlotsNow += e.Slots
			touched[e.Service] = true
		default:
			s.SlotsNow += e.Slots
			s.SlotsAfter += e.Slots
		}
	}
	var list []Service
	for name := range touched {
		list = append(list, judge(*byName[name]))
	}
	slices.SortFunc(list, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return list
}

func judge(s Service) Service {
	after, fits := answerTime(s.SlotsAfter, float64(s.Load))
	if !fits {
		s.UnservedMilli = milli
		if s.Load > 0 {
			s.UnservedMilli = int64(milli * max(0, s.Load-s.SlotsAfter) / s.Load)
		}
		s.MaySlow = true
		return s
	}
	now, fitsNow := answerTime(s.SlotsNow, float64(s.Load))
	if !fitsNow {
		now = after
	}
	s.SlowdownMilli = int64(milli * after / now)
	s.MaySlow = s.SlowdownMilli >= slowdownLimitMilli
	return s
}

// answerTime returns the mean answer time of a queue with that many servers and
// that much offered load, in units of the service time (M/M/c, Erlang C). It
// reports false if the load does not fit.
func answerTime(servers int, load float64) (float64, bool) {
	c := float64(servers)
	if load >= c {
		return 0, false
	}
	blocked := 1.0 // Erlang B, by its recursion over the servers
	for n := 1; n <= servers; n++ {
		blocked = load * blocked / (float64(n) + load*blocked)
	}
	waits := blocked / (1 - load/c*(1-blocked))
	return 1 + waits/(c-load), true
}

// clients returns the clients of slowed services, by name. A client without a
// team may call any service.
func clients(in Input, services []Service) []Client {
	slowed := map[string]bool{}
	for _, s := range services {
		if s.MaySlow {
			slowed[s.Name] = true
		}
	}
	teams := map[string]bool{}
	for _, r := range in.Rows {
		if r.Kind == pb.RowKind_ROW_KIND_SERVICE && slowed[r.Name] {
			teams[r.Team] = true
		}
	}
	var list []Client
	for _, r := range in.Rows {
		if r.Kind != pb.RowKind_ROW_KIND_CLIENT || len(slowed) == 0 || r.Team != "" && !teams[r.Team] {
			continue
		}
		list = append(list, warned(in, slowed, Client{Name: r.Name, Weight: r.Weight, Contact: r.Notice}))
	}
	slices.SortFunc(list, func(a, b Client) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// warned fills in the notice that is good now for the data centre, or for every
// slowed service.
func warned(in Input, slowed map[string]bool, c Client) Client {
	told := map[string]bool{}
	for _, n := range in.Notices {
		if n.Client != c.Name || n.UntilMs <= in.Now.UnixMilli() {
			continue
		}
		told[n.Subject] = true
		if n.Subject == in.DataCentre || slowed[n.Subject] {
			c.Caller, c.UntilMs = n.Caller, n.UntilMs
		}
	}
	c.Warned = told[in.DataCentre] || coversAll(told, slowed)
	if !c.Warned {
		c.Caller, c.UntilMs = "", 0
	}
	return c
}

func coversAll(told, slowed map[string]bool) bool {
	for name := range slowed {
		if !told[name] {
			return false
		}
	}
	return len(slowed) > 0
}
