package requests

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/protocol"
)

// problemTypePrefix is the beginning of a problem's type URN; the code follows.
const problemTypePrefix = "urn:merlinpaddle:error:"

// writeProblem answers a request with a problem document for err. A retryAfter of zero is omitted.
func writeProblem(writer http.ResponseWriter, requestID string, err error, retryAfter time.Duration) {
	definition := definitionOf(err)
	problem := protocol.Problem{
		Type:                   problemTypePrefix + strconv.Itoa(int(definition.Code)),
		Title:                  definition.Meaning,
		Status:                 definition.HTTPStatus,
		Detail:                 err.Error(),
		Code:                   int(definition.Code),
		Ran:                    string(definition.Ran),
		RetryAfterMilliseconds: retryAfter.Milliseconds(),
		RequestID:              requestID,
	}
	body, encodeErr := json.Marshal(problem)
	if encodeErr != nil {
		panic(http.ErrAbortHandler)
	}
	header := writer.Header()
	header.Set("Content-Type", protocol.ContentTypeProblem)
	header.Set("Content-Length", strconv.Itoa(len(body)))
	header.Set("Cache-Control", "no-store")
	header.Set(protocol.HeaderRequestID, requestID)
	if retryAfter > 0 {
		header.Set("Retry-After", strconv.FormatInt(roundUpToSeconds(retryAfter), 10))
	}
	writer.WriteHeader(definition.HTTPStatus)
	// The error is ignored: it means that the caller has disconnected.
	_, _ = writer.Write(body)
}

// roundUpToSeconds returns duration in seconds, rounded up so that callers do not retry too early.
func roundUpToSeconds(duration time.Duration) int64 {
	return int64((duration + time.Second - 1) / time.Second)
}

// codeOf returns the code of err, which may be a *Refusal, or zero if it has none.
func codeOf(err error) faults.Code {
	var refusal *Refusal
	if errors.As(err, &refusal) {
		return refusal.Code
	}
	return faults.CodeOf(err)
}

// definitionOf returns the definition of err's code. If err has no code, or its code has no HTTP
// status, the definition has status 500 and states that it is unknown whether the request ran.
func definitionOf(err error) faults.Definition {
	definition, known := faults.Lookup(codeOf(err))
	if known && definition.HTTPStatus != 0 {
		return definition
	}
	return faults.Definition{
		Meaning:    fmt.Sprintf("unexpected error: %T", err),
		HTTPStatus: http.StatusInternalServerError,
		Ran:        faults.RanUnknown,
	}
}

// didNotRun reports whether it is certain from err that the request did not run.
func didNotRun(err error) bool { return definitionOf(err).Ran == faults.RanNo }
