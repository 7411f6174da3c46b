// Package logsink writes log lines to standard output from a bounded buffer, so that a
// slow reader of the logs never blocks the scheduler.
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
	// maxBufferBytes bounds the buffered lines; lines beyond it are dropped.
	maxBufferBytes = 1 << 20
	// maxWriteBytes is the largest write that a pipe keeps in one piece (PIPE_BUF on
	// Linux).
	maxWriteBytes = 4096
	// flushInterval bounds how long a line stays buffered. Batching saves write calls.
	flushInterval = 100 * time.Millisecond
	// LastFlushTimeout bounds FlushLast.
	LastFlushTimeout = 100 * time.Millisecond
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

// Write buffers a line for the next flush. If the buffer is full, it drops the line and
// counts it. It never returns an error.
func (s *Sink) Write(line []byte) (int, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.buffer)+len(line) > maxBufferBytes {
		s.dropped++
		return len(line), nil
	}
	s.buffer = append(s.buffer, line...)
	return len(line), nil
}

// Flush writes the buffered lines and logs how many lines were dropped since the last
// flush.
func (s *Sink) Flush() {
	s.mu.Lock()
	lines, dropped := s.buffer, s.dropped
	s.buffer, s.dropped = nil, 0
	s.mu.Unlock()
	for len(lines) > 0 {
		n := firstWriteSize(lines)
		_, _ = s.out.Write(lines[:n]) // there is no other place to log a failure
		lines = lines[n:]
	}
	if dropped > 0 {
		events.LogLinesDropped.Log("lines", dropped)
	}
}

// FlushLast is Flush before the process exits, for at most LastFlushTimeout, since the output may have no
// reader.
func (s *Sink) FlushLast() {
	done := make(chan struct{})
	go func() {
		s.Flush()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(LastFlushTimeout):
	}
}

// firstWriteSize returns how many bytes of lines go into the next write. It ends at a
// line break, since the reader of a pipe may see each write separately. A single line
// longer than maxWriteBytes is written whole.
func firstWriteSize(lines []byte) int {
	if len(lines) <= maxWriteBytes {
		return len(lines)
	}
	if n := bytes.LastIndexByte(lines[:maxWriteBytes], '\n'); n >= 0 {
		return n + 1
	}
	if n := bytes.IndexByte(lines, '\n'); n >= 0 {
		return n + 1
	}
	return len(lines)
}

// Install routes klog's output through a new sink to out and starts flushing it every
// flushInterval, for the life of the process.
func Install(out io.Writer) *Sink {
	s := New(out)
	flags := flag.NewFlagSet("klog", flag.ContinueOnError)
	klog.InitFlags(flags)
	for name, value := range map[string]string{"logtostderr": "false", "alsologtostderr": "false", "stderrthreshold": "FATAL", "one_output": "true"} {
		_ = flags.Set(name, value) // cannot fail: klog defines these flags
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
