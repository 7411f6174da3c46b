package events

// Events of announcements and leases.
var (
	EndpointJoined  = define(2001, Info, "endpoint joined")
	EndpointLeaving = define(2002, Info, "endpoint leaving")
	EndpointExpired = define(2003, Warning, "endpoint lease expired")
	AnnounceFailed  = define(2004, Warning, "announcement to an entry failed")
	EntryLearned    = define(2005, Info, "entry learned")
	OwnerLearned    = define(2006, Info, "shard owner learned")
	MembershipDoubt = define(2007, Warning, "most endpoints expired at once, keeping them in doubt")
)
