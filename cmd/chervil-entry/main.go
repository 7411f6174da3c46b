// Command chervil-entry serves the clients' requests and the operators' changes. On the
// platform it serves the clients' jobs and may own the schedule.
package main

import (
	"os"
	"time"

	"go.uber.org/fx"

	"chervilridge/internal/entry"
	"chervilridge/internal/jobentry"
	"chervilridge/internal/process"
	"chervilridge/internal/settings"
	"chervilridge/platform"
)

func main() {
	if platform.SettingsPath() != "" {
		os.Exit(process.Main(platformProgram()))
	}
	var options *entry.Options
	os.Exit(process.Main(process.Program{
		Name:  "chervil-entry",
		Short: "Serves the clients' requests and the operators' changes",
		Configure: func(set *settings.Set) func() fx.Option {
			options = entry.NewOptions(set)
			return func() fx.Option { return entry.Module(set, options) }
		},
		StopTimeout: func() time.Duration { return *options.StopTimeout },
	}))
}

// platformProgram returns the program for a process on the platform, which provides a
// settings file.
func platformProgram() process.Program {
	return process.Program{
		Name:  "chervil-entry",
		Short: "Serves the clients' jobs and may own the schedule",
		Configure: func(set *settings.Set) func() fx.Option {
			options := jobentry.NewOptions(set)
			return func() fx.Option { return jobentry.Module(set, options) }
		},
	}
}
