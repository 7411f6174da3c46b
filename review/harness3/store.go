//go:build review3

package main

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store.
const (
	storeDelay     = 4 * time.Millisecond
	pageItems      = 500
	pageBytes      = 1 << 20
	readBytes      = 1 << 20
	recordBytes    = 262144
	requestBytes   = 2097152
	repeatsKnown   = 5
	maxReadWaiting = 30 * time.Second
)

// store is a stand-in for the platform's store: topics with one partition each.
type store struct {
	mu     sync.Mutex
	topics map[string]*topic
	delay  time.Duration // of each answer
}

type topic struct {
	records   [][]byte // content, from offset 0
	first     int64    // records before it have expired
	newest    map[string]newest
	producers map[string]*producer
	appended  chan struct{}
}

type newest struct {
	value  []byte
	offset int64
}

type producer struct {
	epoch, next uint64
	known       bool
	recent      []repeat
}

type repeat struct {
	sequence uint64
	answer   map[string]any
}

func newStore() *store { return &store{topics: map[string]*topic{}, delay: storeDelay} }

// topic returns a topic, which is created on first use. The caller holds mu.
func (s *store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = &topic{newest: map[string]newest{}, producers: map[string]*producer{}, appended: make(chan struct{})}
		s.topics[name] = t
	}
	return t
}

// put writes a keyed record, as the operator does. A nil value drops the key.
func (s *store) put(name, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.topic(name).add([][]byte{append(append([]byte{byte(len(key))}, key...), value...)})
}

// add appends records and wakes readers. The store's mu is held.
func (t *topic) add(contents [][]byte) {
	for _, c := range contents {
		offset := int64(len(t.records))
		t.records = append(t.records, c)
		key, value := string(c[1:1+int(c[0])]), c[1+int(c[0]):]
		if len(value) == 0 {
			delete(t.newest, key)
			continue
		}
		t.newest[key] = newest{value, offset}
	}
	close(t.appended)
	t.appended = make(chan struct{})
}

func (s *store) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.append)
	mux.HandleFunc("GET /v1/log-read", s.read)
	mux.HandleFunc("GET /v1/log-newest", s.newestPage)
	return mux
}

// setSlow makes each answer take so many times as long.
func (s *store) setSlow(factor int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.delay = time.Duration(factor) * storeDelay
}

// wait waits for as long as an answer takes.
func (s *store) wait() {
	s.mu.Lock()
	delay := s.delay
	s.mu.Unlock()
	time.Sleep(delay)
}

func answer(w http.ResponseWriter, status int, body map[string]any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// split returns the records of an append, or false if one is malformed or too large.
func split(body []byte) ([][]byte, bool) {
	var out [][]byte
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		if size < 1 || size > recordBytes || len(body) < 4+size || size < 1+int(body[4]) {
			return nil, false
		}
		out, body = append(out, body[4:4+size]), body[4+size:]
	}
	return out, true
}

func (s *store) append(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, requestBytes))
	contents, ok := split(body)
	if err != nil || !ok {
		answer(w, http.StatusBadRequest, map[string]any{"reason": "malformed"})
		return
	}
	s.wait()
	q := r.URL.Query()
	epoch, _ := strconv.ParseUint(q.Get("epoch"), 10, 64)
	sequence, _ := strconv.ParseUint(q.Get("seq"), 10, 64)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.topic(q.Get("topic"))
	if q.Has("at") && q.Get("at") != strconv.Itoa(len(t.records)) {
		answer(w, http.StatusPreconditionFailed, map[string]any{"end": len(t.records)})
		return
	}
	var p *producer
	if name := q.Get("producer"); name != "" {
		if p = t.producers[name]; p == nil {
			p = &producer{}
			t.producers[name] = p
		}
		if epoch < p.epoch {
			answer(w, http.StatusConflict, map[string]any{"reason": "fenced"})
			return
		}
		if epoch > p.epoch {
			*p = producer{epoch: epoch}
		}
		for _, known := range p.recent {
			if known.sequence == sequence && len(contents) > 0 {
				answer(w, http.StatusOK, known.answer)
				return
			}
		}
		if p.known && sequence != p.next && len(contents) > 0 {
			answer(w, http.StatusConflict, map[string]any{"reason": "seq", "seq": p.next})
			return
		}
	}
	out := map[string]any{"offset": len(t.records), "end": len(t.records) + len(contents)}
	if len(contents) > 0 {
		t.add(contents)
		if p != nil {
			p.next, p.known = sequence+1, true
			p.recent = append(p.recent, repeat{sequence, out})
			p.recent = p.recent[max(0, len(p.recent)-repeatsKnown):]
		}
	}
	answer(w, http.StatusOK, out)
}

func (s *store) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	from, _ := strconv.ParseInt(q.Get("from"), 10, 64)
	ms, _ := strconv.Atoi(q.Get("wait-ms"))
	s.wait()
	timeout := time.After(min(time.Duration(ms)*time.Millisecond, maxReadWaiting))
	for waiting := ms > 0; ; {
		s.mu.Lock()
		t := s.topic(q.Get("topic"))
		first, end, appended := t.first, int64(len(t.records)), t.appended
		var out []byte
		for o := max(from, first); from >= first && o < end && len(out) < readBytes; o++ {
			out = binary.BigEndian.AppendUint32(out, uint32(len(t.records[o])))
			out = append(out, t.records[o]...)
		}
		s.mu.Unlock()
		if from < first {
			answer(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if len(out) > 0 || !waiting {
			head := binary.BigEndian.AppendUint64(nil, uint64(end))
			_, _ = w.Write(append(binary.BigEndian.AppendUint64(head, uint64(first)), out...))
			return
		}
		select {
		case <-appended:
		case <-timeout:
			waiting = false
		case <-r.Context().Done():
			return
		}
	}
}

func (s *store) newestPage(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	s.wait()
	type item struct {
		Key    string `json:"key"`
		Value  []byte `json:"value"`
		Offset int64  `json:"offset"`
	}
	s.mu.Lock()
	t := s.topic(q.Get("topic"))
	var keys []string
	for k := range t.newest {
		if k > q.Get("after") {
			keys = append(keys, k)
		}
	}
	slices.Sort(keys)
	items, size := []item{}, 0
	for _, k := range keys {
		n := t.newest[k]
		if size += len(k) + len(n.value); len(items) > 0 && (size > pageBytes || len(items) == pageItems) {
			break
		}
		items = append(items, item{k, n.value, n.offset})
	}
	more, end := len(items) < len(keys), len(t.records)
	s.mu.Unlock()
	answer(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end": end})
}
