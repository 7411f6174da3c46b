// Package failfast ends a process whose state may be broken, so that it is started again and another
// process takes over its work. A panic in a handler may leave locks held and changes half made.
package failfast

import (
	"fmt"
	"net/http"
	"os"
	"runtime"
	"runtime/debug"
	"time"
)

const (
	// ExitCode is that of a Go program which ends by a panic.
	ExitCode = 2
	// maxStackBytes bounds the stacks that are written.
	maxStackBytes = 256 << 10
	// writeTimeout bounds the write, as standard error may have no reader.
	writeTimeout = 100 * time.Millisecond
)

// Handler returns a handler that ends the process if next panics, as a panic in a gRPC call does.
// net/http would recover the panic and go on. http.ErrAbortHandler only aborts the response.
func Handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer func() {
			switch p := recover(); p {
			case nil:
			case http.ErrAbortHandler:
				panic(p)
			default:
				exit(fmt.Sprintf("panic in the handler of %s %s: %v", r.Method, r.URL.Path, p), debug.Stack())
			}
		}()
		next.ServeHTTP(w, r)
	})
}

// Stalled ends the process because its work does not proceed, with the stacks of all goroutines.
func Stalled(reason string) {
	stacks := make([]byte, maxStackBytes)
	exit(reason, stacks[:runtime.Stack(stacks, true)])
}

func exit(reason string, stacks []byte) {
	written := make(chan struct{})
	go func() {
		defer close(written)
		_, _ = fmt.Fprintf(os.Stderr, "fatal: %s\n%s\n", reason, stacks)
	}()
	select {
	case <-written:
	case <-time.After(writeTimeout):
	}
	os.Exit(ExitCode)
}
