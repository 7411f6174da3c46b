package ownership

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

// Candidacies returns the shards that an agent may own, at most that many of
// them, in order. Each agent follows the log of only these; the choice by hash
// spreads the candidates of a shard over racks and data centres.
func Candidacies(agent string, shards, most uint32) []uint32 {
	all := make([]uint32, shards)
	for i := range all {
		all[i] = uint32(i)
	}
	if shards <= most {
		return all
	}
	slices.SortFunc(all, func(a, b uint32) int { return cmp.Compare(rank(agent, b), rank(agent, a)) })
	mine := all[:most]
	slices.Sort(mine)
	return mine
}

func rank(agent string, shard uint32) uint64 {
	return xxhash.Sum64String(agent + "/" + strconv.FormatUint(uint64(shard), 10))
}
