package metastore

import (
	"bytes"
	"io"
	"net/http"
)

// discard is a response that nobody reads.
type discard struct{}

func (discard) Header() http.Header         { return http.Header{} }
func (discard) Write(b []byte) (int, error) { return len(b), nil }
func (discard) WriteHeader(int)             {}

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }
