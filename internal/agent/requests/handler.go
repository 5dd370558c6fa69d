// Package requests forwards callers' HTTP requests to the back end behind the agent. It classifies
// them by the service's rules, applies admission control, and claims those that may run at most
// once. A refusal is sent immediately and states whether the request ran.
package requests

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"merlinpaddle/internal/admission"
	"merlinpaddle/internal/agent/upstream"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// Options configures a Handler.
type Options struct {
	// Service returns the service in the running configuration.
	Service    func() model.Service
	Gate       *Gate
	Pool       *upstream.Pool
	Claims     Claims
	IDAssigner *IDAssigner
	Metrics    *Metrics
}

// Handler serves the HTTP requests of one service at one target.
type Handler struct {
	Options
}

// NewHandler returns a handler.
func NewHandler(options Options) *Handler { return &Handler{Options: options} }

// preparedRequest is a caller's request with what was derived from it.
type preparedRequest struct {
	service model.Service
	// rule is the service's rule that matches the request.
	rule model.RequestRule
	// id is the request ID that is sent to the back end; callerID is the one that the caller sent,
	// or id if it sent none.
	id       string
	callerID string
	deadline time.Time
	// body is the caller's body, or nil if prepare returned an error.
	body *limitedBody
}

// ServeHTTP implements http.Handler.
func (handler *Handler) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	current, err := handler.prepare(request)
	if err == nil {
		ctx, cancel := context.WithCancelCause(request.Context())
		timer := time.AfterFunc(time.Until(current.deadline), func() { cancel(context.DeadlineExceeded) })
		err = handler.serve(ctx, writer, request, current, timer)
		timer.Stop()
		cancel(nil)
	}
	if err != nil {
		handler.refuse(writer, request, current, err)
		return
	}
	handler.Metrics.countDelivered(current.rule.Class)
}

// prepare checks the request as far as its header allows. The result is never nil, also with an
// error.
func (handler *Handler) prepare(request *http.Request) (*preparedRequest, error) {
	service := handler.Service()
	current := &preparedRequest{
		service:  service,
		rule:     matchRule(service.Rules, request),
		callerID: request.Header.Get(protocol.HeaderRequestID),
	}
	current.id = handler.IDAssigner.Assign(current.callerID)
	if current.callerID == "" {
		current.callerID = current.id
	}
	timeout, err := requestTimeout(request, service.Limits.RequestTimeout)
	if err != nil {
		return current, err
	}
	current.deadline = time.Now().Add(timeout)
	if request.ContentLength > service.Limits.MaximumBodyBytes {
		return current, faults.New(faults.RequestBodyTooLarge, "Content-Length %d is over %d", request.ContentLength, service.Limits.MaximumBodyBytes)
	}
	current.body = newLimitedBody(request.Body, service.Limits.MaximumBodyBytes)
	return current, nil
}

// serve serves the request by its rule. timer ends ctx at the deadline. A returned error means that
// no answer was sent.
func (handler *Handler) serve(ctx context.Context, writer http.ResponseWriter, request *http.Request, current *preparedRequest, timer *time.Timer) error {
	switch {
	case current.rule.AtMostOnce:
		return handler.serveAtMostOnce(ctx, writer, request, current)
	case current.rule.Class == model.ClassFeed:
		return handler.serveFeed(ctx, writer, request, current, timer)
	default:
		return handler.serveRepeatable(ctx, writer, request, current)
	}
}

// serveRepeatable forwards a call or an upload that needs no claim.
func (handler *Handler) serveRepeatable(ctx context.Context, writer http.ResponseWriter, request *http.Request, current *preparedRequest) error {
	ticket, err := handler.Gate.Enter(ctx, current.rule, current.deadline)
	if err != nil {
		return err
	}
	result := admission.ResultNeutral
	// A reset of the caller's stream is a panic, so the ticket is returned in a deferred call.
	defer func() { ticket.Done(result) }()
	answer, err := handler.Pool.Do(ctx, handler.backendRequest(ctx, request, current), current.id, alwaysSend)
	if err != nil {
		result = resultOf(ctx, err)
		return err
	}
	defer answer.Body.Close()
	if err := shedError(answer); err != nil {
		result = admission.ResultShed
		return err
	}
	body := &observedBody{source: answer.Body}
	answer.Body = body
	defer func() { result = body.result(ctx) }()
	return forwardAnswer(writer, answer, current.callerID)
}

// serveFeed forwards a feed to the caller. The deadline bounds only the wait for its header.
func (handler *Handler) serveFeed(ctx context.Context, writer http.ResponseWriter, request *http.Request, current *preparedRequest, timer *time.Timer) error {
	ticket, err := handler.Gate.Enter(ctx, current.rule, current.deadline)
	if err != nil {
		return err
	}
	result := admission.ResultNeutral
	defer func() { ticket.Done(result) }()
	answer, err := handler.Pool.Do(ctx, handler.backendRequest(ctx, request, current), current.id, alwaysSend)
	if err != nil {
		result = resultOf(ctx, err)
		return err
	}
	defer answer.Body.Close()
	if err := shedError(answer); err != nil {
		result = admission.ResultShed
		return err
	}
	timer.Stop()
	handler.Gate.RecordResult(admission.ResultAnswered)
	forwardFeed(writer, answer, current.callerID)
	return nil
}

// alwaysSend is the upstream.BeforeSend of requests that need no check.
func alwaysSend() error { return nil }

// backendRequest returns the request to send to the back end.
func (handler *Handler) backendRequest(ctx context.Context, request *http.Request, current *preparedRequest) *http.Request {
	sent := request.Clone(ctx)
	sent.Header = make(http.Header, len(request.Header)+1)
	copyEndToEndFields(sent.Header, request.Header)
	setRemainingTimeout(sent.Header, current.deadline)
	if _, present := sent.Header["User-Agent"]; !present {
		// An empty value keeps net/http from sending its own User-Agent.
		sent.Header.Set("User-Agent", "")
	}
	sent.Body = current.body
	switch {
	case request.ContentLength == 0:
		sent.Body = http.NoBody
	case request.ContentLength < 0 && !methodUsuallyHasBody(request.Method):
		// Zero with a non-nil body makes net/http probe whether the body is empty.
		sent.ContentLength = 0
	}
	sent.Close = false
	sent.TransferEncoding = nil
	sent.Trailer = nil
	return sent
}

// methodUsuallyHasBody reports whether requests with the method usually have a body.
func methodUsuallyHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// refuse answers a request with the problem document for err, or resets its stream if the request's
// context has ended.
func (handler *Handler) refuse(writer http.ResponseWriter, request *http.Request, current *preparedRequest, err error) {
	if current.body != nil && current.body.failure() != nil && !didNotRun(err) {
		// The caller's body caused the later error.
		err = current.body.failure()
	}
	handler.Metrics.countRefused(current.rule.Class, codeOf(err))
	if request.Context().Err() != nil {
		// The caller has canceled the request or disconnected; only a reset can still reach it.
		panic(http.ErrAbortHandler)
	}
	writeProblem(writer, current.callerID, err, handler.retryAfter(err))
}

// retryAfter returns the time after which the caller of a refused request should retry, or zero if
// a retry is useless or unsafe.
func (handler *Handler) retryAfter(err error) time.Duration {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.RetryAfter
	}
	definition := definitionOf(err)
	safe := definition.Ran == faults.RanNo && definition.HTTPStatus == http.StatusServiceUnavailable
	if safe || definition.Code == faults.ClaimUnknownOutcome {
		return handler.Gate.RetryAfter()
	}
	return 0
}

// maximumProblem bounds how much of the back end's refusal is read, in bytes.
const maximumProblem = 16 << 10

// shedError returns an error if the answer is the back end's refusal for lack of capacity, which is
// any answer with status 503. Its code says that the request did not run only if the answer's body
// does.
func shedError(answer *upstream.Answer) error {
	if answer.StatusCode != http.StatusServiceUnavailable {
		return nil
	}
	body, err := io.ReadAll(io.LimitReader(answer.Body, maximumProblem))
	var problem protocol.Problem
	if err == nil && json.Unmarshal(body, &problem) == nil && problem.Ran == string(faults.RanNo) {
		return faults.New(faults.BackendShed, "the back end shed the request")
	}
	return faults.New(faults.BackendShedUnknown, "the back end answered 503")
}

// resultOf returns the result of a failed exchange for admission control. The failure is no
// evidence about the back end when the caller disconnected, its body failed, or the grant had
// expired.
func resultOf(ctx context.Context, err error) admission.Result {
	callerCanceled := ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	switch code := codeOf(err); {
	case callerCanceled:
		return admission.ResultNeutral
	case code == faults.RequestBodyOverLimit || code == faults.RequestBodyIncomplete:
		return admission.ResultNeutral
	case code == faults.ClaimGrantExpired:
		return admission.ResultNeutral
	default:
		return admission.ResultFailed
	}
}

// observedBody records how the reading of an answer's body ended.
type observedBody struct {
	source io.ReadCloser
	// ended is true after the complete body was read, and readErr is the error of a failed read.
	ended   bool
	readErr error
}

// Read implements io.Reader.
func (body *observedBody) Read(buffer []byte) (int, error) {
	count, err := body.source.Read(buffer)
	switch {
	case errors.Is(err, io.EOF):
		body.ended = true
	case err != nil:
		body.readErr = err
	}
	return count, err
}

// Close implements io.Closer.
func (body *observedBody) Close() error { return body.source.Close() }

// result returns the result of the exchange. If the caller stopped reading, it is neutral.
func (body *observedBody) result(ctx context.Context) admission.Result {
	switch {
	case body.ended:
		return admission.ResultAnswered
	case body.readErr != nil:
		return resultOf(ctx, body.readErr)
	default:
		return admission.ResultNeutral
	}
}
