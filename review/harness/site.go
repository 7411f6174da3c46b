//go:build review

package main

import (
	"bytes"
	"encoding/json"
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
	"strings"
	"sync"
	"syscall"
	"time"

	"google.golang.org/protobuf/proto"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/standin/metastore"
)

// Settings of a small deployment (cqw-sched).
const (
	heartbeatInterval = 1500 * time.Millisecond
	routeHost         = "nony24.example"
	serviceName       = "quotedesk"
	frontPort         = 8161
	readyPort         = 8167
	controlPort       = 8166
	appPort           = 8165
	restartDelay      = 500 * time.Millisecond // "restarted after a short delay"
	bounds            = `bounds.seed-lag-s=3
bounds.addr-reuse-s=2
bounds.contact-ms=3000
bounds.ack-ms=4000
bounds.catchup-s=4
bounds.drain-ms=2000
bounds.grace-s=6
bounds.loss-slack-ms=200
bounds.config-apply-ms=2000
bounds.rollback-slack-ms=250
bounds.max-stretch-ms=5000
bounds.cold-overage=1.5
bounds.cold-slack=5
bounds.evacuate-ms=5000
bounds.recovery-s=12
bounds.max-hold-ms=6000
bounds.stop-grace-ms=900
bounds.gang-wait-ms=3000
bounds.cancel_ms=3000
bounds.visible_ms=3000
bounds.early_ms=250
bounds.finish_s=14
bounds.status_s=120
bounds.remote-penalty=1.5
bounds.checkpoint-s=0.5
bounds.restore-ms=600
bounds.notice-ms=4500
bounds.migrate-s=1.5
bounds.maintenance-s=2
bounds.require-fencing=true
bounds.lease-ms=3000
bounds.thaw-slack-ms=300
bounds.pace-ms=100
bounds.harm-ms=4000
`
)

// program is a process of the system on a machine.
type program struct {
	name, binary, settings, ip string
	mu                         sync.Mutex
	command                    *exec.Cmd
	done                       chan struct{}
}

// site is a small deployment on loopback addresses.
type site struct {
	*journal
	dir     string
	net     string // first three parts of the addresses
	state   *metastore.State
	store   *metastore.Server
	lossy   *lossy
	servers []*httptest.Server
	entries []*program
	agents  []*program
	runners []*runner
	client  *http.Client
	closed  bool
}

// newSite starts the stand-ins and the programs, and waits until the entries are ready and all
// runners are known.
func newSite(j *journal, entries, runners int, config string, adjust func(*runner)) (*site, error) {
	dir, err := os.MkdirTemp("", "review-case")
	if err != nil {
		return nil, err
	}
	s := &site{
		journal: j, dir: dir, net: freeNet(runners, entries), state: metastore.NewState(),
		client: &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}},
	}
	s.store = metastore.NewServer(s.state, 1)
	s.lossy = &lossy{journal: j}
	s.putConfig(config)
	var seeds []string
	for i := range entries {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.entryIP(i), controlPort))
	}
	for i := range runners {
		ip := fmt.Sprintf("%s.%d", s.net, i+1)
		r := &runner{
			number: i, machine: fmt.Sprintf("m-%05x", i+1), address: fmt.Sprintf("%s:%d", ip, appPort), control: fmt.Sprintf("%s:%d", ip, controlPort),
			zone: fmt.Sprintf("pnw-%c", 'a'+i%3), service: serviceName, labels: []string{"a", fmt.Sprintf("r%d-1", i%3+1)}, cpu: 32000, memMB: 128000, journal: j,
			kindOf: func(string) taskKind { return taskKind{work: time.Second} }, restartAfter: 3 * time.Second,
		}
		if adjust != nil {
			adjust(r)
		}
		s.runners = append(s.runners, r)
		p := &program{name: fmt.Sprintf("side-%d", i), binary: "target/chervil-agent", ip: ip}
		if err := s.settings(p, r.zone, seeds, fmt.Sprintf("machine-class=side\nserves=side\nlisten.control=%s\napp=%s\nbackend=%s\nlimits.cpu-share=0.24\nlimits.memory-mb=152\nlimits.max-fds=4096\n",
			r.control, r.address, serviceName)); err != nil {
			return s, err
		}
		s.agents = append(s.agents, p)
	}
	for i := range entries {
		ip := s.entryIP(i)
		p := &program{name: fmt.Sprintf("edge-%d", i), binary: "target/chervil-entry", ip: ip}
		if err := s.settings(p, fmt.Sprintf("pnw-%c", 'a'+i%3), seeds, fmt.Sprintf("machine-class=edge\nserves=edge,control_plane\nlisten.front=%s:%d\nlisten.ready=%s:%d\nlisten.control=%s:%d\nlimits.cpu-share=0.4\nlimits.memory-mb=284\nlimits.max-fds=4100\n",
			ip, frontPort, ip, readyPort, ip, controlPort)); err != nil {
			return s, err
		}
		s.entries = append(s.entries, p)
	}
	for i := range s.runners {
		if err := s.launch(s.agents[i]); err != nil {
			return s, err
		}
		time.Sleep(40 * time.Millisecond)
		if err := s.runners[i].start(); err != nil {
			return s, err
		}
	}
	for _, p := range s.entries {
		if err := s.launch(p); err != nil {
			return s, err
		}
	}
	return s, s.await()
}

func (s *site) entryIP(i int) string { return fmt.Sprintf("%s.%d", s.net, 200+i) }

// settings writes the settings file of a program. Its store has an address of its own.
func (s *site) settings(p *program, zone string, seeds []string, more string) error {
	store := httptest.NewServer(s.lossy.wrap(p.name, s.store.Handler(p.name)))
	s.servers = append(s.servers, store)
	text := fmt.Sprintf("node=%s\nrole=%s\nip=%s\nzone=%s\nregion=pnw\nzones.pnw-a=pnw\nzones.pnw-b=pnw\nzones.pnw-c=pnw\nport-range=7720,7735\nseeds=%s\nbootstrap=true\nin-fault-budget=false\n"+
		"limits.cores=1\nlimits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=local\nentry=vip\nheartbeat-ms=%d\ncontracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing\n"+
		"orders=rpc\nplatform.address=%s\nplatform.form=log\nplatform.record-bytes=262144\nplatform.request-bytes=2097152\nplatform.keep_s=300\n%s%s",
		p.name, p.binary, p.ip, zone, strings.Join(seeds, ","), heartbeatInterval.Milliseconds(), strings.TrimPrefix(store.URL, "http://"), bounds, more)
	p.settings = filepath.Join(s.dir, p.name+".conf")
	return os.WriteFile(p.settings, []byte(text), 0o600)
}

// launch starts a process of the program. One that ends is started again, as the platform does.
func (s *site) launch(p *program) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s.closed {
		return nil
	}
	logFile, err := os.OpenFile(filepath.Join(s.dir, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	c := exec.Command("./" + p.binary)
	c.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "LANG=" + os.Getenv("LANG"), "CHERVILRIDGE_NODE_FILE=" + p.settings}
	c.Stdout, c.Stderr = logFile, logFile
	c.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := c.Start(); err != nil {
		return err
	}
	p.command, p.done = c, make(chan struct{})
	s.log("%s: process %d starts", p.name, c.Process.Pid)
	go func(done chan struct{}) {
		err := c.Wait()
		_ = logFile.Close()
		close(done)
		s.log("%s: process %d ends: %v", p.name, c.Process.Pid, err)
		time.Sleep(restartDelay)
		_ = s.launch(p)
	}(p.done)
	return nil
}

// signal sends a signal to the process of a program.
func (s *site) signal(p *program, sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s.log("%s: %v is sent to process %d", p.name, sig, p.command.Process.Pid)
	if err := p.command.Process.Signal(sig); err != nil && !errors.Is(err, os.ErrProcessDone) {
		s.log("%s: %v", p.name, err)
	}
}

// await waits until the entries are ready and a job has run.
func (s *site) await() error {
	end := time.Now().Add(20 * time.Second)
	for i := range s.entries {
		for !s.ready(i) {
			if time.Now().After(end) {
				return fmt.Errorf("entry %d is not ready", i)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	time.Sleep(2 * time.Second) // all agents have heard a heartbeat
	return nil
}

func (s *site) ready(i int) bool {
	resp, err := s.client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", s.entryIP(i), readyPort))
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// owner returns the entry that owns the schedule, by the record in the store.
func (s *site) owner() (int, error) {
	record := &chervilv2.OwnerRecord{}
	if err := proto.Unmarshal(s.state.Value("keyed.owner", "owner"), record); err != nil {
		return 0, err
	}
	for i, p := range s.entries {
		if p.name == record.Node {
			return i, nil
		}
	}
	return 0, fmt.Errorf("no entry is named %q", record.Node)
}

// close ends all processes that the site has started.
func (s *site) close() {
	if s == nil {
		return
	}
	for _, p := range append(append([]*program{}, s.entries...), s.agents...) {
		p.mu.Lock()
		s.closed = true
		if p.command != nil {
			_ = p.command.Process.Signal(syscall.SIGCONT)
			_ = p.command.Process.Kill()
			p.mu.Unlock()
			<-p.done
			continue
		}
		p.mu.Unlock()
	}
	for _, r := range s.runners {
		if r.cancel != nil && r.listener != nil {
			r.stop()
		}
	}
	for _, x := range s.servers {
		x.CloseClientConnections()
		x.Close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.dir)
	} else {
		s.log("logs are in %s", s.dir)
	}
}

// putConfig writes a configuration as the operator does.
func (s *site) putConfig(config string) {
	s.state.Put("keyed.op", "config", []byte(config))
	s.log("operator: op/config is acknowledged: %s", config)
}

// route is a route of the configuration.
func route(name, prefix string, priority, timeoutMs, attempts int) map[string]any {
	return map[string]any{
		"name": name, "hostname": routeHost, "path-prefix": prefix, "route-type": "non_idempotent", "timeout-ms": timeoutMs, "target-latency-ms": 250,
		"priority": priority, "backend": serviceName, "max-attempts": attempts, "stretch": 1.5,
	}
}

func config(version int, routes ...map[string]any) string {
	out, err := json.Marshal(map[string]any{
		"version": version, "routes": routes,
		"services": []map[string]any{{
			"name": serviceName, "health-path": "/health", "max-conns": 64, "protocol": "h1", "tls": false, "cold-start-s": 0.0, "cold-per-s": 0.0,
			"enforces-capacity": false, "standby": false,
		}},
		"limits": map[string]any{"max-header-bytes": 16384, "max-body-bytes": 262144, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
	})
	if err != nil {
		panic(err)
	}
	return string(out)
}

// call sends a client's request to an entry and returns the status and the body; 0 is no answer.
func (s *site) call(entry int, method, path, body string) (int, string) {
	req, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", s.entryIP(entry), frontPort, path), bytes.NewReader([]byte(body)))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = routeHost
	req.Header.Set("Content-Type", "application/json")
	req.Header.Set("Chervilridge-Deadline-Ms", "3000")
	resp, err := s.client.Do(req)
	if err != nil {
		s.log("client: %s %s at edge-%d: no answer: %v", method, path, entry, err)
		return 0, err.Error()
	}
	defer func() { _ = resp.Body.Close() }()
	content, _ := io.ReadAll(io.LimitReader(resp.Body, 1<<16))
	s.log("client: %s %s %s at edge-%d: %d %s", method, path, body, entry, resp.StatusCode, strings.TrimSpace(string(content)))
	return resp.StatusCode, string(content)
}

// submit hands a job in, as often as the client's retries allow.
func (s *site) submit(path string, groups ...map[string]any) error {
	body, err := json.Marshal(map[string]any{"task-spec": "quote " + path, "task-groups": groups})
	if err != nil {
		return err
	}
	for try := range 5 {
		if status, _ := s.call(try%len(s.entries), http.MethodPost, path, string(body)); status/100 == 2 {
			return nil
		}
		time.Sleep(300 * time.Millisecond)
	}
	return fmt.Errorf("job %s was not accepted", path)
}

// freeNet returns the first three parts of loopback addresses at which all ports are free.
func freeNet(runners, entries int) string {
	for {
		prefix := fmt.Sprintf("127.%d.%d", 100+rand.IntN(100), rand.IntN(250))
		ok := true
		for i := range runners {
			ok = ok && free(fmt.Sprintf("%s.%d:%d", prefix, i+1, appPort)) && free(fmt.Sprintf("%s.%d:%d", prefix, i+1, controlPort))
		}
		for i := range entries {
			ok = ok && free(fmt.Sprintf("%s.%d:%d", prefix, 200+i, frontPort)) && free(fmt.Sprintf("%s.%d:%d", prefix, 200+i, readyPort))
		}
		if ok {
			return prefix
		}
	}
}

// free reports whether a TCP port of the address can be listened on.
func free(address string) bool {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return false
	}
	_ = l.Close()
	return true
}
