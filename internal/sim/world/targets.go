package world

import (
	"time"

	"merlinpaddle/internal/model"
)

// firstTargetChangeValue is the first queue limit that changes of the list of targets write. It is
// high enough that these values differ from those that racing operators write, which are about
// 1_000_000 times the operator's number.
const firstTargetChangeValue = 900_000_000

// RemoveTarget removes a target from the list in its service's parameters, which drains the target. It
// reports whether the change was accepted.
func (operator *Operator) RemoveTarget(service int, name model.NodeName) bool {
	handle := operator.world.services[service]
	_, target, known := operator.world.targetState(handle.targetKey(name))
	if !known {
		return false
	}
	handle.removed[name] = true
	if !operator.writeTargets(handle) {
		return false
	}
	operator.world.checks.drain.Accepted(uint32(target), operator.world.run.Elapsed())
	return true
}

// AddTarget adds a removed target to the list again, and reports whether the change was accepted.
func (operator *Operator) AddTarget(service int, name model.NodeName) bool {
	handle := operator.world.services[service]
	if _, target, known := operator.world.targetState(handle.targetKey(name)); known {
		operator.world.checks.drain.Undrained(uint32(target))
	}
	delete(handle.removed, name)
	return operator.writeTargets(handle)
}

// writeTargets writes the parameters of a service until a change is accepted or changeTimeout has
// passed, and reports whether one was.
func (operator *Operator) writeTargets(service *serviceHandle) bool {
	ended, accepted := false, false
	var attempt func()
	retry := func() { operator.world.run.Scheduler.After(operatorRetryInterval, attempt) }
	deadline := operator.world.run.Scheduler.Now().Add(changeTimeout)
	attempt = func() {
		if !operator.world.run.Scheduler.Now().Before(deadline) {
			ended = true
			return
		}
		operator.ReadParameter(service, func(_ uint64, revision model.Revision, known bool) {
			if !known {
				retry()
				return
			}
			value := uint64(firstTargetChangeValue + operator.changes)
			operator.WriteParameter(service, revision, value, func(answer ChangeOutcome) {
				ended = answer.Known && answer.Result.Applied()
				accepted = ended
				if !ended {
					retry()
				}
			})
		})
	}
	attempt()
	operator.world.waitFor(2*changeTimeout+2*time.Second, func() bool { return ended })
	return accepted
}
