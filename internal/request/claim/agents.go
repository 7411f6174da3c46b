package claim

import (
	"context"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/claims"
	"chervilridge/internal/fault"
	"chervilridge/internal/ledger"
	"chervilridge/internal/request/send"
)

// Endpoints finds the newest endpoint of an agent; nil if it has no lease.
type Endpoints interface {
	Find(agent string) *pb.Endpoint
}

// Directory implements Agents over the endpoints that an entry knows.
type Directory struct {
	Endpoints Endpoints
}

// Ask implements Agents.
func (d Directory) Ask(ctx context.Context, agent string, q *pb.ResolveRequest) (*pb.ExecuteReply, error) {
	e := d.Endpoints.Find(agent)
	if e == nil {
		return nil, fault.New(fault.CodeNoEndpoint, fault.StepClaim, agent, "agent has no lease")
	}
	return send.Ask(ctx, e.Address, q)
}

// View implements Keys over a follower of the claims.
type View struct {
	Follower *ledger.Follower[*claims.Claims]
}

// Lookup implements Keys.
func (v View) Lookup(client, key string) (found *pb.KeyClaimed) {
	v.Follower.View(func(c *claims.Claims) { found = c.Lookup(claims.Key{Client: client, Key: key}) })
	return found
}
