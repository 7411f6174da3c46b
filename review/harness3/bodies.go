//go:build review3

package main

import (
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

const (
	largeClients   = 24  // clients that send large bodies at once
	largeBodyCount = 900 // large bodies in all, at most
	// largeTime is how long they send, largePause the pause of one that got no success.
	largeTime     = 40 * time.Second
	largePause    = time.Second
	ordinaryPause = 250 * time.Millisecond
	// observedTime is how long ordinary clients go on after the first large body.
	observedTime = 55 * time.Second
)

// largeBody returns the body of a job that is just below the largest legal size: many small steps.
func largeBody() string {
	var b strings.Builder
	startAt := time.Now().Add(time.Hour).UnixMilli()
	fmt.Fprintf(&b, `{"task-spec":"%s","repeat-count":1,"start-at-ms":%d,"interval-ms":60000,"task-groups":[`, strings.Repeat("x", 4000), startAt)
	for i := 0; i < 10000 && b.Len() < maxBodyBytes-200; i++ {
		if i > 0 {
			b.WriteByte(',')
		}
		fmt.Fprintf(&b, `{"count":1,"cpu":%d}`, 1000+i%1000)
	}
	b.WriteString("]}")
	return b.String()
}

func ordinaryBody() string {
	return `{"task-spec":"price","task-groups":[{"count":2,"cpu":480,"mem-mb":960,"estimate-ms":300}]}`
}

// largeBodies has clients send many large bodies of legal size, whole, while ordinary ones go on.
func largeBodies(r *record, trouble bool) (verdict, error) {
	s, err := newSite(r, 3)
	if err != nil {
		return verdict{}, err
	}
	defer s.close()
	if err := s.start(3, 6, 3); err != nil {
		return verdict{}, err
	}
	r.log("3 entries are ready")
	var accepted, refused, silent atomic.Int64
	if trouble {
		body := largeBody()
		r.log("%d clients begin to send %d bodies of %d bytes, whole; the limit is %d", largeClients, largeBodyCount, len(body), maxBodyBytes)
		var next atomic.Int64
		for c := range largeClients {
			go func() {
				for n := next.Add(1); n <= largeBodyCount && time.Since(r.start) < largeTime; n = next.Add(1) {
					id := fmt.Sprintf("%016x", 0x2000000000000000+n)
					status, answer := s.call(c%3, "POST", id, body)
					switch {
					case status == 200:
						accepted.Add(1)
					case status == 0:
						silent.Add(1)
					default:
						refused.Add(1)
					}
					r.log("large %s at edge-%d: %d %.80s", id, c%3+1, status, answer)
					if status != 200 {
						time.Sleep(largePause)
					}
				}
			}()
		}
	}
	began := time.Now()
	var mu sync.Mutex
	jobs := map[string]bool{} // accepted ordinary jobs, and whether they were shown as completed
	lastAnswer := time.Now()
	longest := time.Duration(0)
	answered := func() {
		mu.Lock()
		defer mu.Unlock()
		longest = max(longest, time.Since(lastAnswer))
		lastAnswer = time.Now()
	}
	var wg sync.WaitGroup
	for i := 0; time.Since(began) < observedTime; i++ {
		wg.Go(func() {
			id := fmt.Sprintf("%016x", 0x1000000000000000+i)
			for try := range 3 {
				status, answer := s.call((i+try)%3, "POST", id, ordinaryBody())
				r.log("ordinary %s at edge-%d: %d %.80s", id, (i+try)%3+1, status, answer)
				if status != 0 && status != 503 && status != 504 {
					answered()
				}
				if status == 200 {
					mu.Lock()
					jobs[id] = false
					mu.Unlock()
					return
				}
			}
		})
		time.Sleep(ordinaryPause)
	}
	wg.Wait()
	answered()
	r.log("asking for %d accepted ordinary jobs", len(jobs))
	unknown, open := 0, 0
	end := time.Now().Add(14 * time.Second)
	for {
		unknown, open = 0, 0
		for id, completed := range jobs {
			if completed {
				continue
			}
			status, answer := s.call(len(id)%3, "GET", id, "")
			switch {
			case status == 200 && strings.Contains(answer, "completed"):
				jobs[id] = true
			case status == 200:
				open++
			default:
				unknown++
			}
			if time.Now().After(end) {
				break
			}
		}
		if unknown+open == 0 || time.Now().After(end) {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	machines := 0
	for _, p := range append(append([]*process{}, s.entries...), s.agents...) {
		p.mu.Lock()
		r.log("%s: ended %d times, %d of them by its memory; at most %d of %d MB", p.name, p.ended, p.exceeded, p.peak, p.memoryMB)
		if p.exceeded >= 3 {
			machines++
		}
		p.mu.Unlock()
	}
	text := fmt.Sprintf("%d machines whose process exceeded its memory three times or more; %d large bodies accepted, %d refused, %d without an answer; %d ordinary jobs accepted, %d of them without an answer at the end, %d not completed; longest time without an answer to an ordinary job %.1f s",
		machines, accepted.Load(), refused.Load(), silent.Load(), len(jobs), unknown, open, longest.Seconds())
	return verdict{broken: machines >= 2, text: text}, nil
}
