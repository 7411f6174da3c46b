//go:build review

package main

import (
	"bytes"
	"io"
	"net/http"
	"sync"
	"time"
)

// lossy stands before the store and loses answers to writes: such a write gets no answer and is
// carried out later, if its condition still holds then.
type lossy struct {
	journal *journal

	mu sync.Mutex
	// lose holds how much later the next writes of records are carried out; each takes one.
	lose []time.Duration
	// counting is set while the trouble lasts; writes and lost count the calls in it.
	counting     bool
	writes, lost int
	// confirmed counts the empty appends since the last append of records.
	confirmed int
}

// wrap returns a handler that loses answers of the store's handler.
func (l *lossy) wrap(caller string, store http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/v1/log-append" {
			store.ServeHTTP(w, r)
			return
		}
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return
		}
		query := r.URL.Query()
		delay, lost := l.next(len(body) > 0 && query.Get("producer") != "")
		what := "append by " + caller + " topic " + query.Get("topic") + " epoch " + query.Get("epoch") + " seq " + query.Get("seq")
		again := r.Clone(r.Context())
		again.Body = io.NopCloser(bytes.NewReader(body))
		if !lost {
			answer := &recorder{header: http.Header{}}
			store.ServeHTTP(answer, again)
			l.journal.log("store: %s, %d bytes: %d %s", what, len(body), answer.status, bytes.TrimSpace(answer.body.Bytes()))
			for k, v := range answer.header {
				w.Header()[k] = v
			}
			w.WriteHeader(answer.status)
			_, _ = w.Write(answer.body.Bytes())
			return
		}
		l.journal.log("store: %s, %d bytes: no answer, carried out %v later", what, len(body), delay)
		time.AfterFunc(delay, func() {
			answer := &recorder{header: http.Header{}}
			store.ServeHTTP(answer, again)
			l.journal.log("store: %s, %d bytes, late: %d %s", what, len(body), answer.status, bytes.TrimSpace(answer.body.Bytes()))
		})
		<-r.Context().Done()
	})
}

// next decides whether an append loses its answer.
func (l *lossy) next(records bool) (time.Duration, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.counting {
		l.writes++
	}
	if !records {
		l.confirmed++
		return 0, false
	}
	l.confirmed = 0
	if len(l.lose) == 0 {
		return 0, false
	}
	delay := l.lose[0]
	l.lose = l.lose[1:]
	l.lost++
	return delay, true
}

// loseNext makes the next writes of records lose their answers.
func (l *lossy) loseNext(delays ...time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lose = delays
}

// confirmations returns the number of empty appends since the last append of records.
func (l *lossy) confirmations() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.confirmed
}

// recorder keeps a response.
type recorder struct {
	header http.Header
	status int
	body   bytes.Buffer
}

func (r *recorder) Header() http.Header { return r.header }

func (r *recorder) WriteHeader(status int) {
	if r.status == 0 {
		r.status = status
	}
}

func (r *recorder) Write(b []byte) (int, error) {
	r.WriteHeader(http.StatusOK)
	return r.body.Write(b)
}
