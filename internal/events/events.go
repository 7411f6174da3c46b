// Package events holds the numbered events of the logs. Every log line of the
// system is an event of this catalogue; docs/EVENTS.md describes each one.
package events

import (
	"fmt"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// Severity orders events by how much an operator should care.
type Severity string

// Severities of events.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Fault   Severity = "error"
)

// Event is one numbered kind of log line.
type Event struct {
	Number   int
	Severity Severity
	Text     string
}

// The catalogue is filled while package variables are initialised, on one
// goroutine, and only read afterwards.
var catalogue = map[int]Event{}

func define(number int, severity Severity, text string) Event {
	if _, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event number %d is defined twice", number))
	}
	e := Event{Number: number, Severity: severity, Text: text}
	catalogue[number] = e
	return e
}

// observer is told of each logged event; nil until Observe is called.
var observer atomic.Pointer[func(Event)]

// Observe sets the function that is told of each logged event, such as a
// counter. It must be safe for concurrent use and quick.
func Observe(do func(Event)) { observer.Store(&do) }

func (e Event) notify() {
	if do := observer.Load(); do != nil {
		(*do)(e)
	}
}

// All returns the catalogue by number.
func All() map[int]Event {
	out := make(map[int]Event, len(catalogue))
	for n, e := range catalogue {
		out[n] = e
	}
	return out
}

// Log writes the event with alternating keys and values.
func (e Event) Log(keysAndValues ...any) {
	e.notify()
	kv := append([]any{"event", e.Number, "severity", string(e.Severity)}, keysAndValues...)
	klog.InfoSDepth(1, e.Text, kv...)
}

// LogError writes the event with its error and alternating keys and values.
func (e Event) LogError(err error, keysAndValues ...any) {
	e.notify()
	kv := append([]any{"event", e.Number, "severity", string(e.Severity), "error", err}, keysAndValues...)
	klog.InfoSDepth(1, e.Text, kv...)
}
