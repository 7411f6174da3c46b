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
	service     = "quotedesk"
	longRequest = 10 * time.Second // deadline of a request
	// noticed is the stated bound to notice a silent connection.
	noticed = 2 * time.Second
)

// endpoint is a scripted endpoint that counts the runs of each request id.
type endpoint struct {
	*httptest.Server
	mu   sync.Mutex
	runs map[string]int
	// answer writes the answer; nil writes "answer to <id>".
	answer http.HandlerFunc
	began  chan string // gets the id of each run that begins
}

func newEndpoint(t *testing.T, answer http.HandlerFunc) *endpoint {
	e := &endpoint{runs: map[string]int{}, answer: answer, began: make(chan string, 100)}
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
	case e.began <- id:
	default: // nobody waits
	}
	if e.answer != nil {
		e.answer(w, r)
		return
	}
	_, _ = w.Write([]byte("answer to " + id))
}

func (e *endpoint) ran(id string) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.runs[id]
}

// node is an agent beside an endpoint, behind a proxy.
type node struct {
	*endpoint
	name   string
	server *grpc.Server
	proxy  *proxy.Proxy
	target string // the agent's own address
	member *membership.Member
	store  *execution.Store
}

type panics struct{}

func (panics) Observe(time.Duration) { panic("observer") }

type ignores struct{}

func (ignores) Observe(time.Duration) {}

func newNode(t *testing.T, name string, answer http.HandlerFunc) *node {
	n := &node{endpoint: newEndpoint(t, answer), name: name}
	n.start(t, "127.0.0.1:0", ignores{})
	p, err := proxy.Listen(n.target)
	assert.NilError(t, err)
	t.Cleanup(p.Close)
	n.proxy = p
	n.member.Endpoint.Address = p.Address()
	return n
}

// start runs a new incarnation of the agent.
func (n *node) start(t *testing.T, address string, observer runner.Observer) {
	l := listen(t, address)
	n.target = l.Addr().String()
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
		Agent: n.name, Incarnation: incarnation, Address: n.target, Service: service,
	}}
}

// picker stands for the choice of the endpoint: the first that was not tried.
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

// newEntry joins the stages of an entry behind its admission.
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

// warm makes sure that the entry has a connection to the nodes.
func warm(t *testing.T, entry request.Handler) {
	_, err := entry.Handle(context.Background(), newRequest(true, longRequest))
	assert.NilError(t, err)
}

type result struct {
	answer *request.Answer
	err    error
	took   time.Duration
}

func handle(entry request.Handler, r *request.Request) <-chan result {
	out := make(chan result, 1)
	began := time.Now()
	go func() {
		a, err := entry.Handle(context.Background(), r)
		out <- result{a, err, time.Since(began)}
	}()
	return out
}

// waitBegun waits until the endpoint began to run the request.
func waitBegun(t *testing.T, e *endpoint, id string) {
	t.Helper()
	limit := time.After(longRequest)
	for {
		select {
		case got := <-e.began:
			if got == id {
				return
			}
		case <-limit:
			t.Fatal("endpoint did not begin to run the request")
		}
	}
}

func isWhole(t *testing.T, got result, r *request.Request) {
	t.Helper()
	assert.NilError(t, got.err)
	assert.Equal(t, string(got.answer.Body), "answer to "+r.ID)
}

func listening(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// listen waits until the last owner of the address has closed it.
func listen(t *testing.T, address string) net.Listener {
	t.Helper()
	for began := time.Now(); ; time.Sleep(10 * time.Millisecond) {
		l, err := net.Listen("tcp", address)
		if err == nil {
			return l
		}
		assert.Assert(t, time.Since(began) < longRequest, "%v", err)
	}
}

// total returns how many runs there were, and most how many of one request.
func (e *endpoint) total() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, runs := range e.runs {
		n += runs
	}
	return n
}

func (e *endpoint) most() (n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, runs := range e.runs {
		n = max(n, runs)
	}
	return n
}
