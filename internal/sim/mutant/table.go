package mutant

// All returns all mutants in a fixed order.
//
// A hint from an agent to a balancer has no mutant: a balancer that forgets or
// confuses hints only sends packets along a longer way, and breaks nothing.
func All() []Mutant {
	return append([]Mutant{
		chainCutToHead(),
		bucketsReportedEmptyEarly(),
		ownersIgnored(),
		flowsFrozen(),
		instanceIgnored(),
		searchSkipped(),
		serviceNotChecked(),
		drainHonouredLate(),
		stopWithoutWaiting(),
		claimSkipped(),
		claimReleasedAfterRun(),
		claimGrantedToEachAgent(),
		requestForgotten(),
		answersWithheld(),
		ranAfterRefusal(),
		refusedAfterRun(),
		answersCrossed(),
		shortBodyPassed(),
		revisionIgnored(),
		idempotencyKeyIgnored(),
		entrySkipped(),
		snapshotIgnored(),
		entriesNotSynced(),
		voteNotSynced(),
		voteGivenTwice(),
		appendAcknowledgedUnstored(),
		learnerPromotedEarly(),
		memberBackUnderOldID(),
		readNotConfirmed(),
		oldRevisionRun(),
		configurationAppliedLate(),
		leaseNeverEnds(),
		updatePartlyLost(),
		digestIgnored(),
		relayClaimsToBeCurrent(),
	}, directMutants()...)
}

// Find returns the mutant called name.
func Find(name string) (Mutant, bool) {
	for _, one := range All() {
		if one.Name == name {
			return one, true
		}
	}
	return Mutant{}, false
}
