package protocol

// Header fields shared by callers, agents and back ends. docs/design/requests.md specifies them.
const (
	// HeaderRequestID correlates an answer with its request. The back end must echo the value that
	// it received from the agent in every answer. The agent forwards the caller's value, unless it is
	// missing, unusable or was recently used: the back end then receives a unique value instead. An
	// answer to the caller has the caller's own value if there was one.
	HeaderRequestID = "X-Request-Id"
	// HeaderRequestTimeout is the time within which the whole answer is due, in milliseconds. The
	// caller sets it; the agent sends the remaining time to the back end. For a feed it bounds the
	// wait for the answer's header.
	HeaderRequestTimeout = "X-Request-Timeout-Ms"
	// HeaderIdempotencyKey identifies a request that may run at most once.
	HeaderIdempotencyKey = "Idempotency-Key"
	// HeaderReplayed is "true" on an answer that was recorded for an earlier request with the same
	// idempotency key.
	HeaderReplayed = "Idempotent-Replayed"
)

// ContentTypeProblem is the media type of Problem (RFC 9457).
const ContentTypeProblem = "application/problem+json"

// Problem is the body of an error response (RFC 9457). A back end that sheds a request answers with
// status 503 and a Problem whose Ran is "no".
type Problem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	// Code is the error's number in the error catalogue (package faults).
	Code int `json:"code"`
	// Ran is "no" if the request certainly did not run, otherwise "unknown".
	Ran string `json:"ran"`
	// RetryAfterMilliseconds is the value of the Retry-After header field before it is rounded to
	// seconds.
	RetryAfterMilliseconds int64 `json:"retry_after_ms,omitempty"`
	// RequestID is the request's ID, by which an operator finds the request in the logs.
	RequestID string `json:"request_id,omitempty"`
}
