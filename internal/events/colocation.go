package events

// Events of the control of batch work beside a service.
var (
	BatchThrottled   = define(6001, Info, "batch attempt throttled")
	BatchRestored    = define(6002, Info, "batch attempt's share restored")
	BatchEvicted     = define(6003, Warning, "batch attempt evicted for the service")
	EvictionSpent    = define(6004, Warning, "eviction wanted, but the budget is spent")
	ColocationUndone = define(6005, Warning, "co-location decision not carried out")
)
