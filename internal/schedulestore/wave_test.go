package schedulestore

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/boottime"
	"chervilridge/internal/standin/metastore"
	"chervilridge/platform"
)

// Guards against a completed wave that is shown as running: the store executes the earlier state later.
func TestLateStateOfAWaveDoesNotReplaceItsCompletion(t *testing.T) {
	const late = 300 * time.Millisecond
	for name, completedBy := range map[string]uint64{"same owner": 1, "next owner": 2} {
		t.Run(name, func(t *testing.T) {
			state := metastore.NewState()
			faulty := metastore.NewServer(state, 1)
			server := httptest.NewServer(faulty.Handler("entry"))
			t.Cleanup(server.Close)
			store := platform.NewStore(strings.TrimPrefix(server.URL, "http://"))
			first := NewWavePublisher(store, boottime.Now)
			faulty.SetFaults(metastore.Faults{LostResponseShare: 1, LostAppendDelay: late})
			ctx, cancel := context.WithTimeout(context.Background(), late/3)
			defer cancel()
			assert.ErrorIs(t, first.Publish(ctx, 1, "7", false), context.DeadlineExceeded)
			faulty.SetFaults(metastore.Faults{})
			last := first
			if completedBy != 1 {
				last = NewWavePublisher(store, boottime.Now) // of another process
			}
			assert.NilError(t, last.Publish(context.Background(), completedBy, "7", true))
			time.Sleep(2 * late)
			assert.Equal(t, string(state.Value(platform.StatusTopic, "wave/7")), `{"state":"completed"}`)
			if completedBy != 1 {
				assert.ErrorIs(t, first.Publish(context.Background(), 1, "7", false), ErrFenced)
			}
		})
	}
}

// Guards against a wave whose state is not published because another one's outcome is unknown.
func TestUnansweredStateOfAWaveDoesNotHoldUpAnother(t *testing.T) {
	store := &scriptedStore{script: []func(context.Context) error{silent, stored}}
	p := NewWavePublisher(store, boottime.Now)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	assert.ErrorIs(t, p.Publish(ctx, 1, "7", false), context.DeadlineExceeded)
	assert.NilError(t, p.Publish(context.Background(), 1, "8", false))
	assert.NilError(t, p.Publish(context.Background(), 1, "7", true))
	calls := store.calls[len(store.calls)-2:]
	assert.Equal(t, string(calls[0].Records[0].Value), `{"state":"running"}`, "the unanswered state comes first")
	assert.Equal(t, calls[0].Producer.Sequence+1, calls[1].Producer.Sequence)
}
