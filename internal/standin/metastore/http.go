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
	maxPageItems = 500
	maxReadWait  = 30 * time.Second
	maxBodyBytes = 4 << 20
)

// Faults are the faults to inject into calls of the store. The zero value injects none.
type Faults struct {
	// Down rejects all calls with status 503.
	Down bool
	// Unresponsive leaves all calls without a response.
	Unresponsive bool `json:"Silent"`
	// Delay is added to the response time.
	Delay time.Duration
	// LostResponseShare is the share of appends, from 0 to 1, that take effect without a
	// response.
	LostResponseShare float64 `json:"LostShare"`
	// LostAppendDelay is how much later the appends without a response take effect.
	LostAppendDelay time.Duration `json:"Late"`
	// RejectedCallers are the callers, as named to Handler, whose calls are rejected with
	// status 503.
	RejectedCallers map[string]bool `json:"Refused"`
}

// Server serves a State over HTTP and injects faults. It is safe for concurrent use.
type Server struct {
	State *State

	mu     sync.Mutex
	faults Faults
	random *rand.Rand // draws the appends whose response is lost
}

// NewServer returns a server without faults; seed determines which responses are lost.
func NewServer(state *State, seed uint64) *Server {
	return &Server{State: state, random: rand.New(rand.NewPCG(seed, seed))}
}

// SetFaults replaces the active faults.
func (s *Server) SetFaults(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Handler returns the HTTP handler of the store's protocol for one caller, which
// Faults.RejectedCallers can name. To tell callers apart, serve each one's handler at an
// address of its own.
func (s *Server) Handler(caller string) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/log-append", s.withFaults(caller, s.handleAppend))
	mux.HandleFunc("GET /v1/log-read", s.withFaults(caller, s.handleRead))
	mux.HandleFunc("GET /v1/log-newest", s.withFaults(caller, s.handleNewest))
	mux.HandleFunc("PUT /standin/faults", s.handleFaults)
	mux.HandleFunc("PUT /standin/records", s.handlePut)
	return mux
}

// drawFaults counts a call and returns the active faults and whether the call's response
// is to be lost.
func (s *Server) drawFaults() (Faults, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults, s.random.Float64() < s.faults.LostResponseShare
}

// withFaults wraps a handler with the injection of the active faults.
func (s *Server) withFaults(caller string, next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		f, lost := s.drawFaults()
		switch {
		case f.Unresponsive:
			// The server detects a closed connection only once the body has been read.
			_, _ = io.Copy(io.Discard, r.Body)
			<-r.Context().Done()
			return
		case f.Down || f.RejectedCallers[caller]:
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		time.Sleep(f.Delay)
		if lost && r.Method == http.MethodPost {
			s.loseResponse(w, r, f, next)
			return
		}
		next(w, r)
	}
}

// loseResponse processes a call, after Faults.LostAppendDelay, and never sends a response.
func (s *Server) loseResponse(w http.ResponseWriter, r *http.Request, f Faults, next http.HandlerFunc) {
	body, _ := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	clone := r.Clone(r.Context())
	clone.Body = io.NopCloser(newReader(body))
	process := func() { next(discardResponse{}, clone) }
	if f.LostAppendDelay > 0 {
		time.AfterFunc(f.LostAppendDelay, process)
	} else {
		process()
	}
	<-r.Context().Done()
	_ = w
}

func (s *Server) handleAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	records, ok := decodeRecords(body)
	if !ok {
		http.Error(w, "body holds a truncated or malformed record", http.StatusBadRequest)
		return
	}
	query := r.URL.Query()
	c := appendCondition{producer: query.Get("producer"), epoch: parseUint(query.Get("epoch")), sequence: parseUint(query.Get("seq"))}
	if query.Has("at") {
		at := int64(parseUint(query.Get("at")))
		c.expectedEnd = &at
	}
	out := s.State.append(query.Get("topic"), records, c)
	reply := map[string]any{"end": out.end}
	switch out.status {
	case http.StatusOK:
		reply["offset"] = out.offset
	case http.StatusConflict:
		reply = map[string]any{"reason": out.reason, "seq": out.expectedSequence}
	}
	writeJSON(w, out.status, reply)
}

func (s *Server) handleRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from := int64(parseUint(query.Get("from")))
	wait := min(time.Duration(parseUint(query.Get("wait-ms")))*time.Millisecond, maxReadWait)
	deadline := time.After(wait)
	for {
		records, first, end, expired, appended := s.State.readFrom(query.Get("topic"), from)
		if expired {
			writeJSON(w, http.StatusGone, map[string]any{"first": first})
			return
		}
		if len(records) == 0 && wait > 0 {
			select {
			case <-appended:
				continue
			case <-deadline:
			case <-r.Context().Done():
				return
			}
			wait = 0
		}
		_, _ = w.Write(encodeRecords(records, first, end))
		return
	}
}

func (s *Server) handleNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	items, more, end := s.State.newest(query.Get("topic"), query.Get("after"), maxPageItems)
	writeJSON(w, http.StatusOK, map[string]any{"items": items, "has-more": more, "end": end})
}

// handleFaults replaces the active faults by those of the JSON body.
func (s *Server) handleFaults(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.SetFaults(f)
}

// handlePut writes a record, as the platform's operator does.
func (s *Server) handlePut(w http.ResponseWriter, r *http.Request) {
	value, err := io.ReadAll(io.LimitReader(r.Body, maxBodyBytes))
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

// parseUint returns 0 for a text that is not a number.
func parseUint(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

// decodeRecords decodes the body of an append: each record has a 4-byte length, a 1-byte
// key length, the key and the value. It reports false for a truncated or malformed body.
func decodeRecords(body []byte) ([]record, bool) {
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

// encodeRecords encodes the response of a read: the end offset, the first retained offset
// and the records, each with a 4-byte length.
func encodeRecords(records []record, first, end int64) []byte {
	out := binary.BigEndian.AppendUint64(nil, uint64(end))
	out = binary.BigEndian.AppendUint64(out, uint64(first))
	for _, r := range records {
		out = binary.BigEndian.AppendUint32(out, uint32(len(r.content)))
		out = append(out, r.content...)
	}
	return out
}
