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

// takeRequests hands waiting requests to the core. Proposals above the bound
// of one sync stay in the backlog.
func (controller *Controller) takeRequests(now time.Time) {
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
		controller.await(request, index, term, id, err)
	case requestPromote:
		index, term, err := controller.core.Promote(now, request.member)
		controller.await(request, index, term, request.member, err)
	case requestRemove:
		index, term, err := controller.core.RemoveMember(now, request.member)
		controller.await(request, index, term, request.member, err)
	case requestTransfer:
		controller.beginTransfer(now, request)
	}
}

func (controller *Controller) propose(now time.Time, request request) {
	if len(request.command) > controller.options.MaxCommandBytes {
		request.done(outcome{err: faults.New(faults.CommandTooLarge, "the change has %d bytes; the log takes %d", len(request.command), controller.options.MaxCommandBytes)})
		return
	}
	index, term, err := controller.core.Propose(now, request.command)
	controller.await(request, index, term, 0, err)
}

// await keeps the request until its entry is applied or replaced. A leader's
// log holds every committed entry, so an older proposal at the same index was
// replaced for good.
func (controller *Controller) await(request request, index, term uint64, member MemberID, err error) {
	if err != nil {
		request.done(outcome{err: controller.coreFault(err)})
		return
	}
	if _, pending := controller.proposals[index]; pending {
		controller.settleProposal(index, outcome{err: replaced()})
	}
	controller.proposals[index] = pendingProposal{term: term, member: member, done: request.done}
}

func replaced() error {
	return faults.New(faults.ProposalReplaced, "another leader's entry took the change's place; it was not and will not be applied")
}

func (controller *Controller) settleProposal(index uint64, result outcome) {
	proposal := controller.proposals[index]
	delete(controller.proposals, index)
	proposal.done(result)
}

func (controller *Controller) proposalIndexes() []uint64 { return sortedKeys(controller.proposals) }

func (controller *Controller) read(now time.Time, request request) {
	controller.lastRead++
	if err := controller.core.ReadIndex(now, controller.lastRead); err != nil {
		request.done(outcome{err: controller.coreFault(err)})
		return
	}
	controller.reads[controller.lastRead] = request.done
}

// answerRead answers a read. Everything committed when the read came has been
// applied, because Ready hands out committed entries before read states.
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

func (controller *Controller) beginTransfer(now time.Time, request request) {
	if err := controller.core.TransferLeadership(now); err != nil {
		request.done(outcome{err: controller.coreFault(err)})
		return
	}
	if controller.transfer != nil {
		controller.transfer.done(outcome{err: faults.New(faults.NoSuccessor, "a later transfer replaced this one")})
	}
	controller.transfer = &pendingTransfer{done: request.done, expires: now.Add(controller.options.ElectionTimeout)}
}

// expire gives up on what may never be known here.
func (controller *Controller) expire(now time.Time) {
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
			controller.settleProposal(index, outcome{err: unknownOutcome("this member no longer leads")})
		}
	}
}

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

// refuseRequests answers requests that were never proposed.
func (controller *Controller) refuseRequests() {
	for _, request := range controller.backlog {
		request.done(outcome{err: controller.stoppedFault()})
	}
	controller.backlog = nil
	controller.refuseQueued()
}

// refuseQueued answers requests that the controller has not taken. Unlike
// refuseRequests it may run beside Reconcile.
func (controller *Controller) refuseQueued() {
	for _, request := range controller.requests.Drain() {
		request.done(outcome{err: controller.stoppedFault()})
	}
}
