package events

// Events of the request path.
var (
	RequestRouted          = define(1001, Info, "request routed")
	RequestAnswered        = define(1002, Info, "request answered")
	RequestFailed          = define(1003, Info, "API request failed")
	RequestRetried         = define(1004, Info, "request retried on another endpoint")
	RequestOutcomeUnknown  = define(1005, Warning, "request outcome unknown")
	RequestOutcomeResolved = define(1006, Info, "request outcome resolved over a new connection")
	AnswerInvalid          = define(1007, Warning, "answer rejected: incomplete, corrupted or for another request")
	KeyAlreadyClaimed      = define(1008, Info, "idempotency key already claimed by another request")
	EndpointEjected        = define(1021, Warning, "endpoint ejected after hand-off failures or a rejection")
	EjectionLimitExceeded  = define(1022, Warning, "ejection limit exceeded, some failing endpoints are used anyway")
	EjectionLimitRestored  = define(1023, Info, "failing endpoints within the ejection limit again")
	RequestExecuted        = define(1101, Info, "request executed by the endpoint")
	RequestRejected        = define(1102, Info, "request rejected by the agent")
)

// Events of request delivery to agents and endpoints, and of idempotency keys.
var (
	RequestNotSent   = define(1041, Warning, "no connection to the agent, request not sent")
	KeyAnswerFetched = define(1043, Info, "answer fetched from the request that holds the idempotency key")
	KeyReleased      = define(1044, Info, "idempotency key released")
	KeyReleaseFailed = define(1045, Warning, "idempotency key could not be released")
	RequestPanicked  = define(1046, Error, "agent panicked while running a request")
	AnswerTooLarge   = define(1047, Warning, "endpoint answer exceeds the size limit, discarded")
	RequestIDReused  = define(1048, Warning, "request id reused by a different request, rejected")
	OutcomeExpired   = define(1049, Info, "queried request outcome no longer kept")
	RequestOverran   = define(1050, Info, "endpoint still running a request past its deadline")
)
