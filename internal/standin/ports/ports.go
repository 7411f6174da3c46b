// Package ports finds loopback addresses for processes that tests and benches
// start.
package ports

import (
	"fmt"
	"net"
	"os"
	"sync"
)

// The range lies below the ports that the kernel gives to outgoing connections,
// one of which could otherwise take the port before the process listens.
const (
	lowest  = 10_000
	highest = 32_000
	stride  = 97 // spreads the first ports of processes that run side by side
)

var state struct {
	sync.Mutex
	next int
}

// Free returns an address on which nothing listens and that was not returned
// before by this process.
func Free() (string, error) {
	state.Lock()
	defer state.Unlock()
	if state.next == 0 {
		state.next = lowest + os.Getpid()*stride%(highest-lowest)
	}
	for range highest - lowest {
		address := fmt.Sprintf("127.0.0.1:%d", state.next)
		state.next++
		if state.next >= highest {
			state.next = lowest
		}
		if l, err := net.Listen("tcp", address); err == nil {
			return address, l.Close()
		}
	}
	return "", fmt.Errorf("no free port between %d and %d", lowest, highest)
}
