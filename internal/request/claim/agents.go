package claim

import (
	"context"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/claims"
	"chervilridge/internal/fault"
	"chervilridge/internal/ledger"
	"chervilridge/internal/request/send"
)

// Endpoints looks up the newest endpoint of an agent. Find returns nil if the agent
// is not registered.
type Endpoints interface {
	Find(agent string) *pb.Endpoint
}

// EndpointResolver implements OutcomeResolver: it looks the agent up among the endpoints
// that the entry knows and calls it.
type EndpointResolver struct {
	Endpoints Endpoints
}

// Resolve implements OutcomeResolver.
func (r EndpointResolver) Resolve(ctx context.Context, agent string, q *pb.ResolveRequest) (*pb.ExecuteReply, error) {
	e := r.Endpoints.Find(agent)
	if e == nil {
		return nil, fault.New(fault.CodeNoEndpoint, fault.StepClaim, agent, "agent is not registered")
	}
	return send.Resolve(ctx, e.Address, q)
}

// FollowerLookup implements ClaimLookup over a follower of the claims log.
type FollowerLookup struct {
	Follower *ledger.Follower[*claims.Claims]
}

// Lookup implements ClaimLookup.
func (l FollowerLookup) Lookup(client, key string) (found *pb.KeyClaimed) {
	l.Follower.View(func(c *claims.Claims) { found = c.Lookup(claims.Key{Client: client, Key: key}) })
	return found
}
