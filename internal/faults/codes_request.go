package faults

import "net/http"

// Codes of refused and failed requests.
const (
	// RequestQueueFull: the target's queue is full.
	RequestQueueFull Code = 6001
	// RequestDeadlineTooShort: the expected wait exceeds the deadline.
	RequestDeadlineTooShort Code = 6002
	// RequestDeadlinePassed: the deadline passed while the request waited.
	RequestDeadlinePassed Code = 6003
	// RequestDisplaced: a request of more weight took its place in the queue.
	RequestDisplaced Code = 6004
	// RequestTooManyFeeds: the target has reached its limit of open feeds.
	RequestTooManyFeeds Code = 6005
	// RequestDraining: the target is draining and starts no new requests. Code
	// 6006 is not used.
	RequestDraining Code = 6007
	// RequestHeaderInvalid: a header field that the agent reads is malformed.
	RequestHeaderInvalid Code = 6008
	// RequestBodyTooLarge: the stated body length is over the limit.
	RequestBodyTooLarge Code = 6009
	// RequestBodyOverLimit: the body exceeded the limit while it was forwarded.
	RequestBodyOverLimit Code = 6010
	// RequestBodyIncomplete: the caller's body ended early.
	RequestBodyIncomplete Code = 6011
	// RequestBodyRejected: the body could not be read before the request was
	// run.
	RequestBodyRejected Code = 6012
	// RequestCanceled: the caller cancelled the request or disconnected before it
	// was run.
	RequestCanceled Code = 6013

	// BackendUnhealthy: the circuit breaker keeps requests from the back end.
	BackendUnhealthy Code = 6020
	// BackendUnreachable: no connection to the back end could be opened.
	BackendUnreachable Code = 6021
	// BackendShed: the back end shed the request and states that it did not run.
	BackendShed Code = 6022
	// BackendShedUnknown: the back end answered 503 without saying whether
	// the request ran.
	BackendShedUnknown Code = 6023
	// BackendTimeout: the deadline passed while the back end had the request.
	BackendTimeout Code = 6024
	// BackendAnswerMismatched: the answer belongs to another request.
	BackendAnswerMismatched Code = 6025
	// BackendAnswerShort: the answer ended early.
	BackendAnswerShort Code = 6026
	// BackendAnswerUnframed: the answer has no framing, so its end cannot be told
	// from a lost connection.
	BackendAnswerUnframed Code = 6027
	// BackendConnectionLost: the connection broke before the answer came.
	BackendConnectionLost Code = 6028
	// BackendAnswerTooLarge: the answer to an at-most-once request is larger
	// than what can be recorded.
	BackendAnswerTooLarge Code = 6029

	// ClaimKeyMissing: an at-most-once request has no idempotency key.
	ClaimKeyMissing Code = 6040
	// ClaimNotConfirmed: no quorum confirmed the claim in time.
	ClaimNotConfirmed Code = 6041
	// ClaimUnknownOutcome: another attempt holds the key and its outcome is
	// not known.
	ClaimUnknownOutcome Code = 6042
	// ClaimKeyReused: the key was used with another request.
	ClaimKeyReused Code = 6043
	// ClaimGrantExpired: the grant expired before the request was started.
	ClaimGrantExpired Code = 6044
	// ClaimOutcomeOmitted: the first attempt was answered, and its answer was too
	// large to be stored.
	ClaimOutcomeOmitted Code = 6045

	// AgentCertificate: the agent's certificate cannot be used.
	AgentCertificate Code = 6060
	// AgentSettings: the agent's settings lack what the role needs.
	AgentSettings Code = 6061
	// AgentStopGrace: requests or flows were still open when agent.stop_grace
	// ended.
	AgentStopGrace Code = 6062
)

var requestDefinitions = []Definition{
	{RequestQueueFull, "RequestQueueFull", "The target's queue is full.", "Ask again after Retry-After.", http.StatusServiceUnavailable, RanNo},
	{RequestDeadlineTooShort, "RequestDeadlineTooShort", "The expected wait exceeds the request's deadline.", "Ask again after Retry-After, or allow more time.", http.StatusServiceUnavailable, RanNo},
	{RequestDeadlinePassed, "RequestDeadlinePassed", "The deadline passed while the request waited for a slot.", "Ask again after Retry-After.", http.StatusServiceUnavailable, RanNo},
	{RequestDisplaced, "RequestDisplaced", "The queue was full and a request of more weight took the place.", "Ask again after Retry-After.", http.StatusServiceUnavailable, RanNo},
	{RequestTooManyFeeds, "RequestTooManyFeeds", "The target holds as many feeds as it may.", "Ask again after Retry-After on a new connection.", http.StatusServiceUnavailable, RanNo},
	{RequestDraining, "RequestDraining", "The target is draining and starts no new requests.", "Open a new connection and ask again.", http.StatusServiceUnavailable, RanNo},
	{RequestHeaderInvalid, "RequestHeaderInvalid", "A header field that the agent reads is malformed.", "Correct the field that the detail names.", http.StatusBadRequest, RanNo},
	{RequestBodyTooLarge, "RequestBodyTooLarge", "The request body is larger than the service allows.", "Send a smaller body; operators may raise the limit.", http.StatusRequestEntityTooLarge, RanNo},
	{RequestBodyOverLimit, "RequestBodyOverLimit", "The request body grew over the limit while it was passed on.", "Send a smaller body; check whether the request ran.", http.StatusRequestEntityTooLarge, RanUnknown},
	{RequestBodyIncomplete, "RequestBodyIncomplete", "The caller's request body ended early.", "Send the whole body; check whether the request ran.", http.StatusBadRequest, RanUnknown},
	{RequestBodyRejected, "RequestBodyRejected", "The request body could not be read to its end, and the request was not run.", "Send the whole body.", http.StatusBadRequest, RanNo},
	{RequestCanceled, "RequestCanceled", "The caller went away before the request was run.", "Nothing: the caller cancelled it.", http.StatusServiceUnavailable, RanNo},

	{BackendUnhealthy, "BackendUnhealthy", "The back end failed repeatedly; requests are kept from it until a probe succeeds.", "Ask again after Retry-After; operators check the back end.", http.StatusServiceUnavailable, RanNo},
	{BackendUnreachable, "BackendUnreachable", "No connection to the back end could be opened.", "Ask again after Retry-After; operators check the back end.", http.StatusServiceUnavailable, RanNo},
	{BackendShed, "BackendShed", "The back end shed the request and says that it did not run.", "Ask again after Retry-After.", http.StatusServiceUnavailable, RanNo},
	{BackendShedUnknown, "BackendShedUnknown", "The back end answered 503 and does not say whether the request ran.", "Check whether the request ran before it is sent again.", http.StatusServiceUnavailable, RanUnknown},
	{BackendTimeout, "BackendTimeout", "The back end gave no whole answer before the deadline.", "Check whether the request ran before it is sent again.", http.StatusGatewayTimeout, RanUnknown},
	{BackendAnswerMismatched, "BackendAnswerMismatched", "The back end's answer does not carry the request's ID.", "Check whether the request ran; operators check that the back end echoes X-Request-Id.", http.StatusBadGateway, RanUnknown},
	{BackendAnswerShort, "BackendAnswerShort", "The back end's answer ended early or is malformed.", "Check whether the request ran before it is sent again.", http.StatusBadGateway, RanUnknown},
	{BackendAnswerUnframed, "BackendAnswerUnframed", "The answer has neither a length nor chunks, so a cut could not be seen.", "Operators make the back end send Content-Length or chunks.", http.StatusBadGateway, RanUnknown},
	{BackendConnectionLost, "BackendConnectionLost", "The connection to the back end broke before the answer came.", "Check whether the request ran before it is sent again.", http.StatusBadGateway, RanUnknown},
	{BackendAnswerTooLarge, "BackendAnswerTooLarge", "The answer to an at-most-once request is larger than can be recorded.", "Check the outcome another way; operators shorten the answer.", http.StatusBadGateway, RanUnknown},

	{ClaimKeyMissing, "ClaimKeyMissing", "The request may run at most once and has no Idempotency-Key.", "Send an Idempotency-Key.", http.StatusBadRequest, RanNo},
	{ClaimNotConfirmed, "ClaimNotConfirmed", "The control group did not confirm the claim in time.", "Ask again after Retry-After with the same key.", http.StatusServiceUnavailable, RanNo},
	{ClaimUnknownOutcome, "ClaimUnknownOutcome", "An attempt with this key has begun and its outcome is not known.", "Ask again later with the same key; never with a new one unless the outcome was checked.", http.StatusConflict, RanUnknown},
	{ClaimKeyReused, "ClaimKeyReused", "The Idempotency-Key was used with another method, path or body.", "Use a new key for a new request.", http.StatusUnprocessableEntity, RanNo},
	{ClaimGrantExpired, "ClaimGrantExpired", "The grant ran out before the request was started.", "Ask again with the same key.", http.StatusServiceUnavailable, RanNo},
	{ClaimOutcomeOmitted, "ClaimOutcomeOmitted", "The first attempt with this key was answered; the answer was too large to be kept.", "Read the outcome another way; do not send the request again.", http.StatusConflict, RanUnknown},

	{AgentCertificate, "AgentCertificate", "The agent's certificate or key cannot be read or made.", "Correct agent.certificate and agent.key, or the data folder.", 0, RanNotApplicable},
	{AgentSettings, "AgentSettings", "The agent's settings lack what the role needs.", "Set the field that the message names.", 0, RanNotApplicable},
	{AgentStopGrace, "AgentStopGrace", "Flows were still open when agent.stop_grace was over, and were closed.", "Raise agent.stop_grace, or drain the target before the stop.", 0, RanNotApplicable},
}
