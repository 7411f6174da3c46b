// Package process runs a program: it loads the settings, builds and starts the components,
// and stops them in reverse order on SIGTERM or SIGINT.
package process

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/spf13/cobra"
	"go.uber.org/dig"
	"go.uber.org/fx"
	"k8s.io/klog/v2"

	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/settings"
)

// Exit codes of all programs.
const (
	ExitOK         = 0
	ExitFailure    = 1
	ExitBadSetting = 2
)

// startTimeout limits the start of all components.
const startTimeout = 15 * time.Second

// Program describes a program for Main.
type Program struct {
	Name  string
	Short string
	// Configure adds the program's settings to the set. The function that it returns is
	// called once they are loaded, and returns the components of the program.
	Configure func(set *settings.Set) func() fx.Option
	// StopTimeout returns the limit of a graceful stop; nil means 30 s.
	StopTimeout func() time.Duration
}

// Main runs the program until it is stopped and returns its exit code.
func Main(p Program) int {
	set := settings.New(p.Name)
	build := p.Configure(set)
	cmd := &cobra.Command{
		Use: p.Name, Short: p.Short, Args: cobra.NoArgs, SilenceUsage: true, SilenceErrors: true,
		RunE: func(cmd *cobra.Command, _ []string) error {
			if err := set.Load(nil); err != nil {
				return err
			}
			return run(cmd.Context(), p, build())
		},
	}
	set.Bind(cmd.Flags())
	err := cmd.Execute()
	klog.Flush()
	return ExitCode(err)
}

// ExitCode prints the error, if any, to standard error and returns its exit code. An error
// that is not a *fault.Error, such as one in the command line, counts as a bad setting.
func ExitCode(err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintln(os.Stderr, "error:", err)
	var e *fault.Error
	if !errors.As(err, &e) || e.Code == fault.CodeBadSetting {
		return ExitBadSetting
	}
	return ExitFailure
}

// run builds and starts the components, waits for a signal or the end of ctx, and stops them.
func run(ctx context.Context, p Program, components fx.Option) error {
	if ctx == nil {
		ctx = context.Background()
	}
	stopTimeout := 30 * time.Second
	if p.StopTimeout != nil {
		stopTimeout = p.StopTimeout()
	}
	app := fx.New(components, fx.NopLogger, fx.StartTimeout(startTimeout), fx.StopTimeout(stopTimeout))
	if err := app.Err(); err != nil {
		var bad *fault.Error
		if errors.As(dig.RootCause(err), &bad) && bad.Code == fault.CodeBadSetting {
			return bad
		}
		return fault.Wrap(err, fault.CodeInternal, fault.StepSettings, p.Name, "cannot build the components")
	}
	signals, unsubscribe := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer unsubscribe()
	if err := start(signals, app); err != nil {
		if fault.Is(err, fault.CodeBadSetting) {
			return err
		}
		return fault.Wrap(err, fault.CodeInternal, fault.StepSettings, p.Name, "cannot start the components")
	}
	events.ProcessStarted.Log("program", p.Name, "pid", os.Getpid())
	<-signals.Done()
	events.ProcessStopping.Log("program", p.Name)
	stopCtx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		events.GracefulStopFailed.LogError(err, "program", p.Name)
		return fault.Wrap(err, fault.CodeInternal, fault.StepStop, p.Name, "graceful stop failed or timed out")
	}
	events.ProcessStopped.Log("program", p.Name)
	return nil
}

func start(ctx context.Context, app *fx.App) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return app.Start(ctx)
}
