package jobentry

import (
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chervilridge/platform"
)

func TestClientDeadline(t *testing.T) {
	cases := []struct {
		header string
		want   time.Duration
	}{
		{"", defaultDeadline},
		{"soon", defaultDeadline},
		{"-5", defaultDeadline},
		{"NaN", defaultDeadline},
		{"+Inf", maxDeadline},
		{"1e30", maxDeadline},
		{"1", minDeadline + replyMargin},
		{"2500.5", 2500*time.Millisecond + 500*time.Microsecond},
	}
	for _, c := range cases {
		r := &http.Request{Header: http.Header{}}
		r.Header.Set(platform.HeaderDeadline, c.header)
		assert.Equal(t, clientDeadline(r), c.want, "header %q", c.header)
	}
}
