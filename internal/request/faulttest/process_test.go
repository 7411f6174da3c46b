package faulttest

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"go.uber.org/fx"
	"gotest.tools/v3/assert"

	"chervilridge/internal/agent"
	"chervilridge/internal/entry"
	"chervilridge/internal/fault"
	"chervilridge/internal/fixedseed"
	"chervilridge/internal/ident"
	"chervilridge/internal/process"
	"chervilridge/internal/request/parse"
	"chervilridge/internal/settings"
)

// roleEnvVar makes the test binary run as an entry or an agent, so that the tests
// can kill, pause and stop real processes.
const roleEnvVar = "FAULTTEST_ROLE"

// The seed and the number of histories that TestRequestProtocol checks in every run,
// unless the command line sets others.
const (
	fixedSeed   = 4
	fixedChecks = 5000
)

var programModules = map[string]func(set *settings.Set) func() fx.Option{
	"entry": func(set *settings.Set) func() fx.Option {
		o := entry.NewOptions(set)
		return func() fx.Option { return entry.Module(set, o) }
	},
	"agent": func(set *settings.Set) func() fx.Option {
		o := agent.NewOptions(set)
		return func() fx.Option { return agent.Module(set, o) }
	},
}

func TestMain(m *testing.M) {
	if role := os.Getenv(roleEnvVar); role != "" {
		os.Exit(process.Main(process.Program{Name: role, Configure: programModules[role]}))
	}
	os.Exit(fixedseed.Run(m, fixedseed.Options{Seed: fixedSeed, Checks: fixedChecks}))
}

// program is one process of the system. Nothing listens on its log address, so it
// runs without the log.
type program struct {
	*exec.Cmd
	t           *testing.T
	role        string
	env         []string
	httpAddress string // listened on by an entry only
	grpcAddress string
	log         bytes.Buffer // read once the process has ended
}

func newProgram(t *testing.T, role string, env ...string) *program {
	p := &program{t: t, role: role, httpAddress: freeAddress(t), grpcAddress: freeAddress(t)}
	p.env = append(env, roleEnvVar+"="+role, "CHERVIL_GRPC_ADDRESS="+p.grpcAddress, "CHERVIL_HTTP_ADDRESS="+p.httpAddress,
		"CHERVIL_METRICS_ADDRESS="+freeAddress(t), "CHERVIL_LOG_ADDRESS="+freeAddress(t), "CHERVIL_DRAIN_WAIT=100ms")
	p.start()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s at %s:\n%s", role, p.grpcAddress, p.log.String())
		}
	})
	return p
}

func (p *program) start() {
	p.Cmd = exec.Command(os.Args[0])
	p.Cmd.Env = append(os.Environ(), p.env...)
	p.Cmd.Stderr = &p.log
	assert.NilError(p.t, p.Cmd.Start())
}

func (p *program) kill() {
	_ = p.Process.Kill()
	_ = p.Wait()
}

func (p *program) signal(s syscall.Signal) { assert.NilError(p.t, p.Process.Signal(s)) }

// shutDown requests a planned stop and waits until the process has ended.
func (p *program) shutDown() {
	p.signal(syscall.SIGTERM)
	assert.NilError(p.t, p.Wait())
}

// The ports of the programs lie below the ephemeral port range of the kernel: an
// outgoing connection could otherwise take a port before its program listens on it.
const (
	firstPort = 21_000
	portCount = 11_000
)

var nextPort atomic.Int64

func freeAddress(t *testing.T) string {
	const stride = 97 // spreads the ports of test processes with adjacent process ids
	for range portCount {
		port := firstPort + (int64(os.Getpid())*stride+nextPort.Add(1))%portCount
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	t.Fatalf("no free port in %d to %d", firstPort, firstPort+portCount-1)
	return ""
}

func newAgentProgram(t *testing.T, name string, e *endpoint, entries ...*program) *program {
	var addresses []string
	for _, p := range entries {
		addresses = append(addresses, p.grpcAddress)
	}
	return newProgram(t, "agent", "CHERVIL_NAME="+name, "CHERVIL_ENDPOINT="+e.Listener.Addr().String(),
		"CHERVIL_ENTRIES="+strings.Join(addresses, ","), "CHERVIL_SERVICE="+service)
}

// reply is the response that a client received, or the error of its call.
type reply struct {
	id     string
	status int
	body   string
	fault  fault.Body
	err    error
}

// complete reports whether the reply is the whole answer to its own request.
func (r reply) complete() bool { return r.err == nil && r.body == "answer to "+r.id }

var client = &http.Client{Timeout: 2 * requestTimeout}

// send sends one request to an entry as a client does.
func (p *program) send(repeatable bool) reply {
	out := reply{id: ident.New()}
	h, err := http.NewRequest(http.MethodPost, "http://"+p.httpAddress+"/v1/services/"+service+"/requests", strings.NewReader("price?"))
	if err != nil {
		return reply{err: err}
	}
	h.Header.Set(parse.HeaderRepeatable, map[bool]string{true: "true", false: "false"}[repeatable])
	res, err := client.Do(h)
	if err != nil {
		return reply{err: err}
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	out.status, out.body, out.err = res.StatusCode, string(body), err
	out.id = res.Header.Get(parse.HeaderRequestID)
	_ = json.Unmarshal(body, &out.fault)
	return out
}

// waitServing waits until the entry answers a request.
func (p *program) waitServing(within time.Duration) {
	p.t.Helper()
	for began := time.Now(); !p.send(true).complete(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(p.t, time.Since(began) < within, "no answer within %v", within)
	}
}

// delayedAnswer answers after the delay.
func delayedAnswer(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		_, _ = w.Write([]byte("answer to " + r.Header.Get(parse.HeaderRequestID)))
	}
}

// TestEntryRestartsWithoutLog restarts a killed entry while the log is down. It must
// serve again within the documented 3 s.
func TestEntryRestartsWithoutLog(t *testing.T) {
	t.Parallel()
	e := newProgram(t, "entry")
	newAgentProgram(t, "agent-1", newEndpoint(t, nil), e)
	e.waitServing(requestTimeout)
	e.kill()
	e.start()
	e.waitServing(3 * time.Second)
}

// startLoad sends requests that must not be repeated from a number of concurrent
// clients. The returned function stops them and returns the number of requests and the
// replies that were not a complete answer.
func startLoad(p *program, clients int) (end func() (sent int64, failed []reply)) {
	var stop atomic.Bool
	var sent atomic.Int64
	var mu sync.Mutex
	var failed []reply
	var wg sync.WaitGroup
	for range clients {
		wg.Go(func() {
			for !stop.Load() {
				r := p.send(false)
				sent.Add(1)
				if !r.complete() {
					mu.Lock()
					failed = append(failed, r)
					mu.Unlock()
				}
			}
		})
	}
	return func() (int64, []reply) {
		stop.Store(true)
		wg.Wait()
		return sent.Load(), failed
	}
}

// TestPlannedStopOfAgent stops one of two agents under load. No request fails or runs
// twice, and the stopping agent gets no new requests after the documented time.
func TestPlannedStopOfAgent(t *testing.T) {
	t.Parallel()
	e := newProgram(t, "entry")
	one, two := newEndpoint(t, delayedAnswer(20*time.Millisecond)), newEndpoint(t, delayedAnswer(20*time.Millisecond))
	leaving := newAgentProgram(t, "agent-1", one, e)
	newAgentProgram(t, "agent-2", two, e)
	e.waitServing(requestTimeout)
	end := startLoad(e, 4)
	for began := time.Now(); one.runCount() == 0 || two.runCount() == 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < requestTimeout, "load has not reached both endpoints")
	}
	leaving.signal(syscall.SIGTERM)
	time.Sleep(detectionBound) // after this documented time it gets no new requests
	before := one.runCount()
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, one.runCount(), before)
	assert.NilError(t, leaving.Wait())
	sent, failed := end()
	assert.Equal(t, len(failed), 0, "%d sent, first failure %+v", sent, append(failed, reply{})[0])
	for _, target := range []*endpoint{one, two} {
		assert.Equal(t, target.maxRunsPerRequest(), 1)
	}
}

// TestPlannedStopOfEntry stops an entry while a request is in flight: the request is
// still answered.
func TestPlannedStopOfEntry(t *testing.T) {
	t.Parallel()
	e := newProgram(t, "entry")
	target := newEndpoint(t, delayedAnswer(time.Second))
	newAgentProgram(t, "agent-1", target, e)
	e.waitServing(requestTimeout)
	before := target.runCount()
	out := make(chan reply, 1)
	go func() { out <- e.send(false) }()
	for began := time.Now(); target.runCount() == before; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < requestTimeout)
	}
	e.shutDown()
	assert.Assert(t, (<-out).complete())
}

// TestPausedAgent pauses an agent while its endpoint runs a request that may be
// repeated: another agent answers it. The paused agent resumes later without harm.
func TestPausedAgent(t *testing.T) {
	t.Parallel()
	e := newProgram(t, "entry")
	gate := make(chan struct{})
	target := newEndpoint(t, gatedAnswer(gate, 0))
	paused := newAgentProgram(t, "agent-1", target, e)
	e.waitServing(requestTimeout)
	before := target.runCount()
	out := make(chan reply, 1)
	go func() { out <- e.send(true) }()
	for began := time.Now(); target.runCount() == before; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < requestTimeout)
	}
	newAgentProgram(t, "agent-2", newEndpoint(t, nil), e)
	paused.signal(syscall.SIGSTOP)
	assert.Assert(t, (<-out).complete())
	close(gate)
	paused.signal(syscall.SIGCONT)
	e.waitServing(requestTimeout)
}

// TestKilledAgent kills the only agent while its endpoint runs a request that must not
// be repeated. The error reports "unknown", with the request id and the agent to ask.
func TestKilledAgent(t *testing.T) {
	t.Parallel()
	e := newProgram(t, "entry")
	gate := make(chan struct{})
	defer close(gate)
	target := newEndpoint(t, gatedAnswer(gate, 0))
	killed := newAgentProgram(t, "agent-1", target, e)
	e.waitServing(requestTimeout)
	before := target.runCount()
	out := make(chan reply, 1)
	go func() { out <- e.send(false) }()
	for began := time.Now(); target.runCount() == before; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < requestTimeout)
	}
	killed.kill()
	got := <-out
	assert.Equal(t, got.fault.Outcome, fault.Unknown)
	assert.Assert(t, strings.HasPrefix(got.fault.Agent, "agent-1/"), got.fault.Agent)
	assert.Equal(t, target.runsOf(got.fault.RequestID), 1)
}
