// Package shardowners keeps the newest known owner of each shard, and a digest
// by which two processes find out whether they know the same.
package shardowners

import (
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
)

// Book is safe for concurrent use; one lock guards it. The owners that it
// returns must not be changed.
type Book struct {
	mu     sync.Mutex
	owners map[uint32]*pb.ShardOwner
	list   []*pb.ShardOwner // by shard
	digest uint64
}

// New returns a book that knows no owner.
func New() *Book { return &Book{owners: map[uint32]*pb.ShardOwner{}} }

// Owner returns the newest owner known of a shard, or nil.
func (b *Book) Owner(shard uint32) *pb.ShardOwner {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.owners[shard]
}

// Learn takes the owners that are newer than the known ones.
func (b *Book) Learn(owners []*pb.ShardOwner) {
	b.mu.Lock()
	defer b.mu.Unlock()
	changed := false
	for _, o := range owners {
		if held := b.owners[o.Shard]; held != nil && held.Epoch >= o.Epoch {
			continue
		}
		b.owners[o.Shard] = o
		changed = true
		events.OwnerLearned.Log("shard", o.Shard, "epoch", o.Epoch, "agent", o.Agent)
	}
	if changed {
		b.index()
	}
}

// index rebuilds list and digest. Readers may hold the old list, so a new one
// is made.
func (b *Book) index() {
	b.list = make([]*pb.ShardOwner, 0, len(b.owners))
	for _, o := range b.owners {
		b.list = append(b.list, o)
	}
	slices.SortFunc(b.list, func(x, y *pb.ShardOwner) int { return int(x.Shard) - int(y.Shard) })
	d := xxhash.New()
	for _, o := range b.list {
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, uint64(o.Shard)))
		_, _ = d.Write(binary.LittleEndian.AppendUint64(nil, o.Epoch))
	}
	b.digest = d.Sum64()
}

// List returns the owners of all shards with a known one, by shard.
func (b *Book) List() []*pb.ShardOwner {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.list
}

// Digest returns a digest of all shards with their epochs; 0 if none is known.
func (b *Book) Digest() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.digest
}

// Unknown returns what a process with the digest may lack: nothing if it knows
// the same, else all.
func (b *Book) Unknown(digest uint64) []*pb.ShardOwner {
	b.mu.Lock()
	defer b.mu.Unlock()
	if digest == b.digest {
		return nil
	}
	return b.list
}
