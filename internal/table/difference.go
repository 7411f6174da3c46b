package table

import (
	"fmt"
	"strings"

	pb "chervilridge/api/chervil/v1"
)

// DescribeDifferences lists the columns, except version, in which the current row differs from
// the proposed one, as a suffix for a rejection's detail. It is empty if a row is nil.
func DescribeDifferences(current, proposed *pb.Row) string {
	if current == nil || proposed == nil {
		return ""
	}
	var cells []string
	a, b := encodeRow(current), encodeRow(proposed)
	for i, column := range Columns {
		if column != "version" && a[i] != b[i] {
			cells = append(cells, fmt.Sprintf("%s is %q, not %q", column, a[i], b[i]))
		}
	}
	if len(cells) == 0 {
		return "; the rows are otherwise equal"
	}
	return "; current row: " + strings.Join(cells, ", ")
}
