// Command chervil-entry takes the clients' requests and the operators' changes.
package main

import (
	"os"
	"time"

	"go.uber.org/fx"

	"chervilridge/internal/entry"
	"chervilridge/internal/entrynode"
	"chervilridge/internal/process"
	"chervilridge/internal/settings"
	"chervilridge/platform"
)

func main() {
	if platform.SettingsPath() != "" {
		os.Exit(process.Main(onPlatform()))
	}
	var options *entry.Options
	os.Exit(process.Main(process.Program{
		Name:  "chervil-entry",
		Short: "Takes the clients' requests and the operators' changes",
		Settings: func(set *settings.Set) func() fx.Option {
			options = entry.NewOptions(set)
			return func() fx.Option { return entry.Module(set, options) }
		},
		StopTimeout: func() time.Duration { return *options.StopTimeout },
	}))
}

// onPlatform is the program where the platform provides a settings file.
func onPlatform() process.Program {
	return process.Program{
		Name:  "chervil-entry",
		Short: "Takes the clients' jobs and may own the schedule",
		Settings: func(set *settings.Set) func() fx.Option {
			options := entrynode.NewOptions(set)
			return func() fx.Option { return entrynode.Module(set, options) }
		},
	}
}
