package events

// Events of the log, its replay and the table.
var (
	LogUnreachable    = define(3001, Warning, "log unreachable")
	LogReachable      = define(3002, Info, "log reachable again")
	AppendUnknown     = define(3003, Warning, "outcome of an append unknown, reading back")
	AppendResolved    = define(3004, Info, "outcome of an append resolved by reading back")
	RecordRejected    = define(3005, Info, "record rejected by replay")
	ReplayGap         = define(3006, Fault, "records trimmed before they were read, reloading")
	SnapshotWritten   = define(3007, Info, "snapshot written")
	SnapshotRestored  = define(3008, Info, "snapshot restored")
	SnapshotMismatch  = define(3009, Fault, "snapshot differs from the replayed state")
	RecordMalformed   = define(3010, Fault, "malformed record skipped")
	TableChanged      = define(3101, Info, "table change in force")
	TableChangeLost   = define(3102, Info, "table change lost to another operator")
	DataCentreOut     = define(3103, Info, "data centre out of service")
	DataCentreBack    = define(3104, Info, "data centre back in service")
	RestoredFromPeer  = define(3011, Warning, "state taken from a peer while the log is down")
	SnapshotForgotten = define(3012, Warning, "incomplete snapshot ignored")
)
