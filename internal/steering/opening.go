package steering

import (
	"slices"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
)

// decideOpening decides about an opening packet of a flow that this target does not own. It decides
// again when the bucket's fence was raised meanwhile.
func (steering *Steering) decideOpening(packet *packetState) Decision {
	for range maximumAttempts {
		if decision, final := steering.tryOpening(packet); final {
			return decision
		}
	}
	return drop(ReasonNoTarget)
}

// tryOpening makes one attempt to decide. It returns false when the bucket's fence was raised above
// the revision of the decision.
func (steering *Steering) tryOpening(packet *packetState) (Decision, bool) {
	newest := steering.newestRow(packet)
	if newest.head() == 0 {
		return drop(ReasonNoTarget), true
	}
	stage := packet.input.Stage
	if !equalChains(newest.chain, packet.chain) {
		// The packet was sent by an older row, so its stage does not apply to the newest one.
		stage = model.StageLookup
	}
	if steering.mayOpenHere(newest, stage) && !steering.options.MayOpen(packet.now) {
		return drop(ReasonPaused), true
	}
	switch stage {
	case model.StageSearch:
		return steering.continueSearch(packet, newest)
	case model.StageAssign:
		return steering.acceptAssigned(packet, newest)
	case model.StageReturn:
		return steering.openReturned(packet, newest)
	default:
		return steering.startOpening(packet, newest)
	}
}

// mayOpenHere reports whether a decision by this row and stage may open the flow at this target.
func (steering *Steering) mayOpenHere(newest row, stage model.Stage) bool {
	return newest.head() == steering.options.Target || stage == model.StageAssign
}

// startOpening forwards the packet to the head. The head searches for an owner if another target may
// have opened the flow, even if the head itself assigned or returned the flow before: it may have
// done so by an older row, and the head of a row in between may have opened the flow.
func (steering *Steering) startOpening(packet *packetState, newest row) (Decision, bool) {
	if newest.head() != steering.options.Target {
		return steering.forward(packet, newest, newest.chain, 0, model.StageLookup, 0), true
	}
	if steering.needsSearch(packet, newest) {
		steering.options.OwnedFlows.RaiseFence(packet.bucket, newest.revision, newest.chain)
		return steering.forward(packet, newest, searchChain(newest.chain), 0, model.StageSearch, 0), true
	}
	return steering.chooseTarget(packet, newest)
}

// previousAssignment returns the target that the flow was assigned to before. It removes an
// assignment to a target that is no longer in the chain: that target is dead, or has reported the
// bucket empty and opens no more flows of it.
func (steering *Steering) previousAssignment(packet *packetState, newest row) (model.TargetID, bool) {
	assignment, exists := steering.options.OwnedFlows.LookupAssignment(packet.now, packet.bucket, packet.input.Flow)
	if !exists {
		return 0, false
	}
	if !slices.Contains(newest.chain, assignment.Target) {
		steering.options.OwnedFlows.RemoveAssignment(packet.bucket, packet.input.Flow, assignment.Target)
		return 0, false
	}
	if assignment.Idle >= minimumRetransmissionDelay {
		steering.responses.recordRetransmission(packet.now, assignment.Target)
	}
	return assignment.Target, true
}

// needsSearch reports whether another target of the chain may own the flow.
func (steering *Steering) needsSearch(packet *packetState, newest row) bool {
	if len(newest.chain) < 2 {
		return false
	}
	// Every datagram of a plain UDP flow looks like an opening packet, so the
	// alternate may own the flow long after it was assigned.
	isPlainUDP := packet.service.Protocol == model.ProtocolUDP
	startedRecently := packet.now.Sub(steering.options.Started) < steering.options.AssignmentLifetime
	return !newest.fromTable || !newest.settled || isPlainUDP || startedRecently
}

// continueSearch handles a search at a target that does not own the flow: it raises the bucket's fence
// and forwards the packet to the next target. The last one is the head, which then chooses a target.
func (steering *Steering) continueSearch(packet *packetState, newest row) (Decision, bool) {
	position := packet.input.Position + 1
	if newest.head() == steering.options.Target {
		return steering.chooseTarget(packet, newest)
	}
	if position >= len(packet.input.Chain) {
		return drop(ReasonNoTarget), true
	}
	steering.options.OwnedFlows.RaiseFence(packet.bucket, newest.revision, newest.chain)
	load := packet.input.PasserLoad
	if packet.input.Position == 0 {
		load = steering.localScore(packet)
	}
	return steering.forward(packet, newest, packet.input.Chain, position, model.StageSearch, load), true
}

// chooseTarget decides at the head between itself and the alternate.
func (steering *Steering) chooseTarget(packet *packetState, newest row) (Decision, bool) {
	if target, exists := steering.previousAssignment(packet, newest); exists {
		return steering.forwardAssigned(packet, newest, target), true
	}
	localScore := steering.localScore(packet)
	if steering.prefersAlternate(packet, newest, localScore) {
		decision, assigned := steering.assignToAlternate(packet, newest)
		if assigned {
			return decision, true
		}
	}
	return steering.openLocally(packet, newest, localScore)
}

// prefersAlternate reports whether to assign the flow to the alternate (power of two choices). The
// alternate's load is known when the alternate wrote it into the packet during a search. Otherwise
// the head assigns the flow, and the alternate compares its own current load with the head's
// (acceptAssigned). Loads that targets report to control are not used: they are stale and may be
// wrong.
func (steering *Steering) prefersAlternate(packet *packetState, newest row, localScore uint16) bool {
	if newest.alternate == 0 || newest.alternate == steering.options.Target {
		return false
	}
	if steering.responses.isSuspect(packet.now, newest.alternate) {
		return false
	}
	input := packet.input
	hasAlternateLoad := input.Stage == model.StageSearch && input.Chain[0] == newest.alternate && input.PasserLoad != 0
	return !hasAlternateLoad || localScore > input.PasserLoad
}

// assignToAlternate records the assignment of the flow to the alternate and forwards the packet to
// it. It returns false when the assignment is refused, see flow.OwnedFlows.Assign.
func (steering *Steering) assignToAlternate(packet *packetState, newest row) (Decision, bool) {
	target, assigned := steering.options.OwnedFlows.Assign(
		packet.now, packet.bucket, packet.input.Flow, newest.alternate, newest.revision)
	if !assigned {
		return Decision{}, false
	}
	if !slices.Contains(newest.chain, target) {
		// Another packet of the flow was assigned by an older row meanwhile.
		return drop(ReasonNoTarget), true
	}
	return steering.forwardAssigned(packet, newest, target), true
}

// forwardAssigned forwards the packet to target, which is in the newest chain.
func (steering *Steering) forwardAssigned(packet *packetState, newest row, target model.TargetID) Decision {
	position := slices.Index(newest.chain, target)
	return steering.forward(packet, newest, newest.chain, position, model.StageAssign, steering.localScore(packet))
}

// acceptAssigned opens the flow at the alternate, unless the alternate has become an earlier target
// of the bucket, may not open new flows, or has a higher load score than the head had when it
// forwarded the packet. Then it returns the packet and records an assignment to the head, so that
// copies of the packet are returned as well.
func (steering *Steering) acceptAssigned(packet *packetState, newest row) (Decision, bool) {
	if newest.head() == steering.options.Target {
		return steering.openReturned(packet, newest)
	}
	steering.responses.recordResponse(newest.head())
	if _, refused := steering.previousAssignment(packet, newest); refused {
		return steering.returnToHead(packet, newest), true
	}
	localScore := steering.localScore(packet)
	mayOpen := localScore != maximumScore && !steering.isEarlierTarget(packet)
	if mayOpen && localScore <= packet.input.PasserLoad {
		decision, final := steering.openLocally(packet, newest, localScore)
		if !final || decision.Action == ActionDeliver {
			return decision, final
		}
	}
	_, recorded := steering.options.OwnedFlows.Assign(
		packet.now, packet.bucket, packet.input.Flow, newest.head(), newest.revision)
	switch {
	case recorded:
		return steering.returnToHead(packet, newest), true
	case mayOpen:
		// If the packet were returned without a record, a copy of it could open the flow here while
		// the head opens it too.
		return steering.openLocally(packet, newest, localScore)
	default:
		return drop(ReasonNoTarget), true
	}
}

// isEarlierTarget reports whether this target is an earlier target of the bucket in the agent's own
// table. Such a target opens no flow of the bucket: it may have reported the bucket empty at that
// revision, and the report removes it from the chain.
func (steering *Steering) isEarlierTarget(packet *packetState) bool {
	return slices.ContainsFunc(packet.table.Earlier[packet.bucket], func(entry model.EarlierTarget) bool {
		return entry.Target == steering.options.Target
	})
}

// returnToHead forwards an assigned packet back to the head.
func (steering *Steering) returnToHead(packet *packetState, newest row) Decision {
	return steering.forward(packet, newest, newest.chain, 0, model.StageReturn, steering.localScore(packet))
}

// openReturned opens a flow at the head after the alternate refused it. If this target is not the
// head of the newest row, it starts the decision again.
func (steering *Steering) openReturned(packet *packetState, newest row) (Decision, bool) {
	if newest.head() != steering.options.Target {
		return steering.startOpening(packet, newest)
	}
	steering.responses.recordResponse(newest.alternate)
	return steering.openLocally(packet, newest, steering.localScore(packet))
}

// openLocally opens the flow at this target, if localScore and the rate limit of new flows admit it.
// It returns false when the bucket's fence was raised above the revision of the decision.
func (steering *Steering) openLocally(packet *packetState, newest row, localScore uint16) (Decision, bool) {
	if localScore == maximumScore {
		return drop(ReasonNoTarget), true
	}
	token, admitted := steering.takeToken(packet)
	if !admitted {
		return drop(ReasonNoTarget), true
	}
	result := steering.options.OwnedFlows.Open(packet.now, packet.bucket, packet.input.Flow, newest.revision)
	if result != flow.OpenNew {
		token.CancelAt(packet.now)
	}
	switch result {
	case flow.OpenNew:
		return Decision{Action: ActionDeliver, Opened: true, Hint: packet.input.Passes > 0}, true
	case flow.OpenExisting:
		return Decision{Action: ActionDeliver, Hint: packet.input.Passes > 0}, true
	case flow.OpenFenced:
		return Decision{}, false
	default:
		return drop(ReasonNoTarget), true
	}
}
