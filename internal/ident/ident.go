// Package ident generates and validates ids, which have the form of ULIDs.
package ident

import (
	"crypto/rand"

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
