// Package claims is the replayed state of claimed idempotency keys: the first
// claim of a client's key binds it to one request and one hand-over of it.
package claims

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
)

// Stream is the log stream that holds the claims.
const Stream = "claims"

const (
	// Retention is how long a key stays bound by record time. It may stay longer:
	// record time moves only with the records.
	Retention = 24 * time.Hour
	// maxClockStep bounds how far one record moves the record time, so that one
	// writer whose clock is ahead does not end all claims at once.
	maxClockStep = 15 * time.Minute
	// maxClaims bounds the state; further claims are rejected, so that their
	// requests do not run.
	maxClaims = 200_000
	// staleSlack is how many ended claims the queue may hold beyond the live ones.
	staleSlack = 1024
)

// Key is a client's idempotency key.
type Key struct {
	Client string
	Key    string
}

// Claims is the replayed state. It is not safe for concurrent use; its follower
// guards it.
type Claims struct {
	byKey     map[Key]*pb.KeyClaimed
	byRequest map[string]*pb.KeyClaimed
	queue     []*pb.KeyClaimed // by record time; released ones are skipped
	clockMs   int64
}

// New returns an empty state.
func New() *Claims {
	return &Claims{byKey: map[Key]*pb.KeyClaimed{}, byRequest: map[string]*pb.KeyClaimed{}}
}

// Lookup returns the claim of a key, or nil. It must not be changed.
func (c *Claims) Lookup(key Key) *pb.KeyClaimed { return c.byKey[key] }

// Len returns the number of bound keys.
func (c *Claims) Len() int { return len(c.byKey) }

// Apply implements ledger.StateMachine.
func (c *Claims) Apply(rec *pb.Record) *ledger.Rejection {
	c.advance(rec.TimeMs)
	if claim := rec.GetKeyClaimed(); claim != nil {
		return c.claim(claim)
	}
	if release := rec.GetKeyReleased(); release != nil {
		return c.release(release)
	}
	return ledger.Reject(ledger.ReasonForeign, "not a claim")
}

// advance moves the record time on and ends the claims that are too old.
func (c *Claims) advance(timeMs int64) {
	if c.clockMs == 0 {
		c.clockMs = timeMs
	}
	if timeMs > c.clockMs {
		c.clockMs = min(timeMs, c.clockMs+maxClockStep.Milliseconds())
	}
	for len(c.queue) > 0 && c.queue[0].TimeMs+Retention.Milliseconds() < c.clockMs {
		c.drop(c.queue[0])
		c.queue = c.queue[1:]
	}
}

// drop ends a claim if it still is the one that holds its key.
func (c *Claims) drop(claim *pb.KeyClaimed) {
	key := keyOf(claim)
	if c.byKey[key] != claim {
		return
	}
	delete(c.byKey, key)
	delete(c.byRequest, claim.RequestId)
}

func keyOf(claim *pb.KeyClaimed) Key { return Key{claim.Client, claim.Key} }

func (c *Claims) claim(claim *pb.KeyClaimed) *ledger.Rejection {
	if claim.Key == "" || claim.RequestId == "" || claim.Holder == "" {
		return ledger.Reject(ledger.ReasonInvalid, "a claim names a key, a request and a holder")
	}
	if held := c.byKey[keyOf(claim)]; held != nil {
		return c.move(held, claim)
	}
	if held := c.byRequest[claim.RequestId]; held != nil {
		return taken(held, "request has another key")
	}
	if len(c.byKey) >= maxClaims {
		return ledger.Reject(ledger.ReasonOvercommitted, "%d keys are claimed", len(c.byKey))
	}
	kept := proto.CloneOf(claim)
	kept.TimeMs = c.clockMs
	c.add(kept)
	return nil
}

// move lets the holder of a claim name another agent. The count of moves keeps
// a late copy of an earlier record from moving the claim back.
func (c *Claims) move(held, claim *pb.KeyClaimed) *ledger.Rejection {
	if held.Holder != claim.Holder || held.RequestId != claim.RequestId || claim.Move != held.Move+1 {
		return taken(held, "key is claimed")
	}
	moved := proto.CloneOf(held)
	moved.Agent, moved.Incarnation, moved.Move = claim.Agent, claim.Incarnation, claim.Move
	c.byKey[keyOf(held)] = moved
	c.byRequest[held.RequestId] = moved
	c.queue[slices.Index(c.queue, held)] = moved
	return nil
}

func taken(held *pb.KeyClaimed, detail string) *ledger.Rejection {
	rej := ledger.Reject(ledger.ReasonDuplicate, "%s by request %s", detail, held.RequestId)
	rej.Winner = held.RequestId
	return rej
}

func (c *Claims) add(claim *pb.KeyClaimed) {
	c.byKey[keyOf(claim)] = claim
	c.byRequest[claim.RequestId] = claim
	c.queue = append(c.queue, claim)
	if len(c.queue) > 2*len(c.byKey)+staleSlack {
		c.queue = slices.DeleteFunc(c.queue, func(q *pb.KeyClaimed) bool { return c.byKey[keyOf(q)] != q })
	}
}

// release gives a key back if it is bound to the hand-over that did not run. A
// claim that has moved to another agent stays.
func (c *Claims) release(r *pb.KeyReleased) *ledger.Rejection {
	held := c.byKey[Key{r.Client, r.Key}]
	if held == nil || held.RequestId != r.RequestId {
		return ledger.Reject(ledger.ReasonNotFound, "key is not held by request %s", r.RequestId)
	}
	if held.Agent != r.Agent || held.Incarnation != r.Incarnation {
		return ledger.Reject(ledger.ReasonStaleVersion, "claim has moved to agent %s", held.Agent)
	}
	c.drop(held)
	return nil
}

// Snapshot implements ledger.StateMachine.
func (c *Claims) Snapshot() ([]byte, error) {
	state := &pb.KeyState{ClockMs: c.clockMs}
	for _, claim := range c.byKey {
		state.Claims = append(state.Claims, claim)
	}
	slices.SortFunc(state.Claims, compare)
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}

func compare(a, b *pb.KeyClaimed) int {
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
		c.add(claim)
	}
	return nil
}
