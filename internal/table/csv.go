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

// Columns are the table's columns in the order that a spreadsheet shows.
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

// KindName returns the table's word for a kind.
func KindName(k pb.RowKind) string { return kindNames[k] }

// ParseKind returns the kind for the table's word.
func ParseKind(name string) (pb.RowKind, error) {
	for k, n := range kindNames {
		if n == name {
			return k, nil
		}
	}
	return 0, fmt.Errorf("kind %q is not one of service, job_class, data_centre, client, team", name)
}

// WriteCSV writes rows as a spreadsheet reads them.
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

// Line is a row with its place in a CSV file.
type Line struct {
	Number int
	Row    *pb.Row
}

// byteOrderMark begins the files of some spreadsheets.
const byteOrderMark = "\ufeff"

// ReadCSV reads rows and names every mistake with its line.
func ReadCSV(r io.Reader) ([]*pb.Row, error) {
	lines, err := ReadLines(r)
	if err != nil {
		return nil, err
	}
	rows := make([]*pb.Row, 0, len(lines))
	for _, l := range lines {
		rows = append(rows, l.Row)
	}
	return rows, nil
}

// ReadLines is ReadCSV with the line of each row. Columns may come in any order
// and be parted by commas or semicolons; a missing one takes its zero value, and
// weight becomes 1.
func ReadLines(r io.Reader) ([]Line, error) {
	raw, err := io.ReadAll(r)
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, "", "CSV file cannot be read")
	}
	text := strings.TrimPrefix(string(raw), byteOrderMark)
	in := csv.NewReader(strings.NewReader(text))
	in.FieldsPerRecord = -1
	in.Comma = separator(text)
	var mistakes mistakes
	header, err := in.Read()
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, "", "CSV file has no header line")
	}
	mistakes.add(1, checkHeader(header)...)
	if len(mistakes) > 0 {
		return nil, mistakes.err()
	}
	return readRows(in, header)
}

// separator returns what parts the cells of the header line.
func separator(text string) rune {
	header, _, _ := strings.Cut(text, "\n")
	if strings.Contains(header, ";") && !strings.Contains(header, ",") {
		return ';'
	}
	return ','
}

// mistakes are what is wrong with a file, by line.
type mistakes []string

func (m *mistakes) add(line int, found ...error) {
	for _, err := range found {
		*m = append(*m, fmt.Sprintf("line %d: %v", line, err))
	}
}

func (m mistakes) err() error {
	return fault.New(fault.CodeBadRequest, fault.StepParse, "", strings.Join(m, "; "))
}

func checkHeader(header []string) []error {
	var found []error
	seen := map[string]bool{}
	for _, name := range header {
		switch {
		case !isColumn(name):
			found = append(found, fmt.Errorf("column %q is not one of %s", name, strings.Join(Columns, ", ")))
		case seen[name]:
			found = append(found, fmt.Errorf("column %q comes twice", name))
		}
		seen[name] = true
	}
	for _, name := range Columns[:2] {
		if !seen[name] {
			found = append(found, fmt.Errorf("column %q is missing", name))
		}
	}
	return found
}

func isColumn(name string) bool {
	for _, c := range Columns {
		if c == name {
			return true
		}
	}
	return false
}

// readRows reads all lines behind the header. Two lines for one row are a
// mistake, since only one of them can be in force.
func readRows(in *csv.Reader, header []string) ([]Line, error) {
	var rows []Line
	var wrong mistakes
	first := map[Key]int{}
	for {
		cells, err := in.Read()
		if errors.Is(err, io.EOF) {
			break
		}
		if err != nil {
			wrong = append(wrong, err.Error())
			break
		}
		number, _ := in.FieldPos(0)
		row, found := decodeRow(header, cells)
		key := Key{row.Kind, row.Name}
		if before, twice := first[key]; twice && len(found) == 0 {
			found = append(found, fmt.Errorf("%s %s stands on line %d already", KindName(row.Kind), row.Name, before))
		}
		first[key] = number
		wrong.add(number, found...)
		rows = append(rows, Line{Number: number, Row: row})
	}
	if len(wrong) > 0 {
		return nil, wrong.err()
	}
	return rows, nil
}

// decodeRow returns the row and all that is wrong with its cells, or else the
// first thing that is wrong with the row as a whole.
func decodeRow(header, line []string) (*pb.Row, []error) {
	row := &pb.Row{Weight: 1, Quota: &pb.Resources{}}
	if len(line) != len(header) {
		return row, []error{fmt.Errorf("has %d cells, the header has %d", len(line), len(header))}
	}
	var found []error
	for i, column := range header {
		if err := SetCell(row, column, strings.TrimSpace(line[i])); err != nil {
			found = append(found, err)
		}
	}
	if len(found) > 0 {
		return row, found
	}
	if err := Check(row); err != nil {
		return row, []error{err}
	}
	return row, nil
}

// SetCell sets one column of a row from its text.
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

func parseBool(column, cell string, to *bool) error {
	if cell == "" {
		return nil
	}
	b, err := strconv.ParseBool(cell)
	if err != nil {
		return fmt.Errorf("%s %q is not true or false", column, cell)
	}
	*to = b
	return nil
}
