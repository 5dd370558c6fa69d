package state

import "merlinpaddle/internal/protocol"

// Claim and CompleteClaim change the claim table directly and not through the
// transaction, because they are never refused after their first change.
//
// The claims of a service outlive it until their window ends. If a service of the
// same name is created in the meantime, a delayed retry of an old request still
// does not run a second time.

// apply grants the claim if the key is not held by another request.
//
// A copy of a granted claim request (same agent process, same correlation) gets the
// grant again, because the first reply may have been lost. A copy of a released
// claim request gets ClaimUnavailable, because its agent has abandoned it.
func (command Claim) apply(transaction *transaction) Result {
	request := command.Request
	claims := &transaction.machine.claims
	holder := claimHolder{Agent: request.Agent, Incarnation: request.Incarnation, Correlation: request.Correlation}
	row, known := claims.rows[request.Key]
	if known && row.Phase == claimReleased && row.Holder == holder {
		return claimResult(request, protocol.ClaimUnavailable, nil)
	}
	if known && row.Phase != claimReleased {
		return row.reply(request, holder)
	}
	if !transaction.mayClaim(request) {
		return claimResult(request, protocol.ClaimUnavailable, nil)
	}
	claims.put(claimRow{
		Key:         request.Key,
		Fingerprint: request.Fingerprint,
		Holder:      holder,
		Phase:       claimHeld,
		ExpiresAt:   transaction.now.Add(ClaimWindow),
		Serial:      transaction.revision,
	})
	return claimResult(request, protocol.ClaimGranted, nil)
}

// reply returns the answer to a request whose key is held or completed.
func (row claimRow) reply(request protocol.ClaimRequest, holder claimHolder) Result {
	switch {
	case row.Fingerprint != request.Fingerprint:
		return claimResult(request, protocol.ClaimMismatch, nil)
	case row.Phase == claimDone:
		return claimResult(request, protocol.ClaimCompleted, row.Outcome)
	case row.Holder == holder:
		return claimResult(request, protocol.ClaimGranted, nil)
	}
	return claimResult(request, protocol.ClaimInProgress, nil)
}

// mayClaim reports whether the claim can be added: its key is valid, it comes from a
// target of the service that it names, that target is not dead, and neither the claim
// table nor the tenant's quota is full. The agent process must not be older than the
// last observed one. It may be newer, because observations can lag.
func (transaction *transaction) mayClaim(request protocol.ClaimRequest) bool {
	if request.Key.Key == "" || len(request.Key.Key) > MaximumClaimKeyBytes {
		return false
	}
	tenant, known := transaction.view.tenants.get(request.Key.Tenant)
	if !known {
		return false
	}
	key := TargetKey{Tenant: request.Key.Tenant, Service: request.Key.Service, Name: string(request.Agent)}
	target, record, known := transaction.view.Target(key)
	if !known || record.Dead || request.Incarnation < target.Incarnation {
		return false
	}
	claims := &transaction.machine.claims
	return len(claims.rows) < MaximumClaims && claims.tenants[request.Key.Tenant] < tenant.Spec.claims()
}

func claimResult(request protocol.ClaimRequest, state protocol.ClaimState, outcome *protocol.ClaimOutcome) Result {
	reply := &protocol.ClaimReply{
		Correlation: request.Correlation,
		Agent:       request.Agent,
		State:       state,
		Outcome:     outcome,
	}
	if state == protocol.ClaimGranted {
		reply.GrantedFor = ClaimGrant
	}
	return Result{Claim: reply}
}

// apply records the first outcome that the claim's holder reports, or the release of
// the claim. The state in the reply is ClaimCompleted once either is recorded, and
// ClaimMismatch if the sender does not hold the claim.
func (command CompleteClaim) apply(transaction *transaction) Result {
	outcome := command.Outcome
	claims := &transaction.machine.claims
	holder := claimHolder{Agent: outcome.Agent, Incarnation: outcome.Incarnation, Correlation: outcome.Correlation}
	row, known := claims.rows[outcome.Key]
	if outcome.NotRun {
		return transaction.release(outcome, holder, row, known)
	}
	if !known || row.Holder != holder || row.Phase == claimReleased {
		return outcomeResult(outcome, protocol.ClaimMismatch)
	}
	if row.Phase == claimHeld {
		claims.complete(row, claims.limitBody(outcome))
	}
	return outcomeResult(outcome, protocol.ClaimCompleted)
}

// release frees the key of a request that was not run. A release can be applied
// before the claim request that it belongs to; its row then refuses that claim.
func (transaction *transaction) release(outcome protocol.ClaimOutcome, holder claimHolder, row claimRow, known bool) Result {
	if known && row.Holder != holder && row.Phase != claimReleased {
		return outcomeResult(outcome, protocol.ClaimMismatch)
	}
	if known && row.Phase == claimDone {
		return outcomeResult(outcome, protocol.ClaimMismatch)
	}
	if !known && !transaction.mayClaim(protocol.ClaimRequest{Key: outcome.Key, Agent: outcome.Agent, Incarnation: outcome.Incarnation}) {
		return outcomeResult(outcome, protocol.ClaimCompleted)
	}
	transaction.machine.claims.put(claimRow{
		Key:       outcome.Key,
		Holder:    holder,
		Phase:     claimReleased,
		ExpiresAt: transaction.now.Add(ReleaseRetention),
		Serial:    transaction.revision,
	})
	return outcomeResult(outcome, protocol.ClaimCompleted)
}

// limitBody removes a body that would exceed MaximumOutcomeBytes or
// MaximumOutcomeTotalBytes. The status that remains still tells the sender of a
// resent request that the request has been run.
func (claims *claimTable) limitBody(outcome protocol.ClaimOutcome) protocol.ClaimOutcome {
	if len(outcome.Body) > MaximumOutcomeBytes || claims.outcomeBytes+len(outcome.Body) > MaximumOutcomeTotalBytes {
		outcome.Body = nil
		outcome.BodyOmitted = true
	}
	return outcome
}

func outcomeResult(outcome protocol.ClaimOutcome, state protocol.ClaimState) Result {
	return Result{Claim: &protocol.ClaimReply{
		Correlation: outcome.Correlation,
		Agent:       outcome.Agent,
		State:       state,
	}}
}

// ClaimStatus holds the size of the claim table, for the status page.
type ClaimStatus struct {
	// Rows is the number of claims, including released ones.
	Rows int `json:"rows"`
	// OutcomeBytes is the size of all stored bodies.
	OutcomeBytes int `json:"outcome_bytes"`
}

// ClaimStatus returns the current size of the claim table.
func (machine *Machine) ClaimStatus() ClaimStatus {
	machine.lock.Lock()
	defer machine.lock.Unlock()
	return ClaimStatus{Rows: len(machine.claims.rows), OutcomeBytes: machine.claims.outcomeBytes}
}
