package events

// Events of a process's own life.
var (
	ProcessStarted  = define(9001, Info, "process started")
	ProcessStopping = define(9002, Info, "process stopping")
	ProcessStopped  = define(9003, Info, "process stopped")
	StopTimedOut    = define(9004, Warning, "planned stop ended before all work was finished")
)
