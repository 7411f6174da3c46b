package bodylimit

import (
	"io"
	"net/http"
	"time"
)

// maxHeaderFields bounds the header fields of a request. Each takes some hundred bytes, however
// short it is.
const maxHeaderFields = 128

// NewHandler returns a handler that bounds the time of reading a body which next does not read or does
// not read completely, and rejects requests with too many header fields. net/http itself waits for
// the rest of such a body, up to 256 KiB, without a bound in time: before it sends a response of more
// than 2 KiB, else after next has returned. next reads bodies with Budget.Read, which sets their deadline.
func NewHandler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		hasBody := r.ContentLength != 0
		switch {
		case countFields(r.Header) > maxHeaderFields:
			setDeadline(w, drainTime)
			w.Header().Set("Connection", "close")
			http.Error(w, "too many header fields", http.StatusRequestHeaderFieldsTooLarge)
		case !hasBody:
			next.ServeHTTP(w, r)
		default:
			setDeadline(w, drainTime)
			tracked := &trackedBody{ReadCloser: r.Body}
			copied := *r // net/http inspects the body of its own request
			copied.Body = tracked
			next.ServeHTTP(w, &copied)
			if !tracked.ended {
				setDeadline(w, drainTime)
			}
		}
	})
}

// countFields returns the number of header fields; several may have one name.
func countFields(h http.Header) int {
	n := 0
	for _, values := range h {
		n += len(values)
	}
	return n
}

func setDeadline(w http.ResponseWriter, after time.Duration) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(after))
}

// trackedBody records whether a body was read to its end. From then on a read deadline would end the
// request, since net/http reads on to notice that the client has gone.
type trackedBody struct {
	io.ReadCloser
	ended bool
}

func (b *trackedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	b.ended = b.ended || err != nil
	return n, err
}
