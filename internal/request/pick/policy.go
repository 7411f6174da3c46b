package pick

import (
	"math/rand/v2"
	"time"

	"chervilridge/internal/membership"
)

// Policy is a routing policy. Implementations are safe for concurrent use.
type Policy interface {
	Name() string
	// Pick chooses one of the candidates, of which there is at least one. It keeps no
	// reference to the slice.
	Pick(candidates []*membership.Member, now time.Time) Decision
}

// Decision is a policy's choice and the comparison behind it.
type Decision struct {
	Member *membership.Member
	// Score is the score of Member; lower is better. It is 0 if the policy compares no
	// scores.
	Score float64
	// RunnerUp is the member with the next best score, or nil if none was compared.
	RunnerUp      *membership.Member
	RunnerUpScore float64
}

// Rand is a source of random numbers. It must be safe for concurrent use if its policy is
// used concurrently.
type Rand interface {
	IntN(n int) int
}

// SharedRand is the process-wide source of math/rand/v2, safe for concurrent use.
type SharedRand struct{}

// IntN implements Rand.
func (SharedRand) IntN(n int) int { return rand.IntN(n) }
