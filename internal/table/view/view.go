// Package view reads the table in force through its follower.
package view

import (
	"time"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/platform"
	"chervilridge/internal/table"
)

// Follow returns a follower of the table that logs each change; the caller runs
// it. poll is how long one read waits for a change.
func Follow(log platform.Log, poll time.Duration) *ledger.Follower[*table.Table] {
	f := ledger.NewFollower(log, table.Stream, poll, table.New)
	f.OnApply(table.LogChange)
	return f
}

// View is safe for concurrent use.
type View struct {
	follower *ledger.Follower[*table.Table]
}

// New returns a view of the follower's table.
func New(follower *ledger.Follower[*table.Table]) *View { return &View{follower: follower} }

// Row returns a row, or nil. The caller must not change it.
func (v *View) Row(kind pb.RowKind, name string) *pb.Row {
	var row *pb.Row
	v.follower.View(func(t *table.Table) { row = t.Row(kind, name) })
	return row
}

// Rows returns all rows by kind and name.
func (v *View) Rows() []*pb.Row {
	var rows []*pb.Row
	v.follower.View(func(t *table.Table) { rows = t.Rows() })
	return rows
}

// Notices returns the notices given.
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

// Version returns the version in force.
func (v *View) Version() uint64 {
	var n uint64
	v.follower.View(func(t *table.Table) { n = t.Version() })
	return n
}

// Age returns how old the table is, also one that a peer gave; false while there
// is none.
func (v *View) Age() (time.Duration, bool) { return v.follower.StateAge() }

// CheckLines returns what speaks against writing the rows of a file: names that
// have no row, and rows that others changed since.
func (v *View) CheckLines(lines []table.Line) (lost []Lost, err error) {
	v.follower.View(func(t *table.Table) {
		err = t.CheckTogether(lines)
		for _, l := range lines {
			if rej := t.CheckBase(l.Row); rej != nil {
				lost = append(lost, Lost{Line: l, Rejection: rej})
			}
		}
	})
	return lost, err
}

// Lost is a row that builds on another version than the one in force.
type Lost struct {
	Line      table.Line
	Rejection *ledger.Rejection
}
