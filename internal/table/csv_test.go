package table

import (
	"bytes"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/fault"
)

func TestCSVKeepsEveryCell(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		name := rapid.StringMatching(`[a-z][a-z0-9_.-]{0,20}`)
		row := &pb.Row{
			Kind: pb.RowKind(rapid.IntRange(1, 5).Draw(t, "kind")), Name: name.Draw(t, "name"),
			Team: name.Draw(t, "team"), Region: name.Draw(t, "region"),
			Weight: rapid.Uint32Range(1, maxWeight).Draw(t, "weight"), Limit: rapid.Uint32Range(0, 1<<20).Draw(t, "limit"),
			Quota:   &pb.Resources{CpuMilli: rapid.Int64Range(0, 1<<30).Draw(t, "cpu")},
			Urgent:  rapid.Bool().Draw(t, "urgent"),
			Notice:  rapid.StringMatching(`([a-z,";]+ ?)*[a-z]`).Draw(t, "notice"),
			Version: rapid.Uint64Range(0, 1<<30).Draw(t, "version"),
		}
		var out bytes.Buffer
		assert.NilError(t, WriteCSV(&out, []*pb.Row{row}))
		back, err := ReadCSV(&out)
		assert.NilError(t, err)
		assert.Assert(t, proto.Equal(back[0], row), "%v != %v", back[0], row)
	})
}

func TestCSVNamesEveryMistakeWithItsLine(t *testing.T) {
	_, err := ReadCSV(strings.NewReader("kind,name,weight\nservice,a,0\nplanet,b,1\nservice,c,1\nservice,d,x\n"))
	assert.Assert(t, fault.Is(err, fault.CodeBadRequest))
	for _, want := range []string{"line 2: weight 0", `line 3: kind "planet"`, `line 5: weight "x"`} {
		assert.ErrorContains(t, err, want)
	}
}
