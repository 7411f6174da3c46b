// Package ledger replicates a state machine over one stream of the platform's
// log. A Follower replays the stream, a Committer appends records to it, and a
// Snapshotter writes snapshots of the state into it. Replay depends on the
// records alone, so every reader accepts or rejects the same records at the same
// offsets.
package ledger

import (
	"fmt"

	pb "chervilridge/api/chervil/v1"
)

// Reason is the cause for which replay rejected a record.
type Reason string

// Reasons for a rejection. ReasonForeign marks a record of a type that the state
// machine does not handle. ReasonCovered marks a rejected record whose cause is
// not known, because a restored state covers it.
const (
	ReasonStaleVersion  Reason = "stale_version"
	ReasonStaleEpoch    Reason = "stale_epoch"
	ReasonDuplicate     Reason = "duplicate"
	ReasonNotFound      Reason = "not_found"
	ReasonWrongState    Reason = "wrong_state"
	ReasonOvercommitted Reason = "overcommitted"
	ReasonInvalid       Reason = "invalid"
	ReasonForeign       Reason = "foreign_record"
	ReasonCovered       Reason = "covered_by_restored_state"
)

// Rejection describes why replay rejected a record. A rejected record changes
// nothing.
type Rejection struct {
	Reason Reason
	Detail string
	// Winner identifies who made the conflicting change that came first: the
	// author of a table change, or the request that holds a claim. It is empty if
	// there is none.
	Winner string
}

// Error implements error.
func (r *Rejection) Error() string { return fmt.Sprintf("%s: %s", r.Reason, r.Detail) }

// Reject returns a rejection with a formatted detail.
func Reject(reason Reason, format string, args ...any) *Rejection {
	return &Rejection{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// StateMachine is a state that is changed by records only. Apply must be
// deterministic: its effect depends on the state and the record alone. The
// follower serialises Apply with all other access to the state machine, and calls
// Restore on new ones only.
type StateMachine interface {
	// Apply applies the record and returns nil, or leaves the state unchanged and
	// returns the rejection.
	Apply(rec *pb.Record) *Rejection
	// Snapshot encodes the whole state; equal states give equal bytes.
	Snapshot() ([]byte, error)
	// Restore replaces the state by one that Snapshot encoded.
	Restore(data []byte) error
}

// ApplyResult tells whether replay accepted a record.
type ApplyResult struct {
	// Offset is the record's offset in the stream. For a record that a restored
	// state covers, it is the last offset that this state covers.
	Offset uint64
	// Rejection is nil if the record was accepted.
	Rejection *Rejection
}
