package merlinctl

import (
	"errors"
	"net/http"

	"merlinpaddle/internal/client"
	"merlinpaddle/internal/faults"
)

// Exit codes by class of error. Scripts depend on them, so they must not change.
const (
	// ExitSuccess: the command succeeded.
	ExitSuccess = 0
	// ExitFault: an internal error of the member or of this program.
	ExitFault = 1
	// ExitUsage: the command line, a settings file or an applied file is wrong.
	ExitUsage = 2
	// ExitInvalid: the change was refused as invalid.
	ExitInvalid = 3
	// ExitForbidden: the token is missing, unknown, or lacks the permission.
	ExitForbidden = 4
	// ExitNotFound: the named object does not exist.
	ExitNotFound = 5
	// ExitConflict: another change came first, or the change contradicts another object.
	ExitConflict = 6
	// ExitUnavailable: no leader, no quorum, too many requests, or no member reachable; nothing was
	// changed.
	ExitUnavailable = 7
	// ExitUnknown: it is unknown whether the change was committed.
	ExitUnknown = 8
	// ExitWaitEnded: the wait ended, by its limit or by an interruption, before its condition was met.
	// Changes made before the wait stay committed.
	ExitWaitEnded = 9
	// ExitDeclined: the operator did not confirm the change.
	ExitDeclined = 10
)

// errDeclined is the error of a change that the operator did not confirm.
var errDeclined = errors.New("declined; nothing was changed")

// exitCodeOf returns the exit code for err, which is not nil.
func exitCodeOf(err error) int {
	if errors.Is(err, errDeclined) {
		return ExitDeclined
	}
	if client.MayHaveRun(err) {
		return ExitUnknown
	}
	code := client.Code(err)
	switch code {
	case 0:
		// Cobra's own errors, about unknown commands and wrong arguments, have no code.
		return ExitUsage
	case faults.CodeUsage:
		return ExitUsage
	case faults.CodeNotInForce:
		return ExitWaitEnded
	case faults.CodeMemberUnreachable:
		return ExitUnavailable
	}
	definition, known := faults.Lookup(code)
	if !known {
		return ExitFault
	}
	return exitCodeOfStatus(definition.HTTPStatus)
}

func exitCodeOfStatus(status int) int {
	switch status {
	case http.StatusUnauthorized, http.StatusForbidden:
		return ExitForbidden
	case http.StatusNotFound:
		return ExitNotFound
	case http.StatusConflict, http.StatusPreconditionFailed:
		return ExitConflict
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusGatewayTimeout:
		return ExitUnavailable
	}
	if status >= http.StatusBadRequest && status < http.StatusInternalServerError {
		return ExitInvalid
	}
	return ExitFault
}
