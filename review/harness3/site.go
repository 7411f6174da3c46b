//go:build review3

package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Figures of a small deployment, as in the example of DEPLOY.md and the sheet of cqw-sched.
const (
	edgeMemoryMB = 284
	sideMemoryMB = 152
	maxBodyBytes = 262144
	serviceName  = "quotedesk"
	routeHost    = "quotes.example"
	routePrefix  = "/quotes/"
	restartDelay = 500 * time.Millisecond
)

// boundsText holds the bounds of the settings files.
const boundsText = `bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.drain-ms=2000
bounds.grace-s=6
bounds.config-apply-ms=2000
bounds.max-hold-ms=6000
bounds.stop-grace-ms=900
bounds.gang-wait-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.notice-ms=4500
bounds.maintenance-s=2
bounds.require-fencing=true
bounds.lease-ms=3000
`

// ports are those of all machines of a site.
type ports struct{ front, ready, control, app, first int }

// process is a program of the project on a machine.
type process struct {
	name, binary, ip, settings string
	memoryMB                   int
	restart                    bool // start it again after it has ended

	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
	peak     int // MB
	exceeded int // times that it ended since it exceeded its memory
	ended    int // times that it ended without a signal of the case, memory over the limit included
}

// site is a deployment on loopback addresses.
type site struct {
	dir       string // for settings and logs
	second    int    // second byte of all addresses
	hold      net.Listener
	zones     int
	ports     ports
	store     *store
	runs      *runLog
	client    *http.Client
	record    *record
	entries   []*process
	agents    []*process
	workers   []*worker
	servers   []*httptest.Server
	storeOf   map[string]string // address of the store for each process
	stopping  chan struct{}
	closeOnce sync.Once
	cancel    context.CancelFunc
	// duration returns how long a run of a task takes.
	duration func(task string) time.Duration
}

// record writes what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	out   io.Writer
	start time.Time
}

func (r *record) log(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.out, "%8.3f s  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// errCannotRun means that the machine does not allow the case.
var errCannotRun = errors.New("the case cannot run")

// newSite returns a site without processes. Its store holds the first configuration.
func newSite(r *record, zones int) (*site, error) {
	dir, err := os.MkdirTemp("", "review-3-")
	if err != nil {
		return nil, err
	}
	s := &site{
		dir: dir, zones: zones, store: newStore(), runs: newRunLog(r), record: r, storeOf: map[string]string{}, stopping: make(chan struct{}),
		client: &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.duration = func(string) time.Duration { return 300 * time.Millisecond }
	if err := s.reserve(); err != nil {
		return nil, err
	}
	return s, nil
}

func zoneName(i, zones int) string { return fmt.Sprintf("zone-%c", 'a'+i%zones) }

// reserve chooses addresses and ports that nobody listens on.
func (s *site) reserve() error {
	for range 50 {
		s.second = 20 + rand.IntN(200)
		base := 20000 + 40*rand.IntN(300)
		s.ports = ports{front: base, ready: base + 1, control: base + 2, app: base + 3, first: base + 10}
		hold, err := net.Listen("tcp", net.JoinHostPort(s.ip(254), "19999")) // no other script gets these addresses
		if err != nil {
			continue
		}
		free := true
		for _, port := range []int{base, base + 1, base + 2, base + 3, base + 10} {
			l, err := net.Listen("tcp", net.JoinHostPort(s.ip(1), strconv.Itoa(port)))
			if err != nil {
				free = false
				break
			}
			_ = l.Close()
		}
		if free {
			s.hold = hold
			return nil
		}
		_ = hold.Close()
	}
	return fmt.Errorf("%w: no free loopback address", errCannotRun)
}

// ip returns the address of a machine: entries count from 100, agents from 1.
func (s *site) ip(machine int) string { return fmt.Sprintf("127.%d.0.%d", s.second, machine) }

func (s *site) address(machine, port int) string {
	return net.JoinHostPort(s.ip(machine), strconv.Itoa(port))
}

// putConfig writes a configuration with one route.
func (s *site) putConfig(version int) {
	s.store.put("keyed.op", "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[{"name":"quotes","hostname":%q,"path-prefix":%q,"backend":%q,"timeout-ms":3000,"target-latency-ms":250,"priority":0,"max-attempts":4,"stretch":2}],`+
			`"services":[{"name":%q,"enforces-capacity":false}],"limits":{"max-body-bytes":%d}}`,
		version, routeHost, routePrefix, serviceName, serviceName, maxBodyBytes))
}

// start starts the store, agents with their workers, and entries, and waits until all entries are ready.
func (s *site) start(entries, agents, zones int) error {
	var seeds []string
	for i := range min(entries, 3) {
		seeds = append(seeds, s.address(100+i, s.ports.control))
	}
	s.putConfig(1)
	ctx, cancel := context.WithCancel(context.Background())
	s.cancel = cancel
	for i := range agents {
		if err := s.startWorker(ctx, i); err != nil {
			return err
		}
		name := fmt.Sprintf("side-%d", i+1)
		extra := fmt.Sprintf("machine-class=side\nserves=side\nlisten.control=%s\napp=%s\nbackend=%s\nlimits.memory-mb=%d\n",
			s.address(i+1, s.ports.control), s.address(i+1, s.ports.app), serviceName, sideMemoryMB)
		p, err := s.newProcess(name, "target/chervil-agent", i+1, zoneName(i, zones), seeds, sideMemoryMB, extra)
		if err != nil {
			return err
		}
		s.agents = append(s.agents, p)
	}
	for i := range entries {
		name := fmt.Sprintf("edge-%d", i+1)
		extra := fmt.Sprintf("machine-class=edge\nserves=edge,control_plane\nlisten.front=%s\nlisten.ready=%s\nlisten.control=%s\nlimits.memory-mb=%d\n",
			s.address(100+i, s.ports.front), s.address(100+i, s.ports.ready), s.address(100+i, s.ports.control), edgeMemoryMB)
		p, err := s.newProcess(name, "target/chervil-entry", 100+i, zoneName(i, zones), seeds, edgeMemoryMB, extra)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, p)
	}
	for _, p := range append(append([]*process{}, s.agents...), s.entries...) {
		if err := s.startProcess(p); err != nil {
			return err
		}
		go s.watch(p)
	}
	for i := range entries {
		if !within(15*time.Second, func() bool { return s.ready(i) }) {
			return fmt.Errorf("%w: %s is not ready", errCannotRun, s.entries[i].name)
		}
	}
	return nil
}

// newProcess writes the settings file of a program.
func (s *site) newProcess(name, binary string, machine int, zone string, seeds []string, memoryMB int, extra string) (*process, error) {
	store := httptest.NewServer(s.store.handler())
	s.servers = append(s.servers, store)
	s.storeOf[name] = strings.TrimPrefix(store.URL, "http://")
	text := fmt.Sprintf("node=%s\nrole=%s\nip=%s\nzone=%s\nregion=r\nport-range=%d,%d\nseeds=%s\nbootstrap=true\nlimits.cpu-share=0.4\nlimits.cores=1\nlimits.max-fds=4100\n"+
		"limits.link-mbps=1000.0\norders=rpc\nheartbeat-ms=1500\nplatform.address=%s\nplatform.form=log\nplatform.writes-per-s=800\nplatform.reads-per-s=2000\nplatform.record-bytes=262144\n"+
		"platform.request-bytes=2097152\nplatform.keep_s=300\n%s%s",
		name, filepath.Base(binary), s.ip(machine), zone, s.ports.first, s.ports.first+15, strings.Join(seeds, ","), s.storeOf[name], boundsText, extra)
	path := filepath.Join(s.dir, name+".conf")
	return &process{name: name, binary: binary, ip: s.ip(machine), settings: path, memoryMB: memoryMB, restart: true}, os.WriteFile(path, []byte(text), 0o600)
}

// startWorker starts worker i in this process, with its heartbeats.
func (s *site) startWorker(ctx context.Context, i int) error {
	address := s.address(i+1, s.ports.app)
	w := newWorker(fmt.Sprintf("i-%08x", rand.Uint32()), address, zoneName(i, s.zones), s.runs, func(task string) time.Duration { return s.duration(task) })
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &httptest.Server{Listener: l, Config: &http.Server{Handler: w.handler()}}
	server.Start()
	go w.beat(ctx, s.address(i+1, s.ports.control))
	s.workers, s.servers = append(s.workers, w), append(s.servers, server)
	return nil
}

// startProcess starts a program, with the command of the deploy file.
func (s *site) startProcess(p *process) error {
	log, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	cmd := exec.Command(p.binary)
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILRIDGE_NODE_FILE=" + p.settings}
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("%w: %w", errCannotRun, err)
	}
	done := make(chan struct{})
	p.mu.Lock()
	p.cmd, p.done = cmd, done
	p.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	return nil
}

// watch acts as the platform: it kills a process that exceeds its memory, and starts one that has ended again
// after a short delay.
func (s *site) watch(p *process) {
	for {
		p.mu.Lock()
		cmd, done, restart := p.cmd, p.done, p.restart
		p.mu.Unlock()
		select {
		case <-s.stopping:
			return
		case <-done:
			if !restart {
				time.Sleep(20 * time.Millisecond)
				continue
			}
			p.mu.Lock()
			p.ended++
			n := p.ended
			p.mu.Unlock()
			s.record.log("%s has ended (%d), started again after %v", p.name, n, restartDelay)
			time.Sleep(restartDelay)
			if err := s.startProcess(p); err != nil {
				s.record.log("%s does not start: %v", p.name, err)
				return
			}
		case <-time.After(20 * time.Millisecond):
			mb := residentMB(cmd.Process.Pid)
			p.mu.Lock()
			p.peak = max(p.peak, mb)
			p.mu.Unlock()
			if mb > p.memoryMB {
				s.record.log("%s has %d MB, over its limit of %d MB: killed, as the platform does", p.name, mb, p.memoryMB)
				_ = cmd.Process.Kill()
				<-done
				p.mu.Lock()
				p.exceeded++
				p.mu.Unlock()
			}
		}
	}
}

// residentMB returns the resident memory of a process without that of files; 0 if it has ended.
func residentMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(content)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(value)[0])
			return kb / 1024
		}
	}
	return 0
}

func (s *site) ready(entry int) bool {
	response, err := s.client.Get("http://" + s.address(100+entry, s.ports.ready) + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// takesJobs reports whether a job of one short task is accepted.
func (s *site) takesJobs() bool {
	status, _ := s.call(0, "POST", fmt.Sprintf("%016x", rand.Uint64()), `{"task-spec":"first","task-groups":[{"count":1,"cpu":100,"mem-mb":100}]}`)
	return status == http.StatusOK
}

// call sends a client's request to an entry. Status 0 is no response.
func (s *site) call(entry int, method, id, body string) (status int, content string) {
	return s.callPath(entry, method, routePrefix+id, body)
}

func (s *site) callPath(entry int, method, path, body string) (status int, content string) {
	request, err := http.NewRequest(method, "http://"+s.address(100+entry, s.ports.front)+path, strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	request.Host = routeHost
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("Chervilridge-Deadline-Ms", "3000")
	response, err := s.client.Do(request)
	if err != nil {
		return 0, err.Error()
	}
	defer func() { _ = response.Body.Close() }()
	answer, _ := io.ReadAll(io.LimitReader(response.Body, 4096))
	return response.StatusCode, strings.TrimSpace(string(answer))
}

// close ends all processes and stand-ins of the site.
func (s *site) close() {
	s.closeOnce.Do(func() {
		close(s.stopping)
		time.Sleep(2 * restartDelay) // a restart that is under way ends first
		for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
			p.mu.Lock()
			if p.cmd != nil {
				_ = p.cmd.Process.Kill()
				<-p.done
			}
			p.mu.Unlock()
		}
		if s.cancel != nil {
			s.cancel()
		}
		for _, w := range s.workers {
			w.close()
		}
		for _, server := range s.servers {
			server.CloseClientConnections()
			_ = server.Config.Close()
		}
		if os.Getenv("KEEP_LOGS") == "" {
			_ = os.RemoveAll(s.dir)
		}
	})
}

// within polls the condition for some time.
func within(d time.Duration, condition func() bool) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return false
}
