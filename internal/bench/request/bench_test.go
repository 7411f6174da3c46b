package request

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/agent/admission"
	"chervilridge/internal/agent/execution"
	"chervilridge/internal/agent/latency"
	"chervilridge/internal/agent/runner"
	"chervilridge/internal/entry/api"
	"chervilridge/internal/ident"
	"chervilridge/internal/membership"
	"chervilridge/internal/peer"
	"chervilridge/internal/request"
	"chervilridge/internal/request/admit"
	"chervilridge/internal/request/claim"
	"chervilridge/internal/request/parse"
	"chervilridge/internal/request/retry"
	"chervilridge/internal/request/send"
	"chervilridge/internal/request/verify"
)

const (
	service    = "quotedesk"
	bodyBytes  = 512
	maxMicros  = 10_000_000
	digits     = 3
	slots      = 8
	warmupRuns = 200
)

func TestMain(m *testing.M) {
	klog.LogToStderr(false)
	klog.SetOutput(io.Discard)
	os.Exit(m.Run())
}

// target stands for the choice of the endpoint: there is one.
type target struct {
	next   request.Handler
	member *membership.Member
}

func (s target) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	r.Target = s.member
	r.Tried = append(r.Tried, s.member)
	return s.next.Handle(ctx, r)
}

func newEndpoint(b *testing.B) *httptest.Server {
	answer := []byte(strings.Repeat("a", bodyBytes))
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = w.Write(answer)
	}))
	b.Cleanup(s.Close)
	return s
}

// newAgent returns the endpoint as an entry sees it.
func newAgent(b *testing.B, endpoint string) *membership.Member {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	incarnation := ident.New()
	run := runner.New(runner.Options{Agent: "agent-1", Incarnation: incarnation, Service: service, Endpoint: endpoint, Connections: 64},
		admission.New(admission.Options{Slots: slots, MaxQueue: 64, InitialServiceTime: 5 * time.Millisecond}),
		execution.NewStore(execution.Options{Retention: 10 * time.Minute, MaxBytes: 64 << 20}),
		latency.NewWindow(10*time.Second))
	server := peer.NewServer()
	pb.RegisterRunnerServer(server, run)
	go func() { _ = server.Serve(l) }()
	b.Cleanup(server.Stop)
	return &membership.Member{Endpoint: &pb.Endpoint{
		Agent: "agent-1", Incarnation: incarnation, Address: l.Addr().String(), Service: service,
	}}
}

func newEntry(b *testing.B, m *membership.Member) *httptest.Server {
	pool := peer.NewPool()
	b.Cleanup(pool.Close)
	sent := target{claim.New(verify.New(send.New(pool)), nil, nil, nil), m}
	head := admit.New(claim.NewReleaser(retry.New(sent, retry.NewBudget(0.1, 50), 3), nil), 4096)
	s := httptest.NewServer(api.New(api.Dependencies{
		Pipeline: head, Limits: parse.Limits{MaxBodyBytes: 4 << 20, DefaultDeadline: 10 * time.Second, MaxDeadline: time.Minute},
	}))
	b.Cleanup(s.Close)
	return s
}

// BenchmarkRequest calls the endpoint directly and through entry and agent, over
// real sockets in one process, with one caller and with as many as slots.
func BenchmarkRequest(b *testing.B) {
	endpoint := newEndpoint(b)
	entry := newEntry(b, newAgent(b, endpoint.Listener.Addr().String()))
	ways := map[string]string{"direct": endpoint.URL + "/run", "entry": entry.URL + "/v1/services/" + service + "/requests"}
	for _, callers := range []int{1, slots} {
		for _, way := range []string{"direct", "entry"} {
			b.Run(fmt.Sprintf("%s/callers-%d", way, callers), func(b *testing.B) { measure(b, ways[way], callers) })
		}
	}
}

func measure(b *testing.B, url string, callers int) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callers}}
	for range warmupRuns {
		call(b, client, url)
	}
	times := hdrhistogram.New(1, maxMicros, digits)
	work, done := make(chan struct{}), make(chan time.Duration, callers)
	for range callers {
		go func() {
			for range work {
				began := time.Now()
				call(b, client, url)
				done <- time.Since(began)
			}
		}()
	}
	b.ReportAllocs()
	b.ResetTimer()
	before := processorTime(b)
	go func() {
		for range b.N {
			work <- struct{}{}
		}
		close(work)
	}()
	for range b.N {
		_ = times.RecordValue((<-done).Microseconds())
	}
	b.ReportMetric(float64(processorTime(b)-before)/float64(b.N)/1e3, "µs-cpu/op")
	b.ReportMetric(float64(times.ValueAtPercentile(50)), "p50-µs")
	b.ReportMetric(float64(times.ValueAtPercentile(99)), "p99-µs")
}

func call(b *testing.B, client *http.Client, url string) {
	res, err := client.Post(url, "application/json", strings.NewReader(strings.Repeat("q", bodyBytes)))
	if err != nil {
		b.Error(err)
		return
	}
	defer func() { _ = res.Body.Close() }()
	n, _ := io.Copy(io.Discard, res.Body)
	if n != bodyBytes || res.StatusCode != http.StatusOK {
		b.Errorf("status %d, %d bytes", res.StatusCode, n)
	}
}

// processorTime is that of the whole process: callers and endpoint included.
func processorTime(b *testing.B) time.Duration {
	var u syscall.Rusage
	assert.NilError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
