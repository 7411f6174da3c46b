package operator

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"
	"k8s.io/klog/v2"

	"chervilridge/platform"
)

// oddRecords returns records of another writer among the operator's, by key.
func oddRecords() map[string]string {
	nested := strings.Repeat("[", 100_000) + strings.Repeat("]", 100_000)
	return map[string]string{
		"wave/1": nested, "wave/2": `{"wave":1e400}`, "wave/3": "\xff", "wave/4": `{"cap":` + strings.Repeat("9", 1<<20) + `}`,
		"config": `{"version":99999999999999999999,"routes":[]}`, "other": nested, "": "x", "evacuate/": "{}", "wave/": "{}",
		"evacuate/\xff": "{}", "\xff\xfe": "x", "wave/\xff": "{}",
	}
}

func TestOddRecordLeavesTheOthers(t *testing.T) {
	for key, value := range oddRecords() {
		t.Run(fmt.Sprintf("%.20q", key), func(t *testing.T) {
			f, server := startFollower(t, nil)
			server.State.Put(platform.OperatorTopic, "config", configWithVersion("1"))
			waitFor(t, "version 1", func() bool { return f.configVersion() == 1 })
			server.State.Put(platform.OperatorTopic, key, []byte(value))
			server.State.Put(platform.OperatorTopic, "evacuate/pnw-a", []byte("{}"))
			waitFor(t, "the evacuation", func() bool { return f.View().Evacuated["pnw-a"] })
			assert.Equal(t, f.configVersion(), int64(1))
			assert.Equal(t, len(f.View().Evacuated), 1)
			assert.Equal(t, len(f.View().Waves), 0)
			_, err := proto.Marshal(f.RecordsSince(-1))
			assert.NilError(t, err, "the records can't be sent to a peer")
			server.State.Put(platform.OperatorTopic, "config", configWithVersion("2"))
			waitFor(t, "version 2", func() bool { return f.configVersion() == 2 })
		})
	}
}

func TestOddRecordIsLoggedOnce(t *testing.T) {
	const maxLineBytes = 2000
	out := &bytes.Buffer{}
	restore := klog.CaptureState()
	klog.LogToStderr(false)
	klog.SetOutput(out)
	defer restore.Restore()
	f := NewFollower(nil, nil)
	for offset, value := range []string{"[", "[", `{"wave":` + strings.Repeat("9", 1<<20) + `}`} {
		f.apply([]platform.Record{{Offset: int64(2 * offset), Key: "wave/1", Value: []byte(value)}}, int64(2*offset+1), nil)
		f.apply([]platform.Record{{Offset: int64(2*offset + 1), Key: "evacuate/a", Value: []byte("{}")}}, int64(2*offset+2), nil)
		klog.Flush()
		assert.Equal(t, strings.Count(out.String(), "malformed"), offset+1, "%.500s", out)
	}
	for line := range strings.Lines(out.String()) {
		assert.Assert(t, len(line) <= maxLineBytes, "%d bytes", len(line))
	}
}
