// Command chervil-agent stands beside an endpoint: it admits its requests, runs
// the worker's tasks and may own a shard.
package main

import (
	"os"
	"time"

	"go.uber.org/fx"

	"chervilridge/internal/agent"
	"chervilridge/internal/process"
	"chervilridge/internal/settings"
	"chervilridge/internal/sidecar"
	"chervilridge/platform"
)

func main() {
	if platform.SettingsPath() != "" {
		os.Exit(process.Main(onPlatform()))
	}
	var options *agent.Options
	os.Exit(process.Main(process.Program{
		Name:  "chervil-agent",
		Short: "Stands beside an endpoint, admits its requests and runs the worker's tasks",
		Settings: func(set *settings.Set) func() fx.Option {
			options = agent.NewOptions(set)
			return func() fx.Option { return agent.Module(set, options) }
		},
		StopTimeout: func() time.Duration { return *options.StopTimeout },
	}))
}

// onPlatform is the program where the platform provides a settings file.
func onPlatform() process.Program {
	return process.Program{
		Name:  "chervil-agent",
		Short: "Runs the worker's tasks",
		Settings: func(set *settings.Set) func() fx.Option {
			options := sidecar.NewOptions(set)
			return func() fx.Option { return sidecar.Module(set, options) }
		},
	}
}
