package ledger

// SplitState gives tests the parts of a state.
var SplitState = splitState

// SetRandom replaces the source of waits.
func (s *Snapshotter) SetRandom(random func() float64) { s.random = random }

// Mismatch reports whether the follower found a snapshot that differs from its
// state while do ran.
func Mismatch[M Machine](f *Follower[M], do func()) bool {
	read := func() uint64 {
		f.mu.RLock()
		defer f.mu.RUnlock()
		return f.mismatches
	}
	before := read()
	do()
	return read() > before
}
