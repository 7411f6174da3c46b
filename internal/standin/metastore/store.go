// Package metastore is a stand-in for the platform's store, with faults that can be
// switched on. It speaks the store's published protocol and keeps all in memory.
package metastore

import (
	"sort"
	"sync"
)

// repeats is how many of the last appends of a producer get their first response again.
const repeats = 5

// record is one record of a partition. A nil value deletes the key.
type record struct {
	key     string
	value   []byte
	content []byte
}

// producer is what a partition remembers of one producer.
type producer struct {
	epoch  uint64
	next   uint64
	known  bool // whether next is set
	recent []answered
}

type answered struct {
	sequence uint64
	end      int64
}

// partition is the log of one topic; every topic has one partition here.
type partition struct {
	first     int64 // offset of the oldest record that is retained
	records   []record
	values    map[string][]byte
	offsets   map[string]int64
	producers map[string]*producer
	grown     chan struct{} // closed when a record is appended
}

func (p *partition) end() int64 { return p.first + int64(len(p.records)) }

// outcome of an append.
type outcome struct {
	status   int
	end      int64
	offset   int64
	reason   string
	expected uint64
}

// State is the store's content. It is safe for concurrent use.
type State struct {
	mu     sync.Mutex
	topics map[string]*partition
}

// NewState returns an empty store.
func NewState() *State { return &State{topics: map[string]*partition{}} }

func (s *State) topic(name string) *partition {
	p, ok := s.topics[name]
	if !ok {
		p = &partition{
			values: map[string][]byte{}, offsets: map[string]int64{}, producers: map[string]*producer{}, grown: make(chan struct{}),
		}
		s.topics[name] = p
	}
	return p
}

// condition is what an append depends on.
type condition struct {
	at       *int64
	producer string
	epoch    uint64
	sequence uint64
}

// append stores the records if the condition holds.
func (s *State) append(topic string, records []record, c condition) outcome {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.topic(topic)
	var from *producer
	if c.producer != "" {
		from = p.producers[c.producer]
		if from == nil {
			from = &producer{}
			p.producers[c.producer] = from
		}
		if out, decided := from.check(c, p.end()); decided {
			return out
		}
	}
	if c.at != nil && *c.at != p.end() {
		return outcome{status: 412, end: p.end()}
	}
	offset := p.end()
	for _, r := range records {
		p.add(r)
	}
	if from != nil && len(records) > 0 {
		from.next, from.known = c.sequence+1, true
		from.recent = append(from.recent, answered{c.sequence, p.end()})
		if len(from.recent) > repeats {
			from.recent = from.recent[1:]
		}
	}
	if len(records) > 0 {
		close(p.grown)
		p.grown = make(chan struct{})
	}
	return outcome{status: 200, end: p.end(), offset: offset}
}

// check applies epoch and sequence number; decided is set if the append ends here.
func (f *producer) check(c condition, end int64) (out outcome, decided bool) {
	switch {
	case c.epoch < f.epoch:
		return outcome{status: 409, reason: "fenced"}, true
	case c.epoch > f.epoch:
		f.epoch, f.known, f.recent = c.epoch, false, nil
	}
	for _, a := range f.recent {
		if a.sequence == c.sequence {
			return outcome{status: 200, end: a.end}, true
		}
	}
	if f.known && c.sequence != f.next {
		return outcome{status: 409, reason: "seq", expected: f.next, end: end}, true
	}
	return outcome{}, false
}

func (p *partition) add(r record) {
	offset := p.end()
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

// read returns the records from an offset on; gone is set if they have expired.
func (s *State) read(topic string, from int64) (records []record, first, end int64, gone bool, grown <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.topic(topic)
	if from < p.first {
		return nil, p.first, p.end(), true, nil
	}
	if from < p.end() {
		records = append(records, p.records[from-p.first:]...)
	}
	return records, p.first, p.end(), false, p.grown
}

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
}

// newest returns a page of the newest record of each key.
func (s *State) newest(topic, after string, most int) (items []item, more bool, end int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.topic(topic)
	keys := make([]string, 0, len(p.values))
	for k := range p.values {
		if k > after {
			keys = append(keys, k)
		}
	}
	sort.Strings(keys)
	if len(keys) > most {
		keys, more = keys[:most], true
	}
	for _, k := range keys {
		items = append(items, item{Key: k, Value: p.values[k], Offset: p.offsets[k]})
	}
	return items, more, p.end()
}

// Forget drops the history of a topic; the newest record of each key stays.
func (s *State) Forget(topic string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := s.topic(topic)
	p.first, p.records = p.end(), nil
}

// Put writes a record as the operator does; an empty value deletes the key.
func (s *State) Put(topic, key string, value []byte) {
	r := record{key: key, content: append(append([]byte{byte(len(key))}, key...), value...)}
	if len(value) > 0 {
		r.value = value
	}
	s.append(topic, []record{r}, condition{})
}

// Value returns the newest value of a key.
func (s *State) Value(topic, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.topic(topic).values[key]
}
