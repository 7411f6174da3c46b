// Package claim runs non-repeatable requests at most once per idempotency key, also when
// requests with the same key arrive at several entries: the first claim in the log wins,
// and the other requests get the winner's answer.
package claim

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/ident"
	"chervilridge/internal/ledger"
	"chervilridge/internal/request"
)

const (
	// maxClaimAttempts bounds the claims of one hand-off. Each one after the first is
	// made because another request's claim won but the key became free again.
	maxClaimAttempts = 3
	// requestIDKeyPrefix turns a request id that the client chose into a key. It cannot
	// collide with an idempotency key, in which NUL is not allowed.
	requestIDKeyPrefix = "\x00id:"
	// retryAfter is the delay that a rejected client is asked to wait.
	retryAfter = time.Second
)

// Committer appends a record to the log and returns whether replay accepted it.
type Committer interface {
	Commit(ctx context.Context, rec *pb.Record) (ledger.ApplyResult, error)
}

// ClaimLookup looks up the active claim on a key. Lookup returns nil if the key is free.
type ClaimLookup interface {
	Lookup(client, key string) *pb.KeyClaimed
}

// OutcomeResolver queries the outcome of a request at the agent incarnation named in q.
type OutcomeResolver interface {
	Resolve(ctx context.Context, agent string, q *pb.ResolveRequest) (*pb.ExecuteReply, error)
}

// Filter is the pipeline stage that claims idempotency keys. It comes after the pick
// stage, because a claim names the one agent incarnation that may run the request.
type Filter struct {
	next      request.Handler
	committer Committer
	keys      ClaimLookup
	resolver  OutcomeResolver
}

// New returns a Filter that passes a request to next once its key is claimed.
func New(next request.Handler, committer Committer, keys ClaimLookup, resolver OutcomeResolver) *Filter {
	return &Filter{next: next, committer: committer, keys: keys, resolver: resolver}
}

// Handle claims the key of a non-repeatable request. A request with neither an
// idempotency key nor a client-chosen id is passed on without a claim, because the
// client has no means to send it again under the same identity.
func (f *Filter) Handle(ctx context.Context, r *request.Request) (*request.Answer, error) {
	if claimKey(r) == "" {
		return f.next.Handle(ctx, r)
	}
	ctx, cancel := context.WithDeadline(ctx, r.Deadline)
	defer cancel()
	for range maxClaimAttempts {
		rejection, err := f.claim(ctx, r)
		if err != nil {
			return nil, claimFailedError(r, err)
		}
		if rejection == nil {
			return f.next.Handle(ctx, r)
		}
		a, keyFree, err := f.handleRejectedClaim(ctx, r, rejection)
		if !keyFree {
			return a, err
		}
	}
	return nil, fault.New(fault.CodeConflict, fault.StepClaim, r.Client, "idempotency key was lost to other requests in every claim attempt").WithRequest(r.ID)
}

// claimKey returns the key to claim, or an empty string if the request needs no claim.
func claimKey(r *request.Request) string {
	switch {
	case r.Repeatable:
		return ""
	case r.Key != "":
		return r.Key
	case r.IDFromClient:
		return requestIDKeyPrefix + r.ID
	}
	return ""
}

// claim binds the key to a hand-off to the request's target. A request that already
// holds the key moves its claim to the new target.
func (f *Filter) claim(ctx context.Context, r *request.Request) (*ledger.Rejection, error) {
	keyClaim := &pb.KeyClaimed{
		Client: r.Client, Key: claimKey(r), RequestId: r.ID, Holder: ident.New(), Digest: requestDigest(r),
		Agent: r.Target.Endpoint.Agent, Incarnation: r.Target.Endpoint.Incarnation,
	}
	if r.Claim != nil {
		keyClaim.Holder, keyClaim.Move = r.Claim.Holder, r.Claim.Move+1
	}
	result, err := f.committer.Commit(ctx, &pb.Record{Body: &pb.Record_KeyClaimed{KeyClaimed: proto.CloneOf(keyClaim)}})
	if err != nil {
		return nil, err
	}
	if result.Rejection == nil {
		r.Claim = keyClaim
	}
	return result.Rejection, nil
}

// requestDigest hashes service and body, to detect a key that is used for two different
// requests.
func requestDigest(r *request.Request) uint64 {
	d := xxhash.New()
	_, _ = d.WriteString(r.Service)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(r.Body)
	return d.Sum64()
}

// handleRejectedClaim returns the winner's answer or an error; keyFree means that the
// key may be claimed again.
func (f *Filter) handleRejectedClaim(ctx context.Context, r *request.Request, rejection *ledger.Rejection) (a *request.Answer, keyFree bool, err error) {
	if rejection.Reason == ledger.ReasonOvercommitted {
		return nil, false, fault.New(fault.CodeOverloaded, fault.StepClaim, r.Client, rejection.Detail).WithRetryAfter(retryAfter).WithRequest(r.ID)
	}
	winner := f.keys.Lookup(r.Client, claimKey(r))
	events.KeyAlreadyClaimed.Log("request", r.ID, "client", r.Client, "winner", rejection.Winner)
	switch {
	case winner == nil:
		return nil, true, nil
	case winner.Digest != requestDigest(r):
		return nil, false, fault.Newf(fault.CodeConflict, fault.StepClaim, r.Client,
			"idempotency key was used for a different request, %s", winner.RequestId).WithRequest(r.ID)
	}
	return f.awaitWinner(ctx, r)
}

// claimFailedError returns an error with outcome "not run": without a claim the request is
// not handed off, and this attempt ends with the error.
func claimFailedError(r *request.Request, cause error) error {
	code := fault.CodeLogDown
	if fault.Is(cause, fault.CodeOverloaded) {
		code = fault.CodeOverloaded
	}
	return fault.Wrap(cause, code, fault.StepClaim, r.Client, "idempotency key could not be claimed").WithRequest(r.ID)
}
