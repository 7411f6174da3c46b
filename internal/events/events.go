// Package events defines the numbered log events. Every log line of the system is an
// event of this catalogue; docs/EVENTS.md describes each one.
package events

import (
	"fmt"
	"sync/atomic"

	"k8s.io/klog/v2"
)

// Severity is the urgency of an event for an operator.
type Severity string

// Severities, from the least to the most urgent.
const (
	Info    Severity = "info"
	Warning Severity = "warning"
	Error   Severity = "error"
)

// Event is an entry of the catalogue: a unique number, a severity and a fixed text.
// Details are logged as keys and values.
type Event struct {
	Number   int
	Severity Severity
	Text     string
}

// catalogue holds the events by number. It is written only while package variables are
// initialized, which happens on one goroutine, so that reads need no lock.
var catalogue = map[int]Event{}

// define adds an event to the catalogue. It panics if the number is already in use.
func define(number int, severity Severity, text string) Event {
	if _, taken := catalogue[number]; taken {
		panic(fmt.Sprintf("event number %d is defined more than once", number))
	}
	e := Event{Number: number, Severity: severity, Text: text}
	catalogue[number] = e
	return e
}

// observer is called for each logged event. It is nil until Observe is called.
var observer atomic.Pointer[func(Event)]

// Observe sets the function to call for each logged event, for example to count it. It
// replaces an earlier one. The function is called by the logging goroutine, so it must be
// safe for concurrent use and must not block.
func Observe(callback func(Event)) { observer.Store(&callback) }

func (e Event) notify() {
	if callback := observer.Load(); callback != nil {
		(*callback)(e)
	}
}

// All returns a copy of the catalogue, by event number.
func All() map[int]Event {
	out := make(map[int]Event, len(catalogue))
	for n, e := range catalogue {
		out[n] = e
	}
	return out
}

// Log logs the event with alternating keys and values.
func (e Event) Log(keysAndValues ...any) {
	e.notify()
	kv := append([]any{"event", e.Number, "severity", string(e.Severity)}, keysAndValues...)
	klog.InfoSDepth(1, e.Text, kv...)
}

// LogError logs the event with an error and alternating keys and values.
func (e Event) LogError(err error, keysAndValues ...any) {
	e.notify()
	kv := append([]any{"event", e.Number, "severity", string(e.Severity), "error", err}, keysAndValues...)
	klog.InfoSDepth(1, e.Text, kv...)
}
