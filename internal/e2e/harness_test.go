package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/entry/api"
	"chervilridge/internal/fault"
	"chervilridge/internal/standin/ports"
)

// liveness bounds every wait for something good to happen; no verdict on a
// promise hangs on it.
const liveness = 40 * time.Second

var buildOnce struct {
	sync.Once
	dir string
	err error
}

func TestMain(m *testing.M) {
	code := m.Run()
	if buildOnce.dir != "" {
		_ = os.RemoveAll(buildOnce.dir)
	}
	os.Exit(code)
}

// programs builds all programs once and returns their folder.
func programs(t *testing.T) string {
	buildOnce.Do(func() {
		buildOnce.dir, buildOnce.err = os.MkdirTemp("", "chervil-e2e-")
		if buildOnce.err != nil {
			return
		}
		out, err := exec.Command("go", "build", "-o", buildOnce.dir+"/", "chervilridge/cmd/...").CombinedOutput()
		if err != nil {
			buildOnce.err = fmt.Errorf("%w: %s", err, out)
		}
	})
	assert.NilError(t, buildOnce.err)
	return buildOnce.dir
}

// proc is one started process.
type proc struct {
	cmd  *exec.Cmd
	log  *os.File
	done chan struct{}
	// signalled is set once the test has sent a signal.
	signalled bool
}

func (p *proc) signal(t *testing.T, s syscall.Signal) {
	t.Helper()
	p.signalled = true
	assert.NilError(t, p.cmd.Process.Signal(s))
}

// kill ends the process at once and waits for it.
func (p *proc) kill() {
	p.signalled = true
	_ = p.cmd.Process.Kill()
	<-p.done
}

// fleet is a whole system under test.
type fleet struct {
	t        *testing.T
	dir      string
	platform string
	entries  []string // HTTP addresses
	grpc     []string
	agents   []agentAddr
	procs    map[string]*proc
	args     map[string][]string
}

type agentAddr struct {
	name, endpoint string
}

var centres = []string{"pnw-a", "pnw-b", "pnw-c"}

func freeAddress(t *testing.T) string {
	address, err := ports.Free()
	assert.NilError(t, err)
	return address
}

// newFleet starts a platform, two entries and agents with endpoints,
// and waits until all are announced.
func newFleet(t *testing.T, agents int) *fleet {
	f := &fleet{t: t, dir: t.TempDir(), platform: freeAddress(t), procs: map[string]*proc{}, args: map[string][]string{}}
	t.Cleanup(f.stopAll)
	f.start("platform", "chervil-platform", "serve", "--address", f.platform)
	for range 2 {
		f.entries = append(f.entries, freeAddress(t))
		f.grpc = append(f.grpc, freeAddress(t))
	}
	for i := range f.entries {
		f.start(fmt.Sprintf("entry-%d", i+1), "chervil-entry", "--name", fmt.Sprintf("entry-%d", i+1),
			"--http-address", f.entries[i], "--grpc-address", f.grpc[i], "--metrics-address", freeAddress(t),
			"--log-address", f.platform, "--drain-wait", "100ms", "--max-body", "100000")
	}
	for i := range agents {
		f.addAgent(i)
	}
	f.eventually("agents announced", func() bool { return f.ready(agents) })
	f.put(f.readDeploy())
	return f
}

func (f *fleet) addAgent(i int) {
	n := i + 1
	a := agentAddr{name: fmt.Sprintf("agent-%d", n), endpoint: freeAddress(f.t)}
	f.agents = append(f.agents, a)
	f.start(fmt.Sprintf("endpoint-%d", n), "chervil-platform", "endpoint", "--address", a.endpoint, "--name", fmt.Sprintf("endpoint-%d", n))
	f.start(a.name, "chervil-agent", "--name", a.name, "--grpc-address", freeAddress(f.t), "--metrics-address", freeAddress(f.t),
		"--log-address", f.platform,
		"--entries", strings.Join(f.grpc, ","), "--service", "quotedesk", "--endpoint", a.endpoint,
		"--region", "pnw", "--data-centre", centres[i%len(centres)])
}

// start runs a program; a name that ran before is started with a new process.
func (f *fleet) start(name, program string, args ...string) {
	log, err := os.Create(filepath.Join(f.dir, fmt.Sprintf("%s-%d.log", name, time.Now().UnixNano())))
	assert.NilError(f.t, err)
	cmd := exec.Command(filepath.Join(programs(f.t), program), args...)
	cmd.Stdout, cmd.Stderr = log, log
	assert.NilError(f.t, cmd.Start())
	p := &proc{cmd: cmd, log: log, done: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		close(p.done)
	}()
	f.procs[name] = p
	f.args[name] = append([]string{program}, args...)
}

func (f *fleet) stopAll() {
	for name, p := range f.procs {
		_ = p.cmd.Process.Signal(syscall.SIGCONT)
		p.kill()
		_ = p.log.Close()
		if f.t.Failed() {
			f.tail(name, p.log.Name())
		}
	}
}

func (f *fleet) tail(name, path string) {
	const lastBytes = 1500
	b, err := os.ReadFile(path)
	if err == nil {
		f.t.Logf("%s: ...%s", name, b[max(0, len(b)-lastBytes):])
	}
}

func (f *fleet) eventually(what string, ok func() bool) {
	f.t.Helper()
	for end := time.Now().Add(liveness); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if ok() {
			return
		}
		f.allAlive(what)
	}
	f.t.Fatalf("did not come about: %s", what)
}

// allAlive fails at once if a process ended that no signal of the test ended.
func (f *fleet) allAlive(what string) {
	f.t.Helper()
	for name, p := range f.procs {
		select {
		case <-p.done:
			if !p.signalled {
				f.t.Fatalf("%s ended by itself while waiting for: %s", name, what)
			}
		default:
		}
	}
}

func (f *fleet) ready(agents int) bool {
	for _, e := range f.entries {
		view, ok := f.view(e)
		if !ok {
			return false
		}
		healthy := 0
		for _, m := range view.Members {
			if m.Healthy && !m.Leaving {
				healthy++
			}
		}
		if healthy != agents {
			return false
		}
	}
	return true
}

func (f *fleet) view(entry string) (api.Fleet, bool) {
	var v api.Fleet
	status, body := f.call(http.MethodGet, entry, "/v1/fleet", nil, nil)
	return v, status == http.StatusOK && json.Unmarshal(body, &v) == nil
}

// call returns status 0 if there was no whole HTTP answer.
func (f *fleet) call(method, address, path string, body []byte, header map[string]string) (int, []byte) {
	req, err := http.NewRequest(method, "http://"+address+path, bytes.NewReader(body))
	assert.NilError(f.t, err)
	for k, v := range header {
		req.Header.Set(k, v)
	}
	res, err := (&http.Client{Timeout: liveness}).Do(req)
	if err != nil {
		return 0, nil
	}
	defer func() { _ = res.Body.Close() }()
	out, err := io.ReadAll(res.Body)
	if err != nil {
		return 0, nil
	}
	return res.StatusCode, out
}

func (f *fleet) readDeploy() []byte {
	b, err := os.ReadFile("../../deploy/cascade.csv")
	assert.NilError(f.t, err)
	return b
}

func (f *fleet) put(csv []byte) {
	f.t.Helper()
	status, body := f.call(http.MethodPut, f.entries[0], "/v1/table/rows", csv, nil)
	assert.Equal(f.t, status, http.StatusOK, string(body))
}

func (f *fleet) request(entry int, body string, header map[string]string) (int, []byte) {
	return f.call(http.MethodPost, f.entries[entry], "/v1/services/quotedesk/requests", []byte(body), header)
}

// runs returns how often each request id ran, over all endpoints.
func (f *fleet) runs() map[string]int {
	sum := map[string]int{}
	for _, a := range f.agents {
		var one map[string]int
		_, body := f.call(http.MethodGet, a.endpoint, "/runs", nil, nil)
		assert.NilError(f.t, json.Unmarshal(body, &one))
		for id, n := range one {
			sum[id] += n
		}
	}
	return sum
}

func errorBody(t *testing.T, body []byte) fault.Body {
	t.Helper()
	var b fault.Body
	assert.NilError(t, json.Unmarshal(body, &b), string(body))
	return b
}
