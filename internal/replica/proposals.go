package replica

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/raft"
)

func sortedKeys[Key cmp.Ordered, Value any](values map[Key]Value) []Key {
	return slices.Sorted(maps.Keys(values))
}

// handleRequests passes queued requests to the core. Proposals beyond
// MaxProposalsPerSync stay in the backlog.
func (controller *Controller) handleRequests(now time.Time) {
	controller.backlog = append(controller.backlog, controller.requests.Drain()...)
	proposed := 0
	for len(controller.backlog) > 0 {
		next := controller.backlog[0]
		if next.kind == requestPropose {
			if limit := controller.options.MaxProposalsPerSync; limit > 0 && proposed == limit {
				return
			}
			proposed++
		}
		controller.backlog = controller.backlog[1:]
		controller.handleRequest(now, next)
	}
	controller.backlog = nil
}

func (controller *Controller) handleRequest(now time.Time, request request) {
	switch request.kind {
	case requestPropose:
		controller.propose(now, request)
	case requestRead:
		controller.read(now, request)
	case requestAddLearner:
		id, index, term, err := controller.core.AddLearners(now, request.learners)
		controller.trackProposal(request, index, term, id, err)
	case requestPromote:
		index, term, err := controller.core.Promote(now, request.member)
		controller.trackProposal(request, index, term, request.member, err)
	case requestRemove:
		index, term, err := controller.core.RemoveMember(now, request.member)
		controller.trackProposal(request, index, term, request.member, err)
	case requestDemote:
		index, term, err := controller.core.Demote(now, request.member)
		controller.trackProposal(request, index, term, request.member, err)
	case requestTransfer:
		controller.transferToAny(now, request)
	case requestLeave:
		controller.beginLeave(request)
	case requestRelease:
		controller.release(request.member)
		request.done(outcome{})
	case requestPeerEnded:
		controller.recordPeerEnded(now, request.node)
		request.done(outcome{})
	}
}

func (controller *Controller) propose(now time.Time, request request) {
	if len(request.command) > controller.options.MaxCommandBytes {
		request.done(outcome{err: faults.New(faults.CommandTooLarge, "the change has %d bytes; the log accepts at most %d", len(request.command), controller.options.MaxCommandBytes)})
		return
	}
	index, term, err := controller.core.Propose(now, request.command)
	controller.trackProposal(request, index, term, 0, err)
}

// trackProposal keeps the request until its entry is applied or replaced. The
// leader has just appended the entry, and its log holds every committed entry,
// so an older proposal at the same index was not committed and never will be.
func (controller *Controller) trackProposal(request request, index, term uint64, member MemberID, err error) {
	if err != nil {
		request.done(outcome{err: controller.coreFault(err)})
		return
	}
	if _, pending := controller.proposals[index]; pending {
		controller.completeProposal(index, outcome{err: replacedError()})
	}
	controller.proposals[index] = pendingProposal{term: term, member: member, done: request.done}
}

func replacedError() error {
	return faults.New(faults.ProposalReplaced, "another leader's entry replaced the change; it was not and will not be applied")
}

func (controller *Controller) completeProposal(index uint64, result outcome) {
	proposal := controller.proposals[index]
	delete(controller.proposals, index)
	proposal.done(result)
}

func (controller *Controller) proposalIndexes() []uint64 { return sortedKeys(controller.proposals) }

func (controller *Controller) read(now time.Time, request request) {
	controller.lastReadID++
	if err := controller.core.ReadIndex(now, controller.lastReadID); err != nil {
		request.done(outcome{err: controller.coreFault(err)})
		return
	}
	controller.reads[controller.lastReadID] = request.done
}

// answerRead answers a read. Everything that was committed when the read arrived
// has been applied, because handleReady applies committed entries before it
// answers reads.
func (controller *Controller) answerRead(state raft.ReadState) {
	done, waiting := controller.reads[state.ID]
	if !waiting {
		return
	}
	delete(controller.reads, state.ID)
	if state.Failed {
		done(outcome{err: faults.New(faults.LeadershipUnconfirmed, "no quorum confirmed this leader; the read was not served")})
		return
	}
	done(outcome{})
}

// transferToAny begins a transfer to any voter. Those that are leaving get leadership only if no other
// voter can take it.
func (controller *Controller) transferToAny(now time.Time, request request) {
	if leaving := controller.leavingMembers(now); controller.core.MayTransferLeadership(leaving...) {
		controller.beginTransfer(now, request, leaving...)
		return
	}
	controller.beginTransfer(now, request)
}

// beginTransfer begins a transfer to a voter that is not excluded.
func (controller *Controller) beginTransfer(now time.Time, request request, excluded ...MemberID) {
	if err := controller.core.TransferLeadership(now, excluded...); err != nil {
		request.done(outcome{err: controller.coreFault(err)})
		return
	}
	if controller.transfer != nil {
		controller.transfer.done(outcome{err: faults.New(faults.NoSuccessor, "a later transfer replaced this one")})
	}
	controller.transfer = &pendingTransfer{done: request.done, expires: now.Add(controller.options.ElectionTimeout)}
}

// expirePending ends a transfer that took too long and, on a member that no
// longer leads, proposals whose outcome may never become known there.
func (controller *Controller) expirePending(now time.Time) {
	leading := controller.core.Role() == raft.Leader
	controller.expireTransfer(now, leading)
	if leading {
		return
	}
	for _, index := range controller.proposalIndexes() {
		proposal := controller.proposals[index]
		switch {
		case proposal.expires.IsZero():
			proposal.expires = now.Add(2 * controller.options.ElectionTimeout)
			controller.proposals[index] = proposal
		case !now.Before(proposal.expires):
			controller.completeProposal(index, outcome{err: unknownOutcomeError("this member no longer leads")})
		}
	}
}

// expireTransfer ends the transfer when this member no longer leads, which is a
// success, or when its time is over.
func (controller *Controller) expireTransfer(now time.Time, leading bool) {
	transfer := controller.transfer
	switch {
	case transfer == nil:
	case !leading:
		controller.transfer = nil
		transfer.done(outcome{})
	case !now.Before(transfer.expires):
		controller.transfer = nil
		transfer.done(outcome{err: faults.New(faults.NoSuccessor, "no other member took over leadership in time")})
	}
}

// refuseRequests refuses the requests that were not passed to the core.
func (controller *Controller) refuseRequests() {
	for _, request := range controller.backlog {
		request.done(outcome{err: controller.stoppedFault()})
	}
	controller.backlog = nil
	controller.refuseQueued()
}

// refuseQueued refuses the requests that are still in the queue. Unlike
// refuseRequests, it may run concurrently with Reconcile.
func (controller *Controller) refuseQueued() {
	for _, request := range controller.requests.Drain() {
		request.done(outcome{err: controller.stoppedFault()})
	}
}
