package process

import (
	"context"
	"net"

	"go.uber.org/fx"
	"google.golang.org/grpc"

	"chervilridge/internal/fault"
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
func ServeGRPC(lc fx.Lifecycle, address string, server *grpc.Server) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			l, err := Listen(address)
			if err != nil {
				return err
			}
			go func() { _ = server.Serve(l) }()
			return nil
		},
		OnStop: func(ctx context.Context) error {
			peer.StopServer(ctx, server)
			return nil
		},
	})
}

// ServeMetrics serves the telemetry server for the lifetime of the process.
func ServeMetrics(lc fx.Lifecycle, address string, t *telemetry.Server) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return t.Start(address) },
		OnStop:  t.Stop,
	})
}
