// Package table holds the operators' configuration table, replayed from the log:
// services, job classes, data centres, clients and teams with their weights and limits.
package table

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
)

// Stream is the name of the log stream of the table's records.
const Stream = "table"

// Key identifies a row.
type Key struct {
	Kind pb.RowKind
	Name string
}

// Table is the replayed state. It is not safe for concurrent use; its ledger.Follower
// serialises access. Rows are replaced, never modified, so a returned row stays valid.
type Table struct {
	version uint64 // number of accepted changes
	rows    map[Key]*pb.Row
	notices []*pb.NoticeGiven // latest one of each client and subject, oldest first
	deleted []*pb.Row         // last maxDeletedRows deletions, oldest first
}

// maxDeletedRows bounds the deletions that are kept to name their author in a rejection.
const maxDeletedRows = 256

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[Key]*pb.Row{}}
}

// Version returns the number of changes accepted so far.
func (t *Table) Version() uint64 { return t.version }

// Row returns the row, or nil if there is none.
func (t *Table) Row(kind pb.RowKind, name string) *pb.Row { return t.rows[Key{kind, name}] }

// Rows returns all rows, sorted by kind and name.
func (t *Table) Rows() []*pb.Row {
	out := make([]*pb.Row, 0, len(t.rows))
	for _, r := range t.rows {
		out = append(out, r)
	}
	slices.SortFunc(out, compareRows)
	return out
}

func compareRows(a, b *pb.Row) int {
	if a.Kind != b.Kind {
		return int(a.Kind) - int(b.Kind)
	}
	return strings.Compare(a.Name, b.Name)
}

// Notices returns the latest notice of each client and subject, oldest first.
func (t *Table) Notices() []*pb.NoticeGiven { return slices.Clone(t.notices) }

// DataCentreOut reports whether a data centre is out of service. One without a row is
// in service.
func (t *Table) DataCentreOut(name string) bool {
	row := t.Row(pb.RowKind_ROW_KIND_DATA_CENTRE, name)
	return row != nil && row.Out
}

// Apply implements ledger.StateMachine.
func (t *Table) Apply(rec *pb.Record) *ledger.Rejection {
	switch body := rec.Body.(type) {
	case *pb.Record_RowPut:
		return t.putRow(rec.Author, body.RowPut)
	case *pb.Record_RowDelete:
		return t.deleteRow(rec.Author, body.RowDelete)
	case *pb.Record_DataCentreChange:
		return t.changeDataCentre(rec.Author, body.DataCentreChange)
	case *pb.Record_NoticeGiven:
		return t.addNotice(body.NoticeGiven)
	}
	return ledger.Reject(ledger.ReasonForeign, "record type does not belong to the table stream")
}

func (t *Table) putRow(author string, p *pb.RowPut) *ledger.Rejection {
	if err := ValidateRow(p.Row); err != nil {
		return ledger.Reject(ledger.ReasonInvalid, "%v", err)
	}
	key := Key{p.Row.Kind, p.Row.Name}
	if rej := t.rejectStale(key, p.BaseVersion); rej != nil {
		rej.Detail += DescribeDifferences(t.rows[key], p.Row)
		return rej
	}
	t.storeRow(key, proto.CloneOf(p.Row), author)
	return nil
}

// storeRow stores the row under a new version, with its author.
func (t *Table) storeRow(key Key, row *pb.Row, author string) {
	t.version++
	row.Version = t.version
	row.ChangedBy = author
	t.rows[key] = row
}

func (t *Table) deleteRow(author string, d *pb.RowDelete) *ledger.Rejection {
	key := Key{d.Kind, d.Name}
	if rej := t.rejectStale(key, d.BaseVersion); rej != nil {
		return rej
	}
	if t.rows[key] == nil {
		return ledger.Reject(ledger.ReasonNotFound, "no row %s", d.Name)
	}
	t.version++
	delete(t.rows, key)
	t.deleted = append(t.deleted, &pb.Row{Kind: d.Kind, Name: d.Name, Version: t.version, ChangedBy: author})
	t.deleted = t.deleted[max(0, len(t.deleted)-maxDeletedRows):]
	return nil
}

func (t *Table) changeDataCentre(author string, c *pb.DataCentreChange) *ledger.Rejection {
	key := Key{pb.RowKind_ROW_KIND_DATA_CENTRE, c.Name}
	old := t.rows[key]
	if old == nil {
		return ledger.Reject(ledger.ReasonNotFound, "no data centre %s", c.Name)
	}
	if rej := t.rejectStale(key, c.BaseVersion); rej != nil {
		return rej
	}
	row := proto.CloneOf(old)
	row.Out = c.Out
	t.storeRow(key, row, author)
	return nil
}

func (t *Table) addNotice(n *pb.NoticeGiven) *ledger.Rejection {
	if n.Client == "" || n.Subject == "" {
		return ledger.Reject(ledger.ReasonInvalid, "notice needs a client and a subject")
	}
	t.version++
	sameSubject := func(o *pb.NoticeGiven) bool { return o.Client == n.Client && o.Subject == n.Subject }
	t.notices = append(slices.DeleteFunc(slices.Clone(t.notices), sameSubject), proto.CloneOf(n))
	return nil
}

// rejectStale rejects a change whose base version is not the row's version (0 if there
// is no row). The rejection names the author of the row's last change or deletion.
func (t *Table) rejectStale(key Key, base uint64) *ledger.Rejection {
	row := t.rows[key]
	if row.GetVersion() == base {
		return nil
	}
	if row != nil {
		rej := ledger.Reject(ledger.ReasonStaleVersion,
			"row %s is at version %d, the change is based on version %d", key.Name, row.Version, base)
		rej.Winner = row.ChangedBy
		return rej
	}
	rej := ledger.Reject(ledger.ReasonStaleVersion, "row %s was deleted, the change is based on version %d", key.Name, base)
	for _, d := range t.deleted {
		if d.Kind == key.Kind && d.Name == key.Name {
			rej.Winner = d.ChangedBy
		}
	}
	return rej
}

// CheckBaseVersion returns the rejection that a put of the row, based on row.Version, would
// get now; nil if none.
func (t *Table) CheckBaseVersion(row *pb.Row) *ledger.Rejection {
	key := Key{row.Kind, row.Name}
	rej := t.rejectStale(key, row.Version)
	if rej != nil {
		rej.Detail += DescribeDifferences(t.rows[key], row)
	}
	return rej
}

// Snapshot implements ledger.StateMachine.
func (t *Table) Snapshot() ([]byte, error) {
	state := &pb.TableState{Version: t.version, Rows: t.Rows(), Notices: t.notices, Deleted: t.deleted}
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}

// Restore implements ledger.StateMachine.
func (t *Table) Restore(data []byte) error {
	state := &pb.TableState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return err
	}
	t.version, t.notices, t.deleted = state.Version, state.Notices, state.Deleted
	t.rows = make(map[Key]*pb.Row, len(state.Rows))
	for _, r := range state.Rows {
		t.rows[Key{r.Kind, r.Name}] = r
	}
	return nil
}
