package pick

// Names of the policies, as used in the entry's settings.
const (
	NameRandom             = "random"
	NameRoundRobin         = "round-robin"
	NameTwoChoices         = "two-choices"
	NameTwoChoicesReported = "two-choices-reported"
	NameIdleFirst          = "idle-first"
	NameLeastInFlight      = "least-in-flight"
	NameLeastLoaded        = "least-loaded"
	NameLeastTime          = "least-time"
	NameNearTwoChoices     = "near-two-choices"
	NameNearLeastTime      = "near-least-time"
)

// PolicyNames returns the names of all policies.
func PolicyNames() []string {
	return []string{
		NameRandom, NameRoundRobin, NameTwoChoices, NameTwoChoicesReported, NameIdleFirst,
		NameLeastInFlight, NameLeastLoaded, NameLeastTime, NameNearTwoChoices, NameNearLeastTime,
	}
}

// NewPolicy returns the policy with the given name, or nil if there is none. Only the
// near-* policies take distance into account.
func NewPolicy(name string, rand Rand, distance Distance) Policy {
	switch name {
	case NameRandom:
		return Random{Rand: rand}
	case NameRoundRobin:
		return &RoundRobin{}
	case NameTwoChoices:
		return &TwoChoices{name: name, rand: rand, score: OwnLoad}
	case NameTwoChoicesReported:
		return &TwoChoices{name: name, rand: rand, score: ReportedLoad}
	case NameIdleFirst:
		return &LowestScore{name: name, score: BusyLoad}
	case NameLeastInFlight:
		return &LowestScore{name: name, score: OwnLoad}
	case NameLeastLoaded:
		return &LowestScore{name: name, score: ReportedLoad}
	case NameLeastTime:
		return &LowestScore{name: name, score: Distance{}.ExpectedTime}
	case NameNearTwoChoices:
		return &TwoChoices{name: name, rand: rand, score: distance.ExpectedTime}
	case NameNearLeastTime:
		return &LowestScore{name: name, score: distance.ExpectedTime}
	}
	return nil
}
