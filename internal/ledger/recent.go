package ledger

import "github.com/cespare/xxhash/v2"

// recentRecords is how many of the newest record ids a reader remembers. An
// append that is repeated, or lands late, is found within so many records of
// its stream; beyond that only the record's own precondition voids it.
const recentRecords = 1024

// recentIDs remembers the newest record ids of a stream. It is part of the
// replayed state, so that all readers remember the same ids.
type recentIDs struct {
	ring  []uint64 // oldest first, from at on once it is full
	at    int
	known map[uint64]bool
}

func newRecentIDs(oldestFirst []uint64) *recentIDs {
	r := &recentIDs{known: map[uint64]bool{}}
	for _, h := range oldestFirst {
		r.add(h)
	}
	return r
}

// note takes an id in and reports whether it was there already.
func (r *recentIDs) note(id string) bool {
	h := xxhash.Sum64String(id)
	if r.known[h] {
		return true
	}
	r.add(h)
	return false
}

func (r *recentIDs) add(h uint64) {
	r.known[h] = true
	if len(r.ring) < recentRecords {
		r.ring = append(r.ring, h)
		return
	}
	delete(r.known, r.ring[r.at])
	r.ring[r.at] = h
	r.at = (r.at + 1) % recentRecords
}

// oldestFirst returns the hashes in the order that newRecentIDs takes.
func (r *recentIDs) oldestFirst() []uint64 {
	out := make([]uint64, 0, len(r.ring))
	out = append(out, r.ring[r.at:]...)
	return append(out, r.ring[:r.at]...)
}
