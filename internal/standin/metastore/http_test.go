package metastore

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestFaultsKeepTheirJSONNames guards the names in the body of PUT /standin/faults. They are
// part of the stand-in's HTTP API, and some differ from the names of the fields.
func TestFaultsKeepTheirJSONNames(t *testing.T) {
	const text = `{"Down":true,"Silent":true,"Delay":1000000,"LostShare":0.25,"Late":2000000000,"Refused":{"entry-1":true}}`
	var got Faults
	assert.NilError(t, json.Unmarshal([]byte(text), &got))
	assert.DeepEqual(t, got, Faults{
		Down: true, Unresponsive: true, Delay: time.Millisecond, LostResponseShare: 0.25, LostAppendDelay: 2 * time.Second,
		RejectedCallers: map[string]bool{"entry-1": true},
	})
	encoded, err := json.Marshal(got)
	assert.NilError(t, err)
	assert.Equal(t, string(encoded), text)
}
