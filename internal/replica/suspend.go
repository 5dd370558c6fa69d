package replica

import (
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
)

// resumeRetryInterval is the time between attempts to resume after a full disk.
const resumeRetryInterval = 300 * time.Millisecond

// SetContacts replaces the members from which a process without a place requests
// one. It may be called from any goroutine.
func (controller *Controller) SetContacts(names []model.NodeName) {
	controller.newContacts.Store(&names)
}

func (controller *Controller) applyContacts() {
	replaced := controller.newContacts.Swap(nil)
	if replaced == nil {
		return
	}
	controller.options.Members = *replaced
	if controller.joiner != nil {
		controller.joiner.options.Members = *replaced
		controller.joiner.mayFound = false
	}
}

// suspend drops the member's state in memory, as a crash does, so that resume
// restarts it from its disk. This is safe because nothing was acknowledged that
// was not durable.
func (controller *Controller) suspend() {
	controller.resumeAt = controller.now.Add(resumeRetryInterval)
	controller.failPending("the disk is full")
	if controller.storage != nil {
		_ = controller.storage.log.Close()
	}
	controller.core = nil
	controller.storage = nil
}

// failPending answers all pending proposals with an unknown outcome, all pending
// reads and the transfer with an error, and a planned stop, which then need not wait.
func (controller *Controller) failPending(cause string) {
	for _, index := range controller.proposalIndexes() {
		controller.completeProposal(index, outcome{err: unknownOutcomeError(cause)})
	}
	for _, id := range sortedKeys(controller.reads) {
		controller.answerRead(raft.ReadState{ID: id, Failed: true})
	}
	if controller.transfer != nil {
		controller.transfer.done(outcome{err: faults.New(faults.NoSuccessor, "%s", cause)})
		controller.transfer = nil
	}
	controller.finishLeave(outcome{})
}

// resume restarts a suspended member from its disk once resumeAt has passed. If
// the disk is still full, the next write suspends the member again.
func (controller *Controller) resume(now time.Time) {
	controller.messages.Drain()
	controller.refuseWithoutCore()
	if now.Before(controller.resumeAt) {
		return
	}
	controller.resumeAt = time.Time{}
	if controller.joiner != nil {
		return
	}
	identity, _, err := checkIdentity(controller.files, controller.options.Self)
	if err == nil {
		err = controller.machine.Restore(controller.initialSnapshot)
	}
	if err == nil {
		err = controller.restore(identity)
	}
	if err != nil {
		controller.fail(err)
	}
}
