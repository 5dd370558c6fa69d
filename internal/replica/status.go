package replica

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/raft"
)

// publishedStatus is the status as of the latest Reconcile, for concurrent readers.
type publishedStatus struct {
	status  Status
	leading bool
	// refused reports whether the group has no place for this disk.
	refused bool
}

func (controller *Controller) publishStatus(now time.Time) {
	published := publishedStatus{}
	if controller.joiner != nil {
		published.refused = controller.joiner.refused
	}
	if controller.core != nil {
		core := controller.core.Status(now)
		published.leading = core.Role == raft.Leader && !controller.stopped.Load()
		published.status = Status{
			Self:        core.ID,
			Term:        core.Term,
			Leader:      controller.leaderName(),
			Committed:   model.Revision(core.Committed),
			Applied:     model.Revision(core.Applied),
			ConfirmedAt: core.ConfirmedAt,
			Members:     core.Configuration.Members,
			Log:         controller.storage.log.WriteStats(),
			CurrentAt:   core.CurrentAt,
			LeaderSince: core.LeaderSince,
			Peers:       core.Peers,
			Candidates:  controller.recentCandidates(now),
			Leaving:     controller.leavingMembers(now),
		}
	}
	controller.statusLock.Lock()
	controller.status = published
	controller.statusLock.Unlock()
}

// StatusAt returns the status as of now. Leading is true only if a quorum
// confirmed this leader less than an election timeout before now, so that a
// member that was paused does not appear as the leader when it resumes.
func (controller *Controller) StatusAt(now time.Time) Status {
	controller.statusLock.Lock()
	published := controller.status
	controller.statusLock.Unlock()
	status := published.status
	status.Members = slices.Clone(status.Members)
	status.Refused = published.refused
	confirmedFor := now.Sub(status.ConfirmedAt)
	status.Leading = published.leading &&
		!controller.stopped.Load() &&
		confirmedFor < controller.options.ElectionTimeout
	return status
}

// Refused reports whether the group exists and has no place for this member's
// empty disk. The member waits until a learner with its name is added.
func (controller *Controller) Refused() bool {
	controller.statusLock.Lock()
	defer controller.statusLock.Unlock()
	return controller.status.refused
}
