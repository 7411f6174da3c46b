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
	"chervilridge/internal/request/parse"
	"chervilridge/internal/table"
)

// Committer appends a record to the log and returns the result of its replay.
type Committer interface {
	Commit(ctx context.Context, rec *pb.Record) (ledger.ApplyResult, error)
}

// HeaderOperator is the request header with the name of the operator who changes the
// table.
const HeaderOperator = "X-Chervil-Operator"

const (
	commitTimeout = 5 * time.Second
	maxTableBytes = 4 << 20 // of a CSV file
	// maxTableLines bounds the memory of a file's rows, which take some hundred bytes however
	// short their lines are.
	maxTableLines = 20_000
	// tableBodyTimeout bounds the time of reading an operator's body.
	tableBodyTimeout = time.Minute
)

// ChangeResult is the outcome of a change of one row.
type ChangeResult struct {
	Row string `json:"row"`
	// Line is the row's line number in a CSV file; 0 if it came from none.
	Line    int    `json:"line,omitempty"`
	Version uint64 `json:"table_version"`
	// Outcome is "done", or the outcome in the error of a failed change.
	Outcome fault.Outcome `json:"outcome"`
	Code    fault.Code    `json:"code,omitempty"`
	Detail  string        `json:"detail,omitempty"`
}

func (a *api) getTable(c *gin.Context) {
	var out bytes.Buffer
	if err := table.WriteCSV(&out, a.Table.Rows()); err != nil {
		writeError(c, err)
		return
	}
	c.Header("X-Chervil-Table-Version", strconv.FormatUint(a.Table.Version(), 10))
	if age, ok := a.Table.Age(); ok {
		c.Header("X-Chervil-Table-Age-Ms", strconv.FormatInt(age.Milliseconds(), 10))
	}
	c.Data(http.StatusOK, "text/csv", out.Bytes())
}

// putRows writes the rows of a CSV file. Each row's version column is its base version.
// All rows are checked before any is written. Then each row has an outcome of its own,
// and the status is 207 if one of them is not done.
func (a *api) putRows(c *gin.Context) {
	rows, err := a.readRows(c)
	if err == nil {
		err = a.checkRows(rows)
	}
	if err != nil {
		writeError(c, err)
		return
	}
	changes := a.writeRows(c, rows)
	status := http.StatusOK
	for _, ch := range changes {
		if ch.Outcome != fault.Done {
			status = http.StatusMultiStatus
		}
	}
	c.JSON(status, changes)
}

// readRows reads the rows of a CSV file, one file at a time, since rows take a multiple of their text.
func (a *api) readRows(c *gin.Context) ([]table.CSVRow, error) {
	body, err := parse.ReadBody(c.Writer, c.Request, operator(c), maxTableBytes, time.Now().Add(tableBodyTimeout), a.Bodies)
	if err != nil {
		return nil, err
	}
	defer body.Release()
	if lines := bytes.Count(body.Bytes, []byte("\n")); lines > maxTableLines {
		return nil, fault.Newf(fault.CodeTooLarge, fault.StepParse, "", "CSV file has %d lines, at most %d are allowed", lines, maxTableLines)
	}
	a.readingRows.Lock()
	defer a.readingRows.Unlock()
	return table.ReadCSVRows(bytes.NewReader(body.Bytes))
}

// checkRows rejects a file with invalid references or with rows whose base version is
// already stale.
func (a *api) checkRows(rows []table.CSVRow) error {
	stale, err := a.Table.CheckRows(rows)
	if err != nil || len(stale) == 0 {
		return err
	}
	var details []string
	for _, l := range stale {
		details = append(details, fmt.Sprintf("line %d: %s; changed by %q", l.Row.LineNumber, l.Rejection.Detail, l.Rejection.Winner))
	}
	return fault.New(fault.CodeConflict, fault.StepConfig, stale[0].Rejection.Winner, strings.Join(details, "; "))
}

// writeRows commits all rows concurrently, so that they share appends to the log.
func (a *api) writeRows(c *gin.Context, rows []table.CSVRow) []ChangeResult {
	changes := make([]ChangeResult, len(rows))
	var wg sync.WaitGroup
	for i, l := range rows {
		wg.Go(func() {
			rec := &pb.Record{Body: &pb.Record_RowPut{RowPut: &pb.RowPut{Row: l.Row, BaseVersion: l.Row.Version}}}
			changes[i] = a.rowResult(l, a.commit(c, rec, l.Row.Name))
		})
	}
	wg.Wait()
	return changes
}

func (a *api) rowResult(l table.CSVRow, err error) ChangeResult {
	ch := ChangeResult{Row: l.Row.Name, Line: l.LineNumber, Outcome: fault.Done, Version: a.Table.Version()}
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
		writeError(c, fault.New(fault.CodeBadRequest, fault.StepParse, "", "a row kind and the query parameter version are required"))
		return
	}
	name := c.Param("name")
	rec := &pb.Record{Body: &pb.Record_RowDelete{RowDelete: &pb.RowDelete{Kind: kind, Name: name, BaseVersion: base}}}
	a.commitAndReply(c, rec, name)
}

// changeDataCentre returns the handler that takes a data centre out of or back into
// service. Without a version parameter the change is based on the current version.
// Unnotified clients are logged but do not prevent the change.
func (a *api) changeDataCentre(out bool) gin.HandlerFunc {
	return func(c *gin.Context) {
		name := c.Param("name")
		base := a.Table.Row(pb.RowKind_ROW_KIND_DATA_CENTRE, name).GetVersion()
		if raw := c.Query("version"); raw != "" {
			n, err := strconv.ParseUint(raw, 10, 64)
			if err != nil {
				writeError(c, fault.New(fault.CodeBadRequest, fault.StepParse, "", "query parameter version is not a number"))
				return
			}
			base = n
		}
		if unwarned := a.predictDrain(name).Unwarned(); out && len(unwarned) > 0 {
			events.DrainWithoutNotice.Log("dataCentre", name, "author", operator(c), "clients", strings.Join(unwarned, ","))
		}
		a.commitAndReply(c, &pb.Record{Body: &pb.Record_DataCentreChange{DataCentreChange: &pb.DataCentreChange{
			Name: name, Out: out, BaseVersion: base,
		}}}, name)
	}
}

// planDrain writes the predicted effect of taking a data centre out of service now.
func (a *api) planDrain(c *gin.Context) {
	name := c.Param("name")
	if a.Table.Row(pb.RowKind_ROW_KIND_DATA_CENTRE, name) == nil {
		writeError(c, fault.Newf(fault.CodeNotFound, fault.StepConfig, "", "no data centre %s", name))
		return
	}
	c.JSON(http.StatusOK, a.predictDrain(name))
}

// predictDrain predicts the effect from the current table, registry and notices.
func (a *api) predictDrain(dataCentre string) impact.Plan {
	in := impact.Input{DataCentre: dataCentre, Rows: a.Table.Rows(), Notices: a.Table.Notices(), Now: time.Now()}
	statuses := a.Registry.Statuses()
	slots := a.slotsByAgent(statuses)
	for _, m := range statuses {
		in.Endpoints = append(in.Endpoints, impact.Endpoint{
			Service: m.Service, DataCentre: m.DataCentre, Worker: m.Worker, Slots: slots[m.Agent],
			Running: int(m.Running), Queued: int(m.Queued),
		})
	}
	return impact.Predict(in)
}

// slotsByAgent returns the slots of the endpoints that take new work, by agent name.
func (a *api) slotsByAgent(statuses []membership.Status) map[string]int {
	slots := map[string]int{}
	seen := map[string]bool{}
	for _, m := range statuses {
		if seen[m.Service] {
			continue
		}
		seen[m.Service] = true
		for _, e := range a.Registry.Members(m.Service) {
			slots[e.Endpoint.Agent] = int(e.Endpoint.Slots)
		}
	}
	return slots
}

// NoticeRequest is the request body of POST /v1/notices. Subject is a data centre or a
// service; UntilMs is in milliseconds since 1970.
type NoticeRequest struct {
	Client  string `json:"client"`
	Subject string `json:"subject"`
	UntilMs int64  `json:"until_ms"`
}

func (a *api) postNotice(c *gin.Context) {
	var notice NoticeRequest
	if !a.decodeJSON(c, &notice, maxNoticeBytes) {
		return
	}
	if err := a.checkNotice(notice); err != nil {
		writeError(c, err)
		return
	}
	a.commitAndReply(c, &pb.Record{Body: &pb.Record_NoticeGiven{NoticeGiven: &pb.NoticeGiven{
		Client: notice.Client, Subject: notice.Subject, Caller: operator(c), UntilMs: notice.UntilMs,
	}}}, notice.Client)
}

// checkNotice rejects a notice whose client or subject has no row, and one that has
// already expired.
func (a *api) checkNotice(notice NoticeRequest) error {
	subject := a.Table.Row(pb.RowKind_ROW_KIND_DATA_CENTRE, notice.Subject)
	if subject == nil {
		subject = a.Table.Row(pb.RowKind_ROW_KIND_SERVICE, notice.Subject)
	}
	switch {
	case a.Table.Row(pb.RowKind_ROW_KIND_CLIENT, notice.Client) == nil:
		return fault.Newf(fault.CodeNotFound, fault.StepConfig, "", "no client %q", notice.Client)
	case subject == nil:
		return fault.Newf(fault.CodeNotFound, fault.StepConfig, "", "no data centre or service %q", notice.Subject)
	case notice.UntilMs <= time.Now().UnixMilli():
		return fault.New(fault.CodeBadRequest, fault.StepConfig, "", "until_ms is in the past")
	}
	return nil
}

func (a *api) listNotices(c *gin.Context) { c.JSON(http.StatusOK, a.Table.Notices()) }

// commitAndReply commits one change and writes its result or error.
func (a *api) commitAndReply(c *gin.Context, rec *pb.Record, row string) {
	if err := a.commit(c, rec, row); err != nil {
		writeError(c, err)
		return
	}
	c.JSON(http.StatusOK, ChangeResult{Row: row, Version: a.Table.Version(), Outcome: fault.Done})
}

// operator returns the author of the changes of a request.
func operator(c *gin.Context) string {
	if name := c.GetHeader(HeaderOperator); name != "" {
		return name
	}
	return "unnamed operator"
}

// commit commits one change of the table. A conflict names the author of the winning
// change.
func (a *api) commit(c *gin.Context, rec *pb.Record, row string) error {
	rec.Author = operator(c)
	ctx, cancel := context.WithTimeout(c.Request.Context(), commitTimeout)
	defer cancel()
	v, err := a.Committer.Commit(ctx, rec)
	if err != nil {
		return err
	}
	if v.Rejection == nil {
		return nil
	}
	events.TableChangeRejected.Log("row", row, "author", rec.Author, "winner", v.Rejection.Winner, "reason", v.Rejection.Detail)
	return rejectionError(v.Rejection)
}

// rejectionError converts a rejection in replay to the error of the API.
func rejectionError(r *ledger.Rejection) error {
	switch r.Reason {
	case ledger.ReasonStaleVersion:
		return fault.Newf(fault.CodeConflict, fault.StepConfig, r.Winner, "%s; changed by %q", r.Detail, r.Winner)
	case ledger.ReasonNotFound:
		return fault.New(fault.CodeNotFound, fault.StepConfig, "", r.Detail)
	}
	return fault.New(fault.CodeBadRequest, fault.StepConfig, "", r.Detail)
}

// maxNoticeBytes bounds the request body of a notice.
const maxNoticeBytes = 128 << 10

// decodeJSON decodes a JSON body and rejects unknown fields. On failure it writes the
// error response and returns false.
func (a *api) decodeJSON(c *gin.Context, into any, limit int64) bool {
	body, err := parse.ReadBody(c.Writer, c.Request, operator(c), limit, time.Now().Add(tableBodyTimeout), a.Bodies)
	if err != nil {
		writeError(c, err)
		return false
	}
	defer body.Release()
	d := json.NewDecoder(bytes.NewReader(body.Bytes))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		writeError(c, fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, "", "body is not the expected JSON"))
		return false
	}
	return true
}
