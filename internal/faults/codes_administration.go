package faults

import "net/http"

// Codes of the administration API and the replicated state.
const (
	// CodeMalformedRequest: the request could not be read.
	CodeMalformedRequest Code = 4001
	// CodeUnauthenticated: the request has no token, or an unknown one.
	CodeUnauthenticated Code = 4002
	// CodeForbidden: the token's role or tenant does not allow the request.
	CodeForbidden Code = 4003
	// CodeNotFound: the named object does not exist.
	CodeNotFound Code = 4004
	// CodeRevisionMismatch: the object changed after the revision that the change
	// is based on.
	CodeRevisionMismatch Code = 4005
	// CodeRevisionRequired: the change does not name the revision that it is based on.
	CodeRevisionRequired Code = 4006
	// CodeIdempotencyKeyRequired: the change has no usable Idempotency-Key.
	CodeIdempotencyKeyRequired Code = 4007
	// CodeIdempotencyKeyReused: the key was used with another request.
	CodeIdempotencyKeyReused Code = 4008
	// CodeConflict: the change contradicts another object.
	CodeConflict Code = 4009
	// CodeInvalidField: a field has a value that is not allowed.
	CodeInvalidField Code = 4010
	// CodeQuotaExceeded: the change would exceed a quota or a limit of a table.
	CodeQuotaExceeded Code = 4011
	// CodeRateLimited: the token made too many requests.
	CodeRateLimited Code = 4012
	// CodeBodyTooLarge: the request body is larger than the limit.
	CodeBodyTooLarge Code = 4013
	// CodeUnsupportedMediaType: the request body's media type is not supported.
	CodeUnsupportedMediaType Code = 4014
	// CodeOutcomeUnknown: the change may or may not have been committed.
	CodeOutcomeUnknown Code = 4016
	// CodeReadUnconfirmed: leadership was not confirmed for a read in time.
	CodeReadUnconfirmed Code = 4017
	// CodeGroupNotEmpty: a backup can be restored into an empty group only.
	CodeGroupNotEmpty Code = 4018
	// CodeSnapshotInvalid: the backup is damaged or has an unknown version.
	CodeSnapshotInvalid Code = 4019
	// CodeUnknownCommand: the log holds a command that this version cannot run.
	CodeUnknownCommand Code = 4020
	// CodeMethodNotAllowed: the path exists, the method does not.
	CodeMethodNotAllowed Code = 4021
	// CodeNotInForce: the revision was not in force when the wait ended.
	CodeNotInForce Code = 4022
	// CodeTokensInvalid: the token file cannot be used.
	CodeTokensInvalid Code = 4023
	// CodeInternalFault: the member failed in a way that has no code of its own.
	CodeInternalFault Code = 4024
	// CodeMemberUnreachable: no control member could be reached.
	CodeMemberUnreachable Code = 4025
)

var administrationDefinitions = []Definition{
	{CodeMalformedRequest, "MalformedRequest", "The request could not be read: broken JSON, an unknown field or a wrong type.",
		"Mend the named field and send the request again.", http.StatusBadRequest, RanNo},
	{CodeUnauthenticated, "Unauthenticated", "The request has no bearer token, or one that is not known.",
		"Send a token of the member's token file.", http.StatusUnauthorized, RanNo},
	{CodeForbidden, "Forbidden", "The token's role or tenant does not allow the request.",
		"Use a token with the needed role, or ask an administrator.", http.StatusForbidden, RanNo},
	{CodeNotFound, "NotFound", "The named object does not exist.",
		"Check the name; list the objects of its kind.", http.StatusNotFound, RanNo},
	{CodeRevisionMismatch, "RevisionMismatch", "The object changed since the revision that the change is based on.",
		"Read the present value, redo the change on it, and send it with a new key.", http.StatusPreconditionFailed, RanNo},
	{CodeRevisionRequired, "RevisionRequired", "The change does not name the revision it is based on.",
		"Send If-Match with the object's ETag, or If-None-Match: * to create.", http.StatusPreconditionRequired, RanNo},
	{CodeIdempotencyKeyRequired, "IdempotencyKeyRequired", "The change has no usable Idempotency-Key.",
		"Send a key of 1 to 128 printable characters, new for each change.", http.StatusBadRequest, RanNo},
	{CodeIdempotencyKeyReused, "IdempotencyKeyReused", "The Idempotency-Key was used with another request.",
		"Use a new key for each change; keep it only to resend the same one.", http.StatusUnprocessableEntity, RanNo},
	{CodeConflict, "Conflict", "The change contradicts another object.",
		"Read the detail: free the named address, name or reference first.", http.StatusConflict, RanNo},
	{CodeInvalidField, "InvalidField", "A field has a value that is not allowed.",
		"Mend the fields listed in the answer.", http.StatusUnprocessableEntity, RanNo},
	{CodeQuotaExceeded, "QuotaExceeded", "The change would exceed a quota or a bound of the state.",
		"Remove what is not needed, or ask an administrator to raise the quota.", http.StatusConflict, RanNo},
	{CodeRateLimited, "RateLimited", "The token made too many requests.",
		"Wait as long as Retry-After says.", http.StatusTooManyRequests, RanNo},
	{CodeBodyTooLarge, "BodyTooLarge", "The request body is larger than the bound.",
		"Send a smaller body.", http.StatusRequestEntityTooLarge, RanNo},
	{CodeUnsupportedMediaType, "UnsupportedMediaType", "The request body is not of a type that the path takes.",
		"Send application/json, or application/octet-stream to restore a backup.", http.StatusUnsupportedMediaType, RanNo},
	{CodeOutcomeUnknown, "OutcomeUnknown", "The change may or may not have been committed.",
		"Send the same request with the same Idempotency-Key again.", http.StatusGatewayTimeout, RanUnknown},
	{CodeReadUnconfirmed, "ReadUnconfirmed", "Leadership was not confirmed in time, so a read could be out of date.",
		"Read again, at another member if this one stays cut off; ?stale=true reads this member's copy.", http.StatusServiceUnavailable, RanNo},
	{CodeGroupNotEmpty, "GroupNotEmpty", "A backup is restored into an empty group only.",
		"Start a new group with empty data folders and restore there.", http.StatusConflict, RanNo},
	{CodeSnapshotInvalid, "SnapshotInvalid", "The backup is damaged or of a version that is not known.",
		"Use another backup, or the release that made it.", http.StatusUnprocessableEntity, RanNo},
	{CodeUnknownCommand, "UnknownCommand", "The log holds a command that this version cannot run.",
		"Upgrade all members to one release.", http.StatusInternalServerError, RanNo},
	{CodeMethodNotAllowed, "MethodNotAllowed", "The path does not take the method.",
		"See docs/API.md for the methods of each path.", http.StatusMethodNotAllowed, RanNo},
	{CodeNotInForce, "NotInForce", "The revision was not in force on every leased balancer when the wait ended.",
		"Wait longer; look at the nodes that lag with merlinctl rollout.", 0, RanNotApplicable},
	{CodeTokensInvalid, "TokensInvalid", "The token file cannot be used.",
		"Mend the named entry; the member keeps the tokens it had.", 0, RanNotApplicable},
	{CodeInternalFault, "InternalFault", "The member failed in a way it has no better code for.",
		"Report the fault with the member's ring file.", http.StatusInternalServerError, RanUnknown},
	{CodeMemberUnreachable, "MemberUnreachable", "No control member could be reached, or none answered a read; nothing was changed.",
		"Check the endpoints, the network and the certificate authority; look at the members with merlinctl status.", 0, RanNo},
}
