// Command chervil-entry takes the clients' requests and the operators' changes.
package main

import (
	"os"
	"time"

	"go.uber.org/fx"

	"chervilridge/internal/entry"
	"chervilridge/internal/process"
	"chervilridge/internal/settings"
)

func main() {
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
