package table

import (
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fixedseed"
	"chervilridge/internal/ledger"
)

func TestMain(m *testing.M) {
	os.Exit(fixedseed.Run(m, fixedseed.Options{Seed: 1}))
}

// oracle models the table as a plain map from a row's name to its content, version and
// author.
type oracle struct {
	changes uint64
	rows    map[string]oracleRow
}

type oracleRow struct {
	weight  uint32
	out     bool
	version uint64
	author  string
}

// apply applies a record to the model and reports whether it is accepted.
func (o *oracle) apply(rec *pb.Record) bool {
	var name string
	var base uint64
	switch b := rec.Body.(type) {
	case *pb.Record_RowPut:
		name, base = b.RowPut.Row.Name, b.RowPut.BaseVersion
		if b.RowPut.Row.Weight == 0 || o.rows[name].version != base {
			return false
		}
		o.changes++
		o.rows[name] = oracleRow{b.RowPut.Row.Weight, b.RowPut.Row.Out, o.changes, rec.Author}
	case *pb.Record_RowDelete:
		name, base = b.RowDelete.Name, b.RowDelete.BaseVersion
		if o.rows[name].version == 0 || o.rows[name].version != base {
			return false
		}
		o.changes++
		delete(o.rows, name)
	case *pb.Record_DataCentreChange:
		name, base = b.DataCentreChange.Name, b.DataCentreChange.BaseVersion
		row := o.rows[name]
		if row.version == 0 || row.version != base {
			return false
		}
		o.changes++
		o.rows[name] = oracleRow{row.weight, b.DataCentreChange.Out, o.changes, rec.Author}
	}
	return true
}

func drawRecord(t *rapid.T) *pb.Record {
	name := rapid.SampledFrom([]string{"a", "b", "c"}).Draw(t, "name")
	base := rapid.Uint64Range(0, 12).Draw(t, "base")
	rec := &pb.Record{Author: rapid.SampledFrom([]string{"ann", "bob"}).Draw(t, "author")}
	const kind = pb.RowKind_ROW_KIND_DATA_CENTRE
	switch rapid.IntRange(0, 3).Draw(t, "body") {
	case 0:
		rec.Body = &pb.Record_RowDelete{RowDelete: &pb.RowDelete{Kind: kind, Name: name, BaseVersion: base}}
	case 1:
		rec.Body = &pb.Record_DataCentreChange{DataCentreChange: &pb.DataCentreChange{
			Name: name, Out: rapid.Bool().Draw(t, "out"), BaseVersion: base,
		}}
	default:
		rec.Body = &pb.Record_RowPut{RowPut: &pb.RowPut{BaseVersion: base, Row: &pb.Row{
			Kind: kind, Name: name, Region: "r", Weight: rapid.Uint32Range(0, 3).Draw(t, "weight"),
		}}}
	}
	return rec
}

// TestTableMatchesOracle applies random records to the table and to the model, and at
// random points restores the table from its own snapshot.
func TestTableMatchesOracle(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table, o := New(), &oracle{rows: map[string]oracleRow{}}
		for range rapid.IntRange(1, 60).Draw(t, "records") {
			rec := drawRecord(t)
			var rej *ledger.Rejection = table.Apply(rec)
			assert.Equal(t, rej == nil, o.apply(rec), "%v: %v", rec, rej)
			if rej != nil && rej.Reason == ledger.ReasonStaleVersion {
				name := rec.GetRowPut().GetRow().GetName() + rec.GetRowDelete().GetName() + rec.GetDataCentreChange().GetName()
				if row, exists := o.rows[name]; exists {
					assert.Equal(t, rej.Winner, row.author)
				}
			}
			if rapid.IntRange(0, 9).Draw(t, "restart") == 0 {
				table = restoreFromSnapshot(t, table)
			}
			assertMatchesOracle(t, table, o)
		}
	})
}

func restoreFromSnapshot(t *rapid.T, old *Table) *Table {
	data, err := old.Snapshot()
	assert.NilError(t, err)
	fresh := New()
	assert.NilError(t, fresh.Restore(data))
	again, err := fresh.Snapshot()
	assert.NilError(t, err)
	assert.Assert(t, string(again) == string(data), "snapshot of the restored state differs")
	return fresh
}

func assertMatchesOracle(t *rapid.T, table *Table, o *oracle) {
	assert.Equal(t, table.Version(), o.changes)
	assert.Equal(t, len(table.Rows()), len(o.rows))
	for name, want := range o.rows {
		got := table.Row(pb.RowKind_ROW_KIND_DATA_CENTRE, name)
		assert.Assert(t, got != nil && got.Weight == want.weight && got.Out == want.out &&
			got.Version == want.version && got.ChangedBy == want.author, "%s: %v, want %v", name, got, want)
		assert.Equal(t, table.DataCentreOut(name), want.out)
	}
}

// TestReturnedRowIsNotModified checks that a later change does not modify a row that was
// returned before.
func TestReturnedRowIsNotModified(t *testing.T) {
	table := New()
	put := &pb.RowPut{Row: &pb.Row{Kind: pb.RowKind_ROW_KIND_DATA_CENTRE, Name: "a", Region: "r", Weight: 1}}
	assert.Assert(t, table.Apply(&pb.Record{Body: &pb.Record_RowPut{RowPut: put}}) == nil)
	row := table.Row(pb.RowKind_ROW_KIND_DATA_CENTRE, "a")
	before := proto.CloneOf(row)
	put.Row.Weight = 9
	change := &pb.DataCentreChange{Name: "a", Out: true, BaseVersion: 1}
	assert.Assert(t, table.Apply(&pb.Record{Body: &pb.Record_DataCentreChange{DataCentreChange: change}}) == nil)
	assert.Assert(t, proto.Equal(row, before))
}

// TestNoticesAreKeptOncePerClientAndSubject checks that repeated notices replace each
// other, so that they do not grow the state without bound.
func TestNoticesAreKeptOncePerClientAndSubject(t *testing.T) {
	table := New()
	for i := range 100 {
		n := &pb.NoticeGiven{Client: "a", Subject: "b", UntilMs: int64(i)}
		assert.Assert(t, table.Apply(&pb.Record{Body: &pb.Record_NoticeGiven{NoticeGiven: n}}) == nil)
	}
	assert.Equal(t, len(table.Notices()), 1)
	assert.Equal(t, table.Notices()[0].UntilMs, int64(99))
	assert.Equal(t, table.Version(), uint64(100))
}
