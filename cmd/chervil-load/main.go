// Command chervil-load sends requests at a fixed rate and counts what came of
// them; it can compare the way through the system with the endpoint itself.
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
	direct := set.Addresses("direct", "", "addresses of endpoints to compare with; empty for none")
	service := set.String("service", "quotedesk", "service that the requests ask", true)
	rate := set.Int("rate", 100, 1, 20_000, "requests/s", "requests sent a second")
	duration := set.Duration("duration", 10*time.Second, 100*time.Millisecond, 10*time.Minute, "length of the run")
	deadline := set.Duration("deadline", 2*time.Second, time.Millisecond, 2*time.Minute, "deadline of each request")
	work := set.Duration("work", 0, 0, time.Minute, "mean work of a request at a sample endpoint")
	spread := set.Bool("spread", false, "draw the work from an exponential distribution")
	clients := set.Int("clients", 10, 1, 10_000, "clients", "number of client names")
	once := set.Int("once", 0, 0, 1000, "thousandths", "share of requests that must not be repeated")
	seed := set.Int("seed", 1, 0, 1<<40, "seed", "seed of what is drawn")
	cmd := &cobra.Command{Use: "chervil-load", Short: "Sends requests at a fixed rate and counts what came of them", Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true}
	set.Bind(cmd.Flags())
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		if err := set.Load(nil); err != nil {
			return err
		}
		if len(*targets) == 0 {
			return fault.New(fault.CodeBadSetting, fault.StepSettings, "chervil-load", "--entry names no entry")
		}
		return run(cmd, load.Options{
			Targets: *targets, Service: *service, Rate: *rate, Duration: *duration, Deadline: *deadline,
			Work: *work, Spread: *spread, Clients: *clients, OnceMilli: *once, Seed: uint64(*seed),
		}, *direct)
	}
	os.Exit(process.ExitCode(cmd.Execute()))
}

// run sends the load, and the same load straight to the endpoints if any are
// named, and fails if an answer was wrong.
func run(cmd *cobra.Command, o load.Options, direct []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	out := cmd.OutOrStdout()
	through := load.NewRunner(o).Run(ctx)
	fmt.Fprintln(out, "through the system:")
	through.Print(out)
	if len(direct) > 0 {
		o.Targets, o.Direct = direct, true
		straight := load.NewRunner(o).Run(ctx)
		fmt.Fprintln(out, "straight to the endpoints:")
		straight.Print(out)
		fmt.Fprintf(out, "added: p50 %v, p99 %v\n", through.Quantile(50)-straight.Quantile(50), through.Quantile(99)-straight.Quantile(99))
	}
	if n := through.Wrong(); n > 0 {
		return fault.Newf(fault.CodeInternal, fault.StepVerify, "", "%d answers were cut or belonged to another request", n)
	}
	return nil
}
