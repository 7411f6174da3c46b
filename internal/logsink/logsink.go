// Package logsink writes log lines to standard output from a bounded buffer, so that a
// slow reader of the logs never delays a decision.
package logsink

import (
	"bytes"
	"flag"
	"io"
	"sync"
	"time"

	"k8s.io/klog/v2"

	"chervilridge/internal/events"
)

const (
	// bufferLimit bounds the lines that wait to be written, in bytes.
	bufferLimit = 1 << 20
	// writeLimit is what a pipe takes in one piece, in bytes.
	writeLimit = 4096
	// flushInterval bounds how long a line waits; fewer writes cost less.
	flushInterval = 100 * time.Millisecond
)

// Sink is a bounded buffer in front of a writer. It is safe for concurrent use.
type Sink struct {
	out io.Writer

	mu      sync.Mutex
	buffer  []byte
	dropped int64
}

// New returns a sink that writes to out.
func New(out io.Writer) *Sink { return &Sink{out: out} }

// Write keeps a line for the next flush, or drops and counts it.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > bufferLimit {
		s.dropped++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	return len(line), nil
}

// Flush writes what is kept.
func (s *Sink) Flush() {
	s.mu.Lock()
	lines, dropped := s.buffer, s.dropped
	s.buffer, s.dropped = nil, 0
	s.mu.Unlock()
	for len(lines) > 0 {
		n := wholeLines(lines)
		_, _ = s.out.Write(lines[:n]) // nowhere is left to tell of a failure
		lines = lines[n:]
	}
	if dropped > 0 {
		events.LogLinesDropped.Log("lines", dropped)
	}
}

// wholeLines returns how much of the lines goes into one write: whole lines, as readers
// of a pipe may see each write by itself.
func wholeLines(lines []byte) int {
	if len(lines) <= writeLimit {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:writeLimit], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(lines, '\n'); n >= 0 {
		return n + 1
	}
	return len(lines)
}

// Install sends all logs of the process through a sink to out.
func Install(out io.Writer) *Sink {
	s := New(out)
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		_ = flags.Set(name, value) // the names are klog's own
	}
	klog.SetOutput(s)
	go func() {
		for range time.Tick(flushInterval) {
			klog.Flush()
			s.Flush()
		}
	}()
	return s
}
