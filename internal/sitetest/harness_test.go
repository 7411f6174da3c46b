// Package sitetest runs the real processes as the platform does, over stand-ins of its
// store and workers.
package sitetest

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/peer"
	"chervilridge/internal/standin/metastore"
	"chervilridge/internal/standin/proxy"
	"chervilridge/internal/standin/taskworker"
)

const (
	// patience bounds every wait; a takeover with recovery takes some seconds.
	patience = 40 * time.Second
	poll     = 20 * time.Millisecond
	host     = "h.example"
	service  = "desk"
	taskTime = 150 * time.Millisecond
)

// binaries is the folder with the built programs.
var binaries string

func buildAndRun(m *testing.M) int {
	dir, err := os.MkdirTemp("", "chervil-site")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = os.RemoveAll(dir) }()
	binaries = dir
	build := exec.Command("go", "build", "-o", dir, "chervilridge/cmd/chervil-entry", "chervilridge/cmd/chervil-agent")
	if out, err := build.CombinedOutput(); err != nil {
		fmt.Fprintf(os.Stderr, "cannot build: %v\n%s", err, out)
		return 1
	}
	return m.Run()
}

// sites numbers the sites of this test process; each has addresses of its own.
var sites atomic.Int32

// program is one started process.
type program struct {
	name     string
	binary   string
	settings string
	ip       string
	log      *os.File
	command  *exec.Cmd
	seized   bool // a fault of the soak holds it
	done     chan struct{}
}

// site is a whole deployment on loopback.
type site struct {
	t        *testing.T
	number   int32
	state    *metastore.State
	store    *metastore.Server
	journal  *taskworker.Journal
	runTime  atomic.Int64
	programs map[string]*program
	order    []string
	client   *http.Client
	mu       sync.Mutex
	workers  []*taskworker.Worker
	servers  []*httptest.Server
	stores   []*httptest.Server // one for each program, so that the store can tell them apart
	// links are the proxies on the way to the store, by program, and to the workers, by
	// agent; empty on a site without proxies.
	links    map[string]*proxy.Proxy
	proxied  bool
	mostRuns int
	// onStart is told of each start of a task.
	onStart func(task string)
	cancels []context.CancelFunc
	starts  []int
}

const (
	frontPort, readyPort, controlPort, innerPort, appPort, metricsPort = 8161, 8167, 8166, 7720, 8165, 9464
)

// startSite starts a store, workers with agents, and entries, and waits until all of
// them serve.
func startSite(t *testing.T, entries, agents int) *site {
	s := newSite(t, agents)
	s.startAll(entries, agents)
	return s
}

func newSite(t *testing.T, agents int) *site {
	s := &site{
		t: t, number: sites.Add(1), state: metastore.NewState(), journal: taskworker.NewJournal(), programs: map[string]*program{},
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}, starts: make([]int, agents),
		links: map[string]*proxy.Proxy{}, onStart: func(string) {},
	}
	s.runTime.Store(int64(taskTime))
	s.store = metastore.NewServer(s.state, uint64(s.number))
	s.putConfig(1, "quotes")
	return s
}

func (s *site) startAll(entries, agents int) {
	var seeds []string
	for i := range entries {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.ip(100+i), controlPort))
	}
	for i := range agents {
		ip := s.ip(i + 1)
		s.startWorker(i)
		s.start(s.agentName(i), "chervil-agent", ip, s.settings(s.agentName(i), ip, i, seeds,
			fmt.Sprintf("listen.control=%s:%d\napp=%s\nbackend=%s\n", ip, controlPort, s.through(workerLink(i), fmt.Sprintf("%s:%d", ip, appPort)), service)))
	}
	for i := range entries {
		ip := s.ip(100 + i)
		s.start(entryName(i), "chervil-entry", ip, s.settings(entryName(i), ip, i, seeds,
			fmt.Sprintf("listen.front=%s:%d\nlisten.ready=%s:%d\nlisten.control=%s:%d\n", ip, frontPort, ip, readyPort, ip, controlPort)))
	}
	s.t.Cleanup(s.stop)
	for i := range entries {
		s.eventually("entry ready", func() bool { return s.ready(i) })
	}
}

func (s *site) ip(machine int) string { return fmt.Sprintf("127.77.%d.%d", s.number, machine) }

func entryName(i int) string { return fmt.Sprintf("entry-%d", i) }

func (s *site) agentName(i int) string { return fmt.Sprintf("agent-%d", i) }

func (s *site) settings(name, ip string, zone int, seeds []string, more string) string {
	store := httptest.NewServer(s.store.Handler(name))
	s.stores = append(s.stores, store)
	text := fmt.Sprintf("node=%s\nip=%s\nzone=zone-%d\nregion=r\nport-range=%d,%d\nseeds=%s\nplatform.address=%s\nlimits.memory-mb=200\nlimits.cpu-share=0.5\n%s",
		name, ip, zone, innerPort, innerPort+15, strings.Join(seeds, ","), s.through(name, strings.TrimPrefix(store.URL, "http://")), more)
	path := filepath.Join(s.t.TempDir(), name+".conf")
	assert.NilError(s.t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

func (s *site) start(name, binary, ip, settings string) {
	log, err := os.Create(filepath.Join(s.t.TempDir(), name+".log"))
	assert.NilError(s.t, err)
	s.programs[name] = &program{name: name, binary: binary, settings: settings, ip: ip, log: log}
	s.order = append(s.order, name)
	s.restart(name)
}

// restart starts a program (again).
func (s *site) restart(name string) {
	p := s.programs[name]
	if p.done != nil {
		<-p.done
	}
	command := exec.Command(filepath.Join(binaries, p.binary))
	command.Env = append(os.Environ(), "CHERVILRIDGE_NODE_FILE="+p.settings)
	command.Stdout, command.Stderr = p.log, p.log
	assert.NilError(s.t, command.Start())
	done := make(chan struct{})
	p.command, p.done = command, done
	go func() {
		_ = command.Wait()
		close(done)
	}()
}

func (s *site) names() []string { return slices.Clone(s.order) }

// signal sends a signal to a program that this site has started.
func (s *site) signal(name string, sig syscall.Signal) {
	err := s.programs[name].command.Process.Signal(sig)
	assert.Assert(s.t, err == nil || errors.Is(err, os.ErrProcessDone))
}

func (s *site) kill(name string) {
	s.signal(name, syscall.SIGKILL)
	<-s.programs[name].done
}

func (s *site) waitExit(name string) {
	s.t.Helper()
	select {
	case <-s.programs[name].done:
	case <-time.After(patience):
		s.t.Fatalf("%s does not end", name)
	}
}

func (s *site) stop() {
	for _, p := range s.programs {
		_ = p.command.Process.Kill()
		<-p.done
		if s.t.Failed() {
			s.tail(p)
		}
		_ = p.log.Close()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for i := range s.workers {
		s.cancels[i]()
		s.workers[i].Close()
		s.servers[i].CloseClientConnections()
		s.servers[i].Close()
	}
	for _, l := range s.links {
		l.Close()
	}
	for _, store := range s.stores {
		store.CloseClientConnections()
		store.Close()
	}
}

// tail shows the end of a program's log.
func (s *site) tail(p *program) {
	const lines = 25
	content, err := os.ReadFile(p.log.Name())
	if err != nil {
		return
	}
	all := strings.Split(strings.TrimSpace(string(content)), "\n")
	s.t.Logf("log of %s:\n%s", p.name, strings.Join(all[max(0, len(all)-lines):], "\n"))
}

// startWorker starts a life of a worker beside agent i.
func (s *site) startWorker(i int) {
	ip := s.ip(i + 1)
	address := fmt.Sprintf("%s:%d", ip, appPort)
	w := taskworker.New(taskworker.Shape{
		ID: fmt.Sprintf("i-%d-%d", i, time.Now().UnixNano()), Service: service, Address: address, DataCentre: fmt.Sprintf("zone-%d", i),
		CPUMilli: 8000, MemoryMB: 8000, Labels: []string{"a", "r1-" + fmt.Sprint(i)}, MostRuns: s.mostRuns, ClockRate: clockRates[i%len(clockRates)],
	}, func(task string) time.Duration {
		s.mu.Lock()
		s.starts[i]++
		s.mu.Unlock()
		s.onStart(task)
		return time.Duration(s.runTime.Load())
	}, s.journal)
	l, err := net.Listen("tcp", address)
	assert.NilError(s.t, err)
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: w.Handler()}}
	server.Start()
	ctx, cancel := context.WithCancel(context.Background())
	go w.Register(ctx, fmt.Sprintf("%s:%d", ip, controlPort))
	s.mu.Lock()
	defer s.mu.Unlock()
	if i < len(s.workers) { // another life
		s.workers[i], s.servers[i], s.cancels[i] = w, server, cancel
		return
	}
	s.workers, s.servers, s.cancels = append(s.workers, w), append(s.servers, server), append(s.cancels, cancel)
}

// crashWorker ends the life of worker i without a word.
func (s *site) crashWorker(i int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.cancels[i]()
	_ = s.servers[i].Listener.Close()
	s.workers[i].Close()
	s.servers[i].CloseClientConnections()
}

func (s *site) running() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, w := range s.workers {
		n += w.Running()
	}
	return n
}

func (s *site) startsOn(i int) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.starts[i]
}

// putConfig writes a configuration with the queues named.
func (s *site) putConfig(version int, queues ...string) {
	var routes []string
	for _, q := range queues {
		routes = append(routes, fmt.Sprintf(`{"name":"r-%s","hostname":"%s","path-prefix":"/%s/","backend":"%s","timeout-ms":3000,"target-latency-ms":250,"max-attempts":4,"stretch":2}`, q, host, q, service))
	}
	s.state.Put("keyed.op", "config", fmt.Appendf(nil, `{"version":%d,"routes":[%s],"services":[{"name":"%s"}],"limits":{"max-body-bytes":65536}}`,
		version, strings.Join(routes, ","), service))
}

func jobPath(i int) string { return fmt.Sprintf("/quotes/%016x", i+1) }

func (s *site) call(entry int, method, path, body string) (int, string) {
	status, content, _ := s.callAt(s.ip(100+entry), method, path, body)
	return status, content
}

func (s *site) callAt(ip, method, path, body string) (status int, content, retryAfter string) {
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", ip, frontPort, path), strings.NewReader(body))
	assert.NilError(s.t, err)
	request.Host = host
	request.Header.Set("Chervilridge-Deadline-Ms", "3000")
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err.Error(), ""
	}
	defer func() { _ = response.Body.Close() }()
	buffer := make([]byte, 4096)
	n, _ := response.Body.Read(buffer)
	return response.StatusCode, string(buffer[:n]), response.Header.Get("Retry-After")
}

func (s *site) ready(entry int) bool {
	response, err := s.client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", s.ip(100+entry), readyPort))
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

func jobBody(tasks int) string {
	return fmt.Sprintf(`{"task-spec":"x","task-groups":[{"count":%d,"cpu":1000,"mem-mb":100}]}`, tasks)
}

// trySubmit submits a job at any entry that answers.
func (s *site) trySubmit(i, tasks int) (status int, retryAfter string) {
	for _, name := range s.order {
		p := s.programs[name]
		if p.binary != "chervil-entry" {
			continue
		}
		if status, _, retryAfter = s.callAt(p.ip, http.MethodPost, jobPath(i), jobBody(tasks)); status != 0 {
			return status, retryAfter
		}
	}
	return 0, ""
}

func (s *site) submit(i, tasks int) {
	s.t.Helper()
	status, _ := s.trySubmit(i, tasks)
	assert.Equal(s.t, status, http.StatusOK)
}

func (s *site) submitUntilAccepted(i, tasks int) {
	s.t.Helper()
	s.eventually("job accepted", func() bool {
		status, _ := s.trySubmit(i, tasks)
		return status == http.StatusOK
	})
}

func (s *site) waitState(i int, want string) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("job %d %s", i, want), func() bool {
		for _, name := range s.order {
			p := s.programs[name]
			if p.binary != "chervil-entry" {
				continue
			}
			if status, body, _ := s.callAt(p.ip, http.MethodGet, jobPath(i), ""); status == http.StatusOK && strings.Contains(body, want) {
				return true
			}
		}
		return false
	})
}

func (s *site) waitStateAt(name string, i int, want string) {
	s.t.Helper()
	s.eventually(fmt.Sprintf("job %d %s at %s", i, want, name), func() bool {
		status, body, _ := s.callAt(s.programs[name].ip, http.MethodGet, jobPath(i), "")
		return status == http.StatusOK && strings.Contains(body, want)
	})
}

// owner returns the program that owns the schedule by the store's record.
func (s *site) owner() string {
	s.t.Helper()
	name := ""
	s.eventually("an owner", func() bool {
		record := &chervilv2.OwnerRecord{}
		value := s.state.Value("keyed.owner", "owner")
		if value == nil || proto.Unmarshal(value, record) != nil {
			return false
		}
		name = record.Node
		return true
	})
	return name
}

func (s *site) other(name string) string {
	for _, n := range s.order {
		if n != name && s.programs[n].binary == "chervil-entry" {
			return n
		}
	}
	return ""
}

func (s *site) eventually(what string, holds func() bool) {
	s.t.Helper()
	for end := time.Now().Add(patience); time.Now().Before(end); time.Sleep(poll) {
		if holds() {
			return
		}
	}
	s.t.Fatalf("%s: not within %v", what, patience)
}

// check fails if a task was not done, was done twice, or ran twice at once.
func (s *site) check(tasks int) {
	s.t.Helper()
	done, twice := s.journal.Done()
	assert.Equal(s.t, done, tasks)
	assert.Equal(s.t, twice, 0)
	assert.Equal(s.t, len(s.journal.Problems()), 0, "%v", s.journal.Problems())
}

// runWithSettings runs an entry on the settings and returns its exit code and output.
func runWithSettings(t *testing.T, text string) (int, string) {
	path := filepath.Join(t.TempDir(), "node.conf")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	command := exec.Command(filepath.Join(binaries, "chervil-entry"))
	command.Env = append(os.Environ(), "CHERVILRIDGE_NODE_FILE="+path)
	output, err := command.CombinedOutput()
	var exit *exec.ExitError
	assert.Assert(t, errors.As(err, &exit), "%v", err)
	return exit.ExitCode(), string(output)
}

// attachThrough attaches an agent of its own at an entry and returns the report that the
// owner answered.
func (s *site) attachThrough(entry string) uint64 {
	s.t.Helper()
	conn, err := peer.Dial(fmt.Sprintf("%s:%d", s.programs[entry].ip, innerPort))
	assert.NilError(s.t, err)
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	stream, err := chervilv2.NewSchedulerClient(conn).Attach(ctx)
	assert.NilError(s.t, err)
	assert.NilError(s.t, stream.Send(&chervilv2.AgentReport{Node: "agent-x", Incarnation: "1", Sequence: 1}))
	orders, err := stream.Recv()
	for err == nil && orders.Report == 0 {
		orders, err = stream.Recv()
	}
	assert.NilError(s.t, err)
	return orders.Report
}

// metrics returns what an entry serves on its metrics address.
func (s *site) metrics(entry int) string {
	response, err := s.client.Get(fmt.Sprintf("http://%s:%d/metrics", s.ip(100+entry), metricsPort))
	if err != nil {
		return ""
	}
	defer func() { _ = response.Body.Close() }()
	content, err := io.ReadAll(response.Body)
	assert.NilError(s.t, err)
	return string(content)
}
