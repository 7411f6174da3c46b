// Command chervil-platform is the stand-in for the users' platform in tests and in the
// demo: the store, a worker, the log or a sample endpoint. It keeps all data in memory.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	"chervilridge/internal/process"
	"chervilridge/internal/settings"
	"chervilridge/internal/standin/endpoint"
	"chervilridge/internal/standin/logserver"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/standin/metastore"
	"chervilridge/internal/standin/taskworker"
)

const (
	readHeaderTimeout = 5 * time.Second
	stopTimeout       = 5 * time.Second
	mbPerGB           = 1024
	milliPerCore      = 1000
)

func main() {
	root := &cobra.Command{Use: "chervil-platform", Short: "Stand-in for the platform, for tests and the demo", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(serveCommand(), endpointCommand(), storeCommand(), workerCommand())
	code := process.ExitCode(root.Execute())
	klog.Flush()
	os.Exit(code)
}

func serveCommand() *cobra.Command {
	set := settings.New("chervil-platform serve")
	address := set.Address("address", "127.0.0.1:7000", "address on which the log is served")
	retainEntries := set.Int("retain-entries", 0, 0, 1_000_000, "entries", "largest number of entries that a stream keeps; 0 keeps all")
	cmd := &cobra.Command{Use: "serve", Short: "Serves the log", Args: cobra.NoArgs}
	set.Bind(cmd.Flags())
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := set.Load(nil); err != nil {
			return err
		}
		return serve(*address, logserver.New(logstore.New(logstore.Options{RetainEntries: int(*retainEntries)})))
	}
	return cmd
}

// storeCommand returns the command that serves the store of the users' platform.
func storeCommand() *cobra.Command {
	set := settings.New("chervil-platform store")
	address := set.Address("address", "127.0.0.1:7001", "address on which the store is served")
	cmd := &cobra.Command{Use: "store", Short: "Serves the users' store: keyed records, conditional appends and fencing", Args: cobra.NoArgs}
	set.Bind(cmd.Flags())
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := set.Load(nil); err != nil {
			return err
		}
		return serve(*address, metastore.NewServer(metastore.NewState(), 1).Handler(""))
	}
	return cmd
}

// workerCommand returns the command that serves a worker, which runs each task for a
// fixed time.
func workerCommand() *cobra.Command {
	set := settings.New("chervil-platform worker")
	address := set.Address("address", "127.0.0.1:8165", "address on which the worker is served")
	agent := set.Address("agent", "127.0.0.1:8166", "address to which the worker sends heartbeats")
	id := set.String("id", "worker-1", "id of this incarnation of the worker", true)
	service := set.String("service", "quotedesk", "service of the worker", true)
	dataCentre := set.String("data-centre", "pnw-a", "data centre of the worker", true)
	cores := set.Int("cores", 32, 1, 1024, "cores", "CPU cores of the worker")
	memory := set.Int("memory", 125, 1, 4096, "GB", "memory of the worker")
	runTime := set.Duration("run-time", 500*time.Millisecond, time.Millisecond, time.Hour, "how long each task runs")
	cmd := &cobra.Command{Use: "worker", Short: "Serves a worker of the users' platform", Args: cobra.NoArgs}
	set.Bind(cmd.Flags())
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := set.Load(nil); err != nil {
			return err
		}
		w := taskworker.New(taskworker.Config{
			ID: *id, Service: *service, Address: *address, DataCentre: *dataCentre,
			CPUMilli: int(*cores) * milliPerCore, MemoryMB: int(*memory) * mbPerGB,
		}, func(string) time.Duration { return *runTime }, taskworker.NewJournal())
		defer w.Close()
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		go w.SendHeartbeats(ctx, *agent)
		return serve(*address, w.Handler())
	}
	return cmd
}

func endpointCommand() *cobra.Command {
	set := settings.New("chervil-platform endpoint")
	address := set.Address("address", "127.0.0.1:9100", "address on which the sample endpoint is served")
	name := set.String("name", "endpoint-1", "name in the responses", true)
	cmd := &cobra.Command{Use: "endpoint", Short: "Serves a sample endpoint", Args: cobra.NoArgs}
	set.Bind(cmd.Flags())
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := set.Load(nil); err != nil {
			return err
		}
		return serve(*address, endpoint.New(*name))
	}
	return cmd
}

// serve serves HTTP at the address until SIGTERM or SIGINT, then shuts down gracefully.
func serve(address string, handler http.Handler) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	l, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	s := &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}
	go func() {
		<-ctx.Done()
		end, cancel := context.WithTimeout(context.Background(), stopTimeout)
		defer cancel()
		_ = s.Shutdown(end)
	}()
	if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
