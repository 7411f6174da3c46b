package ownership

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// TestEveryShardHasCandidates: at the sizes of today every agent may own every
// shard; at the target each shard has many candidates, and an agent few shards.
func TestEveryShardHasCandidates(t *testing.T) {
	const fewest = 50 // candidates of a shard, of which a rack or data centre may go
	assert.DeepEqual(t, Candidacies("agent-1", 4, 4), []uint32{0, 1, 2, 3})
	counts := map[uint32]int{}
	for i := range 4_400 {
		mine := Candidacies(fmt.Sprintf("agent-%d", i), 64, 2)
		assert.Equal(t, len(mine), 2)
		for _, s := range mine {
			counts[s]++
		}
	}
	for s := range uint32(64) {
		assert.Check(t, counts[s] >= fewest, "shard %d has %d candidates", s, counts[s])
	}
}
