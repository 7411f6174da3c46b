package admit

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/internal/fault"
	"chervilridge/internal/request"
)

// blockingHandler signals entered and keeps the request in flight until proceed is
// closed.
type blockingHandler struct{ entered, proceed chan struct{} }

func (h blockingHandler) Handle(context.Context, *request.Request) (*request.Answer, error) {
	h.entered <- struct{}{}
	<-h.proceed
	return &request.Answer{}, nil
}

func newRequest() *request.Request {
	return &request.Request{Client: "fitter", Service: "quotedesk", Deadline: time.Now().Add(time.Hour)}
}

// TestLimits keeps one request in flight and checks whether a second is admitted.
func TestLimits(t *testing.T) {
	cases := []struct {
		name        string
		maxInFlight int64
		change      func(r *request.Request)
		leave       bool
		want        fault.Code // empty if admitted
	}{
		{"no limit", 10, func(*request.Request) {}, false, ""},
		{"entry", 1, func(*request.Request) {}, false, fault.CodeOverloaded},
		{"client", 10, func(r *request.Request) { r.ClientLimit = 1 }, false, fault.CodeOverloaded},
		{"another client", 10, func(r *request.Request) { r.Client, r.ClientLimit = "other", 1 }, false, ""},
		{"service", 10, func(r *request.Request) { r.Client, r.ServiceLimit = "other", 1 }, false, fault.CodeOverloaded},
		{"leaving", 10, func(*request.Request) {}, true, fault.CodeLeaving},
		{"late", 10, func(r *request.Request) { r.Deadline = time.Now() }, false, fault.CodeTooLate},
	}
	for _, c := range cases {
		h := blockingHandler{make(chan struct{}, 2), make(chan struct{})}
		f := New(h, c.maxInFlight)
		done := make(chan error, 1)
		go func() {
			_, err := f.Handle(context.Background(), newRequest())
			done <- err
		}()
		<-h.entered
		if c.leave {
			f.StopAdmitting()
		}
		if c.want == "" {
			close(h.proceed)
		}
		r := newRequest()
		c.change(r)
		_, err := f.Handle(context.Background(), r)
		if c.want == "" {
			assert.NilError(t, err, c.name)
		} else {
			assert.Equal(t, fault.As(err).Code, c.want, c.name)
			assert.Equal(t, fault.As(err).Outcome, fault.NotRun, c.name)
			close(h.proceed)
		}
		assert.NilError(t, <-done, c.name)
		assert.Equal(t, f.InFlight(), int64(0), c.name)
		assert.Equal(t, len(f.byClient)+len(f.byService), 0, c.name)
	}
}
