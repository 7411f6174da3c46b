package schedulestore

import "time"

// The pause between attempts starts at initialPause and doubles up to maxPause.
const (
	initialPause = 20 * time.Millisecond
	maxPause     = 250 * time.Millisecond
)

// RetryPause is the pause between the attempts of an append. The zero value is ready for
// use.
type RetryPause struct{ last time.Duration }

// Next returns the next pause, which is twice as long as the one before.
func (p *RetryPause) Next() time.Duration {
	p.last = min(max(2*p.last, initialPause), maxPause)
	return p.last
}
