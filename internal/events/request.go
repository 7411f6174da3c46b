package events

// Events of the request path.
var (
	RequestRouted     = define(1001, Info, "request routed")
	RequestAnswered   = define(1002, Info, "request answered")
	RequestRefused    = define(1003, Info, "request refused")
	RequestRetried    = define(1004, Info, "request retried on another endpoint")
	RequestUnresolved = define(1005, Warning, "outcome of a request unknown")
	RequestResolved   = define(1006, Info, "outcome of a request resolved over a new connection")
	AnswerCut         = define(1007, Warning, "answer shorter than announced or altered, not passed on")
	KeyAlreadyClaimed = define(1008, Info, "idempotency key already claimed by another request")
	EndpointEjected   = define(1021, Warning, "endpoint set aside after failed hand-overs")
	EjectionDoubted   = define(1022, Warning, "too many endpoints set aside, using some of them anyway")
	EjectionTrusted   = define(1023, Info, "endpoints set aside are within the ceiling again")
	RequestExecuted   = define(1101, Info, "request executed by the endpoint")
	RequestRejected   = define(1102, Info, "agent refused a request")
)

// Events of the delivery of requests.
var (
	HandOverRefused    = define(1041, Warning, "no connection to the agent, request not handed over")
	KeyAnswerFetched   = define(1043, Info, "answer of the request that holds the idempotency key fetched")
	KeyReleased        = define(1044, Info, "idempotency key released")
	KeyReleaseFailed   = define(1045, Warning, "idempotency key not released")
	CallPanicked       = define(1046, Fault, "call of the endpoint panicked")
	AnswerTooLarge     = define(1047, Warning, "answer of the endpoint larger than the limit, not kept")
	RequestIDReused    = define(1048, Warning, "request id belongs to another request")
	OutcomeForgotten   = define(1049, Info, "outcome asked for is no longer kept")
	OverrunEndpointRun = define(1050, Info, "endpoint still runs a request past its deadline")
)
