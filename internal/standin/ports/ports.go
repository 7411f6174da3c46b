// Package ports allocates loopback addresses for processes that tests and benchmarks
// start.
package ports

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The ports from minPort up to, not including, maxPort lie below the kernel's ephemeral
// range. An outgoing connection could otherwise take a port before the process listens.
const (
	minPort   = 10_000
	maxPort   = 32_000
	pidStride = 97 // spreads the first ports of concurrent test processes, by process id
)

var allocator struct {
	sync.Mutex
	next int // port to try next; 0 before the first call
}

// Free returns a loopback address on which nothing listens. It returns an address again
// only after this process has been through the whole range.
func Free() (string, error) {
	allocator.Lock()
	defer allocator.Unlock()
	if allocator.next == 0 {
		allocator.next = minPort + os.Getpid()*pidStride%(maxPort-minPort)
	}
	for range maxPort - minPort {
		address := fmt.Sprintf("127.0.0.1:%d", allocator.next)
		allocator.next++
		if allocator.next >= maxPort {
			allocator.next = minPort
		}
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free loopback port in [%d, %d)", minPort, maxPort)
}
