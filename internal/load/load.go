// Package load sends requests at a fixed rate, whatever the answers do, and
// counts what came of them.
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

// Options describe one run. It ends after Duration and the last answer.
type Options struct {
	// Targets are the ip:port of entries, used in turn.
	Targets  []string
	Service  string
	Rate     int64 // requests a second
	Duration time.Duration
	Deadline time.Duration
	// Work is the mean work of a request at the sample endpoint; it is drawn
	// from an exponential distribution if Spread is set.
	Work   time.Duration
	Spread bool
	// Clients is the number of client names that the requests are dealt to.
	Clients int64
	// OnceMilli is the share of requests that must not be repeated, in thousandths.
	OnceMilli int64
	Seed      uint64
	// Direct sends to endpoints instead of entries.
	Direct bool
}

const (
	maxIdleConns = 1024
	milli        = 1000
	grace        = 2 * time.Second // past the deadline, for the refusal to arrive
)

// shot is one request as drawn from the seed.
type shot struct {
	id     string
	target string
	client string
	work   time.Duration
	once   bool
}

// Runner sends the requests of one run.
type Runner struct {
	options Options
	http    *http.Client
	random  *rand.Rand
	report  *Report
}

// NewRunner returns a runner that has sent nothing.
func NewRunner(o Options) *Runner {
	transport := &http.Transport{MaxIdleConns: maxIdleConns, MaxIdleConnsPerHost: maxIdleConns}
	return &Runner{
		options: o, http: &http.Client{Transport: transport, Timeout: o.Deadline + grace},
		random: rand.New(rand.NewPCG(o.Seed, o.Seed)), report: NewReport(),
	}
}

// Run sends until the duration or the context ends and returns the report.
func (r *Runner) Run(ctx context.Context) *Report {
	var wg sync.WaitGroup
	interval := time.Second / time.Duration(r.options.Rate)
	total := int(r.options.Duration / interval)
	began := time.Now()
	for i := range total {
		if !wait.Until(ctx, began.Add(time.Duration(i)*interval)) {
			break
		}
		s := r.draw(i)
		wg.Go(func() { r.report.add(r.send(ctx, s)) })
	}
	wg.Wait()
	r.http.CloseIdleConnections()
	return r.report
}

func (r *Runner) draw(i int) shot {
	o := r.options
	s := shot{
		id: ident.New(), target: o.Targets[i%len(o.Targets)], work: o.Work,
		client: fmt.Sprintf("client-%d", r.random.Int64N(o.Clients)+1),
		once:   r.random.Int64N(milli) < o.OnceMilli,
	}
	if o.Spread {
		s.work = time.Duration(r.random.ExpFloat64() * float64(o.Work))
	}
	return s
}

// result is what came of one request.
type result struct {
	outcome fault.Outcome
	code    fault.Code
	took    time.Duration
	// wrong is set if the answer was to another request or not whole.
	wrong bool
}

func (r *Runner) send(ctx context.Context, s shot) result {
	began := time.Now()
	res, err := r.post(ctx, s)
	if err != nil {
		return result{outcome: fault.Unknown, code: fault.CodePeerUnreachable, took: time.Since(began)}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	out := result{took: time.Since(began), outcome: fault.Done}
	if err != nil {
		out.outcome, out.wrong = fault.Unknown, true
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
	out.wrong = !bytes.Contains(body, []byte(s.id))
	return out
}

func (r *Runner) post(ctx context.Context, s shot) (*http.Response, error) {
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
	if s.once {
		req.Header.Set(parse.HeaderRepeatable, "false")
	}
	return r.http.Do(req)
}
