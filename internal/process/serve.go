package process

import (
	"context"
	"net"
	"runtime/debug"

	"go.uber.org/fx"
	"google.golang.org/grpc"

	"chervilridge/internal/fault"
	"chervilridge/internal/limits"
	"chervilridge/internal/peer"
	"chervilridge/internal/telemetry"
)

// Listen listens on a TCP address from the settings. It returns an error with CodeBadSetting
// if it cannot.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeBadSetting, fault.StepSettings, address, "cannot listen")
	}
	return l, nil
}

// ServeGRPC serves gRPC for the lifetime of the process. A graceful stop waits for the calls
// in progress, up to its timeout.
func ServeGRPC(lc fx.Lifecycle, address string, server *grpc.Server, guard *limits.Guard) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := Listen(address)
			if err != nil {
				return err
			}
			go func() { _ = server.Serve(guard.ListenGRPC(l)) }()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			peer.StopServer(ctx, server)
			return nil
		},
	})
}

// ServeMetrics serves the telemetry server for the lifetime of the process.
func ServeMetrics(lc fx.Lifecycle, address string, t *telemetry.Server, guard *limits.Guard) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return t.Start(address, guard) },
		OnStop:  t.Stop,
	})
}

// memoryShare is the part of the machine's memory that is set as the soft limit of the Go runtime.
const memoryShare = 0.7

// NewGuard returns the guard of a process whose settings give the memory in MB and the descriptors
// that it may take, 0 for those of the machine. It runs for the lifetime of the process.
func NewGuard(memoryMB, descriptors int64, t *telemetry.Server, bg *Background) *limits.Guard {
	machine := limits.Machine{MemoryBytes: memoryMB << 20, Descriptors: int(descriptors)}.Detect()
	debug.SetMemoryLimit(int64(float64(machine.MemoryBytes) * memoryShare))
	guard := limits.New(machine, t.Scope())
	bg.Go(guard.Run)
	return guard
}
