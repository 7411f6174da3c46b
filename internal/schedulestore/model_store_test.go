package schedulestore

import (
	"context"
	"slices"
	"sync"
	"time"

	"chervilridge/platform"
)

// delivery is what happens to a call on its way to a modelStore and back.
type delivery struct {
	// notExecuted, if set, is the kind of the error with which the call is rejected at once.
	notExecuted *platform.ErrorKind
	// dropped calls are neither executed nor answered.
	dropped bool
	// executedAfter is the time until the call is executed, also if the caller has given up.
	executedAfter time.Duration
	// lost is set if the answer does not arrive; reset, if the connection breaks at once.
	lost, reset bool
}

// modelStore is one partition of the platform's store as its protocol describes it. Only tests
// within a synctest bubble use it.
type modelStore struct {
	mu sync.Mutex
	// deliver returns what happens to the call with a number, counted from 0. Nil delivers
	// all calls.
	deliver func(call int) delivery
	calls   int

	// lastCounts makes the first append of an epoch follow the last one of the epoch before.
	// emptyChecked checks the sequence number of empty appends too, and repeatsOutliveEpochs keeps
	// the last five numbers at a change of epoch.
	lastCounts, emptyChecked, repeatsOutliveEpochs bool

	epoch    uint64
	next     uint64
	nextSet  bool
	repeated []uint64 // numbers of the last five appends
	log      []string // keys of the stored records
}

func (s *modelStore) Append(ctx context.Context, a platform.AppendRequest) (int64, error) {
	s.mu.Lock()
	var d delivery
	if s.deliver != nil {
		d = s.deliver(s.calls)
	}
	s.calls++
	s.mu.Unlock()
	noAnswer := &platform.Error{Kind: platform.NoAnswer}
	switch {
	case d.notExecuted != nil:
		return 0, &platform.Error{Kind: *d.notExecuted}
	case d.dropped:
		<-ctx.Done()
		return 0, noAnswer
	}
	executed := make(chan error, 1)
	time.AfterFunc(d.executedAfter, func() { executed <- s.execute(a) })
	if d.reset {
		return 0, noAnswer
	}
	if d.lost {
		<-ctx.Done()
		return 0, noAnswer
	}
	select {
	case err := <-executed:
		return 0, err
	case <-ctx.Done():
		return 0, noAnswer
	}
}

func (s *modelStore) Newest(context.Context, string, string) (platform.Page, error) {
	return platform.Page{}, nil
}

// execute applies the rules of the page for appends with a producer.
func (s *modelStore) execute(a platform.AppendRequest) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := a.Producer
	switch {
	case p.Epoch < s.epoch:
		return &platform.Error{Kind: platform.Fenced}
	case p.Epoch > s.epoch:
		s.epoch = p.Epoch
		if !s.repeatsOutliveEpochs {
			s.repeated = nil
		}
		s.nextSet = s.nextSet && s.lastCounts
	}
	empty := len(a.Records) == 0
	if slices.Contains(s.repeated, p.Sequence) || empty && !s.emptyChecked {
		return nil
	}
	if s.nextSet && p.Sequence != s.next {
		return &platform.Error{Kind: platform.BadSequence, Expected: int64(s.next)}
	}
	if empty {
		return nil
	}
	s.next, s.nextSet = p.Sequence+1, true
	if s.repeated = append(s.repeated, p.Sequence); len(s.repeated) > 5 {
		s.repeated = s.repeated[1:]
	}
	for _, r := range a.Records {
		s.log = append(s.log, r.Key)
	}
	return nil
}

// stored returns the keys of the stored records, in order.
func (s *modelStore) stored() []string {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log)
}
