// Package operatorconfig holds the operator's configuration: queues, services, limits,
// evacuated data centres and maintenance waves.
package operatorconfig

import (
	"strings"
	"time"
)

// Queue accepts the jobs that are submitted to a host and path prefix, and names the service
// whose workers run them.
type Queue struct {
	Name string
	// ConfigVersion is the version of the configuration that the queue is from.
	ConfigVersion int64

	Host       string
	PathPrefix string
	Service    string
	// Timeout limits the time for handling a caller's request.
	Timeout time.Duration
	// A job's objective is Stretch times the duration of its critical path, plus
	// TargetLatency.
	TargetLatency time.Duration
	Stretch       float64
	// Priority is the rank of the queue; 0 comes first.
	Priority int
	// MaxAttempts is the number of failed runs of a task at which its job fails; 0 means no
	// limit.
	MaxAttempts int
	// Advisor is nil if any worker of the service may run the queue's tasks.
	Advisor *PlacementAdvisor
}

// TicketExpiryMargin is how long before its expiry a ticket is no longer used: starting a run,
// retries included, takes that long.
const TicketExpiryMargin = 500 * time.Millisecond

// PlacementAdvisor describes the external placement policy of a queue. A decision takes
// DecisionTime plus TimePerWorker for each worker asked about; its tickets are valid for
// TicketValidity.
type PlacementAdvisor struct {
	DecisionTime   time.Duration
	TimePerWorker  time.Duration
	TicketValidity time.Duration
}

// Service is a pool of workers and its settings.
type Service struct {
	Name string
	// EnforcesCapacity is set if the workers reject tasks that exceed their capacity.
	EnforcesCapacity bool
	// Standby is set if the workers are switched off.
	Standby    bool
	HealthPath string
}

// Limits are the bounds on what a client sends.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is immutable once published.
type Config struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits

	byHost map[string][]int
	byName map[string]int
}

// NewConfig returns a configuration with its queues indexed by host and name. It sets their
// ConfigVersion.
func NewConfig(version int64, queues []Queue, services map[string]Service, limits Limits) *Config {
	c := &Config{
		Version: version, Queues: queues, Services: services, Limits: limits,
		byHost: map[string][]int{}, byName: map[string]int{},
	}
	for i, q := range queues {
		queues[i].ConfigVersion = version
		c.byHost[strings.ToLower(q.Host)] = append(c.byHost[strings.ToLower(q.Host)], i)
		c.byName[q.Name] = i
	}
	return c
}

// Match returns the queue of the host with the longest prefix of the path, or nil. It ignores
// the case and the port of the host.
func (c *Config) Match(host, path string) *Queue {
	host, _, _ = strings.Cut(strings.ToLower(host), ":")
	var best *Queue
	for _, i := range c.byHost[host] {
		q := &c.Queues[i]
		if strings.HasPrefix(path, q.PathPrefix) && (best == nil || len(q.PathPrefix) > len(best.PathPrefix)) {
			best = q
		}
	}
	return best
}

// Queue returns the queue with the name, or nil.
func (c *Config) Queue(name string) *Queue {
	if i, ok := c.byName[name]; ok {
		return &c.Queues[i]
	}
	return nil
}

// Supersedes reports whether the configuration takes effect where current is in force, which is
// nil if none is: the version in force never decreases.
func (c *Config) Supersedes(current *Config) bool {
	return current == nil || c.Version > current.Version
}

// Wave is an order for the maintenance of machines.
type Wave struct {
	Number   int64
	Machines []string
	// Duration is the time in which the maintenance of all machines should be completed.
	Duration time.Duration
	// MaxDown is how many machines may be in maintenance at once.
	MaxDown int
}

// View is the operator's configuration in effect. It is immutable once published.
type View struct {
	// Offset is the position after the newest record that was applied.
	Offset    int64
	Config    *Config
	Evacuated map[string]bool
	Waves     map[string]Wave
}
