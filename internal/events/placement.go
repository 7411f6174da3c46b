package events

// Events of placement and of what it learns.
var (
	TaskWaits           = define(5301, Info, "task waits for a worker")
	WorkerReserved      = define(5302, Info, "worker held back for a task that has waited long")
	JobStopped          = define(5303, Warning, "job stopped, it fails on several workers")
	InterferenceLearned = define(5304, Info, "interference learned")
	DataCentreRamping   = define(5305, Info, "data centre back, ramping up")
	WorkerProbed        = define(5306, Info, "quarantined worker tried again with one task")
)
