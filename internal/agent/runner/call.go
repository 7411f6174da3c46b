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

// maxAnswerBytes is the largest answer body that is forwarded. It leaves 64 KiB of the gRPC
// message for the other fields of the reply.
const maxAnswerBytes = peer.MaxMessageBytes - 64<<10

var (
	errAnswerTooLarge    = errors.New("answer exceeds the size limit")
	errUndelimitedAnswer = errors.New("answer has neither a content length nor chunked encoding, so truncation cannot be detected")
)

// callEndpoint sends the request to the endpoint and reads the whole answer.
func (r *Runner) callEndpoint(ctx context.Context, req *pb.ExecuteRequest) *pb.ExecuteReply {
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	began := time.Now()
	res, err := r.post(httptrace.WithClientTrace(ctx, trace), req)
	if err != nil {
		return r.failureReply(req, err, connected.Load())
	}
	defer func() { _ = res.Body.Close() }()
	body, err := readAnswer(res)
	if errors.Is(err, errAnswerTooLarge) {
		events.AnswerTooLarge.Log("request", req.RequestId, "peer", r.options.Endpoint, "limit", maxAnswerBytes)
		return &pb.ExecuteReply{RequestId: req.RequestId, Outcome: pb.Outcome_OUTCOME_DONE, AnswerGone: true, Detail: err.Error()}
	}
	if err != nil {
		return r.failureReply(req, err, true)
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

// post sends the request once. The HTTP transport resends a POST only if it has written
// nothing of it.
func (r *Runner) post(ctx context.Context, req *pb.ExecuteRequest) (*http.Response, error) {
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+r.options.Endpoint+"/run", bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	h.Header.Set("Content-Type", req.ContentType)
	h.Header.Set(HeaderRequestID, req.RequestId)
	return r.httpClient.Do(h)
}

// readAnswer reads the body. It requires a Content-Length or chunked encoding: without
// either, a connection that was cut looks like the end of the body.
func readAnswer(res *http.Response) ([]byte, error) {
	if res.ContentLength < 0 && len(res.TransferEncoding) == 0 {
		return nil, errUndelimitedAnswer
	}
	if res.ContentLength > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	body, err := io.ReadAll(io.LimitReader(res.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, errAnswerTooLarge
	}
	return body, nil
}

// failureReply returns the reply for a failed call: rejected if no connection was made, so
// that nothing ran, and unknown otherwise.
func (r *Runner) failureReply(req *pb.ExecuteRequest, err error, connected bool) *pb.ExecuteReply {
	if !connected {
		return r.reject(req, pb.Refusal_REFUSAL_ENDPOINT_DOWN, err.Error())
	}
	events.RequestOutcomeUnknown.LogError(err, "request", req.RequestId, "peer", r.options.Endpoint)
	return unknownReply(req, err.Error())
}

func unknownReply(req *pb.ExecuteRequest, detail string) *pb.ExecuteReply {
	return &pb.ExecuteReply{RequestId: req.RequestId, Outcome: pb.Outcome_OUTCOME_UNKNOWN, Detail: detail}
}
