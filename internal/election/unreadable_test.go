package election

import (
	"context"
	"fmt"
	"testing"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	chervilv2 "chervilridge/api/chervil/v2"
	"chervilridge/internal/boottime"
	"chervilridge/internal/schedulestore"
	"chervilridge/platform"
)

func TestUnreadableOwnerRecordEndsNoElection(t *testing.T) {
	for _, value := range []string{"\xff\xff", "x", "{}", `{"epoch":1e400}`} {
		t.Run(fmt.Sprintf("%q", value), func(t *testing.T) {
			r := newRig(t, 1)
			// An earlier owner, which no process knows any more, was the newest one.
			assert.NilError(t, schedulestore.NewWriter(r.claims, 7, boottime.Now).Fence(context.Background()))
			r.state.Put(platform.OwnerTopic, "owner", []byte(value))
			r.run()
			r.eventually("owner", func() bool { return r.elector.Engine() != nil })
			assert.Assert(t, r.storedOwner().Epoch > 7, "epoch %d", r.storedOwner().Epoch)
		})
	}
}

// An owner that a peer reaches stays the owner.
func TestUnreadableOwnerRecordReplacesNoReachedOwner(t *testing.T) {
	r := newRig(t, 1)
	owner := &chervilv2.OwnerRecord{Epoch: 7, Node: "entry-2", Address: "127.0.0.1:2", Nonce: "n"}
	r.elector.peers = reachingPeers{owner: owner}
	r.state.Put(platform.OwnerTopic, "owner", []byte("\xff\xff"))
	r.elector.tryClaim(context.Background(), false)
	assert.Assert(t, r.elector.Engine() == nil, "claimed")
	assert.Assert(t, proto.Equal(r.elector.Owner(), owner), "%v", r.elector.Owner())
}

// reachingPeers is one other entry that reaches the owner.
type reachingPeers struct {
	noPeers
	owner *chervilv2.OwnerRecord
}

func (p reachingPeers) Sample(int) []string { return []string{"127.0.0.1:3"} }

func (p reachingPeers) Ping(context.Context, string, *chervilv2.OwnerRecord) (*chervilv2.PingReply, error) {
	return &chervilv2.PingReply{Owner: p.owner}, nil
}
