package api

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/fault"
	"chervilridge/internal/impact"
	"chervilridge/internal/ledger"
	"chervilridge/internal/membership"
	"chervilridge/internal/table"
)

// Committer appends a record and returns replay's verdict.
type Committer interface {
	Commit(ctx context.Context, rec *pb.Record) (ledger.ApplyResult, error)
}

// HeaderOperator names the operator who changes the table.
const HeaderOperator = "X-Chervil-Operator"

const (
	configTimeout = 5 * time.Second
	maxTableBytes = 4 << 20
)

// Change is the outcome of a change of one row.
type Change struct {
	Row string `json:"row"`
	// Line is the row's line in a CSV file; 0 if there is none.
	Line    int    `json:"line,omitempty"`
	Version uint64 `json:"table_version"`
	// Outcome is "done" or what a failed change's error says.
	Outcome fault.Outcome `json:"outcome"`
	Code    fault.Code    `json:"code,omitempty"`
	Detail  string        `json:"detail,omitempty"`
}

func (a *api) getTable(c *gin.Context) {
	var out bytes.Buffer
	if err := table.WriteCSV(&out, a.Table.Rows()); err != nil {
		fail(c, err)
		return
	}
	c.Header("X-Chervil-Table-Version", strconv.FormatUint(a.Table.Version(), 10))
	if age, ok := a.Table.Age(); ok {
		c.Header("X-Chervil-Table-Age-Ms", strconv.FormatInt(age.Milliseconds(), 10))
	}
	c.Data(http.StatusOK, "text/csv", out.Bytes())
}

// putRows takes CSV. Each row's version column is the version it builds on. The
// file is checked whole before a row is written; then each row has an outcome of
// its own, and the status is 207 if one of them is not done.
func (a *api) putRows(c *gin.Context) {
	lines, err := table.ReadLines(http.MaxBytesReader(c.Writer, c.Request.Body, maxTableBytes))
	if err == nil {
		err = a.checkLines(lines)
	}
	if err != nil {
		fail(c, err)
		return
	}
	changes := a.writeLines(c, lines)
	status := http.StatusOK
	for _, ch := range changes {
		if ch.Outcome != fault.Done {
			status = http.StatusMultiStatus
		}
	}
	c.JSON(status, changes)
}

// checkLines refuses a file of which some rows are known to be lost already.
func (a *api) checkLines(lines []table.Line) error {
	lost, err := a.Table.CheckLines(lines)
	if err != nil || len(lost) == 0 {
		return err
	}
	var details []string
	for _, l := range lost {
		details = append(details, fmt.Sprintf("line %d: %s; changed by %q", l.Line.Number, l.Rejection.Detail, l.Rejection.Winner))
	}
	return fault.New(fault.CodeConflict, fault.StepConfig, lost[0].Rejection.Winner, strings.Join(details, "; "))
}

// writeLines writes all rows at once, so that they share appends.
func (a *api) writeLines(c *gin.Context, lines []table.Line) []Change {
	changes := make([]Change, len(lines))
	var wg sync.WaitGroup
	for i, l := range lines {
		wg.Go(func() {
			rec := &pb.Record{Body: &pb.Record_RowPut{RowPut: &pb.RowPut{Row: l.Row, BaseVersion: l.Row.Version}}}
			changes[i] = a.outcome(l, a.configure(c, rec, l.Row.Name))
		})
	}
	wg.Wait()
	return changes
}

func (a *api) outcome(l table.Line, err error) Change {
	ch := Change{Row: l.Row.Name, Line: l.Number, Outcome: fault.Done, Version: a.Table.Version()}
	if err != nil {
		e := fault.As(err)
		ch.Outcome, ch.Code, ch.Detail = e.Outcome, e.Code, e.Body().Message
	}
	return ch
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
		if unwarned := a.foretell(name).Unwarned(); out && len(unwarned) > 0 {
			events.DrainUnwarned.Log("dataCentre", name, "author", operator(c), "clients", strings.Join(unwarned, ","))
		}
		a.change(c, &pb.Record{Body: &pb.Record_DataCentreChange{DataCentreChange: &pb.DataCentreChange{
			Name: name, Out: out, BaseVersion: base,
		}}}, name)
	}
}

// planDrain tells what taking a data centre out would do now.
func (a *api) planDrain(c *gin.Context) {
	name := c.Param("name")
	if a.Table.Row(pb.RowKind_ROW_KIND_DATA_CENTRE, name) == nil {
		fail(c, fault.Newf(fault.CodeNotFound, fault.StepConfig, "", "no data centre %s", name))
		return
	}
	c.JSON(http.StatusOK, a.foretell(name))
}

func (a *api) foretell(dataCentre string) impact.Plan {
	in := impact.Input{DataCentre: dataCentre, Rows: a.Table.Rows(), Notices: a.Table.Notices(), Now: time.Now()}
	statuses := a.Registry.Statuses()
	slots := a.slots(statuses)
	for _, m := range statuses {
		in.Endpoints = append(in.Endpoints, impact.Endpoint{
			Service: m.Service, DataCentre: m.DataCentre, Worker: m.Worker, Slots: slots[m.Agent],
			Running: int(m.Running), Queued: int(m.Queued),
		})
	}
	return impact.Foretell(in)
}

// slots returns the slots of each endpoint that takes work, by agent; others
// give none.
func (a *api) slots(statuses []membership.Status) map[string]int {
	slots := map[string]int{}
	asked := map[string]bool{}
	for _, m := range statuses {
		if asked[m.Service] {
			continue
		}
		asked[m.Service] = true
		for _, e := range a.Registry.Members(m.Service) {
			slots[e.Endpoint.Agent] = int(e.Endpoint.Slots)
		}
	}
	return slots
}

// NoticeCall is the body of a given notice.
type NoticeCall struct {
	Client  string `json:"client"`
	Subject string `json:"subject"`
	UntilMs int64  `json:"until_ms"`
}

func (a *api) giveNotice(c *gin.Context) {
	var call NoticeCall
	if !decode(c, &call, maxNoticeBytes) {
		return
	}
	if err := a.checkNotice(call); err != nil {
		fail(c, err)
		return
	}
	a.change(c, &pb.Record{Body: &pb.Record_NoticeGiven{NoticeGiven: &pb.NoticeGiven{
		Client: call.Client, Subject: call.Subject, Caller: operator(c), UntilMs: call.UntilMs,
	}}}, call.Client)
}

// checkNotice refuses a notice to or of something that has no row, and one that
// is over already.
func (a *api) checkNotice(call NoticeCall) error {
	subject := a.Table.Row(pb.RowKind_ROW_KIND_DATA_CENTRE, call.Subject)
	if subject == nil {
		subject = a.Table.Row(pb.RowKind_ROW_KIND_SERVICE, call.Subject)
	}
	switch {
	case a.Table.Row(pb.RowKind_ROW_KIND_CLIENT, call.Client) == nil:
		return fault.Newf(fault.CodeNotFound, fault.StepConfig, "", "no client %q", call.Client)
	case subject == nil:
		return fault.Newf(fault.CodeNotFound, fault.StepConfig, "", "no data centre or service %q", call.Subject)
	case call.UntilMs <= time.Now().UnixMilli():
		return fault.New(fault.CodeBadRequest, fault.StepConfig, "", "the notice ends in the past")
	}
	return nil
}

func (a *api) listNotices(c *gin.Context) { c.JSON(http.StatusOK, a.Table.Notices()) }

func (a *api) change(c *gin.Context, rec *pb.Record, row string) {
	if err := a.configure(c, rec, row); err != nil {
		fail(c, err)
		return
	}
	c.JSON(http.StatusOK, Change{Row: row, Version: a.Table.Version(), Outcome: fault.Done})
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

// maxNoticeBytes bounds the body of a notice.
const maxNoticeBytes = 128 << 10

// decode reads a JSON body strictly; it writes the error itself.
func decode(c *gin.Context, into any, limit int64) bool {
	d := json.NewDecoder(http.MaxBytesReader(c.Writer, c.Request.Body, limit))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		fail(c, fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, "", "body is not the expected JSON"))
		return false
	}
	return true
}
