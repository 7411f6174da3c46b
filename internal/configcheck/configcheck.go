// Package configcheck finds faults in the operator's configuration before it is sent. It is a
// pure function of its input and uses neither the clock nor the network.
package configcheck

import (
	"cmp"
	"fmt"
	"slices"

	"chervilridge/internal/operatorconfig"
	"chervilridge/platform"
)

// Severity is how much a finding matters.
type Severity string

// Severities.
const (
	// Error: the system rejects the configuration or the job.
	Error Severity = "error"
	// Warning: a part has no effect or contradicts another one.
	Warning Severity = "warning"
	// Info: a difference from the version in force, or a part that may be as intended.
	Info Severity = "info"
)

// rank orders severities, the most severe first.
func (s Severity) rank() int { return slices.Index([]Severity{Error, Warning, Info}, s) }

// Code identifies the kind of a finding. Scripts may compare it.
type Code string

// Codes of the findings.
const (
	CodeNotAConfiguration Code = "not-a-configuration"
	CodeNotNewer          Code = "not-newer"
	CodeNotAJob           Code = "not-a-job"

	CodeMisspelledMember Code = "misspelled-member"
	CodeUnknownMember    Code = "unknown-member"
	CodeRepeatedMember   Code = "repeated-member"
	CodeOutOfRange       Code = "out-of-range"

	CodeNoQueues        Code = "no-queues"
	CodeNoName          Code = "no-name"
	CodeDuplicateQueue  Code = "duplicate-queue"
	CodeUnmatchedHost   Code = "unmatched-host"
	CodeUnmatchedPrefix Code = "unmatched-prefix"
	CodeShadowed        Code = "shadowed"
	CodePartlyShadowed  Code = "partly-shadowed"
	CodeNoService       Code = "no-service"
	CodeUnknownService  Code = "unknown-service"
	CodeStandbyService  Code = "standby-service"
	CodeNoObjective     Code = "no-objective"
	CodeNeverInTime     Code = "never-in-time"
	CodeExpiredTicket   Code = "expired-ticket"

	CodeDuplicateService Code = "duplicate-service"
	CodeUnusedService    Code = "unused-service"

	CodeUnlimitedBody Code = "unlimited-body"
	CodeSmallBody     Code = "small-body"

	CodeNoWorkers     Code = "no-workers"
	CodeUnusedWorkers Code = "unused-workers"

	CodeUnknownQueue        Code = "unknown-queue"
	CodeBodyTooLarge        Code = "body-too-large"
	CodeMayMissAboveCount   Code = "may-miss-above-count"
	CodeMayMissIgnored      Code = "may-miss-ignored"
	CodeUnmetConstraint     Code = "unmet-constraint"
	CodeUnmetAffinity       Code = "unmet-affinity"
	CodeTaskTooLarge        Code = "task-too-large"
	CodeGangTooLarge        Code = "gang-too-large"
	CodeLongRunningTooLarge Code = "long-running-too-large"

	CodeAdded   Code = "added"
	CodeRemoved Code = "removed"
	CodeChanged Code = "changed"
)

// What a report may name as unchecked.
const (
	UncheckedInForce = "differences from the version in force, since none is given"
	UncheckedWorkers = "whether workers meet the needs of queues and jobs, since no workers are given"
)

// Finding is one fault or difference.
type Finding struct {
	Severity Severity `json:"severity"`
	Code     Code     `json:"code"`
	// File is the file of the job; empty if the finding is about the configuration.
	File string `json:"file,omitempty"`
	// Path is the place in the file, in the platform's names; empty for the whole file.
	Path    string `json:"path"`
	Message string `json:"message"`
}

// Input is what is checked.
type Input struct {
	// Config is the configuration as the operator will send it.
	Config []byte
	// InForce is the version in force; nil if it is not known.
	InForce *operatorconfig.Config
	// Workers are the known workers; nil if none are known.
	Workers []platform.Heartbeat
	Jobs    []Job
}

// Job is a job that is to be submitted under the configuration.
type Job struct {
	File string
	Body []byte
	// Queue is the name of the job's queue; empty if the job may be submitted to any.
	Queue string
}

// Report is the result of a check.
type Report struct {
	// Version is the version of the configuration; 0 if it can't be decoded.
	Version int64 `json:"version"`
	// Findings are sorted by severity, the most severe first. Within a severity, those about
	// the configuration come before those about jobs.
	Findings []Finding `json:"findings"`
	// Unchecked names what could not be checked.
	Unchecked []string `json:"unchecked"`
}

// Count returns the number of findings of a severity.
func (r Report) Count(s Severity) int {
	n := 0
	for _, f := range r.Findings {
		if f.Severity == s {
			n++
		}
	}
	return n
}

// Check returns the findings about a configuration and the jobs.
func Check(in Input) Report {
	c := &checker{report: Report{Findings: []Finding{}, Unchecked: []string{}}}
	document, err := platform.InspectConfig(in.Config)
	if err != nil {
		c.add(Error, CodeNotAConfiguration, position(in.Config, err), "the system rejects the configuration: %v", err)
	} else {
		c.config, c.services = document.Config, document.Services
		c.report.Version = c.config.Version
		c.checkConfig(document)
		c.checkWorkers(in.Workers)
		c.compare(in.InForce)
	}
	for _, j := range in.Jobs {
		c.checkJob(j, in.Workers)
	}
	if in.InForce == nil {
		c.report.Unchecked = append(c.report.Unchecked, UncheckedInForce)
	}
	if in.Workers == nil {
		c.report.Unchecked = append(c.report.Unchecked, UncheckedWorkers)
	}
	slices.SortStableFunc(c.report.Findings, func(a, b Finding) int {
		return cmp.Compare(a.Severity.rank(), b.Severity.rank())
	})
	return c.report
}

// checker collects findings. config is nil if it can't be decoded; services are the names of
// its services in the order of the document, repeated ones included.
type checker struct {
	config   *operatorconfig.Config
	services []string
	// file is the job's file that findings are about; empty for the configuration.
	file   string
	report Report
}

func (c *checker) add(severity Severity, code Code, path, format string, args ...any) {
	c.report.Findings = append(c.report.Findings, Finding{
		Severity: severity, Code: code, File: c.file, Path: path, Message: fmt.Sprintf(format, args...),
	})
}

// addAt is add with the place of a queue, service or step.
func (c *checker) addAt(severity Severity, code Code, at operatorconfig.Location, format string, args ...any) {
	c.add(severity, code, platform.LocationPath(at), format, args...)
}

// position returns where decoding a document failed, or "" if it is not known.
func position(document []byte, err error) string {
	line, column, ok := platform.ErrorPosition(document, err)
	if !ok {
		return ""
	}
	return fmt.Sprintf("line %d, column %d", line, column)
}

// text quotes a name from a configuration or a job and limits its length.
func text(name string) string { return fmt.Sprintf("%.100q", name) }
