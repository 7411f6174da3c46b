package ledger

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTurnToWriteASnapshot walks through who may write when.
func TestTurnToWriteASnapshot(t *testing.T) {
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
		{"nothing to cover", snapshotStatus{live: true}, 0, due, false},
		{"view not at the tail", snapshotStatus{next: 500}, 0, due, false},
		{"few entries, young", snapshotStatus{live: true, next: 99}, 0, start, false},
		{"many entries", snapshotStatus{live: true, next: 100}, 0, start, true},
		{"many entries since the last", snapshotStatus{live: true, next: 150, end: 60, at: start}, 0, start, false},
		{"old", snapshotStatus{live: true, next: 1}, 0, due, true},
		{"idle and old", snapshotStatus{live: true, next: 5, end: 5, at: start}, 0, due, true},
		{"another began just now", snapshotStatus{live: true, next: 100, begun: due.Add(-time.Second)}, 0, due, false},
		{"another began and died", snapshotStatus{live: true, next: 100, begun: due.Add(-maxSpread - 1)}, 0, due, true},
		{"own wait is not over", snapshotStatus{live: true, next: 100}, 0.9, start, false},
	}
	for _, c := range cases {
		s := &Snapshotter{options: SnapshotOptions{Every: every, Entries: entries}, random: func() float64 { return c.random }, began: start}
		assert.Check(t, s.turn(c.status, c.now) == c.want, c.name)
	}
}
