// Package impact predicts which services and clients slow down when a data centre goes
// out of service, and which of these clients were notified. It has no side effects.
package impact

import (
	"slices"
	"strings"
	"time"

	pb "chervilridge/api/chervil/v1"
)

// noticeableSlowdownMilli is the predicted slowdown, in thousandths, from which on a
// service counts as slowed.
const noticeableSlowdownMilli = 1050

const perMille = 1000

// Endpoint is an endpoint with its current load.
type Endpoint struct {
	Service    string
	DataCentre string
	Worker     string // worker next to the endpoint; empty if none
	Slots      int    // requests served at once; 0 if it takes no new work
	Running    int
	Queued     int
}

// Input is what a prediction is computed from.
type Input struct {
	DataCentre string
	Endpoints  []Endpoint
	Rows       []*pb.Row
	Notices    []*pb.NoticeGiven
	Now        time.Time
}

// Plan is the predicted effect of taking a data centre out of service at the current load.
type Plan struct {
	DataCentre string    `json:"data_centre"`
	RowVersion uint64    `json:"row_version"`
	Services   []Service `json:"services"`
	Clients    []Client  `json:"clients"`
	// WorkersLeaving of the Workers workers are in the data centre.
	WorkersLeaving int `json:"workers_leaving"`
	Workers        int `json:"workers"`
}

// Service is the predicted effect on a service with endpoints in the data centre.
type Service struct {
	Name       string `json:"name"`
	SlotsNow   int    `json:"slots_now"`
	SlotsAfter int    `json:"slots_after"`
	// Load is the number of running and queued requests.
	Load int `json:"load"`
	// SlowdownMilli is the ratio of the mean response times after and before, in
	// thousandths; 0 if the load exceeds the remaining slots.
	SlowdownMilli int64 `json:"slowdown_milli"`
	// UnservedMilli is the share of the load that exceeds the remaining slots, in
	// thousandths.
	UnservedMilli int64 `json:"unserved_milli"`
	// MaySlow reports whether the slowdown is noticeable or the load does not fit.
	MaySlow bool `json:"may_slow"`
}

// Client is a client of a service that may slow down.
type Client struct {
	Name   string `json:"name"`
	Weight uint32 `json:"weight"`
	// Contact is the notice column of the client's row.
	Contact string `json:"contact"`
	Warned  bool   `json:"warned"`
	// Caller is the operator who gave the notice. It is valid until UntilMs, in
	// milliseconds since 1970.
	Caller  string `json:"caller,omitempty"`
	UntilMs int64  `json:"until_ms,omitempty"`
}

// Unwarned returns the names of the affected clients without a valid notice.
func (p Plan) Unwarned() []string {
	var out []string
	for _, c := range p.Clients {
		if !c.Warned {
			out = append(out, c.Name)
		}
	}
	return out
}

// Predict computes the effect of taking in.DataCentre out of service.
func Predict(in Input) Plan {
	p := Plan{DataCentre: in.DataCentre, Services: affectedServices(in)}
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
	p.Clients = affectedClients(in, p.Services)
	return p
}

// affectedServices returns the services with endpoints in the data centre, by name.
// Endpoints in data centres that are already out of service count as load, not as slots.
func affectedServices(in Input) []Service {
	outOfService := map[string]bool{}
	for _, r := range in.Rows {
		if r.Kind == pb.RowKind_ROW_KIND_DATA_CENTRE && r.Out {
			outOfService[r.Name] = true
		}
	}
	byName := map[string]*Service{}
	affected := map[string]bool{}
	for _, e := range in.Endpoints {
		s := byName[e.Service]
		if s == nil {
			s = &Service{Name: e.Service}
			byName[e.Service] = s
		}
		s.Load += e.Running + e.Queued
		switch {
		case outOfService[e.DataCentre]:
		case e.DataCentre == in.DataCentre:
			s.SlotsNow += e.Slots
			affected[e.Service] = true
		default:
			s.SlotsNow += e.Slots
			s.SlotsAfter += e.Slots
		}
	}
	var list []Service
	for name := range affected {
		list = append(list, estimateSlowdown(*byName[name]))
	}
	slices.SortFunc(list, func(a, b Service) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// estimateSlowdown fills in SlowdownMilli, UnservedMilli and MaySlow.
func estimateSlowdown(s Service) Service {
	after, fits := responseTime(s.SlotsAfter, float64(s.Load))
	if !fits {
		s.UnservedMilli = perMille
		if s.Load > 0 {
			s.UnservedMilli = int64(perMille * max(0, s.Load-s.SlotsAfter) / s.Load)
		}
		s.MaySlow = true
		return s
	}
	now, fitsNow := responseTime(s.SlotsNow, float64(s.Load))
	if !fitsNow {
		now = after
	}
	s.SlowdownMilli = int64(perMille * after / now)
	s.MaySlow = s.SlowdownMilli >= noticeableSlowdownMilli
	return s
}

// responseTime returns the mean response time of an M/M/c queue with the given number of
// servers and offered load (Erlang C), in units of the mean service time. It reports
// false if the load is not below the number of servers.
func responseTime(servers int, load float64) (float64, bool) {
	c := float64(servers)
	if load >= c {
		return 0, false
	}
	blocking := 1.0 // Erlang B blocking probability, by recursion over the servers
	for n := 1; n <= servers; n++ {
		blocking = load * blocking / (float64(n) + load*blocking)
	}
	waitProbability := blocking / (1 - load/c*(1-blocking))
	return 1 + waitProbability/(c-load), true
}

// affectedClients returns the clients that may call a slowed service, by name. A client
// without a team may call any service.
func affectedClients(in Input, services []Service) []Client {
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
		list = append(list, applyNotices(in, slowed, Client{Name: r.Name, Weight: r.Weight, Contact: r.Notice}))
	}
	slices.SortFunc(list, func(a, b Client) int { return strings.Compare(a.Name, b.Name) })
	return list
}

// applyNotices marks the client as warned if it has unexpired notices for the data centre
// or for every slowed service, and fills in who gave the notice.
func applyNotices(in Input, slowed map[string]bool, c Client) Client {
	notified := map[string]bool{}
	for _, n := range in.Notices {
		if n.Client != c.Name || n.UntilMs <= in.Now.UnixMilli() {
			continue
		}
		notified[n.Subject] = true
		if n.Subject == in.DataCentre || slowed[n.Subject] {
			c.Caller, c.UntilMs = n.Caller, n.UntilMs
		}
	}
	c.Warned = notified[in.DataCentre] || containsAll(notified, slowed)
	if !c.Warned {
		c.Caller, c.UntilMs = "", 0
	}
	return c
}

// containsAll reports whether names is not empty and set contains all of it.
func containsAll(set, names map[string]bool) bool {
	for name := range names {
		if !set[name] {
			return false
		}
	}
	return len(names) > 0
}
