// Package metastore is an in-memory stand-in for the platform's store. It serves the
// store's published protocol and injects faults on request.
package metastore

import (
	"sort"
	"sync"
)

// recentAppends is how many of a producer's last appends are recognized when they are
// retried. A retry is not stored again and returns the result of the first call.
const recentAppends = 5

// record is one record of a partition. A nil value deletes the key.
type record struct {
	key     string
	value   []byte
	content []byte // key and value as they are encoded on the wire
}

// producer is the state that a partition keeps to fence and deduplicate the appends of one
// producer.
type producer struct {
	epoch        uint64
	nextSequence uint64
	hasNext      bool // whether nextSequence is set; it is not after a change of epoch
	recent       []acceptedAppend
}

// acceptedAppend is an append that took effect, and its result.
type acceptedAppend struct {
	sequence uint64
	result   appendResult
}

// partition is the log of one topic. Topics of the stand-in have a single partition.
type partition struct {
	firstOffset int64 // offset of the oldest record that is retained
	records     []record
	values      map[string][]byte // newest value, by key
	offsets     map[string]int64  // offset of the newest value, by key
	producers   map[string]*producer
	appended    chan struct{} // closed and replaced at each append
}

func (p *partition) endOffset() int64 { return p.firstOffset + int64(len(p.records)) }

// appendResult is the result of an append.
type appendResult struct {
	status           int // HTTP status
	end              int64
	offset           int64
	reason           string // set with status 409: "fenced" or "seq"
	expectedSequence uint64
}

// State holds the store's topics. It is safe for concurrent use.
type State struct {
	mu     sync.Mutex
	topics map[string]*partition
}

// NewState returns a State without records.
func NewState() *State { return &State{topics: map[string]*partition{}} }

// partitionOf returns a topic's partition, which it creates at its first use. State.mu must
// be held.
func (s *State) partitionOf(name string) *partition {
	p, ok := s.topics[name]
	if !ok {
		p = &partition{
			values: map[string][]byte{}, offsets: map[string]int64{}, producers: map[string]*producer{}, appended: make(chan struct{}),
		}
		s.topics[name] = p
	}
	return p
}

// appendCondition holds the conditions of an append. A nil expectedEnd and an empty
// producer always hold.
type appendCondition struct {
	expectedEnd *int64
	producer    string
	epoch       uint64
	sequence    uint64
}

// append stores the records if the condition holds, and otherwise none of them.
func (s *State) append(topic string, records []record, c appendCondition) appendResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf(topic)
	var sender *producer
	if c.producer != "" {
		sender = p.producers[c.producer]
		if sender == nil {
			sender = &producer{}
			p.producers[c.producer] = sender
		}
		if out, done := sender.checkSequence(c, p.endOffset()); done {
			return out
		}
	}
	if c.expectedEnd != nil && *c.expectedEnd != p.endOffset() {
		return appendResult{status: 412, end: p.endOffset()}
	}
	offset := p.endOffset()
	for _, r := range records {
		p.appendRecord(r)
	}
	out := appendResult{status: 200, end: p.endOffset(), offset: offset}
	if sender != nil && len(records) > 0 { // an empty append takes no number
		sender.nextSequence, sender.hasNext = c.sequence+1, true
		sender.recent = append(sender.recent, acceptedAppend{c.sequence, out})
		if len(sender.recent) > recentAppends {
			sender.recent = sender.recent[1:]
		}
	}
	if len(records) > 0 {
		close(p.appended)
		p.appended = make(chan struct{})
	}
	return out
}

// checkSequence fences an append of an older epoch, and detects retries and gaps by the
// sequence number. done reports that the append has its result and must not be stored.
func (p *producer) checkSequence(c appendCondition, end int64) (out appendResult, done bool) {
	switch {
	case c.epoch < p.epoch:
		return appendResult{status: 409, reason: "fenced"}, true
	case c.epoch > p.epoch:
		p.epoch, p.hasNext, p.recent = c.epoch, false, nil
	}
	for _, a := range p.recent {
		if a.sequence == c.sequence {
			return a.result, true
		}
	}
	if p.hasNext && c.sequence != p.nextSequence {
		return appendResult{status: 409, reason: "seq", expectedSequence: p.nextSequence, end: end}, true
	}
	return appendResult{}, false
}

func (p *partition) appendRecord(r record) {
	offset := p.endOffset()
	p.records = append(p.records, r)
	if r.key == "" {
		return
	}
	if r.value == nil {
		delete(p.values, r.key)
		delete(p.offsets, r.key)
		return
	}
	p.values[r.key], p.offsets[r.key] = r.value, offset
}

// readFrom returns the records from an offset on, and a channel that is closed at the next
// append. expired reports that the offset is older than the oldest retained record.
func (s *State) readFrom(topic string, from int64) (records []record, first, end int64, expired bool, appended <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf(topic)
	if from < p.firstOffset {
		return nil, p.firstOffset, p.endOffset(), true, nil
	}
	if from < p.endOffset() {
		records = append(records, p.records[from-p.firstOffset:]...)
	}
	return records, p.firstOffset, p.endOffset(), false, p.appended
}

// item is the newest record of a key, as handleNewest returns it.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// newest returns up to limit keys after the given key, in order, each with its newest
// record; more reports that further keys follow.
func (s *State) newest(topic, after string, limit int) (items []item, more bool, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf(topic)
	keys := make([]string, 0, len(p.values))
	for k := range p.values {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > limit {
		keys, more = keys[:limit], true
	}
	for _, k := range keys {
		items = append(items, item{Key: k, Value: p.values[k], Offset: p.offsets[k]})
	}
	return items, more, p.endOffset()
}

// DropHistory expires all records of a topic. The newest value of each key stays available
// to handleNewest and Value.
func (s *State) DropHistory(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.partitionOf(topic)
	p.firstOffset, p.records = p.endOffset(), nil
}

// Put appends a record unconditionally, as the platform's operator does. An empty value
// deletes the key.
func (s *State) Put(topic, key string, value []byte) {
	r := record{key: key, content: append(append([]byte{byte(len(key))}, key...), value...)}
	if len(value) > 0 {
		r.value = value
	}
	s.append(topic, []record{r}, appendCondition{})
}

// Value returns the newest value of a key, or nil.
func (s *State) Value(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitionOf(topic).values[key]
}
