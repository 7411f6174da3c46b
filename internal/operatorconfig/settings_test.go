package operatorconfig

import (
	"reflect"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

func TestQueueIsRestoredFromItsSettings(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		q := rapid.Make[Queue]().Draw(t, "queue")
		got := RestoreQueue(q.Name, q.Settings())
		q.Host, q.PathPrefix, q.Timeout = "", "", 0
		assert.Assert(t, reflect.DeepEqual(*got, q), "got %+v, want %+v", *got, q)
	})
}
