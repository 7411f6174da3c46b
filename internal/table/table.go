// Package table is the operators' table: services, job classes, data centres,
// clients and teams with their weights and limits, replayed from the log.
package table

import (
	"slices"
	"strings"

	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
)

// Stream is the log stream that holds the table's records.
const Stream = "table"

// Key names a row.
type Key struct {
	Kind pb.RowKind
	Name string
}

// Table is the replayed state. It is not safe for concurrent use; its follower
// guards it. Rows are never changed in place, so a returned row stays valid.
type Table struct {
	version uint64
	rows    map[Key]*pb.Row
	notices []*pb.NoticeGiven
}

// New returns an empty table.
func New() *Table {
	return &Table{rows: map[Key]*pb.Row{}}
}

// Version returns the number of accepted changes.
func (t *Table) Version() uint64 { return t.version }

// Row returns a row, or nil.
func (t *Table) Row(kind pb.RowKind, name string) *pb.Row { return t.rows[Key{kind, name}] }

// Rows returns all rows by kind and name.
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

// Notices returns the notices given, oldest first.
func (t *Table) Notices() []*pb.NoticeGiven { return slices.Clone(t.notices) }

// DataCentreOut reports whether a data centre is out of service. One without a
// row counts as in service.
func (t *Table) DataCentreOut(name string) bool {
	row := t.Row(pb.RowKind_ROW_KIND_DATA_CENTRE, name)
	return row != nil && row.Out
}

// Apply implements ledger.Machine.
func (t *Table) Apply(rec *pb.Record) *ledger.Rejection {
	switch body := rec.Body.(type) {
	case *pb.Record_RowPut:
		return t.put(rec.Author, body.RowPut)
	case *pb.Record_RowDelete:
		return t.remove(body.RowDelete)
	case *pb.Record_DataCentreChange:
		return t.changeDataCentre(rec.Author, body.DataCentreChange)
	case *pb.Record_NoticeGiven:
		return t.addNotice(body.NoticeGiven)
	}
	return ledger.Reject(ledger.ReasonForeign, "not a record of the table")
}

func (t *Table) put(author string, p *pb.RowPut) *ledger.Rejection {
	if err := Check(p.Row); err != nil {
		return ledger.Reject(ledger.ReasonInvalid, "%v", err)
	}
	key := Key{p.Row.Kind, p.Row.Name}
	if rej := t.checkBase(key, p.BaseVersion); rej != nil {
		return rej
	}
	t.set(key, proto.CloneOf(p.Row), author)
	return nil
}

func (t *Table) set(key Key, row *pb.Row, author string) {
	t.version++
	row.Version = t.version
	row.ChangedBy = author
	t.rows[key] = row
}

func (t *Table) remove(d *pb.RowDelete) *ledger.Rejection {
	key := Key{d.Kind, d.Name}
	if t.rows[key] == nil {
		return ledger.Reject(ledger.ReasonNotFound, "no row %s", d.Name)
	}
	if rej := t.checkBase(key, d.BaseVersion); rej != nil {
		return rej
	}
	t.version++
	delete(t.rows, key)
	return nil
}

func (t *Table) changeDataCentre(author string, c *pb.DataCentreChange) *ledger.Rejection {
	key := Key{pb.RowKind_ROW_KIND_DATA_CENTRE, c.Name}
	old := t.rows[key]
	if old == nil {
		return ledger.Reject(ledger.ReasonNotFound, "no data centre %s", c.Name)
	}
	if rej := t.checkBase(key, c.BaseVersion); rej != nil {
		return rej
	}
	row := proto.CloneOf(old)
	row.Out = c.Out
	t.set(key, row, author)
	return nil
}

func (t *Table) addNotice(n *pb.NoticeGiven) *ledger.Rejection {
	if n.Client == "" || n.Subject == "" {
		return ledger.Reject(ledger.ReasonInvalid, "a notice names a client and a subject")
	}
	t.version++
	t.notices = append(t.notices, proto.CloneOf(n))
	return nil
}

// checkBase rejects a change that builds on another version than the row has,
// and names who changed the row.
func (t *Table) checkBase(key Key, base uint64) *ledger.Rejection {
	current, author := uint64(0), ""
	if row := t.rows[key]; row != nil {
		current, author = row.Version, row.ChangedBy
	}
	if current == base {
		return nil
	}
	rej := ledger.Reject(ledger.ReasonStaleVersion,
		"row %s is at version %d, the change builds on %d", key.Name, current, base)
	rej.Winner = author
	return rej
}

// Snapshot implements ledger.Machine.
func (t *Table) Snapshot() ([]byte, error) {
	state := &pb.TableState{Version: t.version, Rows: t.Rows(), Notices: t.notices}
	return proto.MarshalOptions{Deterministic: true}.Marshal(state)
}

// Restore implements ledger.Machine.
func (t *Table) Restore(data []byte) error {
	state := &pb.TableState{}
	if err := proto.Unmarshal(data, state); err != nil {
		return err
	}
	t.version, t.notices = state.Version, state.Notices
	t.rows = make(map[Key]*pb.Row, len(state.Rows))
	for _, r := range state.Rows {
		t.rows[Key{r.Kind, r.Name}] = r
	}
	return nil
}
