// Package catalog holds what the operator has configured: queues, services, limits,
// evacuated data centres and maintenance waves.
package catalog

import (
	"strings"
	"time"
)

// Queue takes the jobs of one kind of request and names the service whose workers run
// them.
type Queue struct {
	Name       string
	Host       string
	PathPrefix string
	Service    string
	// Timeout bounds how long a caller's request is worked on.
	Timeout time.Duration
	// TargetLatency is granted on top of Stretch times a job's longest chain of work.
	TargetLatency time.Duration
	Stretch       float64
	// Priority 0 comes first.
	Priority int
	// MaxAttempts is how many runs of a task may fail; 0 means no limit is set.
	MaxAttempts int
	// Advisor is nil where any worker of the service may run the queue's tasks.
	Advisor *Advisor
}

// Advisor says how the external placement policy of a queue answers.
type Advisor struct {
	DecisionTime  time.Duration
	TimePerWorker time.Duration
	TicketValid   time.Duration
}

// Service is a pool of workers.
type Service struct {
	Name string
	// ChecksCapacity means that its workers reject what does not fit.
	ChecksCapacity bool
	// Standby workers are switched off.
	Standby    bool
	HealthPath string
}

// Limits bound what a client may send.
type Limits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the configuration. It is not changed once published.
type Config struct {
	Version  int64
	Queues   []Queue
	Services map[string]Service
	Limits   Limits

	byHost map[string][]int
	byName map[string]int
}

// NewConfig indexes the queues by host and name.
func NewConfig(version int64, queues []Queue, services map[string]Service, limits Limits) *Config {
	c := &Config{
		Version: version, Queues: queues, Services: services, Limits: limits,
		byHost: map[string][]int{}, byName: map[string]int{},
	}
	for i, q := range queues {
		c.byHost[strings.ToLower(q.Host)] = append(c.byHost[strings.ToLower(q.Host)], i)
		c.byName[q.Name] = i
	}
	return c
}

// Match returns the queue with the longest prefix of the path on the host, or nil.
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

// Wave asks for maintenance of machines.
type Wave struct {
	Number   int64
	Machines []string
	// Duration is the time within which all machines should be done.
	Duration time.Duration
	// MaxDown is how many machines may be in maintenance at once.
	MaxDown int
}

// View is everything of the operator that is in force. It is not changed once
// published.
type View struct {
	// Offset is the position after the newest record that is taken in.
	Offset    int64
	Config    *Config
	Evacuated map[string]bool
	Waves     map[string]Wave
}
