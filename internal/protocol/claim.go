package protocol

import (
	"time"

	"merlinpaddle/internal/model"
)

// ClaimKey identifies a request that may run at most once.
type ClaimKey struct {
	Tenant  model.TenantName
	Service string
	Key     string
}

// ClaimState is the control group's answer to a claim.
type ClaimState uint8

// The states of a claim.
const (
	// ClaimGranted means that only this agent may run the request, once.
	ClaimGranted ClaimState = iota + 1
	// ClaimInProgress means that the key is held by another claim whose outcome is unknown. The
	// request is not run again.
	ClaimInProgress
	// ClaimCompleted means that the request is answered with the recorded outcome.
	ClaimCompleted
	// ClaimMismatch means that the key was used by a request with another fingerprint.
	ClaimMismatch
	// ClaimUnavailable means that the claim was not granted and the request did not run: no quorum
	// confirmed the claim, its claimant may not claim it, or a limit on claims was reached.
	ClaimUnavailable
)

// ClaimRequest asks for the right to run a request. An agent sends it to its relay, which forwards
// it to the control leader.
type ClaimRequest struct {
	// Correlation identifies the request in its reply.
	Correlation uint64
	Key         ClaimKey
	// Fingerprint is a checksum of method, path and body.
	Fingerprint uint64
	Agent       model.NodeName
	Incarnation model.Incarnation
}

// ClaimOutcome records how a claimed request ended.
type ClaimOutcome struct {
	Correlation uint64
	Key         ClaimKey
	Agent       model.NodeName
	Incarnation model.Incarnation
	// NotRun means that the back end never received the request. The key may be claimed again.
	NotRun bool
	// Status and Body are the back end's answer, which is replayed to a resent request.
	Status int
	Body   []byte
	// ContentType is the answer's content type.
	ContentType string
	// BodyOmitted means that the body was too large to keep. A resent request is answered with the
	// status only.
	BodyOmitted bool
}

// ClaimReply answers ClaimRequest and ClaimOutcome.
type ClaimReply struct {
	Correlation uint64
	Agent       model.NodeName
	State       ClaimState
	// Outcome is set with ClaimCompleted.
	Outcome *ClaimOutcome
	// GrantedFor is the time within which the agent must start the request, counted by the agent
	// from when it first sent the ClaimRequest.
	GrantedFor time.Duration
}

func init() {
	RegisterAs("c", ClaimRequest{})
	RegisterAs("co", ClaimOutcome{})
	RegisterAs("cr", ClaimReply{})
}
