package runner

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	pb "chervilridge/api/chervil/v1"
	"chervilridge/internal/events"
	"chervilridge/internal/peer"
)

// maxAnswerBytes leaves room for the rest of the message that carries an answer.
const maxAnswerBytes = peer.MaxMessageBytes - 64<<10

var (
	errTooLarge  = errors.New("answer is larger than the limit")
	errUnbounded = errors.New("answer tells neither its length nor its end, so that it cannot be known to be whole")
)

// call sends the request to the endpoint and takes the whole answer.
func (r *Runner) call(ctx context.Context, req *pb.ExecuteRequest) *pb.ExecuteReply {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	began := time.Now()
	res, err := r.post(httptrace.WithClientTrace(ctx, trace), req)
	if err != nil {
		return r.failed(req, err, connected.Load())
	}
	defer func() { _ = res.Body.Close() }()
	body, err := readWhole(res)
	if errors.Is(err, errTooLarge) {
		events.AnswerTooLarge.Log("request", req.RequestId, "peer", r.options.Endpoint, "limit", maxAnswerBytes)
		return &pb.ExecuteReply{RequestId: req.RequestId, Outcome: pb.Outcome_OUTCOME_DONE, AnswerGone: true, Detail: err.Error()}
	}
	if err != nil {
		return r.failed(req, err, true)
	}
	took := time.Since(began)
	r.observer.Observe(took)
	events.RequestExecuted.Log("request", req.RequestId, "client", req.Client, "status", res.StatusCode, "took", took)
	return &pb.ExecuteReply{
		RequestId: req.RequestId, Outcome: pb.Outcome_OUTCOME_DONE, Status: uint32(res.StatusCode),
		Body: body, ContentType: res.Header.Get("Content-Type"),
		Length: uint64(len(body)), Digest: xxhash.Sum64(body),
	}
}

// post sends the request once. The transport repeats a POST by itself only if
// it has written nothing of it.
func (r *Runner) post(ctx context.Context, req *pb.ExecuteRequest) (*http.Response, error) {
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.options.Endpoint+"/run", bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	h.Header.Set("Content-Type", req.ContentType)
	h.Header.Set(HeaderRequestID, req.RequestId)
	return r.http.Do(h)
}

// readWhole reads the body. Its end is known from its length or its last chunk;
// the end of the connection may as well be a cut.
func readWhole(res *http.Response) ([]byte, error) {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return nil, errUnbounded
	}
	if res.ContentLength > maxAnswerBytes {
		return nil, errTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, errTooLarge
	}
	return body, nil
}

// failed tells a call that got no connection, so that nothing ran, from one
// that may have run.
func (r *Runner) failed(req *pb.ExecuteRequest, err error, connected bool) *pb.ExecuteReply {
	if !connected {
		return r.refuse(req, pb.Refusal_REFUSAL_ENDPOINT_DOWN, err.Error())
	}
	events.RequestUnresolved.LogError(err, "request", req.RequestId, "peer", r.options.Endpoint)
	return unknown(req, err.Error())
}

func unknown(req *pb.ExecuteRequest, detail string) *pb.ExecuteReply {
	return &pb.ExecuteReply{RequestId: req.RequestId, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Detail: detail}
}
