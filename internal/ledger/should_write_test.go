package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShouldWrite checks when a snapshotter writes, depending on the status of the
// stream.
func TestShouldWrite(t *testing.T) {
	const every, entries = time.Hour, 100
	start := time.Unix(1000, 0)
	due := start.Add(every)
	cases := []struct {
		name   string
		status snapshotStatus
		random float64
		now    time.Time
		want   bool
	}{
		{"empty stream", snapshotStatus{atTail: true}, 0, due, false},
		{"follower not at the tail", snapshotStatus{nextOffset: 500}, 0, due, false},
		{"few entries, short time", snapshotStatus{atTail: true, nextOffset: 99}, 0, start, false},
		{"many entries", snapshotStatus{atTail: true, nextOffset: 100}, 0, start, true},
		{"few entries since the last snapshot", snapshotStatus{atTail: true, nextOffset: 150, endOffset: 60, seenAt: start}, 0, start, false},
		{"interval over", snapshotStatus{atTail: true, nextOffset: 1}, 0, due, true},
		{"idle stream, interval over", snapshotStatus{atTail: true, nextOffset: 5, endOffset: 5, seenAt: start}, 0, due, true},
		{"another process just began", snapshotStatus{atTail: true, nextOffset: 100, startedAt: due.Add(-time.Second)}, 0, due, false},
		{"another process began and stopped", snapshotStatus{atTail: true, nextOffset: 100, startedAt: due.Add(-maxDelayWindow - 1)}, 0, due, true},
		{"delay not over", snapshotStatus{atTail: true, nextOffset: 100}, 0.9, start, false},
	}
	for _, c := range cases {
		s := &Snapshotter{options: SnapshotOptions{Interval: every, MaxEntries: entries}, random: func() float64 { return c.random }, createdAt: start}
		assert.Check(t, s.shouldWrite(c.status, c.now) == c.want, c.name)
	}
}
