package adminapi

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"

	"go.uber.org/zap"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// ProblemContentType is the media type of problem documents (RFC 9457).
const ProblemContentType = "application/problem+json"

// Problem is the problem document (RFC 9457) that answers a failed request, with the members that this
// API adds.
type Problem struct {
	// Type is the URN "urn:merlinpaddle:error:" with the code.
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail"`
	// Instance is the request's ID.
	Instance string `json:"instance,omitempty"`
	// Code and Name identify the error in docs/ERRORS.md.
	Code faults.Code `json:"code"`
	Name string      `json:"name"`
	// Ran states whether the change was run: "no" or "unknown". It is missing for reads.
	Ran faults.Ran `json:"ran,omitempty"`
	// Action is what the caller should do next.
	Action string `json:"action,omitempty"`
	// Errors lists the invalid fields.
	Errors []state.FieldError `json:"errors,omitempty"`
	// Leader is the node name of the leader, which can be asked instead. It is set for statuses 503
	// and 504 when the leader is known.
	Leader model.NodeName `json:"leader,omitempty"`
	// Revision and Current are the object's current revision and value when the change was based on
	// another revision. Current is missing when there is no such object.
	Revision *model.Revision `json:"revision,omitempty"`
	Current  any             `json:"current,omitempty"`
}

// Retry-After is retryAfterBase plus a random number below retryAfterSpread, in seconds. The jitter
// keeps callers that were refused at the same time from retrying at the same time.
const (
	retryAfterBase   = 1
	retryAfterSpread = 3
)

// refusal is an error with a code and with further members of the problem document.
type refusal struct {
	error
	fields   []state.FieldError
	revision *model.Revision
	current  any
	// retryAfter is the number of seconds that replaces retryAfterBase, if positive.
	retryAfter int
}

// Unwrap returns the error with the code.
func (refused refusal) Unwrap() error { return refused.error }

// resultRefusal converts the result of a command that the state machine refused into an error.
func resultRefusal(result state.Result) refusal {
	return refusal{error: faults.New(result.Code, "%s", result.Message), fields: result.Fields}
}

// fieldRefusal returns a refusal that names one invalid field or parameter.
func fieldRefusal(code faults.Code, field, format string, arguments ...any) refusal {
	message := fmt.Sprintf(format, arguments...)
	return refusal{error: faults.New(code, "%s: %s", field, message), fields: []state.FieldError{{Field: field, Message: message}}}
}

// fail answers a request with a problem document.
func (server *api) fail(writer http.ResponseWriter, request *http.Request, err error) {
	problem := server.problem(request, err)
	header := writer.Header()
	header.Set("Content-Type", ProblemContentType)
	header.Set("Cache-Control", "no-store")
	if problem.Revision != nil && problem.Current != nil {
		header.Set("ETag", formatETag(*problem.Revision))
	}
	if mayRetryLater(problem.Status) {
		header.Set("Retry-After", strconv.Itoa(retryAfterOf(err)))
	}
	if problem.Status == http.StatusUnauthorized {
		header.Set("WWW-Authenticate", `Bearer realm="merlinpaddle"`)
	}
	writer.WriteHeader(problem.Status)
	if err := json.NewEncoder(writer).Encode(problem); err != nil {
		server.Logger.Debug("problem not sent", zap.Error(err))
	}
}

// problem returns the problem document for an error. An error without a code, or with one that
// faults.Lookup does not know, is reported as CodeInternalFault.
func (server *api) problem(request *http.Request, err error) Problem {
	code := faults.CodeOf(err)
	definition, known := faults.Lookup(code)
	if !known {
		server.Logger.Warn("fault without a code", zap.String("path", request.URL.Path), zap.Error(err))
		definition, _ = faults.Lookup(faults.CodeInternalFault)
	}
	problem := Problem{
		Type:     fmt.Sprintf("urn:merlinpaddle:error:%d", definition.Code),
		Title:    definition.Meaning,
		Status:   definition.HTTPStatus,
		Detail:   err.Error(),
		Instance: requestID(request),
		Code:     definition.Code,
		Name:     definition.Name,
		Ran:      definition.Ran,
		Action:   definition.Action,
	}
	if problem.Status == 0 {
		problem.Status = http.StatusInternalServerError
	}
	if request.Method == http.MethodGet || request.Method == http.MethodHead {
		problem.Ran = faults.RanNotApplicable
	}
	if mayRetryElsewhere(problem.Status) {
		problem.Leader = server.Group.Status().Leader
	}
	if refused, isRefusal := asRefusal(err); isRefusal {
		problem.Errors = refused.fields
		problem.Revision = refused.revision
		problem.Current = refused.current
	}
	return problem
}

func asRefusal(err error) (refusal, bool) {
	var refused refusal
	return refused, errors.As(err, &refused)
}

// mayRetryLater reports whether a response with the status gets a Retry-After.
func mayRetryLater(status int) bool {
	return status == http.StatusTooManyRequests || status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// mayRetryElsewhere reports whether a response with the status names the leader.
func mayRetryElsewhere(status int) bool {
	return status == http.StatusServiceUnavailable || status == http.StatusGatewayTimeout
}

// retryAfterOf returns the Retry-After for an error, in seconds.
func retryAfterOf(err error) int {
	base := retryAfterBase
	if refused, isRefusal := asRefusal(err); isRefusal && refused.retryAfter > 0 {
		base = refused.retryAfter
	}
	return base + rand.IntN(retryAfterSpread)
}
