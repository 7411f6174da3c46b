package ledger

import "github.com/cespare/xxhash/v2"

// maxRecentIDs is the number of newest record ids that a reader remembers. A
// record that is appended again, or lands late, within this many records is
// detected as a duplicate. Beyond that, only the record's own precondition can
// reject it.
const maxRecentIDs = 1024

// acceptedBit is set in a remembered hash if the record was accepted.
const acceptedBit = 1

// recentIDs remembers the ids of the newest records of a stream and whether each
// was accepted. It is part of the replayed state, so all readers detect the same
// duplicates.
type recentIDs struct {
	ring           []uint64        // hashes of ids; once full, the oldest is at start
	start          int             // index of the oldest hash; 0 until the ring is full
	acceptedByHash map[uint64]bool // keyed by the hash without the accepted bit
}

func newRecentIDs(oldestFirst []uint64) *recentIDs {
	r := &recentIDs{acceptedByHash: map[uint64]bool{}}
	for _, h := range oldestFirst {
		r.add(h)
	}
	return r
}

func hashID(id string) uint64 { return xxhash.Sum64String(id) &^ acceptedBit }

// lookup reports whether a record was seen, and if so, whether it was accepted.
func (r *recentIDs) lookup(id string) (accepted, seen bool) {
	accepted, seen = r.acceptedByHash[hashID(id)]
	return accepted, seen
}

// remember adds a record and drops the oldest one once the ring is full.
func (r *recentIDs) remember(id string, accepted bool) {
	h := hashID(id)
	if accepted {
		h |= acceptedBit
	}
	r.add(h)
}

func (r *recentIDs) add(h uint64) {
	r.acceptedByHash[h&^acceptedBit] = h&acceptedBit != 0
	if len(r.ring) < maxRecentIDs {
		r.ring = append(r.ring, h)
		return
	}
	delete(r.acceptedByHash, r.ring[r.start]&^acceptedBit)
	r.ring[r.start] = h
	r.start = (r.start + 1) % maxRecentIDs
}

// oldestFirst returns the hashes in the order that newRecentIDs expects.
func (r *recentIDs) oldestFirst() []uint64 {
	out := make([]uint64, 0, len(r.ring))
	out = append(out, r.ring[r.start:]...)
	return append(out, r.ring[:r.start]...)
}
