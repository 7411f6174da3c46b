// Package ident makes unique ids: ULIDs, which sort by time of creation.
package ident

import (
	"crypto/rand"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
)

// New returns a fresh id of 26 characters.
func New() string {
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}

// Valid reports whether s has the form of an id.
func Valid(s string) bool {
	_, err := ulid.ParseStrict(s)
	return err == nil
}

// FromKey returns the id that a client's idempotency key always gets.
func FromKey(scope, key string) string {
	const half = 8 // bytes of one hash
	var id ulid.ULID
	a := xxhash.Sum64String(scope + "\x00" + key)
	b := xxhash.Sum64String(key + "\x01" + scope)
	for i := range half {
		id[i] = byte(a >> (8 * i))
		id[half+i] = byte(b >> (8 * i))
	}
	return id.String()
}

// Shard returns the shard of a name among count shards.
func Shard(name string, count uint32) uint32 {
	if count == 0 {
		return 0
	}
	return uint32(xxhash.Sum64String(strings.ToLower(name)) % uint64(count))
}
