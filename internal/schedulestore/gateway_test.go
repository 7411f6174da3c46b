package schedulestore

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"chervilridge/internal/boottime"
	"chervilridge/internal/standin/metastore"
	"chervilridge/platform"
)

// Guards against a job that is rejected although it is stored, and runs.
func TestAppendWithAServerErrorIsResolvedByARepeat(t *testing.T) {
	for _, status := range []int{http.StatusInternalServerError, http.StatusBadGateway, http.StatusGatewayTimeout} {
		state := metastore.NewState()
		store := metastore.NewServer(state, 1).Handler("entry")
		var failing atomic.Bool
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			if !failing.CompareAndSwap(true, false) {
				store.ServeHTTP(w, r)
				return
			}
			store.ServeHTTP(httptest.NewRecorder(), r) // executed, and its answer replaced
			w.WriteHeader(status)
		}))
		w := NewWriter(platform.NewStore(strings.TrimPrefix(server.URL, "http://")), 1, boottime.Now)
		assert.NilError(t, w.Fence(context.Background()))
		failing.Store(true)
		assert.NilError(t, w.Append(context.Background(), recordsOf("a")), "status %d", status)
		assert.NilError(t, w.Append(context.Background(), recordsOf("b")))
		assert.Equal(t, string(state.Value(platform.StateTopic, "a")), "v")
		assert.Equal(t, string(state.Value(platform.StateTopic, "b")), "v")
		server.Close()
	}
}
