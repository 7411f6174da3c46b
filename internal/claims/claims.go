// Package claims holds the replayed state of claimed idempotency keys: the first claim of
// a client's key binds it to one request and to one hand-off of that request.
package claims

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
)

// Stream is the name of the log stream of claims and releases.
const Stream = "claims"

const (
	// Retention is how long a claim lasts in record time. It may last longer in real
	// time, as record time advances only when records are applied.
	Retention = 24 * time.Hour
	// maxClockStep bounds how far one record advances record time, so that one writer
	// whose clock is ahead does not expire all claims at once.
	maxClockStep = 15 * time.Minute
	// maxClaims bounds the size of the state. Further claims are rejected, and their
	// requests do not run.
	maxClaims = 200_000
	// maxStaleQueued is how many entries the expiry queue may hold beyond twice the live
	// claims before released ones are removed from it.
	maxStaleQueued = 1024
)

// Key is an idempotency key within the name space of its client.
type Key struct {
	Client string
	Key    string
}

// Claims is the replayed state. It is not safe for concurrent use; its ledger.Follower
// serialises access.
type Claims struct {
	byKey       map[Key]*pb.KeyClaimed
	byRequest   map[string]*pb.KeyClaimed
	expiryQueue []*pb.KeyClaimed // by record time; may still hold released claims
	clockMs     int64            // record time, in milliseconds since 1970
}

// New returns an empty state.
func New() *Claims {
	return &Claims{byKey: map[Key]*pb.KeyClaimed{}, byRequest: map[string]*pb.KeyClaimed{}}
}

// Lookup returns the claim of a key, or nil. The caller must not modify it.
func (c *Claims) Lookup(key Key) *pb.KeyClaimed { return c.byKey[key] }

// Len returns the number of live claims.
func (c *Claims) Len() int { return len(c.byKey) }

// Apply implements ledger.StateMachine.
func (c *Claims) Apply(rec *pb.Record) *ledger.Rejection {
	c.advanceClock(rec.TimeMs)
	if claim := rec.GetKeyClaimed(); claim != nil {
		return c.applyClaim(claim)
	}
	if release := rec.GetKeyReleased(); release != nil {
		return c.applyRelease(release)
	}
	return ledger.Reject(ledger.ReasonForeign, "record is neither a claim nor a release")
}

// advanceClock advances record time, by at most maxClockStep, and removes expired claims.
func (c *Claims) advanceClock(timeMs int64) {
	if c.clockMs == 0 {
		c.clockMs = timeMs
	}
	if timeMs > c.clockMs {
		c.clockMs = min(timeMs, c.clockMs+maxClockStep.Milliseconds())
	}
	for len(c.expiryQueue) > 0 && c.expiryQueue[0].TimeMs+Retention.Milliseconds() < c.clockMs {
		c.removeClaim(c.expiryQueue[0])
		c.expiryQueue = c.expiryQueue[1:]
	}
}

// removeClaim removes a claim if it is still the current one of its key.
func (c *Claims) removeClaim(claim *pb.KeyClaimed) {
	key := keyOf(claim)
	if c.byKey[key] != claim {
		return
	}
	delete(c.byKey, key)
	delete(c.byRequest, claim.RequestId)
}

func keyOf(claim *pb.KeyClaimed) Key { return Key{claim.Client, claim.Key} }

func (c *Claims) applyClaim(claim *pb.KeyClaimed) *ledger.Rejection {
	if claim.Key == "" || claim.RequestId == "" || claim.Holder == "" {
		return ledger.Reject(ledger.ReasonInvalid, "claim needs a key, a request ID and a holder")
	}
	if held := c.byKey[keyOf(claim)]; held != nil {
		return c.moveClaim(held, claim)
	}
	if held := c.byRequest[claim.RequestId]; held != nil {
		return duplicateRejection(held, "request has already claimed another key")
	}
	if len(c.byKey) >= maxClaims {
		return ledger.Reject(ledger.ReasonOvercommitted, "claim limit reached: %d keys are claimed", len(c.byKey))
	}
	stored := proto.CloneOf(claim)
	stored.TimeMs = c.clockMs
	c.addClaim(stored)
	return nil
}

// moveClaim lets the holder of a claim rebind it to another agent. The move counter keeps
// a late copy of an earlier record from moving the claim back.
func (c *Claims) moveClaim(held, claim *pb.KeyClaimed) *ledger.Rejection {
	if held.Holder != claim.Holder || held.RequestId != claim.RequestId || claim.Move != held.Move+1 {
		return duplicateRejection(held, "idempotency key is already claimed")
	}
	moved := proto.CloneOf(held)
	moved.Agent, moved.Incarnation, moved.Move = claim.Agent, claim.Incarnation, claim.Move
	c.byKey[keyOf(held)] = moved
	c.byRequest[held.RequestId] = moved
	c.expiryQueue[slices.Index(c.expiryQueue, held)] = moved
	return nil
}

func duplicateRejection(held *pb.KeyClaimed, detail string) *ledger.Rejection {
	rej := ledger.Reject(ledger.ReasonDuplicate, "%s: held by request %s", detail, held.RequestId)
	rej.Winner = held.RequestId
	return rej
}

func (c *Claims) addClaim(claim *pb.KeyClaimed) {
	c.byKey[keyOf(claim)] = claim
	c.byRequest[claim.RequestId] = claim
	c.expiryQueue = append(c.expiryQueue, claim)
	if len(c.expiryQueue) > 2*len(c.byKey)+maxStaleQueued {
		c.expiryQueue = slices.DeleteFunc(c.expiryQueue, func(q *pb.KeyClaimed) bool { return c.byKey[keyOf(q)] != q })
	}
}

// applyRelease frees a key if it is still bound to the hand-off that did not run. A claim
// that has moved to another agent stays.
func (c *Claims) applyRelease(r *pb.KeyReleased) *ledger.Rejection {
	held := c.byKey[Key{r.Client, r.Key}]
	if held == nil || held.RequestId != r.RequestId {
		return ledger.Reject(ledger.ReasonNotFound, "key is not held by request %s", r.RequestId)
	}
	if held.Agent != r.Agent || held.Incarnation != r.Incarnation {
		return ledger.Reject(ledger.ReasonStaleVersion, "claim has moved to agent %s", held.Agent)
	}
	c.removeClaim(held)
	return nil
}

// Snapshot implements ledger.StateMachine.
func (c *Claims) Snapshot() ([]byte, error) {
	state := &pb.KeyState{ClockMs: c.clockMs}
	for _, claim := range c.byKey {
		state.Claims = append(state.Claims, claim)
	}
	slices.SortFunc(state.Claims, compareClaims)
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}

func compareClaims(a, b *pb.KeyClaimed) int {
	if a.TimeMs != b.TimeMs {
		return int(a.TimeMs - b.TimeMs)
	}
	if d := strings.Compare(a.Client, b.Client); d != 0 {
		return d
	}
	return strings.Compare(a.Key, b.Key)
}

// Restore implements ledger.StateMachine.
func (c *Claims) Restore(data []byte) error {
	state := &pb.KeyState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return err
	}
	*c = *New()
	c.clockMs = state.ClockMs
	for _, claim := range state.Claims {
		c.addClaim(claim)
	}
	return nil
}
