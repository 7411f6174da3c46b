//go:build review2

package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"

	"chervilridge/internal/standin/metastore"
)

const (
	frontPort, readyPort, controlPort, peerPort, appPort = 8161, 8167, 8166, 7720, 8165
	storePort, advisorPort                               = 8169, 8170

	routeHost = "nony24.example"
	// routePrefix is that of the route which siteOptions.routeExtra applies to, plainPrefix that of a
	// second one without it.
	routePrefix = "/lohu930/"
	plainPrefix = "/pule252/"
	serviceName = "huvo11a"

	// restartDelay is the short delay after which the platform restarts a process that has ended.
	restartDelay = 500 * time.Millisecond
)

// siteOptions describe a deployment.
type siteOptions struct {
	entries, workers int
	entryMemoryMB    int // limits.memory-mb of an entry
	workerCPUMilli   int
	workerMemoryMB   int
	advisor          *advisor // nil if there is none
	// routeExtra is added to the JSON of the first route.
	routeExtra string
	// runOutcome returns how long a run takes and how it ends.
	runOutcome func(w *worker, task string) (time.Duration, string)
	// kindOf returns the kind of a worker, which is a label; nil stands for a and b in turn.
	kindOf func(worker int) string
	// checker checks the rules on all runs; nil if the case judges by the journal alone.
	checker *checker
	// zoneOf returns the zone of a worker; nil spreads the workers over three zones.
	zoneOf func(worker int) string
	// enforceMemory makes the platform end a process that exceeds its memory.
	enforceMemory bool
}

// process is a program of the system on one machine.
type process struct {
	name, program, settings string
	memoryMB                int

	mu       sync.Mutex
	command  *exec.Cmd
	peakMB   int
	ownEnds  int // times that it ended although nobody stopped it, or exceeded its memory
	stopping bool
	done     chan struct{} // closed once it is no longer restarted
}

// site is a deployment with its stand-ins.
type site struct {
	options siteOptions
	record  *record
	repo    string
	folder  string // temporary
	net     int    // second byte of the addresses
	guard   net.Listener
	state   *metastore.State
	journal *journal
	gangs   *gangs
	store   *metastore.Server
	workers []*worker
	procs   []*process
	servers []*http.Server
	client  *http.Client
	plain   sync.Map // IDs of the jobs submitted to the second route, whose starts need no ticket
}

func startSite(repo string, rec *record, o siteOptions) (*site, error) {
	s := &site{options: o, record: rec, repo: repo, state: metastore.NewState(), journal: newJournal(rec), gangs: newGangs()}
	s.client = &http.Client{Timeout: 4 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
	var err error
	if s.folder, err = os.MkdirTemp("", "chervil-review"); err != nil {
		return s, err
	}
	for n := 30 + os.Getpid()%100; n < 240 && s.guard == nil; n++ {
		if l, listenErr := net.Listen("tcp", fmt.Sprintf("127.%d.0.1:%d", n, peerPort)); listenErr == nil {
			s.net, s.guard = n, l
		}
	}
	if s.guard == nil {
		return s, fmt.Errorf("no free loopback addresses")
	}
	s.putConfig(1)
	s.store = metastore.NewServer(s.state, 1)
	if err := s.serve(fmt.Sprintf("%s:%d", s.ip(200), storePort), s.store.Handler("")); err != nil {
		return s, err
	}
	if o.advisor != nil {
		if err := s.serve(fmt.Sprintf("%s:%d", s.ip(201), advisorPort), o.advisor); err != nil {
			return s, err
		}
	}
	for i := range o.workers {
		w := newWorker(s, i)
		s.workers = append(s.workers, w)
		if err := w.listen(); err != nil {
			return s, err
		}
		go w.sendHeartbeats()
	}
	var seeds []string
	for i := range min(o.entries, 3) {
		seeds = append(seeds, fmt.Sprintf("%s:%d", s.entryIP(i), controlPort))
	}
	for i := range o.entries {
		ip := s.entryIP(i)
		extra := fmt.Sprintf("machine-class=edge\nserves=edge,control_plane\nlisten.front=%s:%d\nlisten.ready=%s:%d\nlisten.control=%s:%d\nlimits.cpu-share=0.4\nlimits.memory-mb=%d\nlimits.max-fds=4100\n",
			ip, frontPort, ip, readyPort, ip, controlPort, o.entryMemoryMB)
		if err := s.startProcess(fmt.Sprintf("edge-%d", i), "chervil-entry", ip, zone(i), seeds, extra, o.entryMemoryMB); err != nil {
			return s, err
		}
	}
	for i, w := range s.workers {
		ip := s.ip(i + 1)
		extra := fmt.Sprintf("machine-class=side\nserves=side\nlisten.control=%s:%d\napp=%s\nbackend=%s\nlimits.cpu-share=0.24\nlimits.memory-mb=152\nlimits.max-fds=4096\n",
			ip, controlPort, w.address(), serviceName)
		if err := s.startProcess(fmt.Sprintf("side-%d", i), "chervil-agent", ip, w.zone(), seeds, extra, 152); err != nil {
			return s, err
		}
	}
	return s, s.awaitReady()
}

func (s *site) ip(machine int) string    { return fmt.Sprintf("127.%d.1.%d", s.net, machine) }
func (s *site) entryIP(entry int) string { return s.ip(100 + entry) }
func (s *site) serve(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	server := &http.Server{Handler: h, ReadHeaderTimeout: 10 * time.Second}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(l) }()
	return nil
}

// putConfig writes the operator's configuration with two routes and one service.
func (s *site) putConfig(version int) {
	s.state.Put("keyed.op", "config", fmt.Appendf(nil,
		`{"version":%d,"routes":[{"name":"r-3hwrr6x","hostname":"%s","path-prefix":"%s","route-type":"non_idempotent","timeout-ms":3000,"target-latency-ms":250,"priority":0,"backend":"%s","max-attempts":4,"stretch":1.5%s},`+
			`{"name":"r-9n73hh2","hostname":"%s","path-prefix":"%s","route-type":"non_idempotent","timeout-ms":3000,"target-latency-ms":2500,"priority":0,"backend":"%s","max-attempts":2,"stretch":2.2}],`+
			`"services":[{"name":"%s","health-path":"/health","max-conns":64,"protocol":"h1","tls":false,"cold-start-s":0.0,"cold-per-s":0.0,"enforces-capacity":false,"standby":false}],`+
			`"limits":{"max-header-bytes":16384,"max-body-bytes":262144,"header-timeout-ms":3000,"idle-timeout-ms":15000}}`,
		version, routeHost, routePrefix, serviceName, s.options.routeExtra, routeHost, plainPrefix, serviceName, serviceName))
}

func (s *site) startProcess(name, program, ip, zone string, seeds []string, extra string, memoryMB int) error {
	text := fmt.Sprintf("node=%s\nip=%s\nzone=%s\nregion=pnw\nzones.pnw-a=pnw\nzones.pnw-b=pnw\nzones.pnw-c=pnw\nport-range=%d,%d\nseeds=%s\nbootstrap=true\n"+
		"limits.cores=1\nlimits.link-mbps=1000.0\nlimits.disk-mb=0\ndiscovery=local\nentry=vip\nheartbeat-ms=1500\ncontracts=base,drain,config,cost,recover,sched,places,platform,advice,upkeep,sharing\n"+
		"bounds.contact-ms=3000\nbounds.ack-ms=4000\nbounds.drain-ms=2000\nbounds.grace-s=6\nbounds.config-apply-ms=2000\nbounds.evacuate-ms=5000\nbounds.recovery-s=12\nbounds.max-hold-ms=6000\n"+
		"bounds.stop-grace-ms=900\nbounds.gang-wait-ms=3000\nbounds.cancel_ms=3000\nbounds.visible_ms=3000\nbounds.early_ms=250\nbounds.finish_s=14\nbounds.status_s=120\nbounds.remote-penalty=1.5\n"+
		"bounds.checkpoint-s=0.5\nbounds.restore-ms=600\nbounds.notice-ms=4500\nbounds.harm-ms=4000\norders=rpc\n"+
		"platform.address=%s:%d\nplatform.form=log\nplatform.writes-per-s=800\nplatform.reads-per-s=2000\nplatform.record-bytes=262144\nplatform.request-bytes=2097152\nplatform.keep_s=300\n%s",
		name, ip, zone, peerPort, peerPort+15, strings.Join(seeds, ","), s.ip(200), storePort, extra)
	if s.options.advisor != nil {
		text += fmt.Sprintf("placement-advisor=%s:%d\n", s.ip(201), advisorPort)
	}
	path := filepath.Join(s.folder, name+".conf")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return err
	}
	p := &process{name: name, program: program, settings: path, memoryMB: memoryMB, done: make(chan struct{})}
	s.procs = append(s.procs, p)
	if err := s.spawn(p); err != nil {
		close(p.done)
		return err
	}
	go s.supervise(p)
	return nil
}

// spawn starts a process with the command of the deploy file, as the platform does.
func (s *site) spawn(p *process) error {
	log, err := os.OpenFile(filepath.Join(s.folder, p.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	command := exec.Command("target/" + p.program)
	command.Dir, command.Stdout, command.Stderr = s.repo, log, log
	command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "CHERVILRIDGE_NODE_FILE=" + p.settings}
	if err := command.Start(); err != nil {
		return err
	}
	p.mu.Lock()
	p.command = command
	p.mu.Unlock()
	return nil
}

// supervise restarts a process that has ended, until the site stops it.
func (s *site) supervise(p *process) {
	defer close(p.done)
	for {
		p.mu.Lock()
		command := p.command
		p.mu.Unlock()
		exited := make(chan struct{})
		if s.options.enforceMemory {
			go s.enforceMemory(p, command, exited)
		}
		err := command.Wait()
		close(exited)
		p.mu.Lock()
		stopping := p.stopping
		if !stopping {
			p.ownEnds++
			s.record.line("process %s has ended: %v; end number %d, peak memory %d MB", p.name, err, p.ownEnds, p.peakMB)
		}
		p.mu.Unlock()
		if stopping {
			return
		}
		time.Sleep(restartDelay)
		p.mu.Lock()
		stopping = p.stopping
		p.mu.Unlock()
		if stopping || s.spawn(p) != nil {
			return
		}
	}
}

// enforceMemory kills a process whose anonymous memory exceeds its limit.
func (s *site) enforceMemory(p *process, command *exec.Cmd, exited chan struct{}) {
	for {
		select {
		case <-exited:
			return
		case <-time.After(20 * time.Millisecond):
		}
		mb := anonymousMB(command.Process.Pid)
		p.mu.Lock()
		p.peakMB = max(p.peakMB, mb)
		p.mu.Unlock()
		if mb > p.memoryMB {
			s.record.line("process %s takes %d MB, its limit is %d MB: killed by the platform", p.name, mb, p.memoryMB)
			_ = command.Process.Kill()
			return
		}
	}
}

// anonymousMB returns the anonymous resident memory of a process that this program has started.
func anonymousMB(pid int) int {
	content, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(content), "\n") {
		if rest, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, _ := strconv.Atoi(strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(rest), "kB")))
			return kb >> 10
		}
	}
	return 0
}

// signal sends a signal to the present process of a program.
func (s *site) signal(name string, sig syscall.Signal) {
	for _, p := range s.procs {
		if p.name == name {
			p.mu.Lock()
			_ = p.command.Process.Signal(sig)
			p.mu.Unlock()
			s.record.line("signal %v to %s", sig, name)
		}
	}
}

// awaitReady waits until all entries report themselves ready and all workers have a lease.
func (s *site) awaitReady() error {
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		ready := 0
		for i := range s.options.entries {
			response, err := s.client.Get(fmt.Sprintf("http://%s:%d/v1/readiness", s.entryIP(i), readyPort))
			if err != nil {
				continue
			}
			_ = response.Body.Close()
			if response.StatusCode == http.StatusOK {
				ready++
			}
		}
		held := 0
		for _, w := range s.workers {
			if w.held() {
				held++
			}
		}
		if ready == s.options.entries && held == len(s.workers) {
			s.record.line("all %d entries are ready, all %d workers are held", ready, held)
			return nil
		}
	}
	return fmt.Errorf("the site is not ready in time")
}

// stop ends all processes of the site and removes its temporary folder.
func (s *site) stop() {
	for _, p := range s.procs {
		p.mu.Lock()
		p.stopping = true
		if p.command != nil {
			_ = p.command.Process.Kill()
		}
		p.mu.Unlock()
	}
	for _, p := range s.procs {
		<-p.done
	}
	for _, w := range s.workers {
		w.close()
	}
	for _, server := range s.servers {
		_ = server.Close()
	}
	if s.guard != nil {
		_ = s.guard.Close()
	}
	if s.folder != "" && os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(s.folder)
	}
}

// zone returns the zone of a machine, if they are spread evenly.
func zone(machine int) string { return []string{"pnw-a", "pnw-b", "pnw-c"}[machine%3] }
