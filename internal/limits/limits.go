// Package limits derives from a machine's memory and descriptors what the clients of a process may
// take of them, and enforces it on the process's listeners.
package limits

import (
	"context"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"golang.org/x/sync/semaphore"
	"golang.org/x/sys/unix"

	"chervilridge/internal/bodylimit"
	"chervilridge/internal/connlimit"
	"chervilridge/internal/events"
	"chervilridge/internal/failfast"
	"chervilridge/internal/peer"
)

const (
	// fileDescriptors are kept for files and the like, and at most half of all.
	fileDescriptors = 200
	// bodyShare is the part of the memory that bodies in flight may take, as received: one in
	// bodyShare. Decoding or forwarding them takes up to twice as much again.
	bodyShare = 8
	// messageShare is the part of the memory for incomplete messages of gRPC connections, which
	// is at least one of the largest messages.
	messageShare = 8
	// headerShare is the part of the memory for the bytes of incomplete headers. A short header
	// field takes up to 25 times its bytes once parsed.
	headerShare = 128
	// decodeShare is the part of the memory for decoding, decodeGrowth how many times its own
	// size a body of many short JSON objects takes meanwhile.
	decodeShare    = 4
	decodeGrowth   = 128
	minDecodeBytes = 64 << 10
	// clientConnBytes and peerConnBytes are what a connection takes with its goroutines and
	// buffers: 4 KiB each way and the stack for HTTP, 32 KiB each way and three stacks for gRPC.
	clientConnBytes = 32 << 10
	peerConnBytes   = 96 << 10
	// Connections take these shares of the memory, and of the descriptors that remain
	// without files. The remaining fourth of the descriptors is for outgoing connections.
	clientMemoryShare        = 4
	peerMemoryShare          = 2
	clientSixteenths         = 6
	peerSixteenths           = 6
	controlSixteenths        = 1
	maxReadiness, maxMetrics = 32, 16
	smallListenerSixteenths  = 1
	// maxHeaderBytes bounds the header of a request on every HTTP listener, with its path. Paths of
	// 100 KB get an answer of the handler.
	maxHeaderBytes = 128 << 10
	reportInterval = time.Second
)

// Kind is the kind of a listener.
type Kind string

// Kinds of listeners. Their values are in metrics.
const (
	Clients   Kind = "clients"
	Control   Kind = "control"
	Readiness Kind = "readiness"
	Metrics   Kind = "metrics"
	Peers     Kind = "peers"
)

// Machine is what a process may take of its machine.
type Machine struct {
	MemoryBytes int64
	Descriptors int
}

// Detect replaces values of 0 by those of the machine, and limits the descriptors to what the
// system allows the process.
func (m Machine) Detect() Machine {
	var rlimit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &rlimit); err == nil && rlimit.Cur < 1<<30 {
		if n := int(rlimit.Cur); m.Descriptors == 0 || n < m.Descriptors {
			m.Descriptors = n
		}
	}
	if m.Descriptors == 0 {
		m.Descriptors = 1 << 20
	}
	if m.MemoryBytes == 0 {
		m.MemoryBytes = detectMemory()
	}
	return m
}

// detectMemory returns the memory limit of the control group, or the machine's memory if that is
// less or there is no limit.
func detectMemory() int64 {
	memory := int64(1 << 30) // if the system does not report it
	var info unix.Sysinfo_t
	if err := unix.Sysinfo(&info); err == nil {
		memory = int64(uint64(info.Totalram) * uint64(info.Unit))
	}
	for _, path := range []string{"/sys/fs/cgroup/memory.max", "/sys/fs/cgroup/memory/memory.limit_in_bytes"} {
		text, err := os.ReadFile(path)
		if err != nil {
			continue
		}
		if n, err := strconv.ParseInt(strings.TrimSpace(string(text)), 10, 64); err == nil && n > 0 {
			memory = min(memory, n)
		}
	}
	return memory
}

// maxConns returns the bound on the connections of a kind of listener.
func (m Machine) maxConns(kind Kind) int {
	network := max(m.Descriptors-fileDescriptors, m.Descriptors/2)
	sixteenths := func(n int) int { return max(network*n/16, 1) }
	switch kind {
	case Clients:
		return min(sixteenths(clientSixteenths), int(m.MemoryBytes/clientMemoryShare/clientConnBytes))
	case Peers:
		return min(sixteenths(peerSixteenths), int(m.MemoryBytes/peerMemoryShare/peerConnBytes))
	case Control:
		return sixteenths(controlSixteenths)
	case Readiness:
		return min(maxReadiness, sixteenths(smallListenerSixteenths))
	}
	return min(maxMetrics, sixteenths(smallListenerSixteenths))
}

// Guard enforces the limits of one process. It is safe for concurrent use.
type Guard struct {
	machine  Machine
	bodies   *bodylimit.Budget
	decoding *semaphore.Weighted
	decode   int64 // size of decoding
	scope    tally.Scope

	mu        sync.Mutex
	listeners []*connlimit.Listener
	refusals  map[string]int64 // by reason, since the last report
}

// New returns a guard for a process on the machine.
func New(machine Machine, scope tally.Scope) *Guard {
	g := &Guard{machine: machine, scope: scope, refusals: map[string]int64{}}
	g.decode = max(machine.MemoryBytes/decodeShare/decodeGrowth, minDecodeBytes)
	g.decoding = semaphore.NewWeighted(g.decode)
	g.bodies = bodylimit.New(machine.MemoryBytes/bodyShare, g.countRefusal)
	return g
}

// Bodies returns the budget of the process's request bodies.
func (g *Guard) Bodies() *bodylimit.Budget { return g.bodies }

// StartDecoding waits until a body of that size may be decoded, which takes a multiple of its size. The
// caller calls the returned function afterwards.
func (g *Guard) StartDecoding(ctx context.Context, size int) (done func(), err error) {
	weight := min(int64(size), g.decode)
	if err := g.decoding.Acquire(ctx, weight); err != nil {
		return nil, err
	}
	return func() { g.decoding.Release(weight) }, nil
}

// ServeHTTP serves HTTP on a listener within its limits, in the background. The server's handler reads
// bodies with Bodies; see bodylimit.NewHandler. A panic in it ends the process; see failfast.Handler.
func (g *Guard) ServeHTTP(server *http.Server, l net.Listener, kind Kind) {
	server.Handler = failfast.Handler(bodylimit.NewHandler(server.Handler))
	server.MaxHeaderBytes = maxHeaderBytes
	server.ConnState = connlimit.TrackState
	server.ConnContext = connlimit.WithConn
	bounded := g.listen(l, connlimit.Options{Name: string(kind), Max: g.machine.maxConns(kind), HeaderBytes: g.machine.MemoryBytes / headerShare})
	go func() { _ = server.Serve(bounded) }()
}

// ListenGRPC returns a listener for a gRPC server within its limits.
func (g *Guard) ListenGRPC(l net.Listener) net.Listener {
	return g.listen(l, connlimit.Options{
		Name: string(Peers), Protocol: connlimit.GRPC, Max: g.machine.maxConns(Peers),
		MessageBytes: max(g.machine.MemoryBytes/messageShare, peer.MaxMessageBytes+peer.MaxMessageBytes/8), UserTimeout: peer.ServerUserTimeout,
	})
}

func (g *Guard) listen(l net.Listener, options connlimit.Options) net.Listener {
	options.Refused = g.countRefusal
	bounded := connlimit.New(l, options)
	g.mu.Lock()
	defer g.mu.Unlock()
	g.listeners = append(g.listeners, bounded)
	return bounded
}

func (g *Guard) countRefusal(reason string) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.refusals[reason]++
}

// Run reports the state of the limits to the metrics once a second, and logs refusals in at most
// one line a second, until the context ends.
func (g *Guard) Run(ctx context.Context) {
	ticker := time.NewTicker(reportInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ticker.C:
			g.report()
		case <-ctx.Done():
			return
		}
	}
}

func (g *Guard) report() {
	inFlight := g.bodies.InFlight()
	g.scope.Gauge("body_bytes_in_flight").Update(float64(inFlight))
	g.mu.Lock()
	refusals, listeners := g.refusals, g.listeners
	g.refusals = map[string]int64{}
	g.mu.Unlock()
	connections, messageBytes := 0, int64(0)
	for _, l := range listeners {
		messageBytes += l.MessageBytes()
		for state, n := range l.Counts() {
			connections += n
			g.scope.Tagged(map[string]string{"listener": l.Name(), "state": state}).Gauge("connections").Update(float64(n))
		}
	}
	g.scope.Gauge("message_bytes_in_flight").Update(float64(messageBytes))
	if len(refusals) == 0 {
		return
	}
	for reason, n := range refusals {
		g.scope.Tagged(map[string]string{"reason": reason}).Counter("client_refusals").Inc(n)
	}
	events.ClientsRefused.Log("reasons", refusals, "bodyBytes", inFlight, "messageBytes", messageBytes, "connections", connections)
}
