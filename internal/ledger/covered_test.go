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

// TestVerdictOnARecordThatAPeersStateCovers commits through a reader that has
// not read the log yet and takes a peer's state in which the record is already:
// the caller gets the verdict, not "unknown".
func TestVerdictOnARecordThatAPeersStateCovers(t *testing.T) {
	for _, accepted := range []bool{true, false} {
		r := newRig(t, logstore.New(logstore.Options{}), ample)
		loaded(t, r.follower)
		assert.Assert(t, r.commit(t, putRow("a", 1, 0)).Rejection == nil)
		behind := ledger.NewFollower(r.store, table.Stream, shortPoll, table.New)
		c := ledger.NewCommitter(r.store, behind, "behind", ample)
		start(t, c.Run)
		rec := putRow("a", 2, 0)
		if accepted {
			rec = putRow("b", 2, 0)
		}
		verdict := commitLater(c, rec)
		eventually(t, "record in the log", func() bool { return tail(r.store) == 2 })
		caughtUp(t, r.store, r.follower)
		state, err := r.follower.Export()
		assert.NilError(t, err)
		taken, err := behind.Seed(state)
		assert.NilError(t, err)
		assert.Assert(t, taken)
		assert.Equal(t, (<-verdict).Rejection == nil, accepted)
	}
}

// TestVerdictOnARecordThatASnapshotCovers pauses a reader past the retention
// while its caller waits; the snapshot that it loads covers the record.
func TestVerdictOnARecordThatASnapshotCovers(t *testing.T) {
	r := newRig(t, logstore.New(logstore.Options{RetainEntries: 20}), ample)
	loaded(t, r.follower)
	paused := &gate{Log: r.store}
	behind := follow(t, paused)
	loaded(t, behind)
	c := ledger.NewCommitter(r.store, behind, "behind", ample)
	start(t, c.Run)
	paused.pause()
	verdict := commitLater(c, putRow("own", 2, 0))
	eventually(t, "record in the log", func() bool { return tail(r.store) == 1 })
	r.fill(t, 0, 30)
	writeParts(t, r, func([]*pb.SnapshotPart) {}, -1)
	paused.resume()
	assert.Assert(t, (<-verdict).Rejection == nil)
}

func commitLater(c *ledger.Committer, rec *pb.Record) <-chan ledger.Verdict {
	out := make(chan ledger.Verdict, 1)
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), patience)
		defer cancel()
		v, err := c.Commit(ctx, rec)
		if err != nil {
			v.Rejection = ledger.Reject("", "%v", err)
		}
		out <- v
	}()
	return out
}
