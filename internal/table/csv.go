package table

import (
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"strconv"
	"strings"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
)

// Columns are the table's CSV columns in output order.
var Columns = []string{
	"kind", "name", "team", "region", "data_centres", "weight", "limit",
	"cpu_milli", "memory_mb", "accelerators", "latency_target_ms", "urgent",
	"out", "notice", "version",
}

var kindNames = map[pb.RowKind]string{
	pb.RowKind_ROW_KIND_SERVICE:     "service",
	pb.RowKind_ROW_KIND_JOB_CLASS:   "job_class",
	pb.RowKind_ROW_KIND_DATA_CENTRE: "data_centre",
	pb.RowKind_ROW_KIND_CLIENT:      "client",
	pb.RowKind_ROW_KIND_TEAM:        "team",
}

// KindName returns the name of a row kind in CSV files and paths.
func KindName(k pb.RowKind) string { return kindNames[k] }

// ParseKind is the inverse of KindName.
func ParseKind(name string) (pb.RowKind, error) {
	for k, n := range kindNames {
		if n == name {
			return k, nil
		}
	}
	return 0, fmt.Errorf("kind %q is not one of service, job_class, data_centre, client, team", name)
}

// WriteCSV writes a header line and the rows as CSV with all columns.
func WriteCSV(w io.Writer, rows []*pb.Row) error {
	out := csv.NewWriter(w)
	if err := out.Write(Columns); err != nil {
		return err
	}
	for _, r := range rows {
		if err := out.Write(encodeRow(r)); err != nil {
			return err
		}
	}
	out.Flush()
	return out.Error()
}

func encodeRow(r *pb.Row) []string {
	q := r.GetQuota()
	return []string{
		KindName(r.Kind), r.Name, r.Team, r.Region, strings.Join(r.DataCentres, " "),
		formatUint(uint64(r.Weight)), formatUint(uint64(r.Limit)),
		strconv.FormatInt(q.GetCpuMilli(), 10), strconv.FormatInt(q.GetMemoryMb(), 10), strconv.FormatInt(q.GetAccelerators(), 10),
		formatUint(uint64(r.LatencyTargetMs)), strconv.FormatBool(r.Urgent), strconv.FormatBool(r.Out),
		r.Notice, formatUint(r.Version),
	}
}

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

// CSVRow is a row with its line number, from 1, in a CSV file.
type CSVRow struct {
	LineNumber int
	Row        *pb.Row
}

// byteOrderMark is what some spreadsheet programs write at the start of a file.
const byteOrderMark = "\ufeff"

// ReadCSV reads rows. Its error lists every invalid line with its number.
func ReadCSV(r io.Reader) ([]*pb.Row, error) {
	lines, err := ReadCSVRows(r)
	if err != nil {
		return nil, err
	}
	rows := make([]*pb.Row, 0, len(lines))
	for _, l := range lines {
		rows = append(rows, l.Row)
	}
	return rows, nil
}

// ReadCSVRows is ReadCSV with the line number of each row. Columns may be in any order and
// separated by commas or semicolons. A missing column gets its zero value, weight 1.
func ReadCSVRows(r io.Reader) ([]CSVRow, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, "", "CSV file cannot be read")
	}
	text := strings.TrimPrefix(string(raw), byteOrderMark)
	in := csv.NewReader(strings.NewReader(text))
	in.FieldsPerRecord = -1
	in.Comma = detectSeparator(text)
	var errs lineErrors
	header, err := in.Read()
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, "", "CSV file has no header line")
	}
	errs.add(1, validateHeader(header)...)
	if len(errs) > 0 {
		return nil, errs.err()
	}
	return readRows(in, header)
}

// detectSeparator returns the separator of the header line, ';' or ','.
func detectSeparator(text string) rune {
	header, _, _ := strings.Cut(text, "\n")
	if strings.Contains(header, ";") && !strings.Contains(header, ",") {
		return ';'
	}
	return ','
}

// lineErrors are the errors in a CSV file, each prefixed with its line number.
type lineErrors []string

func (m *lineErrors) add(lineNumber int, errs ...error) {
	for _, err := range errs {
		*m = append(*m, fmt.Sprintf("line %d: %v", lineNumber, err))
	}
}

func (m lineErrors) err() error {
	return fault.New(fault.CodeBadRequest, fault.StepParse, "", strings.Join(m, "; "))
}

func validateHeader(header []string) []error {
	var errs []error
	seen := map[string]bool{}
	for _, name := range header {
		switch {
		case !isColumn(name):
			errs = append(errs, fmt.Errorf("column %q is not one of %s", name, strings.Join(Columns, ", ")))
		case seen[name]:
			errs = append(errs, fmt.Errorf("column %q is repeated", name))
		}
		seen[name] = true
	}
	for _, name := range Columns[:2] {
		if !seen[name] {
			errs = append(errs, fmt.Errorf("column %q is missing", name))
		}
	}
	return errs
}

func isColumn(name string) bool {
	for _, c := range Columns {
		if c == name {
			return true
		}
	}
	return false
}

// readRows reads all lines after the header. Two lines for one row are an error, since
// only one of them could take effect.
func readRows(in *csv.Reader, header []string) ([]CSVRow, error) {
	var rows []CSVRow
	var errs lineErrors
	lineByKey := map[Key]int{}
	for {
		cells, err := in.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			errs = append(errs, err.Error())
			break
		}
		number, _ := in.FieldPos(0)
		row, rowErrs := decodeRow(header, cells)
		key := Key{row.Kind, row.Name}
		if earlierNumber, duplicate := lineByKey[key]; duplicate && len(rowErrs) == 0 {
			rowErrs = append(rowErrs, fmt.Errorf("%s %s is already on line %d", KindName(row.Kind), row.Name, earlierNumber))
		}
		lineByKey[key] = number
		errs.add(number, rowErrs...)
		rows = append(rows, CSVRow{LineNumber: number, Row: row})
	}
	if len(errs) > 0 {
		return nil, errs.err()
	}
	return rows, nil
}

// decodeRow returns the row and the errors of all its cells or, if the cells are valid,
// the first error of the row as a whole.
func decodeRow(header, cells []string) (*pb.Row, []error) {
	row := &pb.Row{Weight: 1, Quota: &pb.Resources{}}
	if len(cells) != len(header) {
		return row, []error{fmt.Errorf("has %d cells, the header has %d", len(cells), len(header))}
	}
	var errs []error
	for i, column := range header {
		if err := SetCell(row, column, strings.TrimSpace(cells[i])); err != nil {
			errs = append(errs, err)
		}
	}
	if len(errs) > 0 {
		return row, errs
	}
	if err := ValidateRow(row); err != nil {
		return row, []error{err}
	}
	return row, nil
}

// SetCell parses the text of a cell and sets the row's column. Empty text leaves a number
// or a boolean as it is.
func SetCell(row *pb.Row, column, cell string) error {
	if row.Quota == nil {
		row.Quota = &pb.Resources{}
	}
	switch column {
	case "kind":
		kind, err := ParseKind(cell)
		row.Kind = kind
		return err
	case "name":
		row.Name = cell
	case "team":
		row.Team = cell
	case "region":
		row.Region = cell
	case "data_centres":
		row.DataCentres = strings.Fields(cell)
	case "notice":
		row.Notice = cell
	case "urgent":
		return parseBool(column, cell, &row.Urgent)
	case "out":
		return parseBool(column, cell, &row.Out)
	default:
		return setNumber(row, column, cell)
	}
	return nil
}

func setNumber(row *pb.Row, column, cell string) error {
	if cell == "" {
		return nil
	}
	n, err := strconv.ParseInt(cell, 10, 64)
	if err != nil || n < 0 {
		return fmt.Errorf("%s %q is not a whole number of 0 or more", column, cell)
	}
	if n > 1<<31 {
		return fmt.Errorf("%s %q is too large", column, cell)
	}
	switch column {
	case "weight":
		row.Weight = uint32(n)
	case "limit":
		row.Limit = uint32(n)
	case "latency_target_ms":
		row.LatencyTargetMs = uint32(n)
	case "cpu_milli":
		row.Quota.CpuMilli = n
	case "memory_mb":
		row.Quota.MemoryMb = n
	case "accelerators":
		row.Quota.Accelerators = n
	case "version":
		row.Version = uint64(n)
	default:
		return fmt.Errorf("column %q is not one of %s", column, strings.Join(Columns, ", "))
	}
	return nil
}

func parseBool(column, cell string, dst *bool) error {
	if cell == "" {
		return nil
	}
	b, err := strconv.ParseBool(cell)
	if err != nil {
		return fmt.Errorf("%s %q is not true or false", column, cell)
	}
	*dst = b
	return nil
}
