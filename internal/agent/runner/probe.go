package runner

import (
	"context"
	"net/http"
	"time"
)

const probeTimeout = 2 * time.Second

// Probe reports whether the endpoint answers its health check with status 200 within
// probeTimeout.
func (r *Runner) Probe(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+r.options.Endpoint+"/healthz", nil)
	if err != nil {
		return false
	}
	res, err := r.httpClient.Do(req)
	if err != nil {
		return false
	}
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}
