package ledger

// SplitState exports splitState.
var SplitState = splitState

// SetRandom replaces the random source of the delays before a write.
func (s *Snapshotter) SetRandom(random func() float64) { s.random = random }

// Mismatch reports whether, while do ran, the follower read a snapshot that differs
// from its own state.
func Mismatch[M StateMachine](f *Follower[M], do func()) bool {
	read := func() uint64 {
		f.mu.RLock()
		defer f.mu.RUnlock()
		return f.snapshotMismatches
	}
	before := read()
	do()
	return read() > before
}
