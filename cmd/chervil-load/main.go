// Command chervil-load sends requests at a fixed rate and counts their outcomes. It can
// compare the latency through the system with that of direct calls to the endpoints.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"chervilridge/internal/fault"
	"chervilridge/internal/load"
	"chervilridge/internal/process"
	"chervilridge/internal/settings"
)

func main() {
	set := settings.New("chervil-load")
	targets := set.Addresses("entry", "127.0.0.1:8080", "HTTP addresses of entries, used in turn")
	direct := set.Addresses("direct", "", "addresses of endpoints to call directly for comparison; empty for none")
	service := set.String("service", "quotedesk", "service that the requests call", true)
	rate := set.Int("rate", 100, 1, 20_000, "requests/s", "requests sent per second")
	duration := set.Duration("duration", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "length of the run")
	deadline := set.Duration("deadline", 2*time.Second, time.Millisecond, 2*time.Minute, "deadline of each request")
	work := set.Duration("work", 0, 0, time.Minute, "mean processing time of a request at a sample endpoint")
	spread := set.Bool("spread", false, "draw the processing time from an exponential distribution")
	clients := set.Int("clients", 10, 1, 10_000, "clients", "number of client names")
	once := set.Int("once", 0, 0, 1000, "thousandths", "share of requests that must not be retried")
	seed := set.Int("seed", 1, 0, 1<<40, "seed", "seed of the random numbers")
	cmd := &cobra.Command{Use: "chervil-load", Short: "Sends requests at a fixed rate and counts their outcomes", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true}
	set.Bind(cmd.Flags())
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := set.Load(nil); err != nil {
			return err
		}
		if len(*targets) == 0 {
			return fault.New(fault.CodeBadSetting, fault.StepSettings, "chervil-load", "--entry names no entry")
		}
		return runLoad(cmd, load.Options{
			Targets: *targets, Service: *service, Rate: *rate, Duration: *duration, Deadline: *deadline,
			MeanWork: *work, ExponentialWork: *spread, ClientCount: *clients, NonRepeatablePerMille: *once, Seed: uint64(*seed),
		}, *direct)
	}
	os.Exit(process.ExitCode(cmd.Execute()))
}

// runLoad sends the load through the system and, if direct names any endpoints, the same
// load directly to them. It fails if a response through the system was truncated or
// belonged to another request.
func runLoad(cmd *cobra.Command, o load.Options, direct []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	out := cmd.OutOrStdout()
	viaSystem := load.NewRunner(o).Run(ctx)
	fmt.Fprintln(out, "through the system:")
	viaSystem.Print(out)
	if len(direct) > 0 {
		o.Targets, o.Direct = direct, true
		viaDirect := load.NewRunner(o).Run(ctx)
		fmt.Fprintln(out, "straight to the endpoints:")
		viaDirect.Print(out)
		fmt.Fprintf(out, "added: p50 %v, p99 %v\n", viaSystem.Percentile(50)-viaDirect.Percentile(50), viaSystem.Percentile(99)-viaDirect.Percentile(99))
	}
	if n := viaSystem.BadAnswers(); n > 0 {
		return fault.Newf(fault.CodeInternal, fault.StepVerify, "", "%d responses were truncated or belonged to another request", n)
	}
	return nil
}
