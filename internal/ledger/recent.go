package ledger

import "github.com/cespare/xxhash/v2"

// recentRecords is how many of the newest record ids a reader remembers. An
// append that is repeated, or lands late, is found within so many records of
// its stream; beyond that only the record's own precondition voids it.
const recentRecords = 1024

// acceptedBit of a remembered hash tells whether the record was accepted.
const acceptedBit = 1

// recentIDs remembers the newest records of a stream and their verdicts. It is
// part of the replayed state, so that all readers remember the same.
type recentIDs struct {
	ring  []uint64 // oldest first, from at on once it is full
	at    int
	known map[uint64]bool // by hash without the accepted bit
}

func newRecentIDs(oldestFirst []uint64) *recentIDs {
	r := &recentIDs{known: map[uint64]bool{}}
	for _, h := range oldestFirst {
		r.add(h)
	}
	return r
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) &^ acceptedBit }

// lookup returns whether a record was seen, and then whether it was accepted.
func (r *recentIDs) lookup(id string) (accepted, seen bool) {
	accepted, seen = r.known[hashID(id)]
	return accepted, seen
}

// note remembers the verdict on a record.
func (r *recentIDs) note(id string, accepted bool) {
	h := hashID(id)
	if accepted {
		h |= acceptedBit
	}
	r.add(h)
}

func (r *recentIDs) add(h uint64) {
	r.known[h&^acceptedBit] = h&acceptedBit != 0
	if len(r.ring) < recentRecords {
		r.ring = append(r.ring, h)
		return
	}
	delete(r.known, r.ring[r.at]&^acceptedBit)
	r.ring[r.at] = h
	r.at = (r.at + 1) % recentRecords
}

// oldestFirst returns the hashes in the order that newRecentIDs takes.
func (r *recentIDs) oldestFirst() []uint64 {
	out := make([]uint64, 0, len(r.ring))
	out = append(out, r.ring[r.at:]...)
	return append(out, r.ring[:r.at]...)
}
