package table

import (
	"encoding/csv"
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

// ReadCSV reads rows and names every mistake with its line. Columns may come in
// any order; a missing one takes its zero value, and weight becomes 1.
func ReadCSV(r io.Reader) ([]*pb.Row, error) {
	in := csv.NewReader(r)
	in.FieldsPerRecord = -1
	lines, err := in.ReadAll()
	if err != nil {
		return nil, fault.Wrap(err, fault.CodeBadRequest, fault.StepParse, "", "not a CSV file")
	}
	if len(lines) == 0 {
		return nil, fault.New(fault.CodeBadRequest, fault.StepParse, "", "CSV file has no header line")
	}
	if err := checkHeader(lines[0]); err != nil {
		return nil, err
	}
	return decodeLines(lines)
}

func checkHeader(header []string) error {
	for _, name := range header {
		if !isColumn(name) {
			return fault.Newf(fault.CodeBadRequest, fault.StepParse, "",
				"line 1: column %q is not one of %s", name, strings.Join(Columns, ", "))
		}
	}
	return nil
}

func isColumn(name string) bool {
	for _, c := range Columns {
		if c == name {
			return true
		}
	}
	return false
}

func decodeLines(lines [][]string) ([]*pb.Row, error) {
	var rows []*pb.Row
	var mistakes []string
	for i, line := range lines[1:] {
		row, err := decodeRow(lines[0], line)
		if err != nil {
			mistakes = append(mistakes, fmt.Sprintf("line %d: %v", i+2, err))
			continue
		}
		rows = append(rows, row)
	}
	if len(mistakes) > 0 {
		return nil, fault.New(fault.CodeBadRequest, fault.StepParse, "", strings.Join(mistakes, "; "))
	}
	return rows, nil
}

func decodeRow(header, line []string) (*pb.Row, error) {
	if len(line) != len(header) {
		return nil, fmt.Errorf("has %d cells, the header has %d", len(line), len(header))
	}
	row := &pb.Row{Weight: 1, Quota: &pb.Resources{}}
	for i, column := range header {
		if err := SetCell(row, column, strings.TrimSpace(line[i])); err != nil {
			return nil, err
		}
	}
	return row, Check(row)
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
