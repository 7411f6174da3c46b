// Package ident generates and validates ids, which have the form of ULIDs, and maps names
// to shards.
package ident

import (
	"crypto/rand"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/oklog/ulid/v2"
)

// New returns a new random ULID of 26 characters. Its first part is the current time, so
// that ids sort by creation time.
func New() string {
	return ulid.MustNew(ulid.Now(), rand.Reader).String()
}

// Valid reports whether s is a well-formed ULID.
func Valid(s string) bool {
	_, err := ulid.ParseStrict(s)
	return err == nil
}

// FromKey derives an id from an idempotency key and the scope in which it is unique. Equal
// arguments give equal ids. The id holds two hashes and, unlike one of New, no time.
func FromKey(scope, key string) string {
	const hashBytes = 8 // a ULID holds two 64-bit hashes
	var id ulid.ULID
	a := xxhash.Sum64String(scope + "\x00" + key)
	b := xxhash.Sum64String(key + "\x01" + scope)
	for i := range hashBytes {
		id[i] = byte(a >> (8 * i))
		id[hashBytes+i] = byte(b >> (8 * i))
	}
	return id.String()
}

// Shard maps a name to one of count shards, ignoring case. It returns 0 if count is 0.
func Shard(name string, count uint32) uint32 {
	if count == 0 {
		return 0
	}
	return uint32(xxhash.Sum64String(strings.ToLower(name)) % uint64(count))
}
