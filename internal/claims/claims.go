// Package claims is the replayed state of claimed idempotency keys: the first
// claim of a client's key binds it to one request.
package claims

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
)

// Stream is the log stream that holds the claims.
const Stream = "claims"

// Key is a client's idempotency key.
type Key struct {
	Client string
	Key    string
}

// Claims is the replayed state. It is not safe for concurrent use; its follower
// guards it.
type Claims struct {
	byKey map[Key]*pb.KeyClaimed
}

// New returns an empty state.
func New() *Claims { return &Claims{byKey: map[Key]*pb.KeyClaimed{}} }

// Lookup returns the claim of a key, or nil.
func (c *Claims) Lookup(key Key) *pb.KeyClaimed { return c.byKey[key] }

// Apply implements ledger.Machine.
func (c *Claims) Apply(rec *pb.Record) *ledger.Rejection {
	claim := rec.GetKeyClaimed()
	if claim == nil {
		return ledger.Reject(ledger.ReasonForeign, "not a claim")
	}
	if claim.Key == "" || claim.RequestId == "" {
		return ledger.Reject(ledger.ReasonInvalid, "a claim names a key and a request")
	}
	key := Key{claim.Client, claim.Key}
	if held := c.byKey[key]; held != nil {
		rej := ledger.Reject(ledger.ReasonDuplicate, "key is claimed by request %s", held.RequestId)
		rej.Winner = held.RequestId
		return rej
	}
	c.byKey[key] = proto.CloneOf(claim)
	return nil
}

// Snapshot implements ledger.Machine.
func (c *Claims) Snapshot() ([]byte, error) {
	state := &pb.KeyState{}
	for _, claim := range c.byKey {
		state.Claims = append(state.Claims, claim)
	}
	slices.SortFunc(state.Claims, func(a, b *pb.KeyClaimed) int {
		if d := strings.Compare(a.Client, b.Client); d != 0 {
			return d
		}
		return strings.Compare(a.Key, b.Key)
	})
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}

// Restore implements ledger.Machine.
func (c *Claims) Restore(data []byte) error {
	state := &pb.KeyState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return err
	}
	c.byKey = make(map[Key]*pb.KeyClaimed, len(state.Claims))
	for _, claim := range state.Claims {
		c.byKey[Key{claim.Client, claim.Key}] = claim
	}
	return nil
}
