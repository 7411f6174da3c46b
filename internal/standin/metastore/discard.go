package metastore

import (
	"bytes"
	"io"
	"net/http"
)

// discardResponse is an http.ResponseWriter that discards the response.
type discardResponse struct{}

func (discardResponse) Header() http.Header         { return http.Header{} }
func (discardResponse) Write(b []byte) (int, error) { return len(b), nil }
func (discardResponse) WriteHeader(int)             {}

func newReader(b []byte) io.Reader { return bytes.NewReader(b) }
