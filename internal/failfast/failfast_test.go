package failfast_test

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"testing"
	"time"

	"github.com/uber-go/tally/v4"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/assert/cmp"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/failfast"
	"chervilridge/internal/limits"
	"chervilridge/internal/peer"
)

// modeVariable selects what the child process does; unset in the test process.
const modeVariable = "FAILFAST_TEST_MODE"

const childTimeout = 10 * time.Second

func TestMain(m *testing.M) {
	if mode := os.Getenv(modeVariable); mode != "" {
		runChild(mode)
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// panicking is a scheduler whose Lookup panics.
type panicking struct {
	chervilv2.UnimplementedSchedulerServer
}

func (panicking) Lookup(context.Context, *chervilv2.JobRequest) (*chervilv2.JobReply, error) {
	panic("broken")
}

// runChild calls a server of the given kind whose handler panics, as the programs start it, and returns
// only if the process outlives that.
func runChild(mode string) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		panic(err)
	}
	guard := limits.New(limits.Machine{MemoryBytes: 256 << 20, Descriptors: 1024}, tally.NoopScope)
	switch mode {
	case "http", "http-abort":
		guard.ServeHTTP(&http.Server{Handler: http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
			if mode == "http-abort" {
				panic(http.ErrAbortHandler)
			}
			panic("broken")
		})}, l, limits.Clients)
		if response, err := http.Get("http://" + l.Addr().String()); err == nil {
			_ = response.Body.Close()
		}
	case "grpc":
		server := peer.NewServer()
		chervilv2.RegisterSchedulerServer(server, panicking{})
		go func() { _ = server.Serve(guard.ListenGRPC(l)) }()
		conn, err := grpc.NewClient(l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			panic(err)
		}
		_, _ = chervilv2.NewSchedulerClient(conn).Lookup(context.Background(), &chervilv2.JobRequest{})
	case "stalled":
		failfast.Stalled("no progress")
	}
	time.Sleep(time.Second) // the end of the connection may be seen before that of the process
}

// Guards against a process that goes on with locks held after a panic in a handler: it answered its
// readiness probe and no request. The same holds for both kinds of servers.
func TestPanicInAHandlerEndsTheProcess(t *testing.T) {
	for mode, want := range map[string]int{"http": failfast.ExitCode, "grpc": failfast.ExitCode, "stalled": failfast.ExitCode, "http-abort": 0} {
		t.Run(mode, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), childTimeout)
			defer cancel()
			child := exec.CommandContext(ctx, os.Args[0])
			child.Env = append(os.Environ(), fmt.Sprintf("%s=%s", modeVariable, mode))
			var output bytes.Buffer
			child.Stdout, child.Stderr = io.Discard, &output
			err := child.Run()
			var exited *exec.ExitError
			assert.Assert(t, err == nil || errors.As(err, &exited), "%v", err)
			assert.Equal(t, child.ProcessState.ExitCode(), want, output.String())
			if want != 0 {
				assert.Assert(t, cmp.Contains(output.String(), "goroutine "), "the stack is written")
			}
		})
	}
}
