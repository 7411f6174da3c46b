package pick

import (
	"math/rand/v2"
	"time"

	"chervilridge/internal/membership"
)

// Policy picks one of the candidates, of which there is at least one. It is
// safe for concurrent use and keeps no reference to the slice.
type Policy interface {
	Name() string
	Pick(candidates []*membership.Member, now time.Time) Decision
}

// Decision is a policy's choice with the comparison that led to it.
type Decision struct {
	Member *membership.Member
	// Score is what the policy compared, lower being better; 0 if it compares nothing.
	Score float64
	// RunnerUp is the best member compared that was not chosen, or nil.
	RunnerUp      *membership.Member
	RunnerUpScore float64
}

// Rand is a source of random numbers. It must be safe for concurrent use if
// the policy is used so.
type Rand interface {
	IntN(n int) int
}

// SharedRand is the random source of the process, safe for concurrent use.
type SharedRand struct{}

// IntN implements Rand.
func (SharedRand) IntN(n int) int { return rand.IntN(n) }
