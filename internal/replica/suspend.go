package replica

import (
	"time"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
)

// resumePause is the time between two tries to go on after a full disk.
const resumePause = 300 * time.Millisecond

// SetContacts replaces the members that a process without a place asks for
// one. It may be called from any goroutine.
func (controller *Controller) SetContacts(names []model.NodeName) { controller.contacts.Store(&names) }

func (controller *Controller) takeContacts() {
	replaced := controller.contacts.Swap(nil)
	if replaced == nil {
		return
	}
	controller.options.Members = *replaced
	if controller.joiner != nil {
		controller.joiner.options.Members = *replaced
		controller.joiner.founding = false
	}
}

// suspend gives up what the member has in memory, as a crash does, and lets it
// start again from its disk. Nothing that was not durable was promised.
func (controller *Controller) suspend() {
	controller.resumeAt = controller.now.Add(resumePause)
	controller.abandon("the disk is full")
	if controller.storage != nil {
		_ = controller.storage.log.Close()
	}
	controller.core = nil
	controller.storage = nil
}

// abandon answers everything that waits with an unknown outcome.
func (controller *Controller) abandon(cause string) {
	for _, index := range controller.proposalIndexes() {
		controller.settleProposal(index, outcome{err: unknownOutcome(cause)})
	}
	for _, id := range sortedKeys(controller.reads) {
		controller.answerRead(raft.ReadState{ID: id, Failed: true})
	}
	if controller.transfer != nil {
		controller.transfer.done(outcome{err: faults.New(faults.NoSuccessor, "%s", cause)})
		controller.transfer = nil
	}
}

// resume starts the member again from its disk once that takes writes.
func (controller *Controller) resume(now time.Time) {
	controller.messages.Drain()
	controller.refuseUnformed()
	if now.Before(controller.resumeAt) {
		return
	}
	controller.resumeAt = time.Time{}
	if controller.joiner != nil {
		return
	}
	identity, _, err := checkIdentity(controller.files, controller.options.Self)
	if err == nil {
		err = controller.machine.Restore(controller.empty)
	}
	if err == nil {
		err = controller.restore(identity)
	}
	if err != nil {
		controller.fail(err)
	}
}
