package events

// Events of announcements and leases.
var (
	EndpointJoined  = define(2001, Info, "endpoint joined")
	EndpointLeaving = define(2002, Info, "endpoint leaving")
	EndpointExpired = define(2003, Warning, "endpoint lease expired")
	AnnounceFailed  = define(2004, Warning, "announcement to an entry failed")
	EntryLearned    = define(2005, Info, "entry learned")
	MembershipDoubt = define(2007, Warning, "most endpoints expired at once, keeping them in doubt")

	ConnectionSilent = define(2011, Warning, "connection silent, dropped")
	EntryForgotten   = define(2012, Info, "entry forgotten")
	DoubtEnded       = define(2013, Info, "most endpoints are back, doubt ended")
	PeerEntryFailed  = define(2014, Warning, "another entry did not answer")
)
