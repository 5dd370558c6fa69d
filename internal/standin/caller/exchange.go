package caller

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/quic-go/quic-go"
	"github.com/quic-go/quic-go/http3"
)

// Names of request and answer headers.
const (
	headerRequestID      = "X-Request-Id"
	headerIdempotencyKey = "Idempotency-Key"
	headerTimeout        = "Request-Timeout"
	headerRetryAfter     = "Retry-After"
	headerLastEventID    = "Last-Event-ID"
)

// maximumReplyBytes bounds the bytes that are read of one answer's body.
const maximumReplyBytes = 1 << 20

// outcomeKind is how one attempt ended.
type outcomeKind uint8

const (
	// outcomeDelivered: the complete and correct answer to this request arrived.
	outcomeDelivered outcomeKind = iota + 1
	// outcomeNotSent: no part of the request was sent on any connection.
	outcomeNotSent
	// outcomeNotRun: the system refused the request and stated that it was not run.
	outcomeNotRun
	// outcomeUnknown: the request may have run; the caller timed out or got an error that does not
	// say.
	outcomeUnknown
	// outcomeBroken: the connection or the answer was cut.
	outcomeBroken
	// outcomeCrossed: the answer does not belong to this request.
	outcomeCrossed
	// outcomeAbandoned: the caller stopped before the answer arrived.
	outcomeAbandoned
)

// outcome is the result of one attempt.
type outcome struct {
	kind outcomeKind
	// status is the HTTP status, or zero when no status was recorded.
	status int
	// code is the system's error code, or zero.
	code       int
	retryAfter time.Duration
	// elapsed is the time from sending to the end of the attempt.
	elapsed time.Duration
	// node is the back end that last answered on the connection, or unknownNode. An empty
	// node counts as unknownNode.
	node string
	err  error
}

// problem holds the fields of an error answer (RFC 9457) that the caller reads.
type problem struct {
	Code int    `json:"code"`
	Ran  string `json:"ran"`
	// RetryAfterMilliseconds is Retry-After in milliseconds; it overrides the header.
	RetryAfterMilliseconds int64 `json:"retry_after_ms"`
}

// ranNo is the value of a problem's ran field that states that the request was not run.
const ranNo = "no"

// roundTrip sends request on a connection and returns the response once its header has arrived.
// Without a response it returns nil and the failure.
func roundTrip(ctx context.Context, connection *flow, request *http.Request) (response *http.Response, failure outcome) {
	// Header fields are encoded before anything is written, so a request whose fields were never
	// encoded was certainly not sent.
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaderField: func(string, []string) { sent.Store(true) }}
	response, err := connection.client.RoundTrip(request.WithContext(httptrace.WithClientTrace(ctx, trace)))
	if err == nil {
		return response, outcome{}
	}
	if !sent.Load() && ctx.Err() == nil {
		// The server accepts no more requests on the connection (GOAWAY).
		connection.goingAway.Store(true)
		return nil, outcome{kind: outcomeNotSent, err: err}
	}
	return nil, classifyError(ctx, err)
}

// exchange sends one request with its body, reads the answer to its end and checks it.
func exchange(ctx context.Context, connection *flow, request *http.Request, expected expectation) outcome {
	response, failure := roundTrip(ctx, connection, request)
	if response == nil {
		return failure
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumReplyBytes))
	if err != nil {
		return classifyError(ctx, err)
	}
	if response.StatusCode != http.StatusOK {
		return refusal(response, body)
	}
	if err := checkEchoedID(response, request); err != nil {
		return outcome{kind: outcomeCrossed, status: response.StatusCode, err: err}
	}
	got, err := checkReply(body, expected)
	if err != nil {
		return outcome{kind: outcomeCrossed, status: response.StatusCode, err: err}
	}
	connection.setNode(got.Node)
	return outcome{kind: outcomeDelivered, status: response.StatusCode}
}

// refusal returns the outcome for an answer whose status is not 200: outcomeNotRun when its problem
// body states that, else outcomeUnknown.
func refusal(response *http.Response, body []byte) outcome {
	var details problem
	// Without a readable problem body it is unknown whether the request ran.
	_ = json.Unmarshal(body, &details)
	result := outcome{
		kind:       outcomeUnknown,
		status:     response.StatusCode,
		code:       details.Code,
		retryAfter: parseRetryAfter(response.Header.Get(headerRetryAfter), time.Now()),
	}
	if details.RetryAfterMilliseconds > 0 {
		result.retryAfter = time.Duration(details.RetryAfterMilliseconds) * time.Millisecond
	}
	if details.Ran == ranNo {
		result.kind = outcomeNotRun
	}
	return result
}

// classifyError returns the outcome of an exchange that failed with err after it may have been sent.
func classifyError(ctx context.Context, err error) outcome {
	if errors.Is(context.Cause(ctx), errStopping) {
		return outcome{kind: outcomeAbandoned, err: err}
	}
	if ctx.Err() != nil {
		return outcome{kind: outcomeUnknown, err: context.Cause(ctx)}
	}
	var reset *quic.StreamError
	if errors.As(err, &reset) && http3.ErrCode(reset.ErrorCode) == http3.ErrCodeRequestRejected {
		return outcome{kind: outcomeNotRun, err: err}
	}
	return outcome{kind: outcomeBroken, err: err}
}

// setTimeout sets the header that tells the server the remaining time, in milliseconds. It sets
// none when ctx has no deadline.
func setTimeout(ctx context.Context, request *http.Request) {
	deadline, bounded := ctx.Deadline()
	if !bounded {
		return
	}
	left := time.Until(deadline).Milliseconds()
	request.Header.Set(headerTimeout, strconv.FormatInt(max(1, left), 10))
}
