package capacity

import (
	"bytes"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strconv"
	"strings"
	"time"
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
)

// child is one process under watch.
type child struct {
	role string
	cmd  *exec.Cmd
}

// Processes measures idle agents and entries as real processes with a worker
// and an endpoint each.
func Processes(agents int) ([]Row, error) {
	children, err := startFleet(agents)
	defer func() {
		for _, c := range children {
			_ = c.cmd.Process.Kill()
			_ = c.cmd.Wait()
		}
	}()
	if err != nil {
		return nil, err
	}
	time.Sleep(settleFor)
	before, err := usage(children)
	if err != nil {
		return nil, err
	}
	time.Sleep(watchFor)
	after, err := usage(children)
	if err != nil {
		return nil, err
	}
	var rows []Row
	for _, role := range []string{"agent", "entry"} {
		a, b := before[role], after[role]
		used := (b.cpu - a.cpu).Seconds() / watchFor.Seconds() / float64(b.count)
		rows = append(rows,
			Row{"idle " + role + ": processor, mean", agents, "% of a core", percent * used},
			Row{"idle " + role + ": resident memory, highest", agents, "MB", float64(b.highest) / bytesPerMB})
	}
	return rows, nil
}

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

func startFleet(agents int) ([]child, error) {
	ports, err := freePorts(7 + 3*agents)
	if err != nil {
		return nil, err
	}
	next := func() string {
		p := ports[0]
		ports = ports[1:]
		return p
	}
	var out []child
	start := func(role, program string, args ...string) {
		if err != nil {
			return
		}
		cmd := exec.Command(binaries+program, args...)
		var sink bytes.Buffer
		cmd.Stdout = &sink
		if err = cmd.Start(); err == nil {
			out = append(out, child{role, cmd})
		}
	}
	platform := next()
	start("platform", "chervil-platform", "serve", "--address", platform, "--workers", fmt.Sprint(agents))
	var entries []string
	for i := range 2 {
		grpc := next()
		entries = append(entries, grpc)
		start("entry", "chervil-entry", "--name", fmt.Sprintf("entry-%d", i+1), "--grpc-address", grpc,
			"--http-address", next(), "--metrics-address", next(), "--log-address", platform)
	}
	for i := range agents {
		endpoint := next()
		start("endpoint", "chervil-platform", "endpoint", "--address", endpoint)
		start("agent", "chervil-agent", "--name", fmt.Sprintf("agent-%d", i+1), "--grpc-address", next(), "--metrics-address", next(),
			"--log-address", platform, "--worker-address", platform, "--worker", fmt.Sprintf("worker-%d", i+1),
			"--entries", strings.Join(entries, ","), "--endpoint", endpoint,
			"--data-centre", "pnw-"+string(rune('a'+i%centresInBench)))
	}
	return out, err
}

func freePorts(n int) ([]string, error) {
	var held []net.Listener
	defer func() {
		for _, l := range held {
			_ = l.Close()
		}
	}()
	var out []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, err
		}
		held = append(held, l)
		out = append(out, l.Addr().String())
	}
	return out, nil
}
