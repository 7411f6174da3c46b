package table

import (
	"fmt"
	"strings"

	pb "chervilridge/api/chervil/v1"
)

// Differences tells in which cells the row in force differs from a proposed
// one, as the end of a sentence; empty if there is no row or no difference.
func Differences(inForce, proposed *pb.Row) string {
	if inForce == nil || proposed == nil {
		return ""
	}
	var cells []string
	a, b := encodeRow(inForce), encodeRow(proposed)
	for i, column := range Columns {
		if column != "version" && a[i] != b[i] {
			cells = append(cells, fmt.Sprintf("%s is %q, not %q", column, a[i], b[i]))
		}
	}
	if len(cells) == 0 {
		return "; both say the same"
	}
	return "; in force: " + strings.Join(cells, ", ")
}
