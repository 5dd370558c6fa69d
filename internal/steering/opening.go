package steering

import (
	"slices"

	"merlinpaddle/internal/flow"
	"merlinpaddle/internal/model"
)

// decideOpening decides about an opening packet of a flow that this target
// does not own. It decides again when the bucket's fence rose meanwhile.
func (steering *Steering) decideOpening(packet *packetState) Decision {
	for range maximumDecisions {
		if decision, final := steering.tryOpening(packet); final {
			return decision
		}
	}
	return drop(ReasonNoTarget)
}

// tryOpening returns false when the decision was overtaken by the fence.
func (steering *Steering) tryOpening(packet *packetState) (Decision, bool) {
	newest := steering.newestRow(packet)
	if newest.head() == 0 {
		return drop(ReasonNoTarget), true
	}
	stage := packet.input.Stage
	if !equalChains(newest.chain, packet.chain) {
		// The packet comes from an older row: its stage says nothing about
		// this one.
		stage = model.StageLookup
	}
	if steering.opensHere(newest, stage) && !steering.options.MayOpen(packet.now) {
		return drop(ReasonPaused), true
	}
	switch stage {
	case model.StageSearch:
		return steering.continueSearch(packet, newest)
	case model.StageAssign:
		return steering.acceptAssigned(packet, newest)
	case model.StageReturn:
		return steering.takeReturned(packet, newest)
	default:
		return steering.startOpening(packet, newest)
	}
}

// opensHere tells whether the flow may open at this target by this decision.
func (steering *Steering) opensHere(newest row, stage model.Stage) bool {
	return newest.head() == steering.options.Target || stage == model.StageAssign
}

// startOpening brings the packet to the head, which searches for an owner if
// another target may have opened the flow. That this target assigned or returned
// the flow before is no reason not to search: it may have done so in an older
// row, and the head of a row between may have opened the flow.
func (steering *Steering) startOpening(packet *packetState, newest row) (Decision, bool) {
	if newest.head() != steering.options.Target {
		return steering.pass(packet, newest, newest.chain, 0, model.StageLookup, 0), true
	}
	if steering.needsSearch(packet, newest) {
		steering.options.OwnedFlows.RaiseFence(packet.bucket, newest.revision, newest.chain)
		return steering.pass(packet, newest, searchChain(newest.chain), 0, model.StageSearch, 0), true
	}
	return steering.choose(packet, newest)
}

// assigned returns the target that the flow was assigned to before. An
// assignment to a target that left the chain is forgotten: that target has
// reported the bucket empty and opens no flow of it any more.
func (steering *Steering) assigned(packet *packetState, newest row) (model.TargetID, bool) {
	made, exists := steering.options.OwnedFlows.LookupAssignment(packet.now, packet.bucket, packet.input.Flow)
	if !exists {
		return 0, false
	}
	if !slices.Contains(newest.chain, made.Target) {
		steering.options.OwnedFlows.RemoveAssignment(packet.bucket, packet.input.Flow, made.Target)
		return 0, false
	}
	if made.Idle >= repeatAfter {
		steering.silence.repeated(packet.now, made.Target)
	}
	return made.Target, true
}

// needsSearch tells whether another target of the chain may own the flow.
func (steering *Steering) needsSearch(packet *packetState, newest row) bool {
	if len(newest.chain) < 2 {
		return false
	}
	// Every datagram of a plain UDP flow looks like an opening packet, so the
	// alternate may own the flow long after it was assigned.
	isPlain := packet.service.Protocol == model.ProtocolUDP
	isNew := packet.now.Sub(steering.options.Started) < steering.options.AssignmentLifetime
	return !newest.known || !newest.settled || isPlain || isNew
}

// continueSearch raises the fence of a target that does not own the flow, and
// passes the packet on; at the end the head chooses.
func (steering *Steering) continueSearch(packet *packetState, newest row) (Decision, bool) {
	position := packet.input.Position + 1
	if newest.head() == steering.options.Target {
		return steering.choose(packet, newest)
	}
	if position >= len(packet.input.Chain) {
		return drop(ReasonNoTarget), true
	}
	steering.options.OwnedFlows.RaiseFence(packet.bucket, newest.revision, newest.chain)
	load := packet.input.PasserLoad
	if packet.input.Position == 0 {
		load = steering.ownScore(packet)
	}
	return steering.pass(packet, newest, packet.input.Chain, position, model.StageSearch, load), true
}

// choose decides at the head between itself and the alternate.
func (steering *Steering) choose(packet *packetState, newest row) (Decision, bool) {
	if assigned, exists := steering.assigned(packet, newest); exists {
		return steering.passAssigned(packet, newest, assigned), true
	}
	own := steering.ownScore(packet)
	if steering.prefersAlternate(packet, newest, own) {
		decision, made := steering.assign(packet, newest)
		if made {
			return decision, true
		}
	}
	return steering.openHere(packet, newest, own)
}

// prefersAlternate implements the power of two choices. The alternate's load is
// known when it stamped the packet during the search; else the head lets the
// alternate decide with the two present loads (acceptAssigned). Reported loads
// take no part: they lag, and they may be wrong.
func (steering *Steering) prefersAlternate(packet *packetState, newest row, own uint16) bool {
	if newest.alternate == 0 || newest.alternate == steering.options.Target {
		return false
	}
	if steering.silence.suspects(packet.now, newest.alternate) {
		return false
	}
	input := packet.input
	wasAsked := input.Stage == model.StageSearch && input.Chain[0] == newest.alternate && input.PasserLoad != 0
	return !wasAsked || own > input.PasserLoad
}

// assign remembers the alternate as the choice for the flow and passes the
// packet to it. It returns false when there is no room to remember it.
func (steering *Steering) assign(packet *packetState, newest row) (Decision, bool) {
	target, made := steering.options.OwnedFlows.Assign(
		packet.now, packet.bucket, packet.input.Flow, newest.alternate, newest.revision)
	if !made {
		return Decision{}, false
	}
	if !slices.Contains(newest.chain, target) {
		// Another packet of the flow was decided by an older row meanwhile.
		return drop(ReasonNoTarget), true
	}
	return steering.passAssigned(packet, newest, target), true
}

// passAssigned passes the packet to target, which is in the newest chain.
func (steering *Steering) passAssigned(packet *packetState, newest row, target model.TargetID) Decision {
	position := slices.Index(newest.chain, target)
	return steering.pass(packet, newest, newest.chain, position, model.StageAssign, steering.ownScore(packet))
}

// acceptAssigned opens the flow at the alternate, unless it has left the bucket,
// may not take new flows or is busier than the head was when it passed the
// packet on; then it returns the packet and remembers that, so that a copy of
// the packet is returned as well.
func (steering *Steering) acceptAssigned(packet *packetState, newest row) (Decision, bool) {
	if newest.head() == steering.options.Target {
		return steering.takeReturned(packet, newest)
	}
	steering.silence.heard(newest.head())
	if _, refused := steering.assigned(packet, newest); refused {
		return steering.returnToHead(packet, newest), true
	}
	own := steering.ownScore(packet)
	mayOpen := own != maximumScore && !steering.hasLeft(packet)
	if mayOpen && own <= packet.input.PasserLoad {
		decision, final := steering.openHere(packet, newest, own)
		if !final || decision.Action == ActionDeliver {
			return decision, final
		}
	}
	_, made := steering.options.OwnedFlows.Assign(
		packet.now, packet.bucket, packet.input.Flow, newest.head(), newest.revision)
	switch {
	case made:
		return steering.returnToHead(packet, newest), true
	case mayOpen:
		// Nothing would keep a copy of a packet that was returned without a
		// record from opening the flow here as well.
		return steering.openHere(packet, newest, own)
	default:
		return drop(ReasonNoTarget), true
	}
}

// hasLeft tells whether the agent's own table has the target as an earlier
// target of the bucket. It may have reported the bucket empty at that revision,
// and the report ends its place in the chain, so it opens no flow of the bucket.
func (steering *Steering) hasLeft(packet *packetState) bool {
	return slices.ContainsFunc(packet.table.Earlier[packet.bucket], func(entry model.EarlierTarget) bool {
		return entry.Target == steering.options.Target
	})
}

func (steering *Steering) returnToHead(packet *packetState, newest row) Decision {
	return steering.pass(packet, newest, newest.chain, 0, model.StageReturn, steering.ownScore(packet))
}

// takeReturned opens a flow at the head that the alternate refused.
func (steering *Steering) takeReturned(packet *packetState, newest row) (Decision, bool) {
	if newest.head() != steering.options.Target {
		return steering.startOpening(packet, newest)
	}
	steering.silence.heard(newest.alternate)
	return steering.openHere(packet, newest, steering.ownScore(packet))
}

// openHere opens the flow at this target, if the limit of new flows admits it.
func (steering *Steering) openHere(packet *packetState, newest row, own uint16) (Decision, bool) {
	if own == maximumScore {
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
