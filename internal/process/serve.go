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

// Listen listens on an address of the settings.
func Listen(address string) (net.Listener, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeBadSetting, fault.StepSettings, address, "cannot listen")
	}
	return l, nil
}

// ServeGRPC serves for the life of the process and lets the calls under way end
// at a planned stop.
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

// ServeMetrics serves the admin listener for the life of the process.
func ServeMetrics(lc fx.Lifecycle, address string, t *telemetry.Server) {
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error { return t.Start(address) },
		OnStop:  t.Stop,
	})
}
