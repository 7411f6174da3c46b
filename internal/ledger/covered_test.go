package ledger_test

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ledger"
	"chervilridge/internal/standin/logstore"
	"chervilridge/internal/table"
)

// TestResultOfRecordCoveredByPeerState commits through a follower that has not read
// the log and installs a peer's state that covers the record. The follower never
// replays the record, but its caller must get the result, not "unknown".
func TestResultOfRecordCoveredByPeerState(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		r := newRig(t, logstore.New(logstore.Options{}), unlimitedAppends)
		waitForTail(t, r.follower)
		assert.Assert(t, r.commit(t, putRow("a", 1, 0)).Rejection == nil)
		lagging := ledger.NewFollower(r.store, table.Stream, shortPoll, table.New)
		c := ledger.NewCommitter(r.store, lagging, "behind", unlimitedAppends)
		startLoops(t, c.Run)
		rec := putRow("a", 2, 0)
		if accepted {
			rec = putRow("b", 2, 0)
		}
		result := commitLater(c, rec)
		eventually(t, "record in the log", func() bool { return tailOffset(r.store) == 2 })
		waitCaughtUp(t, r.store, r.follower)
		state, err := r.follower.Export()
		assert.NilError(t, err)
		installed, err := lagging.Seed(state)
		assert.NilError(t, err)
		assert.Assert(t, installed)
		assert.Equal(t, (<-result).Rejection == nil, accepted)
	}
}

// TestResultOfRecordCoveredBySnapshot pauses a follower past the retention while a
// caller waits for a record. The snapshot that the follower then loads covers the
// record, and the caller must get its result.
func TestResultOfRecordCoveredBySnapshot(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{RetainEntries: 20}), unlimitedAppends)
	waitForTail(t, r.follower)
	paused := &pausableLog{Log: r.store}
	lagging := startFollower(t, paused)
	waitForTail(t, lagging)
	c := ledger.NewCommitter(r.store, lagging, "behind", unlimitedAppends)
	startLoops(t, c.Run)
	paused.pause()
	result := commitLater(c, putRow("own", 2, 0))
	eventually(t, "record in the log", func() bool { return tailOffset(r.store) == 1 })
	r.commitRows(t, 0, 30)
	writeParts(t, r, func([]*pb.SnapshotPart) {}, -1)
	paused.resume()
	assert.Assert(t, (<-result).Rejection == nil)
}

// commitLater commits in a goroutine and returns a channel for the result.
func commitLater(c *ledger.Committer, rec *pb.Record) <-chan ledger.ApplyResult {
	out := make(chan ledger.ApplyResult, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
		defer cancel()
		v, err := c.Commit(ctx, rec)
		if err != nil {
			v.Rejection = ledger.Reject("", "%v", err)
		}
		out <- v
	}()
	return out
}
