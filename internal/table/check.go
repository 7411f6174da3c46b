package table

import (
	"fmt"
	"strings"
	"unicode/utf8"

	pb "chervilridge/api/chervil/v1"
)

const (
	maxNameLength   = 64  // bytes
	maxNoticeLength = 500 // bytes
	maxWeight       = 10_000
)

// ValidateRow validates a row by itself and returns the first error found.
func ValidateRow(r *pb.Row) error {
	switch {
	case r == nil:
		return fmt.Errorf("row is empty")
	case r.Kind == pb.RowKind_ROW_KIND_UNSPECIFIED:
		return fmt.Errorf("row has no kind")
	case !validName(r.Name):
		return fmt.Errorf("name %q is not 1 to %d letters, digits, dots, dashes or underscores", r.Name, maxNameLength)
	case r.Weight < 1 || r.Weight > maxWeight:
		return fmt.Errorf("weight %d of %s is out of range 1 to %d", r.Weight, r.Name, maxWeight)
	case !utf8.ValidString(r.Notice):
		return fmt.Errorf("notice of %s is not UTF-8 text", r.Name)
	case len(r.Notice) > maxNoticeLength:
		return fmt.Errorf("notice of %s is longer than %d bytes", r.Name, maxNoticeLength)
	case r.Kind == pb.RowKind_ROW_KIND_DATA_CENTRE && r.Region == "":
		return fmt.Errorf("data centre %s has no region", r.Name)
	case r.Out && r.Kind != pb.RowKind_ROW_KIND_DATA_CENTRE:
		return fmt.Errorf("only a data centre can be out of service, but %s is not one", r.Name)
	}
	if err := validateReferences(r); err != nil {
		return err
	}
	return validateQuota(r)
}

// validateReferences checks the syntax of the names of other rows and of the region.
func validateReferences(r *pb.Row) error {
	for _, name := range append([]string{r.Team, r.Region}, r.DataCentres...) {
		if name != "" && !validName(name) {
			return fmt.Errorf("%q in the row of %s is not a name of 1 to %d letters, digits, dots, dashes or underscores", name, r.Name, maxNameLength)
		}
	}
	return nil
}

// CheckReferences checks that every data centre and team that the rows name has a row,
// either in the table or among the rows themselves.
func (t *Table) CheckReferences(rows []CSVRow) error {
	known := map[Key]bool{}
	for key := range t.rows {
		known[key] = true
	}
	for _, l := range rows {
		known[Key{l.Row.Kind, l.Row.Name}] = true
	}
	var errs lineErrors
	for _, l := range rows {
		for _, name := range l.Row.DataCentres {
			if !known[Key{pb.RowKind_ROW_KIND_DATA_CENTRE, name}] {
				errs.add(l.LineNumber, fmt.Errorf("data centre %s of %s has no row", name, l.Row.Name))
			}
		}
		if l.Row.Team != "" && !known[Key{pb.RowKind_ROW_KIND_TEAM, l.Row.Team}] {
			errs.add(l.LineNumber, fmt.Errorf("team %s of %s has no row", l.Row.Team, l.Row.Name))
		}
	}
	if len(errs) == 0 {
		return nil
	}
	return errs.err()
}

func validateQuota(r *pb.Row) error {
	q := r.Quota
	if q != nil && (q.CpuMilli < 0 || q.MemoryMb < 0 || q.Accelerators < 0) {
		return fmt.Errorf("quota of %s is negative", r.Name)
	}
	return nil
}

func validName(s string) bool {
	if s == "" || len(s) > maxNameLength {
		return false
	}
	return strings.IndexFunc(s, func(c rune) bool { return !isNameRune(c) }) < 0
}

func isNameRune(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("-_.", c)
}
