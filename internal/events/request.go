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
