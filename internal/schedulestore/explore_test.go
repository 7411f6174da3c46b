package schedulestore

import (
	"flag"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"chervilridge/internal/explore"
	"chervilridge/platform"
)

var exploreDeviations = flag.Int("explore.deviations", 3, "deviations from a calm history that TestWriterInAllOrdersOfEvents plays")

const (
	// exploredSteps is the number of steps of a history, lateExecution the time after which the store
	// executes a late call, later than the copies and repeats of an append.
	exploredSteps = 4
	lateExecution = 2 * time.Second
)

// exploredActs are what the owner, or a rival, may do in a step. A step that waits first comes after all
// late calls.
var exploredActs = []explore.Option[step]{
	{Name: "append", Value: step{do: "append", records: 1}},
	{Name: "append after the late calls", Value: step{do: "append", records: 1, pause: 2 * lateExecution}},
	{Name: "append, given up if nothing is stored", Value: step{do: "append", records: 1, abandon: true}},
	{Name: "confirm the epoch", Value: step{do: "confirm"}},
	{Name: "restart", Value: step{do: "restart"}},
	{Name: "rival", Value: step{do: "rival"}},
}

// exploredDeliveries are what may happen to a call.
var exploredDeliveries = []explore.Option[delivery]{
	{Name: "answered"},
	{Name: "reset, executed late", Value: delivery{reset: true, executedAfter: lateExecution}},
	{Name: "reset, executed", Value: delivery{reset: true}},
	{Name: "lost answer", Value: delivery{lost: true}},
	{Name: "dropped", Value: delivery{dropped: true}},
	{Name: "rejected", Value: delivery{notExecuted: unavailable()}},
}

func unavailable() *platform.ErrorKind {
	kind := platform.Unavailable
	return &kind
}

// exploredHistory plays one history of owners and returns what it has violated.
func exploredHistory(t *testing.T, p *explore.Path, store *modelStore) string {
	var violations []string
	synctest.Test(t, func(*testing.T) {
		o := &owners{store: store}
		o.restart(0)
		store.deliver = func(call int) delivery {
			d := explore.Choose(p, "call", exploredDeliveries)
			if d.executedAfter > 0 {
				d.executedAfter += time.Duration(call+1) * time.Microsecond // no two at one instant
			}
			return d
		}
		for range exploredSteps {
			s := explore.Choose(p, "step", exploredActs)
			time.Sleep(s.pause)
			o.play(s)
		}
		store.deliver = nil
		time.Sleep(2 * lateExecution)
		o.play(step{do: "append", records: 1})
		o.check()
		violations = o.violations
	})
	return strings.Join(violations, "; ")
}

// Guards against an order of few events that loses, doubles or denies records, on each kind of store that
// the page allows.
func TestWriterInAllOrdersOfEvents(t *testing.T) {
	for name, kind := range map[string]*modelStore{
		"an epoch begins anew":        {},
		"numbers follow on":           {lastCounts: true},
		"empty appends are checked":   {emptyChecked: true},
		"repeats outlive their epoch": {repeatsOutliveEpochs: true},
	} {
		t.Run(name, func(t *testing.T) {
			began := time.Now()
			result := explore.Search(*exploreDeviations, func(p *explore.Path) string {
				return exploredHistory(t, p, &modelStore{lastCounts: kind.lastCounts, emptyChecked: kind.emptyChecked, repeatsOutliveEpochs: kind.repeatsOutliveEpochs})
			})
			t.Logf("%d histories of at most %d deviations in %v", result.Paths, result.Deviations, time.Since(began))
			if result.Violation != "" {
				t.Fatalf("after %s: %s", result.Events, result.Violation)
			}
		})
	}
}
