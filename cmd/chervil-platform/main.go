// Command chervil-platform is the stand-in for the users' platform in tests and
// in the demo: the log, the workers and a sample endpoint. It keeps nothing.
package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"k8s.io/klog/v2"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/process"
	"chervilridge/internal/settings"
	"chervilridge/internal/standin/deploy"
	"chervilridge/internal/standin/endpoint"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/standin/server"
	"chervilridge/internal/standin/worker"
)

const (
	readHeaderTimeout = 5 * time.Second
	stopTimeout       = 5 * time.Second
	mbPerGB           = 1024
	milliPerCore      = 1000
)

func main() {
	root := &cobra.Command{Use: "chervil-platform", Short: "Stand-in for the platform, for tests and the demo", SilenceUsage: true, SilenceErrors: true}
	root.AddCommand(serveCommand(), endpointCommand())
	code := process.ExitCode(root.Execute())
	klog.Flush()
	os.Exit(code)
}

func serveCommand() *cobra.Command {
	set := settings.New("chervil-platform serve")
	address := set.Address("address", "127.0.0.1:7000", "where log and workers are served")
	centres := set.String("data-centres", "pnw-a,pnw-b,pnw-c", "data centres, separated by commas", true)
	workers := set.Int("workers", 11, 1, 10_000, "workers", "number of workers")
	cores := set.Int("cores", 32, 1, 1024, "cores", "processors of each worker")
	memory := set.Int("memory", 125, 1, 4096, "GB", "memory of each worker")
	retain := set.Int("retain-entries", 0, 0, 1_000_000, "entries", "most entries that a stream keeps; 0 keeps all")
	lag := set.Duration("usage-lag", 2*time.Second, 0, time.Minute, "age of the reported usage")
	cmd := &cobra.Command{Use: "serve", Short: "Serves the log and the workers", Args: cobra.NoArgs}
	set.Bind(cmd.Flags())
	cmd.RunE = func(*cobra.Command, []string) error {
		if err := set.Load(nil); err != nil {
			return err
		}
		shape := deploy.Shape{
			DataCentres: strings.Split(*centres, ","), Workers: int(*workers),
			Capacity: &pb.Resources{CpuMilli: *cores * milliPerCore, MemoryMb: *memory * mbPerGB},
		}
		store := logstore.New(logstore.Options{RetainEntries: int(*retain)})
		return serve(*address, newServer(store, shape, *lag))
	}
	return cmd
}

func newServer(store *logstore.Store, shape deploy.Shape, lag time.Duration) http.Handler {
	recorder := worker.NewRecorder()
	byName := map[string]*worker.Worker{}
	for _, info := range shape.Infos() {
		byName[info.Name] = worker.New(worker.Options{Info: info, Recorder: recorder, UsageLag: lag})
	}
	return server.New(store, byName, recorder)
}

func endpointCommand() *cobra.Command {
	set := settings.New("chervil-platform endpoint")
	address := set.Address("address", "127.0.0.1:9100", "where the sample endpoint is served")
	name := set.String("name", "endpoint-1", "name in the answers", true)
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

// serve serves until a signal comes.
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
