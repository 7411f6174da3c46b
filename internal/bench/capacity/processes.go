package capacity

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"

	"chervilridge/internal/fault"
	"chervilridge/internal/load"
	"chervilridge/internal/standin/ports"
)

const (
	binaries       = "bin/"
	settleFor      = 6 * time.Second
	watchFor       = 10 * time.Second
	clockTicks     = 100 // units a second in /proc/PID/stat
	statUserTicks  = 13  // field of user time, from 0
	statSystem     = 14
	bytesPerMB     = 1 << 20
	percent        = 100
	residentField  = 1 // field of resident pages in /proc/PID/statm
	centresInBench = 3

	requestAgents   = 6
	requestDeadline = 5 * time.Second
	requestClients  = 10
	requestSeed     = 1
)

var roles = []string{"agent", "entry"}

// child is one process under watch.
type child struct {
	role string
	cmd  *exec.Cmd
}

// fleet is a set of real processes.
type fleet struct {
	children  []child
	entries   []string // HTTP addresses
	endpoints []string
}

func (f *fleet) stop() {
	for _, c := range f.children {
		_ = c.cmd.Process.Kill()
		_ = c.cmd.Wait()
	}
}

// use returns what the roles use from before do until its end, at least for the
// given time.
func (f *fleet) use(atLeast time.Duration, do func()) (map[string]sum, error) {
	before, err := usage(f.children)
	if err != nil {
		return nil, err
	}
	end := time.Now().Add(atLeast)
	do()
	time.Sleep(time.Until(end))
	after, err := usage(f.children)
	if err != nil {
		return nil, err
	}
	for role, s := range after {
		s.cpu -= before[role].cpu
		after[role] = s
	}
	return after, nil
}

// Processes measures idle agents and entries as real processes with a worker
// and an endpoint each.
func Processes(agents int) ([]Row, error) {
	f, err := startFleet(agents)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	time.Sleep(settleFor)
	used, err := f.use(watchFor, func() {})
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, role := range roles {
		s := used[role]
		share := s.cpu.Seconds() / watchFor.Seconds() / float64(s.count)
		rows = append(rows,
			Row{"idle " + role + ": processor, mean", agents, "% of a core", percent * share},
			Row{"idle " + role + ": resident memory, highest", agents, "MB", float64(s.highest) / bytesPerMB})
	}
	return rows, nil
}

// Requests measures what one request costs entry and agent in processor time,
// and the latency that they add, at a rate that keeps the machine nearly idle.
func Requests(rate int) ([]Row, error) {
	f, err := startFleet(requestAgents)
	defer f.stop()
	if err != nil {
		return nil, err
	}
	time.Sleep(settleFor)
	o := load.Options{
		Targets: f.entries, Service: "quotedesk", Rate: int64(rate), Duration: watchFor,
		Deadline: requestDeadline, Clients: requestClients, Seed: requestSeed,
	}
	load.NewRunner(warm(o)).Run(context.Background())
	idle, err := f.use(watchFor, func() {})
	if err != nil {
		return nil, err
	}
	var through *load.Report
	busy, err := f.use(watchFor, func() { through = load.NewRunner(o).Run(context.Background()) })
	if err != nil {
		return nil, err
	}
	o.Targets, o.Direct = f.endpoints, true
	straight := load.NewRunner(o).Run(context.Background())
	rows := []Row{
		{"request: added latency, p50", rate, "us", micros(through.Quantile(50) - straight.Quantile(50))},
		{"request: added latency, p99", rate, "us", micros(through.Quantile(99) - straight.Quantile(99))},
		{"request straight to the endpoint: p99", rate, "us", micros(straight.Quantile(99))},
		{"requests answered of those sent", rate, "%", percent * float64(through.Count(fault.Done)) / (float64(rate) * watchFor.Seconds())},
	}
	for _, role := range roles {
		spent := busy[role].cpu - idle[role].cpu
		rows = append(rows, Row{"request at the " + role + ": processor time", rate, "us", micros(spent) / float64(through.Count(fault.Done))})
	}
	return rows, nil
}

// warm returns the same load for a moment, so that connections are open.
func warm(o load.Options) load.Options {
	o.Duration = time.Second
	return o
}

func micros(d time.Duration) float64 { return float64(d.Nanoseconds()) / nanosPerMicro }

// sum is what the processes of one role used.
type sum struct {
	count   int
	cpu     time.Duration
	highest int64 // bytes
}

func usage(children []child) (map[string]sum, error) {
	out := map[string]sum{}
	for _, c := range children {
		cpu, resident, err := readProc(c.cmd.Process.Pid)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", c.role, err)
		}
		s := out[c.role]
		s.count++
		s.cpu += cpu
		s.highest = max(s.highest, resident)
		out[c.role] = s
	}
	return out, nil
}

func readProc(pid int) (time.Duration, int64, error) {
	stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, 0, err
	}
	statm, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, 0, err
	}
	fields := strings.Fields(string(stat))
	pages := strings.Fields(string(statm))
	if len(fields) <= statSystem || len(pages) <= residentField {
		return 0, 0, fmt.Errorf("unexpected form of /proc/%d", pid)
	}
	user, _ := strconv.ParseInt(fields[statUserTicks], 10, 64)
	system, _ := strconv.ParseInt(fields[statSystem], 10, 64)
	resident, _ := strconv.ParseInt(pages[residentField], 10, 64)
	return time.Duration(user+system) * time.Second / clockTicks, resident * int64(os.Getpagesize()), nil
}

func startFleet(agents int) (*fleet, error) {
	f := &fleet{}
	var err error
	next := func() string {
		address, e := ports.Free()
		err = errors.Join(err, e)
		return address
	}
	start := func(role, program string, args ...string) {
		if err != nil {
			return
		}
		cmd := exec.Command(binaries+program, args...)
		var sink bytes.Buffer
		cmd.Stdout = &sink
		if err = cmd.Start(); err == nil {
			f.children = append(f.children, child{role, cmd})
		}
	}
	platform := next()
	start("platform", "chervil-platform", "serve", "--address", platform, "--workers", fmt.Sprint(agents))
	var entries []string
	for i := range 2 {
		grpc, http := next(), next()
		entries = append(entries, grpc)
		f.entries = append(f.entries, http)
		start("entry", "chervil-entry", "--name", fmt.Sprintf("entry-%d", i+1), "--grpc-address", grpc,
			"--http-address", http, "--metrics-address", next(), "--log-address", platform)
	}
	for i := range agents {
		endpoint := next()
		f.endpoints = append(f.endpoints, endpoint)
		start("endpoint", "chervil-platform", "endpoint", "--address", endpoint)
		start("agent", "chervil-agent", "--name", fmt.Sprintf("agent-%d", i+1), "--grpc-address", next(), "--metrics-address", next(),
			"--log-address", platform, "--worker-address", platform, "--worker", fmt.Sprintf("worker-%d", i+1),
			"--entries", strings.Join(entries, ","), "--endpoint", endpoint,
			"--data-centre", "pnw-"+string(rune('a'+i%centresInBench)))
	}
	return f, err
}
