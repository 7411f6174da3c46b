package ramp

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestShare checks that the share grows from the first to all in the stated time.
func TestShare(t *testing.T) {
	assert.Equal(t, Share(0), FirstShare)
	assert.Equal(t, Share(Duration), 1.0)
	assert.Equal(t, Share(2*Duration), 1.0)
	last := 0.0
	for back := time.Duration(0); back <= Duration; back += time.Second {
		s := Share(back)
		assert.Check(t, s > last)
		last = s
	}
}
