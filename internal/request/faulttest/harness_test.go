package faulttest

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"google.golang.org/grpc"
	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/agent/admission"
	"chervilridge/internal/agent/execution"
	"chervilridge/internal/agent/runner"
	"chervilridge/internal/fault"
	"chervilridge/internal/ident"
	"chervilridge/internal/membership"
	"chervilridge/internal/peer"
	"chervilridge/internal/request"
	"chervilridge/internal/request/retry"
	"chervilridge/internal/request/send"
	"chervilridge/internal/request/verify"
	"chervilridge/internal/standin/proxy"
)

const (
	service        = "quotedesk"
	requestTimeout = 10 * time.Second // deadline of a request, and limit of every wait
	// detectionBound is the documented limit for detecting an unresponsive connection.
	detectionBound = 2 * time.Second
)

// endpoint is a scripted endpoint that counts the runs of each request id.
type endpoint struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
	// answer writes the answer; nil writes "answer to <id>".
	answer  http.HandlerFunc
	started chan string // receives the id of each run that starts
}

func newEndpoint(t *testing.T, answer http.HandlerFunc) *endpoint {
	e := &endpoint{runs: map[string]int{}, answer: answer, started: make(chan string, 100)}
	e.Server = httptest.NewServer(http.HandlerFunc(e.serve))
	t.Cleanup(func() {
		e.CloseClientConnections()
		e.Close()
	})
	return e
}

func (e *endpoint) serve(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/healthz" {
		return
	}
	id := r.Header.Get(runner.HeaderRequestID)
	e.mu.Lock()
	e.runs[id]++
	e.mu.Unlock()
	select {
	case e.started <- id:
	default: // nobody is waiting
	}
	if e.answer != nil {
		e.answer(w, r)
		return
	}
	_, _ = w.Write([]byte("answer to " + id))
}

// runsOf returns how often the request ran.
func (e *endpoint) runsOf(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// node is an agent with its endpoint. Entries reach the agent through a proxy that
// injects connection faults.
type node struct {
	*endpoint
	name         string
	server       *grpc.Server
	proxy        *proxy.Proxy
	agentAddress string // the agent's own address, behind the proxy
	member       *membership.Member
	store        *execution.Store
}

type panickingObserver struct{}

func (panickingObserver) Observe(time.Duration) { panic("observer") }

type noopObserver struct{}

func (noopObserver) Observe(time.Duration) {}

func newNode(t *testing.T, name string, answer http.HandlerFunc) *node {
	n := &node{endpoint: newEndpoint(t, answer), name: name}
	n.startAgent(t, "127.0.0.1:0", noopObserver{})
	p, err := proxy.Listen(n.agentAddress)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	n.proxy = p
	n.member.Endpoint.Address = p.Address()
	return n
}

// startAgent starts a new incarnation of the agent. The endpoint keeps running.
func (n *node) startAgent(t *testing.T, address string, observer runner.Observer) {
	l := listenWhenFree(t, address)
	n.agentAddress = l.Addr().String()
	incarnation := ident.New()
	gate := admission.New(admission.Options{Slots: 8, MaxQueue: 64, InitialServiceTime: 5 * time.Millisecond})
	n.store = execution.NewStore(execution.Options{Retention: time.Minute})
	n.server = peer.NewServer()
	pb.RegisterRunnerServer(n.server, runner.New(runner.Options{
		Agent: n.name, Incarnation: incarnation, Service: service, Endpoint: n.Listener.Addr().String(), Connections: 64,
	}, gate, n.store, observer))
	server := n.server
	go func() { _ = server.Serve(l) }()
	t.Cleanup(server.Stop)
	n.member = &membership.Member{Endpoint: &pb.Endpoint{
		Agent: n.name, Incarnation: incarnation, Address: n.agentAddress, Service: service,
	}}
}

// picker replaces the pick stage: it takes the first node that was not tried yet.
type picker struct {
	next  request.Handler
	nodes []*node
}

func (p picker) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	for _, n := range p.nodes {
		if !r.WasTried(n.member) {
			r.Target = n.member
			r.Tried = append(r.Tried, n.member)
			return p.next.Handle(ctx, r)
		}
	}
	return nil, fault.New(fault.CodeNoEndpoint, fault.StepPick, r.Service, "none left")
}

// newEntry builds the stages of an entry that follow admission.
func newEntry(t *testing.T, nodes ...*node) request.Handler {
	pool := peer.NewPool()
	t.Cleanup(pool.Close)
	return retry.New(picker{verify.New(send.New(pool)), nodes}, retry.NewBudget(0.1, 50), 3)
}

func newRequest(repeatable bool, deadline time.Duration) *request.Request {
	return &request.Request{
		ID: ident.New(), Service: service, Client: "fitter", Repeatable: repeatable,
		Deadline: time.Now().Add(deadline), Body: []byte("price?"), Weight: 1,
	}
}

// warmUp sends one request, so that the entry has a connection before faults start.
func warmUp(t *testing.T, entry request.Handler) {
	_, err := entry.Handle(context.Background(), newRequest(true, requestTimeout))
	assert.NilError(t, err)
}

type result struct {
	answer  *request.Answer
	err     error
	elapsed time.Duration
}

// handleAsync handles the request in the background and sends its result once.
func handleAsync(entry request.Handler, r *request.Request) <-chan result {
	out := make(chan result, 1)
	began := time.Now()
	go func() {
		a, err := entry.Handle(context.Background(), r)
		out <- result{a, err, time.Since(began)}
	}()
	return out
}

// waitRunStarted waits until the endpoint has started to run the request.
func waitRunStarted(t *testing.T, e *endpoint, id string) {
	t.Helper()
	limit := time.After(requestTimeout)
	for {
		select {
		case got := <-e.started:
			if got == id {
				return
			}
		case <-limit:
			t.Fatalf("endpoint did not start request %s within %v", id, requestTimeout)
		}
	}
}

// assertAnswered checks that the request got its own, complete answer.
func assertAnswered(t *testing.T, got result, r *request.Request) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, string(got.answer.Body), "answer to "+r.ID)
}

func isListening(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// listenWhenFree listens on the address, and retries until the previous listener has closed it.
func listenWhenFree(t *testing.T, address string) net.Listener {
	t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		l, err := net.Listen("tcp", address)
		if err == nil {
			return l
		}
		assert.Assert(t, time.Since(began) < requestTimeout, "%v", err)
	}
}

// runCount returns the number of runs of all requests.
func (e *endpoint) runCount() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, runs := range e.runs {
		n += runs
	}
	return n
}

// maxRunsPerRequest returns how often the request that ran most often ran.
func (e *endpoint) maxRunsPerRequest() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, runs := range e.runs {
		n = max(n, runs)
	}
	return n
}
