package shardowners

import (
	"testing"

	"gotest.tools/v3/assert"

	pb "chervilridge/api/chervil/v1"
)

func owner(shard uint32, epoch uint64, agent string) *pb.ShardOwner {
	return &pb.ShardOwner{Shard: shard, Epoch: epoch, Agent: agent}
}

func TestOlderEpochIsIgnored(t *testing.T) {
	b := New()
	b.Learn([]*pb.ShardOwner{owner(1, 5, "new"), owner(0, 1, "x")})
	b.Learn([]*pb.ShardOwner{owner(1, 4, "old")})
	assert.Equal(t, b.Owner(1).Agent, "new")
	assert.Equal(t, b.List()[0].Shard, uint32(0))
}

func TestOnlyWhoKnowsOtherwiseIsTold(t *testing.T) {
	entry, agent := New(), New()
	assert.Equal(t, len(entry.Unknown(agent.Digest())), 0)
	entry.Learn([]*pb.ShardOwner{owner(0, 1, "a"), owner(1, 1, "b")})
	assert.Equal(t, len(entry.Unknown(agent.Digest())), 2)
	agent.Learn(entry.Unknown(agent.Digest()))
	assert.Equal(t, len(entry.Unknown(agent.Digest())), 0)
	entry.Learn([]*pb.ShardOwner{owner(1, 2, "c")})
	assert.Equal(t, len(entry.Unknown(agent.Digest())), 2)
}
