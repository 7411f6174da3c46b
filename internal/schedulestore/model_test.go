package schedulestore

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"chervilridge/internal/wait"
	"chervilridge/platform"
)

// step is one step of a history: what the owner or a rival does.
type step struct {
	do string
	// records is the number of records to append.
	records int
	// within limits the time for the append, as the stop of an owner does; 0 does not.
	within time.Duration
	// abandon gives the append up after a failed attempt that stored nothing.
	abandon bool
	// ahead is how far the first number of the next writer is ahead of the one that the store
	// expects, so that late copies under it can meet later appends.
	ahead uint64
	pause time.Duration
}

func drawStep(t *rapid.T) step {
	s := step{
		do:      rapid.SampledFrom([]string{"append", "append", "append", "append", "confirm", "confirm", "restart", "rival", "pause", "pause"}).Draw(t, "do"),
		records: rapid.IntRange(1, 2).Draw(t, "records"),
		abandon: rapid.Bool().Draw(t, "abandon"),
		ahead:   rapid.Uint64Range(0, 3).Draw(t, "ahead"),
		pause:   drawTime(t, "pause"),
	}
	if rapid.IntRange(0, 5).Draw(t, "limited") == 0 {
		s.within = drawTime(t, "within") + time.Microsecond
	}
	return s
}

// drawTime draws a time around those of the writer: its pauses, the delays of copies, its
// time-out, and the latest execution of a call.
func drawTime(t *rapid.T, label string) time.Duration {
	return time.Duration(rapid.SampledFrom([]int{1, 10, 30, 70, 150, 400, 1000, 1300, 3000, 6000}).Draw(t, label)) * time.Millisecond
}

func drawDelivery(t *rapid.T) delivery {
	late := drawTime(t, "late")
	rejected := func(kind platform.ErrorKind) delivery { return delivery{notExecuted: &kind} }
	return rapid.SampledFrom([]delivery{
		{},
		{},
		{},
		{executedAfter: late},
		{lost: true},
		{lost: true, executedAfter: late},
		{reset: true},
		{reset: true, executedAfter: late},
		{reset: true, executedAfter: late},
		{dropped: true},
		rejected(platform.Unavailable),
		rejected(platform.Throttled),
		rejected(platform.ConnectionRefused),
		rejected(platform.StoreFull),
	}).Draw(t, "delivery")
}

// highestEpoch returns the epoch that an owner would read before it claims the next one.
func (s *modelStore) highestEpoch() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.epoch
}

// expected returns the number after that of the last append.
func (s *modelStore) expected() uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.next
}

// owners plays a history of owners over one store and records the replies to each.
type owners struct {
	store  *modelStore
	writer *Writer
	made   int
	// acknowledged, unknown and notStored hold the keys by the outcome of their append. Unknown
	// keys that a new owner does not find are not stored: it has loaded the state.
	acknowledged, unknown, notStored []string
	violations                       []string
}

func (o *owners) violated(format string, args ...any) {
	o.violations = append(o.violations, fmt.Sprintf(format, args...))
}

// restart makes a new owner, which fences the former ones and loads the state.
func (o *owners) restart(ahead uint64) {
	for epoch := o.store.highestEpoch() + 1; ; epoch++ {
		o.writer = NewWriter(o.store, epoch, bubbleClock)
		if !o.store.repeatsOutliveEpochs { // otherwise the numbers of an epoch must be its own
			o.writer.sequence = o.store.expected() + ahead
		}
		if o.writer.Fence(context.Background()) == nil {
			break
		}
	}
	stored := o.store.stored()
	for _, key := range o.acknowledged {
		if !slices.Contains(stored, key) {
			o.violated("%s was acknowledged and the next owner does not find it in %v", key, stored)
		}
	}
	for _, key := range o.unknown {
		if !slices.Contains(stored, key) {
			o.notStored = append(o.notStored, key)
		}
	}
	o.unknown = nil
}

// append does as the owner's engine: it repeats an append until its outcome is known, and
// ends the epoch at any other error.
func (o *owners) append(s step) {
	ctx, cancel := context.WithCancel(context.Background())
	if s.within > 0 {
		ctx, cancel = context.WithTimeout(ctx, s.within)
	}
	defer cancel()
	var keys []string
	for range s.records {
		o.made++
		keys = append(keys, fmt.Sprint("k", o.made))
	}
	var pause RetryPause
	for {
		err := o.writer.Try(ctx, recordsOf(keys...))
		var retry *RetryError
		if err == nil {
			o.acknowledged = append(o.acknowledged, keys...)
			return
		}
		if errors.As(err, &retry) && retry.NothingStored && s.abandon {
			o.notStored = append(o.notStored, keys...)
			return
		}
		if retry != nil && wait.For(ctx, pause.Next()) {
			continue
		}
		if o.writer.Uncertain() {
			o.unknown = append(o.unknown, keys...)
		} else {
			o.notStored = append(o.notStored, keys...)
		}
		o.restart(s.ahead)
		return
	}
}

func (o *owners) play(s step) {
	switch s.do {
	case "append":
		o.append(s)
	case "confirm":
		if o.writer.Append(context.Background(), nil) != nil {
			o.restart(s.ahead)
		}
	case "restart":
		o.restart(s.ahead)
	case "rival":
		rival := platform.Producer{Name: stateProducer, Epoch: o.store.highestEpoch() + 1, Sequence: o.store.expected()}
		_ = o.store.execute(platform.AppendRequest{Producer: &rival})
		_ = o.store.execute(platform.AppendRequest{Producer: &rival, Records: recordsOf("rival")})
	case "pause":
		time.Sleep(s.pause)
	}
}

// check compares the store with what the owners were told, once no copy is under way.
func (o *owners) check() {
	stored := slices.DeleteFunc(o.store.stored(), func(key string) bool { return key == "rival" })
	times := map[string]int{}
	for _, key := range stored {
		if times[key]++; times[key] == 2 {
			o.violated("%s is stored twice in %v", key, stored)
		}
	}
	for _, key := range o.notStored {
		if times[key] > 0 {
			o.violated("%s was reported as not stored and is in %v", key, stored)
		}
	}
	inOrder := slices.DeleteFunc(stored, func(key string) bool { return !slices.Contains(o.acknowledged, key) })
	if !slices.Equal(inOrder, o.acknowledged) {
		o.violated("acknowledged %v, stored %v", o.acknowledged, inOrder)
	}
}

// TestWriterAgainstAModelOfTheStore plays histories of appends whose calls are lost, late,
// repeated and rejected, and of owners that replace each other.
func TestWriterAgainstAModelOfTheStore(t *testing.T) {
	const longestDelay = 10 * time.Second
	// tieBreak keeps calls from being executed at the same instant as something else, whose
	// order would differ from run to run.
	const tieBreak = 7 * time.Microsecond
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.Custom(drawStep), 1, 14).Draw(rt, "steps")
		deliveries := rapid.SliceOfN(rapid.Custom(drawDelivery), 0, 40).Draw(rt, "deliveries")
		lastCounts, emptyChecked := rapid.Bool().Draw(rt, "last counts"), rapid.Bool().Draw(rt, "empty checked")
		repeatsOutliveEpochs := rapid.Bool().Draw(rt, "repeats outlive epochs")
		var violations []string
		synctest.Test(t, func(*testing.T) {
			store := &modelStore{lastCounts: lastCounts, emptyChecked: emptyChecked, repeatsOutliveEpochs: repeatsOutliveEpochs, deliver: func(call int) delivery {
				if call >= len(deliveries) {
					return delivery{}
				}
				d := deliveries[call]
				if d.executedAfter > 0 {
					d.executedAfter += time.Duration(call+1) * tieBreak
				}
				return d
			}}
			o := &owners{store: store}
			o.restart(0)
			for _, s := range steps {
				o.play(s)
			}
			time.Sleep(longestDelay)
			o.check()
			violations = o.violations
		})
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}
