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

// roleVariable makes the test binary run as one program of the system, so that
// the tests can kill, pause and stop real processes.
const roleVariable = "FAULTTEST_ROLE"

// Unless the command line tells otherwise, the histories are the same in each run.
const (
	fixedSeed   = 4
	fixedChecks = 5000
)

var programs = map[string]func(set *settings.Set) func() fx.Option{
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
	if role := os.Getenv(roleVariable); role != "" {
		os.Exit(process.Main(process.Program{Name: role, Configure: programs[role]}))
	}
	os.Exit(fixedseed.Run(m, fixedseed.Options{Seed: fixedSeed, Checks: fixedChecks}))
}

// program is one running process. The log's address has nothing listening: the
// log is down throughout.
type program struct {
	*exec.Cmd
	t    *testing.T
	role string
	env  []string
	http string // of an entry
	grpc string
	log  bytes.Buffer // read once the process has ended
}

func newProgram(t *testing.T, role string, env ...string) *program {
	p := &program{t: t, role: role, http: freeAddress(t), grpc: freeAddress(t)}
	p.env = append(env, roleVariable+"="+role, "CHERVIL_GRPC_ADDRESS="+p.grpc, "CHERVIL_HTTP_ADDRESS="+p.http,
		"CHERVIL_METRICS_ADDRESS="+freeAddress(t), "CHERVIL_LOG_ADDRESS="+freeAddress(t), "CHERVIL_DRAIN_WAIT=100ms")
	p.start()
	t.Cleanup(func() {
		p.kill()
		if t.Failed() {
			t.Logf("%s at %s:\n%s", role, p.grpc, p.log.String())
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

// stop is a planned stop; it returns when the process has ended.
func (p *program) stop() {
	p.signal(syscall.SIGTERM)
	assert.NilError(p.t, p.Wait())
}

// Ports for the programs lie below those that the kernel gives to outgoing
// connections, so that none is taken before its program listens.
const (
	firstPort = 21_000
	ports     = 11_000
)

var nextPort atomic.Int64

func freeAddress(t *testing.T) string {
	const stride = 97 // keeps test processes of neighbouring ids apart
	for range ports {
		port := firstPort + (int64(os.Getpid())*stride+nextPort.Add(1))%ports
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			_ = l.Close()
			return l.Addr().String()
		}
	}
	t.Fatal("no free port")
	return ""
}

func newAgentProgram(t *testing.T, name string, e *endpoint, entries ...*program) *program {
	var addresses []string
	for _, p := range entries {
		addresses = append(addresses, p.grpc)
	}
	return newProgram(t, "agent", "CHERVIL_NAME="+name, "CHERVIL_ENDPOINT="+e.Listener.Addr().String(),
		"CHERVIL_ENTRIES="+strings.Join(addresses, ","), "CHERVIL_SERVICE="+service)
}

// reply is what a client got.
type reply struct {
	id     string
	status int
	body   string
	fault  fault.Body
	err    error
}

func (r reply) whole() bool { return r.err == nil && r.body == "answer to "+r.id }

var client = &http.Client{Timeout: 2 * longRequest}

// send sends one request to an entry as a client does.
func (p *program) send(repeatable bool) reply {
	out := reply{id: ident.New()}
	h, err := http.NewRequest(http.MethodPost, "http://"+p.http+"/v1/services/"+service+"/requests", strings.NewReader("price?"))
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

// serves waits until the entry answers.
func (p *program) serves(within time.Duration) {
	p.t.Helper()
	for began := time.Now(); !p.send(true).whole(); time.Sleep(20 * time.Millisecond) {
		assert.Assert(p.t, time.Since(began) < within, "no answer within %v", within)
	}
}

// slow answers after a while, as a price check does.
func slow(d time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		time.Sleep(d)
		_, _ = w.Write([]byte("answer to " + r.Header.Get(parse.HeaderRequestID)))
	}
}

// TestEntryRestartsWithoutLog kills an entry while the log is down, and starts
// it again: it serves within the stated 3 s.
func TestEntryRestartsWithoutLog(t *testing.T) {
	t.Parallel()
	e := newProgram(t, "entry")
	newAgentProgram(t, "agent-1", newEndpoint(t, nil), e)
	e.serves(longRequest)
	e.kill()
	e.start()
	e.serves(3 * time.Second)
}

// flood sends requests that must not be repeated until it is told to end, and
// returns those that were not answered whole.
func flood(p *program, clients int) (end func() (sent int64, failed []reply)) {
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
				if !r.whole() {
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

// TestPlannedStopOfAgent stops one of two agents under load: no request fails,
// and once the agent has ended its endpoint has run each request once.
func TestPlannedStopOfAgent(t *testing.T) {
	t.Parallel()
	e := newProgram(t, "entry")
	one, two := newEndpoint(t, slow(20*time.Millisecond)), newEndpoint(t, slow(20*time.Millisecond))
	leaving := newAgentProgram(t, "agent-1", one, e)
	newAgentProgram(t, "agent-2", two, e)
	e.serves(longRequest)
	end := flood(e, 4)
	for began := time.Now(); one.total() == 0 || two.total() == 0; time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < longRequest, "load does not reach both")
	}
	leaving.signal(syscall.SIGTERM)
	time.Sleep(noticed) // the stated time after which it gets no new work
	before := one.total()
	time.Sleep(300 * time.Millisecond)
	assert.Equal(t, one.total(), before)
	assert.NilError(t, leaving.Wait())
	sent, failed := end()
	assert.Equal(t, len(failed), 0, "%d sent, first failure %+v", sent, append(failed, reply{})[0])
	for _, runs := range []*endpoint{one, two} {
		assert.Equal(t, runs.most(), 1)
	}
}

// TestPlannedStopOfEntry stops an entry while a request is in flight.
func TestPlannedStopOfEntry(t *testing.T) {
	t.Parallel()
	e := newProgram(t, "entry")
	target := newEndpoint(t, slow(time.Second))
	newAgentProgram(t, "agent-1", target, e)
	e.serves(longRequest)
	before := target.total()
	out := make(chan reply, 1)
	go func() { out <- e.send(false) }()
	for began := time.Now(); target.total() == before; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < longRequest)
	}
	e.stop()
	assert.Assert(t, (<-out).whole())
}

// TestPausedAgent pauses one of two agents while its endpoint runs a request
// that may be repeated, and lets it go on much later.
func TestPausedAgent(t *testing.T) {
	t.Parallel()
	e := newProgram(t, "entry")
	gate := make(chan struct{})
	target := newEndpoint(t, gated(gate, 0))
	paused := newAgentProgram(t, "agent-1", target, e)
	e.serves(longRequest)
	before := target.total()
	out := make(chan reply, 1)
	go func() { out <- e.send(true) }()
	for began := time.Now(); target.total() == before; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < longRequest)
	}
	newAgentProgram(t, "agent-2", newEndpoint(t, nil), e)
	paused.signal(syscall.SIGSTOP)
	assert.Assert(t, (<-out).whole())
	close(gate)
	paused.signal(syscall.SIGCONT)
	e.serves(longRequest)
}

// TestKilledAgent kills the only agent while its endpoint runs a request that
// must not be repeated: unknown, with the request id and the agent to ask.
func TestKilledAgent(t *testing.T) {
	t.Parallel()
	e := newProgram(t, "entry")
	gate := make(chan struct{})
	defer close(gate)
	target := newEndpoint(t, gated(gate, 0))
	killed := newAgentProgram(t, "agent-1", target, e)
	e.serves(longRequest)
	before := target.total()
	out := make(chan reply, 1)
	go func() { out <- e.send(false) }()
	for began := time.Now(); target.total() == before; time.Sleep(5 * time.Millisecond) {
		assert.Assert(t, time.Since(began) < longRequest)
	}
	killed.kill()
	got := <-out
	assert.Equal(t, got.fault.Outcome, fault.Unknown)
	assert.Assert(t, strings.HasPrefix(got.fault.Agent, "agent-1/"), got.fault.Agent)
	assert.Equal(t, target.ran(got.fault.RequestID), 1)
}
