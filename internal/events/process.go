package events

// Events of the start and stop of a process.
var (
	ProcessStarted     = define(9001, Info, "process started")
	ProcessStopping    = define(9002, Info, "process stopping")
	ProcessStopped     = define(9003, Info, "process stopped")
	GracefulStopFailed = define(9004, Warning, "graceful stop failed or timed out")
	ClientsRefused     = define(9005, Warning, "clients refused or disconnected to stay within memory and descriptors")
)
