package metastore

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"
)

// TestAppendsOfAProducer checks the rules of the page for epochs, sequence numbers and repeats.
func TestAppendsOfAProducer(t *testing.T) {
	const firstSequence, epoch = 40, 3
	s := NewState()
	appendWith := func(epoch, sequence uint64, keys ...string) appendResult {
		var records []record
		for _, key := range keys {
			records = append(records, record{key: key, value: []byte("v")})
		}
		return s.append("t", records, appendCondition{producer: "p", epoch: epoch, sequence: sequence})
	}
	assert.Equal(t, appendWith(epoch, firstSequence).status, http.StatusOK)
	var first []appendResult
	for i := range uint64(recentAppends + 1) {
		assert.Equal(t, appendWith(epoch, firstSequence+i).status, http.StatusOK, "an empty append takes no number")
		first = append(first, appendWith(epoch, firstSequence+i, "a", "b"))
		assert.Equal(t, first[i], appendResult{status: http.StatusOK, offset: int64(2 * i), end: int64(2*i + 2)})
	}
	for i := range first[1:] {
		repeat := appendWith(epoch, firstSequence+1+uint64(i), "other")
		assert.Equal(t, repeat, first[i+1])
	}
	next := uint64(firstSequence + len(first))
	tooOld := appendWith(epoch, firstSequence, "a", "b")
	assert.Equal(t, tooOld, appendResult{status: http.StatusConflict, reason: "seq", expectedSequence: next, end: int64(2 * len(first))})
	assert.Equal(t, appendWith(epoch, next+1, "a").reason, "seq")
	assert.Equal(t, appendWith(epoch-1, next, "a").reason, "fenced")
	assert.Equal(t, appendWith(epoch+1, 7, "a").status, http.StatusOK, "a higher epoch starts at any number")
	assert.Equal(t, appendWith(epoch, next, "a").reason, "fenced")
}
