// Package ledger follows one stream of the platform's log and writes to it.
// Replay is a pure function of the records, so every reader reaches the same
// verdict on each record at the same offset.
package ledger

import (
	"fmt"

	pb "chervilridge/api/chervil/v1"
)

// Reason says why replay rejected a record.
type Reason string

// Reasons for a rejection.
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

// Rejection is replay's verdict on a record whose precondition does not hold.
type Rejection struct {
	Reason Reason
	Detail string
	// Winner is the author whose change came first, if one did.
	Winner string
}

// Error returns reason and detail.
func (r *Rejection) Error() string { return fmt.Sprintf("%s: %s", r.Reason, r.Detail) }

// Reject returns a rejection with a formatted detail.
func Reject(reason Reason, format string, args ...any) *Rejection {
	return &Rejection{Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// Machine is a state that records change. Apply must depend on nothing but the
// state and the record. The follower serialises all calls.
type Machine interface {
	// Apply takes the record into the state, or leaves the state as it was and
	// says why.
	Apply(rec *pb.Record) *Rejection
	// Snapshot returns the whole state; equal states give equal bytes.
	Snapshot() ([]byte, error)
	// Restore replaces the state.
	Restore(data []byte) error
}

// Verdict is what replay decided on a record.
type Verdict struct {
	// Offset is where the record stands; for one that a restored state covers, the
	// last offset of that state.
	Offset uint64
	// Rejection is nil if the record was accepted.
	Rejection *Rejection
}
