// Package requests passes callers' HTTP requests to the back end behind the
// agent: it classes them, lets them wait for a slot, claims those that may run
// at most once, and answers refusals at once with whether the request ran.
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

// Options are what a Handler needs.
type Options struct {
	// Service returns the service as the running configuration has it.
	Service    func() model.Service
	Gate       *Gate
	Pool       *upstream.Pool
	Claims     Claims
	IDAssigner *IDAssigner
	Metrics    *Metrics
}

// Handler answers the HTTP requests of one service at one target.
type Handler struct {
	Options
}

// NewHandler returns a handler.
func NewHandler(options Options) *Handler { return &Handler{Options: options} }

// call is one request on its way.
type call struct {
	service  model.Service
	rule     model.RequestRule
	id       string
	callerID string
	deadline time.Time
	body     *limitedBody
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
	handler.Metrics.delivered(current.rule.Class)
}

// prepare checks everything that needs no waiting.
func (handler *Handler) prepare(request *http.Request) (*call, error) {
	service := handler.Service()
	current := &call{
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

func (handler *Handler) serve(ctx context.Context, writer http.ResponseWriter, request *http.Request, current *call, timer *time.Timer) error {
	switch {
	case current.rule.AtMostOnce:
		return handler.serveAtMostOnce(ctx, writer, request, current)
	case current.rule.Class == model.ClassFeed:
		return handler.serveFeed(ctx, writer, request, current, timer)
	default:
		return handler.serveRepeatable(ctx, writer, request, current)
	}
}

// serveRepeatable passes a call or an upload to the back end.
func (handler *Handler) serveRepeatable(ctx context.Context, writer http.ResponseWriter, request *http.Request, current *call) error {
	ticket, err := handler.Gate.Enter(ctx, current.rule, current.deadline)
	if err != nil {
		return err
	}
	result := admission.ResultNeutral
	// A reset of the caller's stream is a panic, so the ticket is returned in
	// a deferred call.
	defer func() { ticket.Done(result) }()
	answer, err := handler.Pool.Do(ctx, handler.outgoing(ctx, request, current), current.id, always)
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
	return passAnswer(writer, answer, current.callerID)
}

// serveFeed passes a feed to the caller. The deadline bounds the wait for its
// header only.
func (handler *Handler) serveFeed(ctx context.Context, writer http.ResponseWriter, request *http.Request, current *call, timer *time.Timer) error {
	ticket, err := handler.Gate.Enter(ctx, current.rule, current.deadline)
	if err != nil {
		return err
	}
	result := admission.ResultNeutral
	defer func() { ticket.Done(result) }()
	answer, err := handler.Pool.Do(ctx, handler.outgoing(ctx, request, current), current.id, always)
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
	passFeed(writer, answer, current.callerID)
	return nil
}

// always is the check before sending of requests that need none.
func always() error { return nil }

// outgoing returns the request as the back end gets it.
func (handler *Handler) outgoing(ctx context.Context, request *http.Request, current *call) *http.Request {
	sent := request.Clone(ctx)
	sent.Header = make(http.Header, len(request.Header)+1)
	copyFields(sent.Header, request.Header)
	setRemaining(sent.Header, current.deadline)
	if _, present := sent.Header["User-Agent"]; !present {
		// An empty value keeps the library from sending its own.
		sent.Header.Set("User-Agent", "")
	}
	sent.Body = current.body
	switch {
	case request.ContentLength == 0:
		sent.Body = http.NoBody
	case request.ContentLength < 0 && !usuallyHasBody(request.Method):
		// Zero with a body makes the library look whether there is one.
		sent.ContentLength = 0
	}
	sent.Close = false
	sent.TransferEncoding = nil
	sent.Trailer = nil
	return sent
}

func usuallyHasBody(method string) bool {
	return method == http.MethodPost || method == http.MethodPut || method == http.MethodPatch
}

// refuse answers a request that got no answer of the back end.
func (handler *Handler) refuse(writer http.ResponseWriter, request *http.Request, current *call, err error) {
	if current.body != nil && current.body.failure() != nil && !ranNo(err) {
		// The caller's own body is the cause of what went wrong later.
		err = current.body.failure()
	}
	handler.Metrics.refused(current.rule.Class, codeOf(err))
	if request.Context().Err() != nil {
		// The caller is gone; a reset is all that it can still get.
		panic(http.ErrAbortHandler)
	}
	writeProblem(writer, current.callerID, err, handler.retryAfter(err))
}

// retryAfter returns when the caller of a refused request should come back;
// zero when coming back does not help or is not safe.
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

// maximumProblem bounds what is read of a back end's refusal, in bytes.
const maximumProblem = 16 << 10

// shedError returns an error when the answer is the back end's refusal for
// want of capacity. It proves that the request did not run only when it says
// so itself.
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

// resultOf tells what a failed exchange shows of the back end. When the caller
// went away or its body failed, it shows nothing.
func resultOf(ctx context.Context, err error) admission.Result {
	callerGone := ctx.Err() != nil && !errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	switch code := codeOf(err); {
	case callerGone:
		return admission.ResultNeutral
	case code == faults.RequestBodyOverLimit || code == faults.RequestBodyIncomplete:
		return admission.ResultNeutral
	case code == faults.ClaimGrantExpired:
		return admission.ResultNeutral
	default:
		return admission.ResultFailed
	}
}

// observedBody notes how an answer's body ended.
type observedBody struct {
	source io.ReadCloser
	ended  bool
	failed error
}

// Read implements io.Reader.
func (body *observedBody) Read(buffer []byte) (int, error) {
	count, err := body.source.Read(buffer)
	switch {
	case errors.Is(err, io.EOF):
		body.ended = true
	case err != nil:
		body.failed = err
	}
	return count, err
}

// Close implements io.Closer.
func (body *observedBody) Close() error { return body.source.Close() }

func (body *observedBody) result(ctx context.Context) admission.Result {
	switch {
	case body.ended:
		return admission.ResultAnswered
	case body.failed != nil:
		return resultOf(ctx, body.failed)
	default:
		return admission.ResultNeutral
	}
}
