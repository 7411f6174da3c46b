package table

import (
	"fmt"
	"strings"

	pb "chervilridge/api/chervil/v1"
)

const (
	maxNameLength   = 64
	maxNoticeLength = 500
	maxWeight       = 10_000
)

// Check returns the first mistake in a row, or nil.
func Check(r *pb.Row) error {
	switch {
	case r == nil:
		return fmt.Errorf("row is empty")
	case r.Kind == pb.RowKind_ROW_KIND_UNSPECIFIED:
		return fmt.Errorf("row has no kind")
	case !validName(r.Name):
		return fmt.Errorf("name %q is not 1 to %d letters, digits, dots, dashes or underscores", r.Name, maxNameLength)
	case r.Weight < 1 || r.Weight > maxWeight:
		return fmt.Errorf("weight %d of %s is out of range 1 to %d", r.Weight, r.Name, maxWeight)
	case len(r.Notice) > maxNoticeLength:
		return fmt.Errorf("notice of %s is longer than %d bytes", r.Name, maxNoticeLength)
	case r.Kind == pb.RowKind_ROW_KIND_DATA_CENTRE && r.Region == "":
		return fmt.Errorf("data centre %s has no region", r.Name)
	case r.Out && r.Kind != pb.RowKind_ROW_KIND_DATA_CENTRE:
		return fmt.Errorf("only a data centre can be out of service, %s is none", r.Name)
	}
	return checkQuota(r)
}

func checkQuota(r *pb.Row) error {
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
	return strings.IndexFunc(s, func(c rune) bool { return !nameRune(c) }) < 0
}

func nameRune(c rune) bool {
	return c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || strings.ContainsRune("-_.", c)
}
