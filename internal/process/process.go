// Package process runs a program: it reads and checks the settings, builds the
// parts, and stops them in order on a signal.
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

const startTimeout = 15 * time.Second

// Program describes one program.
type Program struct {
	Name  string
	Short string
	// Settings adds the program's settings to the set and returns the parts to
	// build once they are loaded.
	Settings func(set *settings.Set) func() fx.Option
	// StopTimeout is the setting that bounds a planned stop; nil means 30 s.
	StopTimeout func() time.Duration
}

// Main runs the program and returns its exit code.
func Main(p Program) int {
	set := settings.New(p.Name)
	build := p.Settings(set)
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

// ExitCode prints the error, if any, and returns the exit code for it. Whatever
// the command line itself got wrong counts as a bad setting.
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

func run(ctx context.Context, p Program, parts fx.Option) error {
	if ctx == nil {
		ctx = context.Background()
	}
	stop := 30 * time.Second
	if p.StopTimeout != nil {
		stop = p.StopTimeout()
	}
	app := fx.New(parts, fx.NopLogger, fx.StartTimeout(startTimeout), fx.StopTimeout(stop))
	if err := app.Err(); err != nil {
		var bad *fault.Error
		if errors.As(dig.RootCause(err), &bad) && bad.Code == fault.CodeBadSetting {
			return bad
		}
		return fault.Wrap(err, fault.CodeInternal, fault.StepSettings, p.Name, "cannot build the process")
	}
	signals, unsubscribe := signal.NotifyContext(ctx, syscall.SIGTERM, syscall.SIGINT)
	defer unsubscribe()
	if err := start(signals, app); err != nil {
		if fault.Is(err, fault.CodeBadSetting) {
			return err
		}
		return fault.Wrap(err, fault.CodeInternal, fault.StepSettings, p.Name, "cannot start")
	}
	events.ProcessStarted.Log("program", p.Name, "pid", os.Getpid())
	<-signals.Done()
	events.ProcessStopping.Log("program", p.Name)
	stopCtx, cancel := context.WithTimeout(context.Background(), stop)
	defer cancel()
	if err := app.Stop(stopCtx); err != nil {
		events.StopTimedOut.LogError(err, "program", p.Name)
		return fault.Wrap(err, fault.CodeInternal, fault.StepStop, p.Name, "planned stop not finished in time")
	}
	events.ProcessStopped.Log("program", p.Name)
	return nil
}

func start(ctx context.Context, app *fx.App) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	return app.Start(ctx)
}
