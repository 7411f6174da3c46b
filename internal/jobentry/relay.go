package jobentry

import (
	"context"

	"google.golang.org/grpc/metadata"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/peer"
)

// relayedKey marks a stream that an entry relays, so that no other entry relays it again.
const relayedKey = "chervil-relayed"

func isRelayed(ctx context.Context) bool {
	values, ok := metadata.FromIncomingContext(ctx)
	return ok && len(values.Get(relayedKey)) > 0
}

// relay forwards reports from an agent to the owner and orders back until either stream
// ends. It needs no timeout: both ends detect an unresponsive peer themselves.
func relay(agent chervilv2.Scheduler_AttachServer, owner string) error {
	conn, err := peer.Dial(owner)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithCancelCause(metadata.AppendToOutgoingContext(agent.Context(), relayedKey, "1"))
	defer cancel(nil)
	upstream, err := chervilv2.NewSchedulerClient(conn).Attach(ctx)
	if err != nil {
		return err
	}
	go func() {
		for {
			report, err := agent.Recv()
			if err == nil {
				err = upstream.Send(report)
			}
			if err != nil {
				cancel(err)
				return
			}
		}
	}()
	for {
		orders, err := upstream.Recv()
		if err == nil {
			err = agent.Send(orders)
		}
		if err != nil {
			return err
		}
	}
}
