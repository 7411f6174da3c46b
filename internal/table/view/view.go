// Package view gives concurrent readers access to the replayed table.
package view

import (
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/recordlog"
	"chervilridge/internal/table"
)

// NewFollower returns a follower of the table that logs each change; the caller runs it.
// poll is how long one read of the log waits for new entries.
func NewFollower(log recordlog.Log, poll time.Duration) *ledger.Follower[*table.Table] {
	f := ledger.NewFollower(log, table.Stream, poll, table.New)
	f.OnApply(table.LogChange)
	return f
}

// View reads the table that a follower replays. It is safe for concurrent use.
type View struct {
	follower *ledger.Follower[*table.Table]
}

// New returns a view of the follower's table.
func New(follower *ledger.Follower[*table.Table]) *View { return &View{follower: follower} }

// Row returns the row, or nil if there is none. The caller must not modify it.
func (v *View) Row(kind pb.RowKind, name string) *pb.Row {
	var row *pb.Row
	v.follower.View(func(t *table.Table) { row = t.Row(kind, name) })
	return row
}

// Rows returns all rows, sorted by kind and name. The caller must not modify them.
func (v *View) Rows() []*pb.Row {
	var rows []*pb.Row
	v.follower.View(func(t *table.Table) { rows = t.Rows() })
	return rows
}

// Notices returns the latest notice of each client and subject, oldest first.
func (v *View) Notices() []*pb.NoticeGiven {
	var out []*pb.NoticeGiven
	v.follower.View(func(t *table.Table) { out = t.Notices() })
	return out
}

// DataCentreOut reports whether a data centre is out of service.
func (v *View) DataCentreOut(name string) bool {
	out := false
	v.follower.View(func(t *table.Table) { out = t.DataCentreOut(name) })
	return out
}

// Version returns the version of the table.
func (v *View) Version() uint64 {
	var n uint64
	v.follower.View(func(t *table.Table) { n = t.Version() })
	return n
}

// Age returns how long ago the table was known to be the newest, also if it came from a
// peer. It reports false while no table is loaded.
func (v *View) Age() (time.Duration, bool) { return v.follower.StateAge() }

// CheckRows checks the rows of a file before they are written. It returns the rows whose
// base version is stale, and an error if a row names a data centre or team without a row.
func (v *View) CheckRows(rows []table.CSVRow) (stale []StaleRow, err error) {
	v.follower.View(func(t *table.Table) {
		err = t.CheckReferences(rows)
		for _, l := range rows {
			if rej := t.CheckBaseVersion(l.Row); rej != nil {
				stale = append(stale, StaleRow{Row: l, Rejection: rej})
			}
		}
	})
	return stale, err
}

// StaleRow is a row whose base version is not the current one.
type StaleRow struct {
	Row       table.CSVRow
	Rejection *ledger.Rejection
}
