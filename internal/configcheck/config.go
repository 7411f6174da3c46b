package configcheck

import (
	"math"
	"slices"
	"strings"
	"time"

	"chervilridge/internal/operatorconfig"
	"chervilridge/platform"
)

// sampleJobID is an id with which the path of a job is formed. Its first digit is replaced
// where others matter.
const sampleJobID = "0000000000000000"

func queueAt(index int, field operatorconfig.Field) operatorconfig.Location {
	return operatorconfig.Location{Section: operatorconfig.SectionQueues, Index: index, Field: field}
}

func serviceAt(index int, field operatorconfig.Field) operatorconfig.Location {
	return operatorconfig.Location{Section: operatorconfig.SectionServices, Index: index, Field: field}
}

func limitsAt(field operatorconfig.Field) operatorconfig.Location {
	return operatorconfig.Location{Section: operatorconfig.SectionLimits, Field: field}
}

// checkConfig checks what the configuration itself shows.
func (c *checker) checkConfig(d *platform.ConfigDocument) {
	c.checkMembers(d.Members)
	for _, path := range d.OutOfRange {
		c.add(Warning, CodeOutOfRange, path, "is negative or too long, and is replaced by the nearest time in range")
	}
	if len(c.config.Queues) == 0 {
		c.addAt(Warning, CodeNoQueues, queueAt(-1, operatorconfig.FieldNone), "there are no queues: every job is rejected with status 404")
	}
	for i := range c.config.Queues {
		q := &c.config.Queues[i]
		c.checkName(i, q)
		c.checkMatch(i, q)
		c.checkService(i, q)
		c.checkNumbers(i, q)
		c.checkObjective(i, q)
		c.checkAdvisor(i, q)
	}
	c.checkServices()
	c.checkLimits()
}

// checkMembers reports members of a document that are not decoded as they stand.
func (c *checker) checkMembers(m platform.Members) {
	for _, u := range m.Unknown {
		if u.Similar != "" {
			c.add(Warning, CodeMisspelledMember, u.Path, "the system ignores this member; did you mean %s?", text(u.Similar))
		} else {
			c.add(Info, CodeUnknownMember, u.Path, "the system ignores this member")
		}
	}
	for _, path := range m.Repeated {
		c.add(Warning, CodeRepeatedMember, path, "the object has this member more than once")
	}
}

// checkName reports a queue without a name or with that of another. Jobs are bound to their
// queue by its name.
func (c *checker) checkName(i int, q *operatorconfig.Queue) {
	at := queueAt(i, operatorconfig.FieldName)
	if q.Name == "" {
		c.addAt(Warning, CodeNoName, at, "the queue has no name")
	}
	if effective := c.config.Queue(q.Name); effective != q {
		c.addAt(Warning, CodeDuplicateQueue, at, "jobs of this queue get the settings of %s, which has the same name",
			platform.LocationPath(queueAt(c.indexOf(effective), operatorconfig.FieldNone)))
	}
}

// indexOf returns the index of a queue of the configuration.
func (c *checker) indexOf(q *operatorconfig.Queue) int {
	for i := range c.config.Queues {
		if &c.config.Queues[i] == q {
			return i
		}
	}
	return -1
}

// checkMatch reports a queue that no job, or not every job, can be submitted to. It tries paths
// of jobs with the match that entries use.
func (c *checker) checkMatch(i int, q *operatorconfig.Queue) {
	switch {
	case q.Host == "":
		c.addAt(Warning, CodeUnmatchedHost, queueAt(i, operatorconfig.FieldHost), "the host is empty: only requests without a host match")
	case strings.Contains(q.Host, ":"):
		c.addAt(Warning, CodeUnmatchedHost, queueAt(i, operatorconfig.FieldHost), "no request matches: the port of a request's host is not compared")
		return
	}
	switch {
	case q.PathPrefix == "":
		c.addAt(Warning, CodeUnmatchedPrefix, queueAt(i, operatorconfig.FieldPathPrefix), "the path prefix is empty: every job is rejected, since its id begins with a slash")
		return
	case q.PathPrefix[0] != '/':
		c.addAt(Warning, CodeUnmatchedPrefix, queueAt(i, operatorconfig.FieldPathPrefix), "no request matches: the path prefix doesn't begin with a slash")
		return
	}
	at := queueAt(i, operatorconfig.FieldNone)
	if first := c.config.Match(q.Host, q.PathPrefix+sampleJobID); first != nil && first != q && first.PathPrefix == q.PathPrefix {
		c.addAt(Warning, CodeShadowed, at, "no request matches: %s has the same host and path prefix and comes first",
			platform.LocationPath(queueAt(c.indexOf(first), operatorconfig.FieldNone)))
		return
	}
	for j := range c.config.Queues {
		other := &c.config.Queues[j]
		beginning, longer := strings.CutPrefix(other.PathPrefix, q.PathPrefix)
		if !longer || beginning == "" || len(beginning) > len(sampleJobID) || !strings.EqualFold(other.Host, q.Host) {
			continue
		}
		id := beginning + sampleJobID[len(beginning):]
		if platform.ValidJobID(id) && c.config.Match(q.Host, q.PathPrefix+id) == other {
			c.addAt(Warning, CodePartlyShadowed, at, "jobs whose id begins with %s match %s instead", text(beginning),
				platform.LocationPath(queueAt(j, operatorconfig.FieldNone)))
		}
	}
}

// checkService reports a queue whose service is missing, not described or switched off.
func (c *checker) checkService(i int, q *operatorconfig.Queue) {
	at := queueAt(i, operatorconfig.FieldService)
	service, known := c.config.Services[q.Service]
	switch {
	case q.Service == "":
		c.addAt(Warning, CodeNoService, at, "the queue names no service: no worker runs its jobs")
	case !known:
		c.addAt(Warning, CodeUnknownService, at, "the configuration has no service %s", text(q.Service))
	case service.Standby:
		c.addAt(Warning, CodeStandbyService, at, "the workers of service %s are on standby: its jobs wait", text(q.Service))
	}
}

// checkNumbers reports numbers below their range.
func (c *checker) checkNumbers(i int, q *operatorconfig.Queue) {
	if q.Priority < 0 {
		c.addAt(Warning, CodeOutOfRange, queueAt(i, operatorconfig.FieldPriority), "%d comes before 0, which is meant to be the first", q.Priority)
	}
	if q.MaxAttempts < 0 {
		c.addAt(Warning, CodeOutOfRange, queueAt(i, operatorconfig.FieldMaxAttempts), "%d means no limit, as 0 does", q.MaxAttempts)
	}
}

// checkObjective reports an objective that jobs can't meet. A job whose critical path takes d is
// in time if d is at most Stretch x d + TargetLatency.
func (c *checker) checkObjective(i int, q *operatorconfig.Queue) {
	at := queueAt(i, operatorconfig.FieldStretch)
	switch {
	case q.Stretch < 0:
		c.addAt(Warning, CodeOutOfRange, at, "%g is negative: the longer a job, the shorter its objective", q.Stretch)
	case q.Stretch == 0 && q.TargetLatency == 0:
		c.addAt(Info, CodeNoObjective, at, "the queue has no objective: its jobs come last within their priority")
	case q.Stretch == 0:
		c.addAt(Info, CodeNoObjective, at, "the objective of every job is %v, however long its critical path is", q.TargetLatency)
	case q.Stretch < 1 && q.TargetLatency == 0:
		c.addAt(Warning, CodeNeverInTime, at, "no job can be in time: its objective is %g of its critical path", q.Stretch)
	case q.Stretch < 1:
		// A longer critical path than a time.Duration holds doesn't occur.
		if longest := float64(q.TargetLatency) / (1 - q.Stretch); longest < math.MaxInt64 {
			c.addAt(Warning, CodeNeverInTime, at, "jobs whose critical path exceeds %v can't be in time", time.Duration(longest).Round(time.Millisecond))
		}
	}
}

// checkAdvisor reports a placement policy whose tickets expire before they arrive.
func (c *checker) checkAdvisor(i int, q *operatorconfig.Queue) {
	a := q.Advisor
	if a == nil {
		return
	}
	if decision := a.DecisionTime + a.TimePerWorker; a.TicketValidity-operatorconfig.TicketExpiryMargin <= decision {
		c.addAt(Warning, CodeExpiredTicket, queueAt(i, operatorconfig.FieldTicketValidity),
			"a ticket is valid for %v, but a decision about one worker takes %v, and a ticket is not used in its last %v: no task can start",
			a.TicketValidity, decision, operatorconfig.TicketExpiryMargin)
	}
}

// serviceIndex returns the index of the service that counts among those with the name: the last
// one.
func (c *checker) serviceIndex(name string) int {
	for i, s := range slices.Backward(c.services) {
		if s == name {
			return i
		}
	}
	return -1
}

// checkServices reports services that are given twice or have no queue.
func (c *checker) checkServices() {
	used := map[string]bool{}
	for _, q := range c.config.Queues {
		used[q.Service] = true
	}
	for i, name := range c.services {
		switch at := serviceAt(i, operatorconfig.FieldName); {
		case name == "":
			c.addAt(Warning, CodeNoName, at, "the service has no name")
		case c.serviceIndex(name) != i:
			c.addAt(Warning, CodeDuplicateService, at, "has no effect: %s has the same name",
				platform.LocationPath(serviceAt(c.serviceIndex(name), operatorconfig.FieldNone)))
		case !used[name]:
			c.addAt(Info, CodeUnusedService, at, "no queue uses service %s", text(name))
		}
	}
}

// checkLimits reports limits on clients' requests that admit everything or too little.
func (c *checker) checkLimits() {
	l := c.config.Limits
	at := limitsAt(operatorconfig.FieldBodyBytes)
	switch {
	case l.BodyBytes <= 0:
		c.addAt(Warning, CodeUnlimitedBody, at, "%d means no limit: bodies of any size are read", l.BodyBytes)
	case l.BodyBytes < platform.MaxPayloadBytes:
		c.addAt(Warning, CodeSmallBody, at, "%d bytes are less than the %d that a job's payload alone may have", l.BodyBytes, platform.MaxPayloadBytes)
	}
	if l.HeaderBytes < 0 {
		c.addAt(Warning, CodeOutOfRange, limitsAt(operatorconfig.FieldHeaderBytes), "%d is negative", l.HeaderBytes)
	}
}
