package mutant

// All returns all mutants in a fixed order.
//
// There is no mutant for the hints from agents to balancers: a balancer that loses or confuses
// hints only sends packets over a longer path, which violates no invariant.
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

// Find returns the mutant with the given name.
func Find(name string) (Mutant, bool) {
	for _, one := range All() {
		if one.Name == name {
			return one, true
		}
	}
	return Mutant{}, false
}
