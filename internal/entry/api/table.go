package api

import (
	"bytes"
	"context"
	"net/http"
	"strconv"
	"time"

	"github.com/gin-gonic/gin"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/ledger"
	"chervilridge/internal/table"
)

// Committer appends a record and returns replay's verdict.
type Committer interface {
	Commit(ctx context.Context, rec *pb.Record) (ledger.Verdict, error)
}

// HeaderOperator names the operator who changes the table.
const HeaderOperator = "X-Chervil-Operator"

const (
	configTimeout = 5 * time.Second
	maxTableBytes = 4 << 20
)

// Change is the outcome of a change of the table.
type Change struct {
	Row     string `json:"row"`
	Version uint64 `json:"table_version"`
}

func (a *api) getTable(c *gin.Context) {
	var out bytes.Buffer
	if err := table.WriteCSV(&out, a.Table.Rows()); err != nil {
		fail(c, err)
		return
	}
	c.Header("X-Chervil-Table-Version", strconv.FormatUint(a.Table.Version(), 10))
	c.Data(http.StatusOK, "text/csv", out.Bytes())
}

// putRows takes CSV. Each row's version column is the version it builds on.
func (a *api) putRows(c *gin.Context) {
	rows, err := table.ReadCSV(http.MaxBytesReader(c.Writer, c.Request.Body, maxTableBytes))
	if err != nil {
		fail(c, err)
		return
	}
	var done []Change
	for _, row := range rows {
		base := row.Version
		rec := &pb.Record{Body: &pb.Record_RowPut{RowPut: &pb.RowPut{Row: row, BaseVersion: base}}}
		if err := a.configure(c, rec, row.Name); err != nil {
			fail(c, err)
			return
		}
		done = append(done, Change{Row: row.Name, Version: a.Table.Version()})
	}
	c.JSON(http.StatusOK, done)
}

func (a *api) deleteRow(c *gin.Context) {
	kind, err := table.ParseKind(c.Param("kind"))
	base, baseErr := strconv.ParseUint(c.Query("version"), 10, 64)
	if err != nil || baseErr != nil {
		fail(c, fault.New(fault.CodeBadRequest, fault.StepParse, "", "a kind and ?version= are needed"))
		return
	}
	name := c.Param("name")
	rec := &pb.Record{Body: &pb.Record_RowDelete{RowDelete: &pb.RowDelete{Kind: kind, Name: name, BaseVersion: base}}}
	a.change(c, rec, name)
}

func (a *api) changeDataCentre(out bool) gin.HandlerFunc {
	return func(c *gin.Context) {
		name := c.Param("name")
		base := a.Table.Row(pb.RowKind_ROW_KIND_DATA_CENTRE, name).GetVersion()
		if raw := c.Query("version"); raw != "" {
			n, err := strconv.ParseUint(raw, 10, 64)
			if err != nil {
				fail(c, fault.New(fault.CodeBadRequest, fault.StepParse, "", "version is not a number"))
				return
			}
			base = n
		}
		a.change(c, &pb.Record{Body: &pb.Record_DataCentreChange{DataCentreChange: &pb.DataCentreChange{
			Name: name, Out: out, BaseVersion: base,
		}}}, name)
	}
}

// NoticeCall is the body of a given notice.
type NoticeCall struct {
	Client  string `json:"client"`
	Subject string `json:"subject"`
	UntilMs int64  `json:"until_ms"`
}

func (a *api) giveNotice(c *gin.Context) {
	var call NoticeCall
	if !decode(c, &call, maxJobBytes) {
		return
	}
	a.change(c, &pb.Record{Body: &pb.Record_NoticeGiven{NoticeGiven: &pb.NoticeGiven{
		Client: call.Client, Subject: call.Subject, Caller: operator(c), UntilMs: call.UntilMs,
	}}}, call.Client)
}

func (a *api) listNotices(c *gin.Context) { c.JSON(http.StatusOK, a.Table.Notices()) }

func (a *api) change(c *gin.Context, rec *pb.Record, row string) {
	if err := a.configure(c, rec, row); err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, Change{Row: row, Version: a.Table.Version()})
}

func operator(c *gin.Context) string {
	if name := c.GetHeader(HeaderOperator); name != "" {
		return name
	}
	return "unnamed operator"
}

// configure commits one change; a lost race names the winner.
func (a *api) configure(c *gin.Context, rec *pb.Record, row string) error {
	rec.Author = operator(c)
	ctx, cancel := context.WithTimeout(c.Request.Context(), configTimeout)
	defer cancel()
	v, err := a.Writer.Commit(ctx, rec)
	if err != nil {
		return err
	}
	if v.Rejection == nil {
		return nil
	}
	events.TableChangeLost.Log("row", row, "author", rec.Author, "winner", v.Rejection.Winner, "reason", v.Rejection.Detail)
	return rejected(v.Rejection)
}

func rejected(r *ledger.Rejection) error {
	switch r.Reason {
	case ledger.ReasonStaleVersion:
		return fault.Newf(fault.CodeConflict, fault.StepConfig, r.Winner, "%s; changed by %q", r.Detail, r.Winner)
	case ledger.ReasonNotFound:
		return fault.New(fault.CodeNotFound, fault.StepConfig, "", r.Detail)
	}
	return fault.New(fault.CodeBadRequest, fault.StepConfig, "", r.Detail)
}
