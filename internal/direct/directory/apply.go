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
	case command.RegisterAll != nil:
		return directory.registerAll(command.RegisterAll.Targets)
	case command.Leave != nil:
		directory.leave(command.Leave)
	case command.TargetHealth != nil:
		directory.changeHealth(command.TargetHealth)
	case command.ForgetTargets != nil:
		directory.forget(command.ForgetTargets.Tokens)
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

// startedBefore tells whether stated is of a later start of the target. A record without a
// start is of a program that kept none, or of another writer: a call with one goes on from
// it if its number does, and is of another start if not.
func (target *Target) startedBefore(stated Target) bool {
	if target.Started == 0 {
		return stated.Started != 0 && stated.Sequence <= target.Sequence
	}
	return stated.Started > target.Started
}

// register adds an incarnation or moves its state forward. One that started later than
// the one held replaces it: the former one is gone, and its flows with it. A failed
// target stays failed, because a renewal may come long after it was sent; what it states
// is its state once it is found alive.
func (directory *Directory) register(stated Target) Result {
	target, known := directory.targets.byID[stated.ID]
	if !known {
		return directory.admit(stated)
	}
	if target.startedBefore(stated) {
		directory.fail(target)
		return directory.admit(stated)
	}
	if stated.Started < target.Started || stated.Sequence <= target.Sequence {
		return Result{Token: target.Token}
	}
	directory.advance(target, stated)
	return Result{Token: target.Token}
}

// registerAll registers targets one after the other.
func (directory *Directory) registerAll(stated []Target) Result {
	result := Result{Tokens: make([]Token, 0, len(stated))}
	for _, target := range stated {
		result.Tokens = append(result.Tokens, directory.register(target).Token)
	}
	return result
}

// advance takes in what an incarnation states of itself.
func (directory *Directory) advance(target *Target, stated Target) {
	target.Sequence = stated.Sequence
	if stated.Started != target.Started {
		target.Started = stated.Started
		directory.touch(target)
	}
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

func (directory *Directory) leave(departure *Departure) {
	target, known := directory.targets.byID[departure.ID]
	if !known || (departure.Started != 0 && departure.Started != target.Started) {
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
	for _, token := range change.Failed {
		if target, known := directory.targets.find(token); known {
			directory.fail(target)
		}
	}
	directory.setAside(change.Aside, true)
	directory.setAside(change.Back, false)
	for _, token := range change.Recovered {
		target, known := directory.targets.find(token)
		if known && target.State == TargetFailed && directory.successor(target) == nil {
			target.State = target.Before
			directory.touch(target)
		}
	}
}

// setAside records whether targets get new flows.
func (directory *Directory) setAside(tokens []Token, aside bool) {
	for _, token := range tokens {
		if target, known := directory.targets.find(token); known && target.Aside != aside {
			target.Aside = aside
			directory.touch(target)
		}
	}
}

// successor returns the later incarnation that has the target's identifier, or its
// address and did not fail, or nil.
func (directory *Directory) successor(target *Target) *Target {
	if latest := directory.targets.byID[target.ID]; latest != nil && latest.Token > target.Token {
		return latest
	}
	for _, other := range directory.targets.byAddress[target.Address] {
		if other.Token > target.Token && other.State != TargetFailed {
			return other
		}
	}
	return nil
}

func (directory *Directory) forget(tokens []Token) {
	for _, token := range tokens {
		target, known := directory.targets.find(token)
		if !known {
			continue
		}
		directory.targets.remove(target)
		directory.forgotten = append(directory.forgotten, forgottenTarget{token: target.Token, revision: directory.revision})
	}
	directory.trimRemoved()
}
