package events

// Events of endpoint announcements, endpoint leases and the list of entries.
var (
	EndpointJoined       = define(2001, Info, "endpoint joined")
	EndpointLeaving      = define(2002, Info, "endpoint leaving")
	EndpointExpired      = define(2003, Warning, "endpoint lease expired")
	AnnounceFailed       = define(2004, Warning, "announcement to an entry failed")
	EntryDiscovered      = define(2005, Info, "entry discovered")
	MostEndpointsExpired = define(2007, Warning, "most endpoint leases of a service expired, expired endpoints are still used")

	ConnectionUnresponsive = define(2011, Warning, "connection dropped, peer did not answer heartbeats")
	EntryExpired           = define(2012, Info, "entry lease expired, entry removed")
	EnoughEndpointsLive    = define(2013, Info, "enough endpoint leases of a service valid, expired endpoints no longer used")
	PeerEntryFailed        = define(2014, Warning, "call to a peer entry failed")
)
