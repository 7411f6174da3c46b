package metastore

import (
	"encoding/binary"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	pageItems = 500
	maxWait   = 30 * time.Second
	maxBody   = 4 << 20
)

// Faults are what is wrong with the store. The zero value is a sound store.
type Faults struct {
	// Down rejects all calls with 503, Silent leaves them unanswered.
	Down, Silent bool
	// Delay is added to each answer.
	Delay time.Duration
	// LostShare is the share of appends that are carried out and not answered, Late is
	// how much later they are carried out.
	LostShare float64
	Late      time.Duration
	// Refused are the machines that are turned away with 503.
	Refused map[string]bool
}

// Server serves a state over HTTP. It is safe for concurrent use.
type Server struct {
	State *State

	mu     sync.Mutex
	faults Faults
	random *rand.Rand
	calls  int
}

// NewServer returns a sound store.
func NewServer(state *State, seed uint64) *Server {
	return &Server{State: state, random: rand.New(rand.NewPCG(seed, seed))}
}

// Set replaces the faults.
func (s *Server) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Calls returns how many calls came.
func (s *Server) Calls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls
}

// Handler returns the HTTP handler of the protocol. machine names who calls it; a
// deployment that tells machines apart serves each of them at an address of its own.
func (s *Server) Handler(machine string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.faulty(machine, s.handleAppend))
	mux.HandleFunc("GET /v1/log-read", s.faulty(machine, s.handleRead))
	mux.HandleFunc("GET /v1/log-newest", s.faulty(machine, s.handleNewest))
	mux.HandleFunc("PUT /standin/faults", s.handleFaults)
	mux.HandleFunc("PUT /standin/records", s.handlePut)
	return mux
}

// draw returns the faults in force and whether this call's answer is lost.
func (s *Server) draw() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.calls++
	return s.faults, s.random.Float64() < s.faults.LostShare
}

func (s *Server) faulty(machine string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, lost := s.draw()
		switch {
		case f.Silent:
			_, _ = io.Copy(io.Discard, r.Body) // a closed connection shows only behind the body
			<-r.Context().Done()
			return
		case f.Down || f.Refused[machine]:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(f.Delay)
		if lost && r.Method == http.MethodPost {
			s.lose(w, r, f, next)
			return
		}
		next(w, r)
	}
}

// lose carries a call out, now or later, and never answers.
func (s *Server) lose(w http.ResponseWriter, r *http.Request, f Faults, next http.HandlerFunc) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxBody))
	again := r.Clone(r.Context())
	again.Body = io.NopCloser(newReader(body))
	carryOut := func() { next(discard{}, again) }
	if f.Late > 0 {
		time.AfterFunc(f.Late, carryOut)
	} else {
		carryOut()
	}
	<-r.Context().Done()
	_ = w
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	records, ok := split(body)
	if !ok {
		http.Error(w, "records are cut off", http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	c := condition{producer: query.Get("producer"), epoch: number(query.Get("epoch")), sequence: number(query.Get("seq"))}
	if query.Has("at") {
		at := int64(number(query.Get("at")))
		c.at = &at
	}
	out := s.State.append(query.Get("topic"), records, c)
	reply := map[string]any{"end": out.end}
	switch out.status {
	case http.StatusOK:
		reply["offset"] = out.offset
	case http.StatusConflict:
		reply = map[string]any{"reason": out.reason, "seq": out.expected}
	}
	writeJSON(w, out.status, reply)
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from := int64(number(query.Get("from")))
	wait := min(time.Duration(number(query.Get("wait-ms")))*time.Millisecond, maxWait)
	deadline := time.After(wait)
	for {
		records, first, end, gone, grown := s.State.read(query.Get("topic"), from)
		if gone {
			writeJSON(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if len(records) == 0 && wait > 0 {
			select {
			case <-grown:
				continue
			case <-deadline:
			case <-r.Context().Done():
				return
			}
			wait = 0
		}
		_, _ = w.Write(encode(records, first, end))
		return
	}
}

func (s *Server) handleNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	items, more, end := s.State.newest(query.Get("topic"), query.Get("after"), pageItems)
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end": end})
}

// handleFaults sets faults from a JSON body.
func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
}

// handlePut writes a record as the operator does.
func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxBody))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.State.Put(r.URL.Query().Get("topic"), r.URL.Query().Get("key"), value)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

// split cuts a body into records of a topic with keys.
func split(body []byte) ([]record, bool) {
	var out []record
	for len(body) > 0 {
		if len(body) < 4 {
			return nil, false
		}
		size := int(binary.BigEndian.Uint32(body))
		body = body[4:]
		if len(body) < size || size < 1 || size < 1+int(body[0]) {
			return nil, false
		}
		content := body[:size]
		end := 1 + int(content[0])
		r := record{key: string(content[1:end]), content: content}
		if end < size {
			r.value = content[end:]
		}
		out = append(out, r)
		body = body[size:]
	}
	return out, true
}

func encode(records []record, first, end int64) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r.content)))
		out = append(out, r.content...)
	}
	return out
}
