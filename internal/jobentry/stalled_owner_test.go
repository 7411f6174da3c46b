package jobentry

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/dispatch"
	"chervilridge/internal/election"
	"chervilridge/internal/limits"
	"chervilridge/internal/operator"
	"chervilridge/internal/operatorconfig"
	"chervilridge/internal/peer"
	"chervilridge/internal/schedulestore"
	"chervilridge/internal/settings"
	"chervilridge/internal/standin/metastore"
	"chervilridge/internal/telemetry"
	"chervilridge/platform"
)

const (
	stallTestTimeout = 20 * time.Second
	stallTestLease   = 2 * time.Second // the engine calls Stalled after it
)

// testEntry is an entry over the stand-in for the store, whose engine can be made to stand still.
type testEntry struct {
	*Entry
	// hold makes the next planning round wait until release is closed, with the lock of the engine held.
	hold    atomic.Bool
	release chan struct{}
	stalled chan string
}

// startTestEntry starts entry number n, which listens for its peers at address.
func startTestEntry(t *testing.T, ctx context.Context, store *metastore.Server, n int, address string, seeds []string, cpuShare float64) *testEntry {
	t.Helper()
	storeServer := httptest.NewServer(store.Handler(fmt.Sprintf("entry-%d", n)))
	t.Cleanup(func() {
		storeServer.CloseClientConnections()
		storeServer.Close()
	})
	e := &testEntry{release: make(chan struct{}), stalled: make(chan string, 1)}
	ip, port, err := net.SplitHostPort(address)
	assert.NilError(t, err)
	node := &platform.NodeSettings{Name: fmt.Sprintf("entry-%d", n), IP: ip, Seeds: seeds, Bounds: platform.Bounds{MaxLease: stallTestLease}}
	_, err = fmt.Sscan(port, &node.FirstPort)
	assert.NilError(t, err)
	pool := peer.NewPool()
	t.Cleanup(pool.Close)
	peers := NewPeers(node, pool)
	client := platform.NewStore(strings.TrimPrefix(storeServer.URL, "http://"))
	follower := operator.NewFollower(client, peers.FetchOperatorRecords)
	newEngine := func(w *schedulestore.Writer, restored *schedulestore.State) *dispatch.Engine {
		view := func() *operatorconfig.View {
			if e.hold.Load() {
				<-e.release
			}
			return follower.View()
		}
		engineSettings := dispatch.Settings{Node: node.Name, Bounds: node.Bounds, Stalled: func(reason string) { e.stalled <- reason }}
		return dispatch.New(engineSettings, w, restored, view, boottime.Now)
	}
	identity := election.Identity{Node: node.Name, Address: address, CPUShare: cpuShare, LinkMbps: 1000}
	elector := election.New(identity, client, peers, boottime.Now, func() bool { return true }, newEngine)
	router := NewRouter(elector, peers)
	guard := limits.New(limits.Machine{MemoryBytes: 256 << 20, Descriptors: 1024}, tally.NoopScope)
	e.Entry = newEntry(node, elector, follower, router, peers, NewService(elector, router, follower, peers), telemetry.New(settings.New("entry")), guard)
	l, err := net.Listen("tcp", address)
	assert.NilError(t, err)
	go func() { _ = e.peerServer.Serve(l) }()
	t.Cleanup(e.peerServer.Stop)
	go follower.Run(ctx)
	go elector.Run(ctx)
	return e
}

// readinessStatus returns the status of the readiness probe.
func (e *testEntry) readinessStatus() int {
	response := httptest.NewRecorder()
	e.readiness(response, httptest.NewRequest(http.MethodGet, platform.PathReadiness, nil))
	return response.Code
}

func eventually(t *testing.T, what string, holds func() bool) {
	t.Helper()
	for end := time.Now().Add(stallTestTimeout); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		if holds() {
			return
		}
	}
	t.Fatalf("%s: not within %v", what, stallTestTimeout)
}

// idleAgent is an agent without a worker. An owner without any agent gives the schedule up.
type idleAgent struct {
	ctx  context.Context
	sent bool
}

func (a *idleAgent) Send(*chervilv2.OwnerOrders) error { return nil }

func (a *idleAgent) Recv() (*chervilv2.AgentReport, error) {
	if a.sent {
		<-a.ctx.Done()
		return nil, a.ctx.Err()
	}
	a.sent = true
	return &chervilv2.AgentReport{Node: "side-1", Incarnation: "1", Full: true}, nil
}

func attachIdleAgent(ctx context.Context, engine *dispatch.Engine) {
	go func() { _ = engine.Attach(&idleAgent{ctx: ctx}, func() []string { return nil }) }()
}

// freeAddress returns an address on which nothing listens.
func freeAddress(t *testing.T, ip string) string {
	l, err := net.Listen("tcp", ip+":0")
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	return l.Addr().String()
}

// Guards against an owner whose engine hangs and that stays owner and in rotation, so that nothing is
// scheduled and calls get no answer any more.
func TestOwnerThatStandsStillIsReplacedAndLeavesTheRotation(t *testing.T) {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	state := metastore.NewState()
	state.Put("keyed.op", "config", []byte(`{"version":1,"routes":[{"name":"q","hostname":"h.example","path-prefix":"/q/","backend":"desk","timeout-ms":3000,"target-latency-ms":250,"max-attempts":4,"stretch":2}],"services":[{"name":"desk"}],"limits":{"max-body-bytes":65536}}`))
	store := metastore.NewServer(state, 1)
	first := freeAddress(t, "127.0.0.1")
	_, port, _ := net.SplitHostPort(first)
	second := net.JoinHostPort("127.0.0.2", port) // all entries have the same port
	owner := startTestEntry(t, ctx, store, 1, first, nil, 1)
	eventually(t, "first owner", func() bool { return owner.elector.Engine() != nil && owner.readinessStatus() == http.StatusOK })
	engine := owner.elector.Engine()
	attachIdleAgent(ctx, engine)
	other := startTestEntry(t, ctx, store, 2, second, []string{first}, 0)
	eventually(t, "second entry ready", func() bool { return other.readinessStatus() == http.StatusOK })
	assert.Assert(t, other.elector.Engine() == nil)

	defer close(owner.release)
	owner.hold.Store(true)
	eventually(t, "second entry takes over", func() bool { return other.elector.Engine() != nil })
	next := other.elector.Engine()
	attachIdleAgent(ctx, next)
	assert.Assert(t, next.Epoch() > engine.Epoch())
	eventually(t, "first entry leaves the rotation", func() bool { return owner.readinessStatus() == http.StatusServiceUnavailable })
	select {
	case <-owner.stalled:
	case <-time.After(stallTestTimeout):
		t.Fatal("the process with the engine that stands still does not end")
	}
	reply := NewRouter(other.elector, other.peers).Do(ctx, lookupCall("5c0e7a21d94b36f8"))
	assert.Equal(t, reply.Outcome, chervilv2.Outcome_OUTCOME_NO_SUCH_JOB, "the new owner answers")
}
