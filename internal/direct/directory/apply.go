package directory

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
)

const (
	// removedRoutesKept bounds the removals that are remembered for readers
	// that are behind; older readers get everything.
	removedRoutesKept = 4096
	// forgottenKept bounds the forgotten targets that are remembered.
	forgottenKept = 4096
)

// Apply implements replica.StateMachine. A command that cannot be decoded
// changes nothing, on every member alike.
func (directory *Directory) Apply(index model.Revision, _ time.Time, data []byte) []byte {
	command, err := decodeCommand(data)
	directory.lock.Lock()
	defer directory.lock.Unlock()
	directory.revision = index
	var result Result
	if err == nil {
		result = directory.run(command)
	}
	encoded, err := EncodeResult(result)
	if err != nil {
		return nil
	}
	return encoded
}

func (directory *Directory) run(command Command) Result {
	switch {
	case command.Declare != nil:
		return directory.declare(command)
	case command.Register != nil:
		return directory.register(command.Register.Target)
	case command.Leave != nil:
		directory.leave(command.Leave.ID)
	case command.Health != nil:
		directory.changeHealth(command.Health)
	case command.Forget != nil:
		directory.forget(command.Forget.IDs)
	case command.Evacuate != nil:
		return directory.orderZone(command.Evacuate)
	}
	return Result{}
}

// declare replaces the configuration. An older or equal version changes
// nothing, whatever it contains.
func (directory *Directory) declare(command Command) Result {
	difference := command.Declare
	held := directory.configuration.Version
	if difference.Version <= held {
		return Result{Version: held}
	}
	next, applies := difference.Apply(directory.configuration)
	if !applies {
		return Result{Conflict: true, Version: held}
	}
	directory.configuration = next
	directory.configurationAt = directory.revision
	if difference.ServicesChanged {
		directory.takeColdLimits()
	}
	if difference.ServicesChanged || difference.LimitsChanged {
		directory.limitsAt = directory.revision
	}
	for _, address := range difference.Removed {
		delete(directory.routes, address)
		directory.removed = append(directory.removed, removedRoute{address: address, revision: directory.revision})
	}
	for _, route := range difference.Routes {
		directory.routes[route.Address] = routeRecord{route: route, revision: directory.revision}
	}
	directory.trimRemoved()
	return Result{Version: next.Version}
}

func (directory *Directory) trimRemoved() {
	if excess := len(directory.removed) - removedRoutesKept; excess > 0 {
		directory.removedFloor = max(directory.removedFloor, directory.removed[excess-1].revision)
		directory.removed = slices.Clone(directory.removed[excess:])
	}
	if excess := len(directory.forgotten) - forgottenKept; excess > 0 {
		directory.removedFloor = max(directory.removedFloor, directory.forgotten[excess-1].revision)
		directory.forgotten = slices.Clone(directory.forgotten[excess:])
	}
}

// register adds a target or moves its state forward. A failed target stays
// failed, because a renewal may come long after it was sent; what it states is
// its state once it is found alive.
func (directory *Directory) register(stated Target) Result {
	target, known := directory.targets.byID[stated.ID]
	if !known {
		return directory.admit(stated)
	}
	if stated.Sequence <= target.Sequence {
		return Result{Token: target.Token}
	}
	target.Sequence = stated.Sequence
	switch {
	case target.State == TargetFailed:
		target.Before = max(target.Before, stated.State)
	case stated.State > target.State:
		target.State = stated.State
		directory.touch(target)
	}
	if stated.Address != target.Address || stated.Capacity != target.Capacity {
		directory.targets.move(target, stated.Address)
		target.Capacity = stated.Capacity
		directory.touch(target)
	}
	directory.changeColdness(target, stated)
	return Result{Token: target.Token}
}

// admit gives a new incarnation its token.
func (directory *Directory) admit(stated Target) Result {
	added := stated
	added.Aside = false
	added.ColdDoubted = false
	added.Token = directory.nextToken
	directory.nextToken++
	directory.targets.add(&added)
	directory.touch(&added)
	directory.failPredecessors(&added)
	return Result{Token: added.Token}
}

// failPredecessors marks former incarnations at the same address: an address
// serves one incarnation at a time, so their flows are lost.
func (directory *Directory) failPredecessors(added *Target) {
	for _, target := range directory.targets.byAddress[added.Address] {
		if target != added {
			directory.fail(target)
		}
	}
}

// touch records that a target changed at the present revision.
func (directory *Directory) touch(target *Target) {
	directory.targets.touch(target, directory.revision)
}

func (directory *Directory) fail(target *Target) {
	if target.State == TargetFailed {
		return
	}
	target.Before = target.State
	target.State = TargetFailed
	directory.touch(target)
}

func (directory *Directory) leave(id TargetID) {
	target, known := directory.targets.byID[id]
	if !known {
		return
	}
	switch {
	case target.State == TargetFailed:
		target.Before = TargetLeft
	case target.State < TargetLeft:
		target.State = TargetLeft
		directory.touch(target)
	}
}

func (directory *Directory) changeHealth(change *HealthChange) {
	for _, id := range change.Failed {
		if target, known := directory.targets.byID[id]; known {
			directory.fail(target)
		}
	}
	directory.setAside(change.Aside, true)
	directory.setAside(change.Back, false)
	for _, id := range change.Recovered {
		target, known := directory.targets.byID[id]
		if known && target.State == TargetFailed && directory.successor(target) == nil {
			target.State = target.Before
			directory.touch(target)
		}
	}
}

// setAside records whether targets get new flows.
func (directory *Directory) setAside(ids []TargetID, aside bool) {
	for _, id := range ids {
		if target, known := directory.targets.byID[id]; known && target.Aside != aside {
			target.Aside = aside
			directory.touch(target)
		}
	}
}

// successor returns the later incarnation that has the target's address and
// did not fail, or nil.
func (directory *Directory) successor(target *Target) *Target {
	for _, other := range directory.targets.byAddress[target.Address] {
		if other.Token > target.Token && other.State != TargetFailed {
			return other
		}
	}
	return nil
}

func (directory *Directory) forget(ids []TargetID) {
	for _, id := range ids {
		target, known := directory.targets.byID[id]
		if !known {
			continue
		}
		directory.targets.remove(target)
		directory.forgotten = append(directory.forgotten, forgottenTarget{token: target.Token, revision: directory.revision})
	}
	directory.trimRemoved()
}
