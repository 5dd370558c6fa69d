package client

import (
	"bytes"
	"context"
	"crypto/tls"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"mime"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// Bounds of the backoff between rounds of attempts.
const (
	firstBackoff   = 100 * time.Millisecond
	maximumBackoff = 5 * time.Second
)

// maximumAnswerBytes bounds the body of an answer. Backups are the largest ones.
const maximumAnswerBytes = 512 << 20

// apiCall is one request to the API. Each attempt sends it unchanged.
type apiCall struct {
	method      string
	path        string
	query       url.Values
	body        []byte
	contentType string
	header      http.Header
}

// answer is a member's response.
type answer struct {
	header http.Header
	body   []byte
}

// Error is the error of a call that was refused or failed.
type Error struct {
	// Problem is the member's answer. Without an answer, it has the code and
	// the detail that this client assigned.
	Problem adminapi.Problem
	// Answered is set when the problem came from a member.
	Answered bool
}

// Error returns the code, name and detail, and the refused fields.
func (failure *Error) Error() string {
	text := fmt.Sprintf("%d %s: %s", failure.Problem.Code, failure.Problem.Name, failure.Problem.Detail)
	for _, field := range failure.Problem.Errors {
		text += fmt.Sprintf("\n  %s: %s", field.Field, field.Message)
	}
	return text
}

// Code returns the code of err, or zero when it has none.
func Code(err error) faults.Code {
	var failure *Error
	if errors.As(err, &failure) {
		return failure.Problem.Code
	}
	return faults.CodeOf(err)
}

// MayHaveRun reports whether the change that failed with err may have been
// committed.
func MayHaveRun(err error) bool {
	var failure *Error
	return errors.As(err, &failure) && failure.Problem.Ran == faults.RanUnknown
}

// callProgress is the progress of one call over its attempts. An attempt at each
// endpoint is a round.
type callProgress struct {
	// tried has the endpoints that were tried in this round.
	tried map[*endpoint]bool
	// backoff bounds the next wait before a new round; each wait doubles it.
	backoff time.Duration
	// mayHaveRun is set once an attempt ended with an unknown outcome. A later
	// refusal does not change that, unless it came from the state machine.
	mayHaveRun bool
}

// do attempts the call until it succeeds, fails in a way that no retry can change,
// or the retry budget is used up. The header, with the idempotency key of a change,
// is the same in all attempts.
func (client *Client) do(ctx context.Context, call apiCall) (answer, error) {
	ctx, cancel := context.WithTimeout(ctx, client.options.RetryBudget)
	defer cancel()
	progress := callProgress{tried: make(map[*endpoint]bool), backoff: firstBackoff}
	for {
		endpoint := client.chooseEndpoint(progress.tried)
		progress.tried[endpoint] = true
		received, failure := client.attempt(ctx, endpoint, call)
		if failure == nil {
			client.prefer(endpoint)
			return received, nil
		}
		progress.mayHaveRun = progress.mayHaveRun || failure.Problem.Ran == faults.RanUnknown
		if !retryable(failure) {
			return answer{}, progress.finalError(failure)
		}
		if err := client.waitBeforeNextAttempt(ctx, &progress, failure, received.header); err != nil {
			return answer{}, progress.finalError(failure)
		}
	}
}

// retryable reports whether another attempt may succeed. Every change carries an
// idempotency key or is idempotent by itself, so a retry is safe.
func retryable(failure *Error) bool {
	status := failure.Problem.Status
	return !failure.Answered || status == http.StatusTooManyRequests || status >= http.StatusInternalServerError
}

// finalError returns the error of the call. It sets the last failure's outcome to
// unknown if a previous attempt may have run and the failure does not rule that out.
func (progress *callProgress) finalError(failure *Error) error {
	if progress.mayHaveRun && !refusedByStateMachine(failure.Problem.Code) {
		failure.Problem.Ran = faults.RanUnknown
	}
	return failure
}

// refusedByStateMachine reports whether a refusal with the code came from the state
// machine, which looks up the idempotency key first. No previous attempt was
// committed then.
func refusedByStateMachine(code faults.Code) bool {
	switch code {
	case faults.CodeRevisionMismatch, faults.CodeConflict, faults.CodeQuotaExceeded, faults.CodeGroupNotEmpty:
		return true
	}
	return false
}

// waitBeforeNextAttempt does not wait while an endpoint is left in this round.
// Otherwise it waits for the backoff or Retry-After, whichever is longer, and begins
// a new round. A rate limit also ends the round, because the caller must slow down
// instead of sending to another endpoint. It returns an error when ctx has ended, or
// would end during the wait.
func (client *Client) waitBeforeNextAttempt(ctx context.Context, progress *callProgress, failure *Error, header http.Header) error {
	limited := failure.Problem.Status == http.StatusTooManyRequests
	if len(progress.tried) < len(client.endpoints) && !limited {
		return ctx.Err()
	}
	wait := max(progress.nextBackoff(), retryAfter(header))
	if deadline, bounded := ctx.Deadline(); bounded && time.Until(deadline) < wait {
		return context.DeadlineExceeded
	}
	clear(progress.tried)
	if err := client.options.Sleep(ctx, wait); err != nil {
		return fmt.Errorf("wait before the next attempt: %w", err)
	}
	return nil
}

// nextBackoff returns a random wait of half the present bound up to the bound, and
// doubles the bound, up to maximumBackoff.
func (progress *callProgress) nextBackoff() time.Duration {
	bound := progress.backoff
	progress.backoff = min(2*progress.backoff, maximumBackoff)
	return bound/2 + rand.N(bound/2)
}

// retryAfter returns the wait that a Retry-After header asks for, in seconds, or
// zero.
func retryAfter(header http.Header) time.Duration {
	seconds, err := strconv.Atoi(header.Get("Retry-After"))
	if err != nil || seconds < 0 {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

// attempt sends the call to one endpoint, once. With a failure, the answer is set too
// if one was received.
func (client *Client) attempt(ctx context.Context, endpoint *endpoint, call apiCall) (answer, *Error) {
	ctx, cancel := context.WithTimeout(ctx, client.options.AttemptTimeout)
	defer cancel()
	request, err := client.newRequest(ctx, endpoint, call)
	if err != nil {
		return answer{}, noAnswerError(call, err)
	}
	response, err := client.transport.Do(request)
	if err != nil {
		return answer{}, noAnswerError(call, err)
	}
	defer response.Body.Close()
	body, err := io.ReadAll(io.LimitReader(response.Body, maximumAnswerBytes))
	if err != nil {
		return answer{}, noAnswerError(call, fmt.Errorf("read the answer: %w", err))
	}
	received := answer{header: response.Header, body: body}
	if response.StatusCode < http.StatusMultipleChoices {
		client.recordAnswer(endpoint, response.Header, "")
		return received, nil
	}
	failure := answerError(call, response.StatusCode, received)
	client.recordAnswer(endpoint, response.Header, failure.Problem.Leader)
	return received, failure
}

// newRequest returns the HTTP request for the call at one endpoint.
func (client *Client) newRequest(ctx context.Context, endpoint *endpoint, call apiCall) (*http.Request, error) {
	target := strings.TrimSuffix(endpoint.base.String(), "/") + call.path
	if len(call.query) > 0 {
		target += "?" + call.query.Encode()
	}
	request, err := http.NewRequestWithContext(ctx, call.method, target, bytes.NewReader(call.body))
	if err != nil {
		return nil, err
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	request.Header.Set("Authorization", "Bearer "+client.options.Token)
	if call.contentType != "" {
		request.Header.Set("Content-Type", call.contentType)
	}
	return request, nil
}

// neverSent reports whether err shows that the request was not sent: the connection
// could not be opened, or the member's certificate was rejected.
func neverSent(err error) bool {
	var operation *net.OpError
	if errors.As(err, &operation) && operation.Op == "dial" {
		return true
	}
	var certificate *tls.CertificateVerificationError
	return errors.As(err, &certificate)
}

// noAnswerError returns the error of an attempt that got no valid answer. A change may
// have reached a member before the connection broke, unless it was never sent.
func noAnswerError(call apiCall, err error) *Error {
	code := faults.CodeOutcomeUnknown
	if call.method == http.MethodGet || neverSent(err) {
		code = faults.CodeMemberUnreachable
	}
	definition, _ := faults.Lookup(code)
	return &Error{Problem: adminapi.Problem{
		Title:  definition.Meaning,
		Detail: err.Error(),
		Code:   code,
		Name:   definition.Name,
		Ran:    definition.Ran,
		Action: definition.Action,
	}}
}

// answerError returns the error for an answer with an error status. An answer without
// a problem document did not come from a member, but for example from a proxy.
func answerError(call apiCall, status int, received answer) *Error {
	contentType, _, _ := mime.ParseMediaType(received.header.Get("Content-Type"))
	var problem adminapi.Problem
	if contentType == adminapi.ProblemContentType && json.Unmarshal(received.body, &problem) == nil && problem.Code != 0 {
		return &Error{Problem: problem, Answered: true}
	}
	failure := noAnswerError(call, fmt.Errorf("the endpoint answered %d without a problem document", status))
	failure.Problem.Status = status
	return failure
}

// Change has the preconditions of a change and its idempotency key.
type Change struct {
	// Base is the revision of the object that the change is based on; the change
	// is refused if the object has another one. Zero creates the object.
	Base model.Revision
	// Key is the idempotency key; empty means a new random one.
	Key string
}

// header returns the headers of a change, which all its attempts share.
func (change Change) header() http.Header {
	header := make(http.Header)
	key := change.Key
	if key == "" {
		key = uuid.NewString()
	}
	header.Set(adminapi.HeaderIdempotencyKey, key)
	if change.Base == 0 {
		header.Set("If-None-Match", "*")
		return header
	}
	header.Set("If-Match", strconv.Quote(strconv.FormatUint(uint64(change.Base), 10)))
	return header
}
