package events

// Events of the schedule's state and its owner.
var (
	StateAppendRetried = define(7001, Warning, "append to the state repeated")
	StoreRecordIgnored = define(7002, Warning, "unknown record in the store ignored")
	OwnershipClaimed   = define(7003, Info, "ownership of the schedule claimed")
	OwnershipLost      = define(7004, Warning, "ownership of the schedule lost")
	OwnerSuspected     = define(7005, Warning, "owner of the schedule suspected")
	OwnerObserved      = define(7006, Info, "owner of the schedule changed")
	ClaimFailed        = define(7007, Warning, "ownership not claimed")
	StateLoaded        = define(7008, Info, "state of the schedule loaded")
	StoreLost          = define(7009, Warning, "store does not answer")
	StoreRegained      = define(7010, Info, "store answers again")
	OwnershipReleased  = define(7011, Info, "ownership of the schedule released")
	LogLinesDropped    = define(7012, Warning, "log lines dropped")
)

// Events of the operator's records.
var (
	OperatorRecordTaken   = define(7101, Info, "operator's record in force")
	OperatorRecordIgnored = define(7102, Warning, "operator's record ignored")
	OperatorFromPeer      = define(7103, Info, "operator's records taken from a peer")
	OperatorReread        = define(7104, Warning, "operator's records read anew")
	SettingsReloaded      = define(7105, Info, "settings file read again")
)

// Events of jobs.
var (
	JobStored         = define(7201, Info, "job stored and accepted")
	JobRejected       = define(7202, Info, "job rejected")
	JobAnswered       = define(7203, Info, "request of a client answered")
	JobEnded          = define(7204, Info, "job ended")
	JobForgotten      = define(7205, Info, "ended job forgotten")
	TaskGranted       = define(7206, Info, "run granted to a worker")
	RunEnded          = define(7207, Info, "run ended")
	RunNotStarted     = define(7208, Warning, "run did not start")
	RunLost           = define(7209, Warning, "run lost with its worker")
	RunStopOrdered    = define(7210, Info, "stop of a run ordered")
	RunUnknown        = define(7211, Warning, "worker lists a run that was not granted")
	ScheduleState     = define(7213, Info, "state of the schedule")
	RunMoved          = define(7214, Info, "slowed run stopped to go on elsewhere")
	StaleOrderDropped = define(7215, Warning, "start order dropped, its run is no longer granted")
	RunOrderedAgain   = define(7212, Warning, "order repeated for a run that the worker does not list")
)

// Events of agents and workers.
var (
	AgentAttached     = define(7301, Info, "agent attached")
	AgentDetached     = define(7302, Warning, "agent detached")
	WorkerSeen        = define(7303, Info, "worker registered")
	WorkerDraining    = define(7304, Info, "worker is draining")
	WorkerGone        = define(7305, Warning, "worker is gone")
	HeartbeatRejected = define(7306, Warning, "heartbeat of a worker rejected")
	OwnerAttached     = define(7307, Info, "attached to the owner")
	OwnerDetached     = define(7308, Warning, "connection to the owner lost")
	StartAnswered     = define(7309, Info, "start answered by the worker")
	StartUnanswered   = define(7310, Warning, "start not answered by the worker")
	StopUnanswered    = define(7311, Warning, "stop not answered by the worker")
	HoldUnanswered    = define(7312, Warning, "worker does not answer")
	HoldAnswered      = define(7313, Info, "worker answers again")
	RunPaced          = define(7314, Info, "pace of a run changed")
	StaleOwnerIgnored = define(7315, Warning, "orders of an older owner ignored")
	WorkerSuspected   = define(7316, Warning, "worker set aside")
	AgentRelayed      = define(7318, Info, "agent passed on to the owner")
	AdviceUnanswered  = define(7321, Warning, "placement policy did not answer")
	AdviceTaken       = define(7322, Info, "placement policy answered")
	PaceUnanswered    = define(7319, Warning, "pace not taken by the worker")
)
