// Command chervil-agent runs beside an endpoint or a worker. Beside an endpoint it admits
// and runs the endpoint's requests; on the platform it runs the worker's tasks.
package main

import (
	"os"
	"time"

	"go.uber.org/fx"

	"chervilridge/internal/agent"
	"chervilridge/internal/process"
	"chervilridge/internal/settings"
	"chervilridge/internal/workeragent"
	"chervilridge/platform"
)

func main() {
	if platform.SettingsPath() != "" {
		os.Exit(process.Main(platformProgram()))
	}
	var options *agent.Options
	os.Exit(process.Main(process.Program{
		Name:  "chervil-agent",
		Short: "Runs beside an endpoint and admits its requests",
		Configure: func(set *settings.Set) func() fx.Option {
			options = agent.NewOptions(set)
			return func() fx.Option { return agent.Module(set, options) }
		},
		StopTimeout: func() time.Duration { return *options.StopTimeout },
	}))
}

// platformProgram returns the program for a process on the platform, which provides a
// settings file.
func platformProgram() process.Program {
	return process.Program{
		Name:  "chervil-agent",
		Short: "Runs the worker's tasks",
		Configure: func(set *settings.Set) func() fx.Option {
			options := workeragent.NewOptions(set)
			return func() fx.Option { return workeragent.Module(set, options) }
		},
	}
}
