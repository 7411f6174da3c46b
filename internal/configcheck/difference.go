package configcheck

import (
	"fmt"
	"maps"
	"slices"

	"chervilridge/internal/operatorconfig"
)

// setting is a setting that is compared.
type setting[T any] struct {
	field operatorconfig.Field
	value func(T) any
}

type (
	queue   = operatorconfig.Queue
	service = operatorconfig.Service
	limits  = operatorconfig.Limits
)

// advisor is a placement policy with a short text.
type advisor operatorconfig.PlacementAdvisor

func (a advisor) String() string {
	return fmt.Sprintf("a decision in %v + %v per worker, valid for %v", a.DecisionTime, a.TimePerWorker, a.TicketValidity)
}

// noAdvisor stands for the lack of a placement policy.
type noAdvisor struct{}

func (noAdvisor) String() string { return "none" }

// describe returns the text of a setting. Strings are quoted and limited in length.
func describe(value any) string {
	if s, ok := value.(string); ok {
		return text(s)
	}
	return fmt.Sprint(value)
}

var queueSettings = []setting[queue]{
	{operatorconfig.FieldHost, func(q queue) any { return q.Host }},
	{operatorconfig.FieldPathPrefix, func(q queue) any { return q.PathPrefix }},
	{operatorconfig.FieldService, func(q queue) any { return q.Service }},
	{operatorconfig.FieldTimeout, func(q queue) any { return q.Timeout }},
	{operatorconfig.FieldTargetLatency, func(q queue) any { return q.TargetLatency }},
	{operatorconfig.FieldPriority, func(q queue) any { return q.Priority }},
	{operatorconfig.FieldMaxAttempts, func(q queue) any { return q.MaxAttempts }},
	{operatorconfig.FieldStretch, func(q queue) any { return q.Stretch }},
	{operatorconfig.FieldAdvisor, func(q queue) any {
		if q.Advisor == nil {
			return noAdvisor{}
		}
		return advisor(*q.Advisor)
	}},
}

var serviceSettings = []setting[service]{
	{operatorconfig.FieldEnforcesCapacity, func(s service) any { return s.EnforcesCapacity }},
	{operatorconfig.FieldStandby, func(s service) any { return s.Standby }},
	{operatorconfig.FieldHealthPath, func(s service) any { return s.HealthPath }},
}

var limitSettings = []setting[limits]{
	{operatorconfig.FieldHeaderBytes, func(l limits) any { return l.HeaderBytes }},
	{operatorconfig.FieldBodyBytes, func(l limits) any { return l.BodyBytes }},
	{operatorconfig.FieldHeaderTimeout, func(l limits) any { return l.HeaderTimeout }},
	{operatorconfig.FieldIdleTimeout, func(l limits) any { return l.IdleTimeout }},
}

// compare reports the differences from the version in force, and an error if the system would
// ignore the configuration because of its version.
func (c *checker) compare(inForce *operatorconfig.Config) {
	if inForce == nil {
		return
	}
	before := len(c.report.Findings)
	c.compareQueues(inForce)
	c.compareServices(inForce.Services)
	addChanges(c, operatorconfig.Location{Section: operatorconfig.SectionLimits}, limitSettings, inForce.Limits, c.config.Limits)
	differs := len(c.report.Findings) > before
	if at := (operatorconfig.Location{Section: operatorconfig.SectionVersion}); !c.config.Supersedes(inForce) &&
		(differs || c.config.Version != inForce.Version) {
		c.addAt(Error, CodeNotNewer, at, "the system ignores the configuration: version %d is not above version %d in force", c.config.Version, inForce.Version)
	}
}

func (c *checker) compareQueues(inForce *operatorconfig.Config) {
	for i := range c.config.Queues {
		q := &c.config.Queues[i]
		if c.config.Queue(q.Name) != q {
			continue // another queue of the same name counts
		}
		if old := inForce.Queue(q.Name); old != nil {
			addChanges(c, queueAt(i, operatorconfig.FieldNone), queueSettings, *old, *q)
		} else {
			c.addAt(Info, CodeAdded, queueAt(i, operatorconfig.FieldNone), "queue %s is added", text(q.Name))
		}
	}
	for i := range inForce.Queues {
		q := &inForce.Queues[i]
		if inForce.Queue(q.Name) == q && c.config.Queue(q.Name) == nil {
			c.addAt(Info, CodeRemoved, queueAt(-1, operatorconfig.FieldNone), "queue %s is removed: its open jobs keep their settings, new ones are rejected", text(q.Name))
		}
	}
}

func (c *checker) compareServices(inForce map[string]service) {
	for i, name := range c.services {
		if c.serviceIndex(name) != i {
			continue // another service of the same name counts
		}
		at := serviceAt(i, operatorconfig.FieldNone)
		old, known := inForce[name]
		if !known {
			c.addAt(Info, CodeAdded, at, "service %s is added", text(name))
			continue
		}
		addChanges(c, at, serviceSettings, old, c.config.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(inForce)) {
		if _, known := c.config.Services[name]; !known {
			c.addAt(Info, CodeRemoved, serviceAt(-1, operatorconfig.FieldNone), "service %s is removed", text(name))
		}
	}
}

// addChanges reports the settings that differ between two versions.
func addChanges[T any](c *checker, at operatorconfig.Location, settings []setting[T], old, changed T) {
	for _, s := range settings {
		if a, b := s.value(old), s.value(changed); a != b {
			at.Field = s.field
			c.addAt(Info, CodeChanged, at, "changes from %s to %s", describe(a), describe(b))
		}
	}
}
