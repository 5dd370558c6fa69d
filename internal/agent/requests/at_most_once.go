package requests

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"os"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"merlinpaddle/internal/admission"
	"merlinpaddle/internal/agent/upstream"
	"merlinpaddle/internal/claim"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/protocol"
)

const (
	// maximumAtMostOnceBody bounds the body of an at-most-once request, in bytes. The body is
	// read completely before the claim, because the claim's fingerprint includes it.
	maximumAtMostOnceBody = 1 << 20
	// maximumAtMostOnceAnswer bounds the body of the answer to an at-most-once request, in bytes.
	// The answer is read completely before it is recorded and sent, so that both are the same.
	maximumAtMostOnceAnswer = 1 << 20
	// maximumKeyLength bounds an idempotency key, in bytes.
	maximumKeyLength = 256
	// claimTimeout bounds the wait for a grant. The request's deadline bounds it too.
	claimTimeout = 3 * time.Second
)

// Claims claims the right to run at-most-once requests. *claim.Tracker implements it.
type Claims interface {
	// Claim asks for the right to run the request with key and fingerprint. It calls done once,
	// at the latest at deadline, unless the claim is abandoned before. It returns the correlation
	// that Abandon needs.
	Claim(now time.Time, key protocol.ClaimKey, fingerprint uint64, deadline time.Time, done func(claim.Answer)) uint64
	// Abandon ends a claim whose answer is no longer awaited.
	Abandon(now time.Time, correlation uint64)
	// Release reports that the request of a grant was not run.
	Release(now time.Time, grant claim.Grant)
	// Record reports the outcome of a request that ran.
	Record(now time.Time, grant claim.Grant, outcome protocol.ClaimOutcome)
	// Forget ends a claim whose request may have run, but whose outcome is unknown.
	Forget(grant claim.Grant)
}

// serveAtMostOnce claims the request, runs it, and records the answer. It checks before the claim
// whether admission control would refuse the request now, so that an overload of the back end does
// not reach the control group.
func (handler *Handler) serveAtMostOnce(ctx context.Context, writer http.ResponseWriter, request *http.Request, current *preparedRequest) error {
	body, err := readAtMostOnceBody(writer, current)
	if err != nil {
		return err
	}
	key, err := claimKey(request, current)
	if err != nil {
		return err
	}
	if err := handler.Gate.Check(current.rule, current.deadline); err != nil {
		return err
	}
	answer, err := handler.awaitClaim(ctx, key, fingerprint(request, body), current.deadline)
	if err != nil {
		return err
	}
	switch answer.State {
	case protocol.ClaimGranted:
		return handler.runGranted(ctx, writer, request, current, body, answer.Grant)
	case protocol.ClaimCompleted:
		return replay(writer, current.callerID, answer.Outcome)
	case protocol.ClaimInProgress:
		return faults.New(faults.ClaimUnknownOutcome, "another attempt with this key has begun")
	case protocol.ClaimMismatch:
		return faults.New(faults.ClaimKeyReused, "the key was used with another request")
	default:
		return faults.New(faults.ClaimNotConfirmed, "the claim was not confirmed in time")
	}
}

// readAtMostOnceBody reads the complete body, at most until the deadline. Since nothing has
// run yet, its errors have codes of requests that did not run.
func readAtMostOnceBody(writer http.ResponseWriter, current *preparedRequest) ([]byte, error) {
	controller := http.NewResponseController(writer)
	if err := controller.SetReadDeadline(current.deadline); err != nil {
		return nil, faults.New(faults.RequestBodyRejected, "the body cannot be read: %v", err)
	}
	body, err := io.ReadAll(io.LimitReader(current.body, maximumAtMostOnceBody+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded) || (err != nil && !time.Now().Before(current.deadline)):
		return nil, faults.New(faults.RequestDeadlinePassed, "the body was incomplete at the deadline")
	case err != nil:
		return nil, faults.New(faults.RequestBodyRejected, "the body cannot be read: %v", err)
	case len(body) > maximumAtMostOnceBody:
		return nil, faults.New(faults.RequestBodyTooLarge, "the body of an at-most-once request may have at most %d bytes", maximumAtMostOnceBody)
	default:
		return body, controller.SetReadDeadline(time.Time{})
	}
}

// claimKey returns the key under which the request is claimed: the caller's idempotency key in the
// scope of the service.
func claimKey(request *http.Request, current *preparedRequest) (protocol.ClaimKey, error) {
	key := request.Header.Get(protocol.HeaderIdempotencyKey)
	if key == "" {
		return protocol.ClaimKey{}, faults.New(faults.ClaimKeyMissing, "%s is missing", protocol.HeaderIdempotencyKey)
	}
	if len(key) > maximumKeyLength {
		return protocol.ClaimKey{}, faults.New(faults.RequestHeaderInvalid, "%s: longer than %d bytes", protocol.HeaderIdempotencyKey, maximumKeyLength)
	}
	return protocol.ClaimKey{Tenant: current.service.Tenant, Service: current.service.Name, Key: key}, nil
}

// fingerprint returns a hash of the method, the URI and the body, by which a key that is reused for
// another request is detected.
func fingerprint(request *http.Request, body []byte) uint64 {
	hash := xxhash.New()
	_, _ = hash.WriteString(request.Method + " " + request.URL.RequestURI() + "\n")
	_, _ = hash.Write(body)
	return hash.Sum64()
}

// awaitClaim claims the request and waits for the answer. If ctx ends before, the claim is
// abandoned, or released if it was granted at the same time.
func (handler *Handler) awaitClaim(ctx context.Context, key protocol.ClaimKey, fingerprint uint64, deadline time.Time) (claim.Answer, error) {
	now := time.Now()
	answers := make(chan claim.Answer, 1)
	latest := now.Add(claimTimeout)
	if deadline.Before(latest) {
		latest = deadline
	}
	correlation := handler.Claims.Claim(now, key, fingerprint, latest, func(answer claim.Answer) { answers <- answer })
	select {
	case answer := <-answers:
		return answer, nil
	case <-ctx.Done():
		handler.Claims.Abandon(time.Now(), correlation)
	}
	// The answer may have arrived at the same time.
	select {
	case answer := <-answers:
		if answer.State == protocol.ClaimGranted {
			handler.Claims.Release(time.Now(), answer.Grant)
		}
	default:
	}
	return claim.Answer{}, faults.New(faults.ClaimNotConfirmed, "the request ended before the claim was confirmed")
}

// runGranted runs a request whose claim was granted. However the request ends, it calls exactly one
// of Release, Record and Forget.
func (handler *Handler) runGranted(ctx context.Context, writer http.ResponseWriter, request *http.Request, current *preparedRequest, body []byte, grant claim.Grant) error {
	settled := false
	defer func() {
		if !settled {
			handler.Claims.Forget(grant)
		}
	}()
	outcome, header, err := handler.exchangeGranted(ctx, request, current, body, grant)
	if err != nil {
		if didNotRun(err) {
			settled = true
			handler.Claims.Release(time.Now(), grant)
		}
		return err
	}
	settled = true
	handler.Claims.Record(time.Now(), grant, outcome)
	copyEndToEndFields(writer.Header(), header)
	return writeOutcome(writer, current.callerID, outcome)
}

// exchangeGranted waits for a slot, sends the request to the back end and reads the complete
// answer. It returns the answer as the outcome to record, and the answer's header.
func (handler *Handler) exchangeGranted(ctx context.Context, request *http.Request, current *preparedRequest, body []byte, grant claim.Grant) (protocol.ClaimOutcome, http.Header, error) {
	ticket, err := handler.Gate.Enter(ctx, current.rule, earlier(current.deadline, grant.StartBefore))
	if err != nil {
		return protocol.ClaimOutcome{}, nil, err
	}
	result := admission.ResultNeutral
	defer func() { ticket.Done(result) }()
	sent := handler.backendRequest(ctx, request, current)
	setReplayableBody(sent, body)
	answer, err := handler.Pool.Do(ctx, sent, current.id, checkGrant(grant))
	if err != nil {
		result = resultOf(ctx, err)
		return protocol.ClaimOutcome{}, nil, err
	}
	defer answer.Body.Close()
	if err := shedError(answer); err != nil {
		result = admission.ResultShed
		return protocol.ClaimOutcome{}, nil, err
	}
	content, err := readAtMostOnceAnswer(answer)
	if err != nil {
		result = resultOf(ctx, err)
		return protocol.ClaimOutcome{}, nil, err
	}
	result = admission.ResultAnswered
	return protocol.ClaimOutcome{
		Status:      answer.StatusCode,
		Body:        content,
		ContentType: answer.Header.Get("Content-Type"),
	}, answer.Header, nil
}

// checkGrant returns a check that stops the request if the grant has expired when the first byte is
// about to be sent.
func checkGrant(grant claim.Grant) upstream.BeforeSend {
	return func() error {
		if grant.Usable(time.Now()) {
			return nil
		}
		return faults.New(faults.ClaimGrantExpired, "the grant has expired")
	}
}

// earlier returns the earlier of two times.
func earlier(left, right time.Time) time.Time {
	if right.Before(left) {
		return right
	}
	return left
}

// setReplayableBody sets a body that can be sent again from its start, on another connection.
func setReplayableBody(request *http.Request, body []byte) {
	request.ContentLength = int64(len(body))
	request.GetBody = func() (io.ReadCloser, error) { return io.NopCloser(bytes.NewReader(body)), nil }
	request.Body = http.NoBody
	if len(body) > 0 {
		request.Body, _ = request.GetBody()
	}
}

// readAtMostOnceAnswer reads the complete body of the answer.
func readAtMostOnceAnswer(answer *upstream.Answer) ([]byte, error) {
	content, err := io.ReadAll(io.LimitReader(answer.Body, maximumAtMostOnceAnswer+1))
	if err != nil {
		return nil, err
	}
	if len(content) > maximumAtMostOnceAnswer {
		return nil, faults.New(faults.BackendAnswerTooLarge, "the answer is longer than %d bytes", maximumAtMostOnceAnswer)
	}
	return content, nil
}

// replay sends the recorded outcome of an earlier attempt.
func replay(writer http.ResponseWriter, callerID string, outcome *protocol.ClaimOutcome) error {
	if outcome == nil || outcome.Status == 0 {
		return faults.New(faults.ClaimUnknownOutcome, "the recorded outcome is empty")
	}
	if outcome.BodyOmitted {
		return faults.New(faults.ClaimOutcomeOmitted, "the first attempt was answered with status %d", outcome.Status)
	}
	writer.Header().Set(protocol.HeaderReplayed, "true")
	return writeOutcome(writer, callerID, *outcome)
}

// writeOutcome sends an outcome to the caller. It resets the stream when the body cannot be
// written.
func writeOutcome(writer http.ResponseWriter, callerID string, outcome protocol.ClaimOutcome) error {
	header := writer.Header()
	header.Del("Trailer")
	header.Set(protocol.HeaderRequestID, callerID)
	header.Set("Content-Length", strconv.Itoa(len(outcome.Body)))
	if outcome.ContentType != "" {
		header.Set("Content-Type", outcome.ContentType)
	}
	writer.WriteHeader(outcome.Status)
	if _, err := writer.Write(outcome.Body); err != nil && len(outcome.Body) > 0 {
		panic(http.ErrAbortHandler)
	}
	return nil
}
