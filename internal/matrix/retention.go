package matrix

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/ident"
	"chervilridge/internal/ledger"
)

// logNow is the clock of the log, which can jump ahead.
func (c *cluster) logNow() time.Time { return time.Now().Add(time.Duration(c.jumped.Load())) }

// forget lets the log's clock jump beyond the retention and leaves a snapshot of
// both streams, so that all that came before it is gone. A node that has read all
// of it has no gap; then the cell does not count.
func (c *cluster) forget(n *node) error {
	c.gap.Store(n.state.Next() < c.state.Next())
	c.jumped.Add(int64(2 * retention))
	if err := writeSnapshot(c, c.state); err != nil {
		return err
	}
	return writeSnapshot(c, c.rows)
}

func writeSnapshot[M ledger.Machine](c *cluster, f *ledger.Follower[M]) error {
	covers, data, err := consistent(f)
	if err != nil {
		return err
	}
	payload, err := proto.Marshal(&pb.Batch{Records: []*pb.Record{{
		Id: ident.New(), Author: "observer",
		Body: &pb.Record_SnapshotPart{SnapshotPart: &pb.SnapshotPart{
			SnapshotId: ident.New(), Covers: covers, Parts: 1, Data: data, Digest: xxhash.Sum64(data),
		}},
	}}})
	if err != nil {
		return err
	}
	_, err = c.store.Append(context.Background(), f.Stream(), payload)
	return err
}

// consistent returns a state with the offset that it covers.
func consistent[M ledger.Machine](f *ledger.Follower[M]) (uint64, []byte, error) {
	for {
		var data []byte
		var err error
		before := f.Next()
		f.View(func(m M) { data, err = m.Snapshot() })
		if err != nil || f.Next() == before {
			return before, data, err
		}
	}
}
