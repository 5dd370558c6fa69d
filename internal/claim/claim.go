// Package claim asks the control group for the right to run a request at most
// once, and reports how the request ended.
//
// A claim and its reply travel through the agent's relay to the control leader
// and back, as messages that may be lost, duplicated or delayed. The agent
// resends each message with the same correlation until it is answered. A grant
// may be used only for a bounded time, counted from when the claim was made,
// which is never later than its first send. A claim that was not granted in time is
// released, so that the caller can safely retry the request.
//
// The package reads no clock and starts no goroutine: callers pass the time, and
// Tracker is a board.Controller.
package claim

import (
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

const (
	// firstResendInterval is the wait before a message is first resent. The
	// wait doubles with each resend, up to maximumResendInterval.
	firstResendInterval   = 200 * time.Millisecond
	maximumResendInterval = 5 * time.Second
	// reportTimeout is how long a report is resent before the tracker gives up.
	// The key then stays taken until the control group expires the claim.
	reportTimeout = 5 * time.Minute
	// grantMargin is subtracted from the time that a grant allows. It covers
	// the difference in rate between two clocks and the time between reading
	// the clock and starting the request.
	grantMargin = 500 * time.Millisecond
	// MaximumPending bounds the number of claims in all phases; further claims
	// are answered with ClaimUnavailable.
	MaximumPending = 16384
)

// RelayNamer returns the relay through which messages to control are sent.
type RelayNamer interface {
	// RelayName returns the relay's name, or an empty name when there is none.
	RelayName() model.NodeName
}

// Grant is the right to run one request once.
type Grant struct {
	// Correlation identifies the claim.
	Correlation uint64
	Key         protocol.ClaimKey
	// StartBefore is the time before which the request must be started.
	StartBefore time.Time
}

// Usable reports whether the request may start now. It must be called right
// before the first byte is sent, because the process may have been stopped for
// any length of time since the grant arrived.
func (grant Grant) Usable(now time.Time) bool { return now.Before(grant.StartBefore) }

// Answer is the result of a claim.
type Answer struct {
	// State is ClaimGranted, ClaimInProgress, ClaimCompleted, ClaimMismatch
	// or ClaimUnavailable.
	State protocol.ClaimState
	// Grant is set with ClaimGranted.
	Grant Grant
	// Outcome is set with ClaimCompleted.
	Outcome *protocol.ClaimOutcome
}

// phase is the state of a claim at this agent.
type phase uint8

const (
	// phaseRequested: the claim waits for a relay or for its reply.
	phaseRequested phase = iota + 1
	// phaseGranted: the request may be started or is running.
	phaseGranted
	// phaseReporting: the request's outcome, or that it was not run, is sent
	// until it is confirmed.
	phaseReporting
)

// entry is one claim that the tracker follows.
type entry struct {
	request protocol.ClaimRequest
	phase   phase
	// claimedAt is when the claim was made, which is never later than its first
	// send. The time that a grant allows is counted from it.
	claimedAt time.Time
	// deadline is when the tracker gives up the present phase; unused in
	// phaseGranted.
	deadline time.Time
	// done is called with the answer; nil after phaseRequested.
	done func(Answer)
	// outcome is the report that phaseReporting sends.
	outcome protocol.ClaimOutcome

	// nextSend is when the message of the present phase is sent again.
	nextSend time.Time
	// interval is the latest wait between two sends; zero before the first.
	interval time.Duration
}

// due reports whether the entry's message is to be sent now. If so, it schedules
// the next send.
func (entry *entry) due(now time.Time) bool {
	if now.Before(entry.nextSend) {
		return false
	}
	if entry.interval == 0 {
		entry.interval = firstResendInterval
	} else {
		entry.interval = min(entry.interval*2, maximumResendInterval)
	}
	entry.nextSend = now.Add(entry.interval)
	return true
}
