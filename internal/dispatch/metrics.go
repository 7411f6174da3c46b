package dispatch

import (
	"sync/atomic"
	"time"

	"github.com/uber-go/tally/v4"
)

// timer records durations into a histogram; it drops them until RegisterMetrics was
// called.
type timer struct {
	t atomic.Pointer[tally.Histogram]
}

func (t *timer) observe(d time.Duration) {
	if h := t.t.Load(); h != nil {
		(*h).RecordDuration(d)
	}
}

var planTime, startDelay, forecastEarly, forecastLate timer

// counter counts events by a tag; it drops them until RegisterMetrics was called.
type counter struct {
	name, tag string
	scope     atomic.Pointer[tally.Scope]
}

func (c *counter) increment(value string) {
	if s := c.scope.Load(); s != nil {
		(*s).Tagged(map[string]string{c.tag: value}).Counter(c.name).Inc(1)
	}
}

var (
	workerCrashes   = counter{name: "worker_crashes", tag: "service"}
	taskSuspects    = counter{name: "crash_suspects", tag: "queue"}
	suspectsCleared = counter{name: "crash_suspects_cleared", tag: "queue"}
	tasksGivenUp    = counter{name: "tasks_given_up", tag: "queue"}
	jobsRefused     = counter{name: "jobs_refused", tag: "reason"}
	reservations    = counter{name: "reservations", tag: "outcome"}
	obstructedTasks = counter{name: "obstructed_tasks", tag: "obstacle"}
)

const (
	firstBucket  = time.Millisecond
	bucketFactor = 2
	bucketCount  = 14
	// Errors of forecasts range up to the time after which a job is of no use: 100 ms to 51 s.
	firstErrorBucket = 100 * time.Millisecond
	errorBucketCount = 10
)

// RegisterMetrics registers the engine's metrics with the scope.
func RegisterMetrics(scope tally.Scope) {
	buckets := tally.MustMakeExponentialDurationBuckets(firstBucket, bucketFactor, bucketCount)
	for name, t := range map[string]*timer{"plan_time": &planTime, "start_delay": &startDelay} {
		h := scope.Histogram(name, buckets)
		t.t.Store(&h)
	}
	for _, c := range []*counter{&workerCrashes, &taskSuspects, &suspectsCleared, &tasksGivenUp, &jobsRefused, &reservations, &obstructedTasks} {
		c.scope.Store(&scope)
	}
	errorBuckets := tally.MustMakeExponentialDurationBuckets(firstErrorBucket, bucketFactor, errorBucketCount)
	for direction, t := range map[string]*timer{"early": &forecastEarly, "late": &forecastLate} {
		h := scope.Tagged(map[string]string{"direction": direction}).Histogram("forecast_error", errorBuckets)
		t.t.Store(&h)
	}
}
