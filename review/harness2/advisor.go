//go:build review2

package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"
)

// maxWaitingAdvice is the number of waiting calls from which on the advisor answers 429.
const maxWaitingAdvice = 32

// advisor is a stand-in for the placement advisor. It answers after the decision time plus the period
// for each worker named, handles one call at a time for each calling machine, and permits all workers.
type advisor struct {
	decision, period, validity time.Duration
	record                     *record

	mu      sync.Mutex
	queues  map[string]*sync.Mutex // by calling machine
	waiting int
	tickets map[string]time.Time // end of the validity of each ticket, by step, worker and value
	issued  int
}

func newAdvisor(rec *record, decision, period, validity time.Duration) *advisor {
	return &advisor{decision: decision, period: period, validity: validity, record: rec, queues: map[string]*sync.Mutex{}, tickets: map[string]time.Time{}}
}

// routeExtra is the part of the route's configuration that describes the advisor.
func (a *advisor) routeExtra() string {
	return fmt.Sprintf(`,"placement-advisor":{"decision-ms":%d,"period-ms":%d,"validity-ms":%d}`, a.decision.Milliseconds(), a.period.Milliseconds(), a.validity.Milliseconds())
}

// ServeHTTP implements http.Handler.
func (a *advisor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if r.URL.Path != "/v1/advise" || json.NewDecoder(r.Body).Decode(&body) != nil || len(body.Workers) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	arrived := time.Now()
	caller, _, _ := net.SplitHostPort(r.RemoteAddr)
	a.mu.Lock()
	if a.waiting >= maxWaitingAdvice {
		a.mu.Unlock()
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.waiting++
	turn := a.queues[caller]
	if turn == nil {
		turn = &sync.Mutex{}
		a.queues[caller] = turn
	}
	a.mu.Unlock()
	turn.Lock() // sync.Mutex is close enough to first come, first served for the few calls here
	a.mu.Lock()
	a.waiting--
	a.mu.Unlock()
	time.Sleep(a.decision + time.Duration(len(body.Workers))*a.period)
	turn.Unlock()
	good := [][]string{}
	a.mu.Lock()
	for _, id := range body.Workers {
		a.issued++
		ticket := fmt.Sprintf("c%06d", a.issued)
		a.tickets[body.Step+"/"+id+"/"+ticket] = time.Now().Add(a.validity)
		good = append(good, []string{id, ticket})
	}
	a.mu.Unlock()
	a.record.line("advisor: step %s, %d workers permitted, answered %d ms after the call, tickets valid for %d ms from now",
		body.Step, len(good), time.Since(arrived).Milliseconds(), a.validity.Milliseconds())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "validity-ms": a.validity.Milliseconds()})
}

// valid reports whether a ticket for a step on a worker is valid now.
func (a *advisor) valid(step, workerID, ticket string) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return time.Now().Before(a.tickets[step+"/"+workerID+"/"+ticket])
}
