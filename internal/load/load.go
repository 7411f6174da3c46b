// Package load is an open-loop load generator: it sends requests at a fixed rate, however
// long the answers take, and counts their outcomes.
package load

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"chervilridge/internal/fault"
	"chervilridge/internal/ident"
	"chervilridge/internal/request/parse"
	"chervilridge/internal/wait"
)

// Options describes one run. The run ends when the last request sent within Duration has
// been answered or has timed out.
type Options struct {
	// Targets holds the ip:port of entries, or of endpoints with Direct. They are used in
	// turn.
	Targets  []string
	Service  string
	Rate     int64 // requests a second
	Duration time.Duration
	Deadline time.Duration
	// MeanWork is the service time of a request at the sample endpoint. With
	// ExponentialWork it is the mean of an exponential distribution.
	MeanWork        time.Duration
	ExponentialWork bool
	// ClientCount is the number of client names; each request gets one of them at random.
	ClientCount int64
	// NonRepeatablePerMille is the share of requests that must not be repeated, in
	// thousandths.
	NonRepeatablePerMille int64
	Seed                  uint64
	// Direct sends the requests to endpoints, without entries and agents.
	Direct bool
}

const (
	maxIdleConns = 1024
	perMille     = 1000
	timeoutGrace = 2 * time.Second // beyond the deadline, so that the rejection of a late request still arrives
)

// plannedRequest is one request before it is sent.
type plannedRequest struct {
	id            string
	target        string
	client        string
	work          time.Duration
	nonRepeatable bool
}

// Runner sends the requests of one run.
type Runner struct {
	options Options
	client  *http.Client
	rng     *rand.Rand
	report  *Report
}

// NewRunner returns a runner for one run.
func NewRunner(o Options) *Runner {
	transport := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns}
	return &Runner{
		options: o, client: &http.Client{Transport: transport, Timeout: o.Deadline + timeoutGrace},
		rng: rand.New(rand.NewPCG(o.Seed, o.Seed)), report: NewReport(),
	}
}

// Run sends requests until Duration has passed or ctx is cancelled, waits for the answers
// and returns the report.
func (r *Runner) Run(ctx context.Context) *Report {
	var wg sync.WaitGroup
	interval := time.Second / time.Duration(r.options.Rate)
	total := int(r.options.Duration / interval)
	began := time.Now()
	for i := range total {
		if !wait.Until(ctx, began.Add(time.Duration(i)*interval)) {
			break
		}
		s := r.nextRequest(i)
		wg.Go(func() { r.report.add(r.send(ctx, s)) })
	}
	wg.Wait()
	r.client.CloseIdleConnections()
	return r.report
}

// nextRequest draws the i-th request from the options and the seed. Its id is not drawn
// from the seed.
func (r *Runner) nextRequest(i int) plannedRequest {
	o := r.options
	s := plannedRequest{
		id: ident.New(), target: o.Targets[i%len(o.Targets)], work: o.MeanWork,
		client:        fmt.Sprintf("client-%d", r.rng.Int64N(o.ClientCount)+1),
		nonRepeatable: r.rng.Int64N(perMille) < o.NonRepeatablePerMille,
	}
	if o.ExponentialWork {
		s.work = time.Duration(r.rng.ExpFloat64() * float64(o.MeanWork))
	}
	return s
}

// result is the outcome of one request as the client sees it.
type result struct {
	outcome fault.Outcome
	code    fault.Code
	latency time.Duration
	// badAnswer is set if the answer was truncated or belonged to another request.
	badAnswer bool
}

func (r *Runner) send(ctx context.Context, s plannedRequest) result {
	began := time.Now()
	res, err := r.post(ctx, s)
	if err != nil {
		return result{outcome: fault.Unknown, code: fault.CodePeerUnreachable, latency: time.Since(began)}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	out := result{latency: time.Since(began), outcome: fault.Done}
	if err != nil {
		out.outcome, out.badAnswer = fault.Unknown, true
		return out
	}
	if res.StatusCode != http.StatusOK {
		var b fault.Body
		out.outcome = fault.Unknown
		if json.Unmarshal(body, &b) == nil {
			out.outcome, out.code = b.Outcome, b.Code
		}
		return out
	}
	out.badAnswer = !bytes.Contains(body, []byte(s.id))
	return out
}

func (r *Runner) post(ctx context.Context, s plannedRequest) (*http.Response, error) {
	path := "/v1/services/" + r.options.Service + "/requests"
	if r.options.Direct {
		path = "/run"
	}
	body := fmt.Sprintf(`{"work_ms":%d}`, s.work.Milliseconds())
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+s.target+path, bytes.NewBufferString(body))
	if err != nil {
		return nil, err
	}
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set(parse.HeaderRequestID, s.id)
	req.Header.Set(parse.HeaderClient, s.client)
	req.Header.Set(parse.HeaderDeadlineMs, fmt.Sprint(r.options.Deadline.Milliseconds()))
	if s.nonRepeatable {
		req.Header.Set(parse.HeaderRepeatable, "false")
	}
	return r.client.Do(req)
}
