package directory

import (
	"slices"
	"time"

	"merlinpaddle/internal/model"
)

const (
	// maxRouteTombstones bounds the removed routes that are kept for readers that are behind. A
	// reader that is further behind gets the full table.
	maxRouteTombstones = 4096
	// maxTargetTombstones likewise bounds the removed targets that are kept.
	maxTargetTombstones = 4096
)

// Apply implements replica.StateMachine. A command that cannot be decoded changes nothing but the
// revision, on every member alike.
func (directory *Directory) Apply(index model.Revision, at time.Time, data []byte) []byte {
	command, err := decodeCommand(data)
	directory.lock.Lock()
	defer directory.lock.Unlock()
	directory.revision = index
	directory.appliedAt = at
	var result Result
	if err == nil {
		result = directory.execute(command)
	}
	encoded, err := EncodeResult(result)
	if err != nil {
		return nil
	}
	return encoded
}

// execute applies a decoded command at the current revision.
func (directory *Directory) execute(command Command) Result {
	switch {
	case command.Declare != nil:
		return directory.declare(command)
	case command.Register != nil:
		return directory.register(command.Register.Target)
	case command.RegisterAll != nil:
		return directory.registerAll(command.RegisterAll.Targets)
	case command.Leave != nil:
		directory.markLeft(command.Leave)
	case command.TargetHealth != nil:
		directory.changeHealth(command.TargetHealth)
	case command.ForgetTargets != nil:
		directory.removeTargets(command.ForgetTargets.Tokens)
	case command.Evacuate != nil:
		return directory.applyEvacuationOrder(command.Evacuate)
	}
	return Result{}
}

// declare replaces the declared configuration. An older or equal version changes nothing, whatever
// it contains.
func (directory *Directory) declare(command Command) Result {
	difference := command.Declare
	current := directory.configuration.Version
	if difference.Version <= current {
		return Result{Version: current}
	}
	next, applies := difference.Apply(directory.configuration)
	if !applies {
		return Result{Conflict: true, Version: current}
	}
	directory.configuration = next
	directory.configurationChangedAt = directory.revision
	if difference.ServicesChanged {
		directory.collectColdLimits()
	}
	if difference.ServicesChanged || difference.LimitsChanged {
		directory.limitsChangedAt = directory.revision
	}
	for _, address := range difference.Removed {
		delete(directory.routes, address)
		directory.routeTombstones = append(directory.routeTombstones, routeTombstone{address: address, revision: directory.revision})
	}
	for _, route := range difference.Routes {
		directory.routes[route.Address] = routeRecord{route: route, revision: directory.revision}
	}
	directory.trimTombstones()
	return Result{Version: next.Version}
}

// trimTombstones drops the oldest tombstones above the bounds and raises tombstoneFloor to the
// revision of the latest dropped one.
func (directory *Directory) trimTombstones() {
	if excess := len(directory.routeTombstones) - maxRouteTombstones; excess > 0 {
		directory.tombstoneFloor = max(directory.tombstoneFloor, directory.routeTombstones[excess-1].revision)
		directory.routeTombstones = slices.Clone(directory.routeTombstones[excess:])
	}
	if excess := len(directory.targetTombstones) - maxTargetTombstones; excess > 0 {
		directory.tombstoneFloor = max(directory.tombstoneFloor, directory.targetTombstones[excess-1].revision)
		directory.targetTombstones = slices.Clone(directory.targetTombstones[excess:])
	}
}

// startedBefore reports whether the recorded target started before the reported one, so that the
// call comes from a later start. A record without a start time was written by an earlier version of
// the program, which kept none, or by another writer. A call with a start time continues such a
// record if its sequence number is higher, and belongs to another start otherwise.
func (target *Target) startedBefore(reported Target) bool {
	if target.Started == 0 {
		return reported.Started != 0 && reported.Sequence <= target.Sequence
	}
	return reported.Started > target.Started
}

// register adds an incarnation or moves its state forward. An incarnation with a later start
// replaces the recorded one, which is marked as failed because its process and its flows are lost.
// A failed target stays failed, because a renewal may arrive long after it was sent. The state
// that the renewal reports takes effect once the target is found alive. A call of another writer, or
// of an incarnation that has left, changes nothing.
func (directory *Directory) register(reported Target) Result {
	target, known := directory.targets.latest(reported.ID)
	switch {
	case known && (directory.isForeign(target, reported) || directory.departures.covers(reported, directory.appliedAt)):
		return Result{Token: target.Token}
	case directory.departures.covers(reported, directory.appliedAt):
		return Result{}
	case !known:
		return directory.addIncarnation(reported)
	}
	if target.startedBefore(reported) {
		directory.markFailed(target)
		return directory.addIncarnation(reported)
	}
	if reported.Started < target.Started || reported.Sequence <= target.Sequence {
		return Result{Token: target.Token}
	}
	directory.updateIncarnation(target, reported)
	return Result{Token: target.Token}
}

// registerAll registers targets in order and returns their tokens in the same order.
func (directory *Directory) registerAll(reported []Target) Result {
	result := Result{Tokens: make([]Token, 0, len(reported))}
	for _, target := range reported {
		result.Tokens = append(result.Tokens, directory.register(target).Token)
	}
	return result
}

// updateIncarnation records what the current incarnation reports about itself.
func (directory *Directory) updateIncarnation(target *Target, reported Target) {
	target.Sequence = reported.Sequence
	if reported.Started != target.Started {
		target.Started = reported.Started
		directory.markChanged(target)
	}
	switch {
	case target.State == TargetFailed:
		target.Before = max(target.Before, reported.State)
	case reported.State > target.State:
		target.State = reported.State
		directory.markChanged(target)
	}
	if reported.Address != target.Address || reported.Capacity != target.Capacity {
		directory.targets.changeAddress(target, reported.Address)
		target.Capacity = reported.Capacity
		directory.markChanged(target)
	}
	directory.updateColdness(target, reported)
}

// isForeign reports whether a call under the target's identifier comes from another writer: it names
// a service that is not declared, and the target belongs to one that is.
func (directory *Directory) isForeign(target *Target, reported Target) bool {
	return target.Service != reported.Service &&
		!directory.configuration.HasService(reported.Service) && directory.configuration.HasService(target.Service)
}

// addIncarnation adds a new incarnation under the next token. If another one still occupies its
// address, the new one is added as failed until the leader finds which of them is alive: its call may
// have been sent before the other one started.
func (directory *Directory) addIncarnation(reported Target) Result {
	added := reported
	added.Aside = false
	added.ColdDoubted = false
	added.Token = directory.nextToken
	directory.nextToken++
	directory.targets.add(&added)
	directory.markChanged(&added)
	if directory.isOccupied(&added) {
		directory.markFailed(&added)
	} else {
		directory.failPredecessors(&added)
	}
	return Result{Token: added.Token}
}

// isOccupied reports whether another incarnation at the address of the added one has not failed, so that
// it may serve flows, and is not known to have started before it.
func (directory *Directory) isOccupied(added *Target) bool {
	return slices.ContainsFunc(directory.targets.byAddress[added.Address], func(other *Target) bool {
		replaced := other.Started != 0 && added.Started > other.Started && directory.configuration.HasService(added.Service)
		return other != added && other.State != TargetFailed && !replaced
	})
}

// failPredecessors marks the earlier incarnations at the same address as failed. An address serves
// one incarnation at a time, so their flows are lost.
func (directory *Directory) failPredecessors(added *Target) {
	for _, target := range directory.targets.byAddress[added.Address] {
		if target != added {
			directory.markFailed(target)
		}
	}
}

// markChanged records that a target changed at the current revision.
func (directory *Directory) markChanged(target *Target) {
	directory.targets.markChanged(target, directory.revision)
}

// markFailed marks a target as failed and saves its previous state, to which it returns when it
// recovers.
func (directory *Directory) markFailed(target *Target) {
	if target.State == TargetFailed {
		return
	}
	target.Before = target.State
	target.State = TargetFailed
	directory.markChanged(target)
}

// markLeft records that a target leaves, and with it each of its earlier starts, which have ended. A
// notice without a start is that of the latest incarnation, recorded or not. A failed target stays
// failed, and becomes TargetLeft if it recovers. The notice is kept unless the record is that of the
// start that leaves: its registrations may have been held back.
func (directory *Directory) markLeft(departure *Departure) {
	target, known := directory.targets.latest(departure.ID)
	if !known || departure.Started != target.Started {
		directory.departures.addNotice(departure, directory.appliedAt)
	}
	if !known || departure.Started != 0 && departure.Started < target.Started {
		return
	}
	switch {
	case target.State == TargetFailed:
		target.Before = TargetLeft
	case target.State < TargetLeft:
		target.State = TargetLeft
		directory.markChanged(target)
	}
}

// changeHealth applies the results of health checks and outlier detection. A target with a
// successor does not recover.
func (directory *Directory) changeHealth(change *HealthChange) {
	for _, token := range change.Failed {
		if target, known := directory.targets.find(token); known {
			directory.markFailed(target)
		}
	}
	directory.setEjected(change.Aside, true)
	directory.setEjected(change.Back, false)
	for _, token := range change.Recovered {
		target, known := directory.targets.find(token)
		if known && target.State == TargetFailed && directory.successor(target) == nil {
			target.State = target.Before
			if directory.departures.covers(*target, directory.appliedAt) {
				target.State = max(target.State, TargetLeft)
			}
			directory.markChanged(target)
		}
	}
}

// setEjected records whether targets are ejected: ejected ones get no new flows while other
// targets can take them.
func (directory *Directory) setEjected(tokens []Token, ejected bool) {
	for _, token := range tokens {
		if target, known := directory.targets.find(token); known && target.Aside != ejected {
			target.Aside = ejected
			directory.markChanged(target)
		}
	}
}

// successor returns the latest incarnation with the target's identifier if it is later than the
// target, else a later incarnation at the target's address that did not fail, else nil.
func (directory *Directory) successor(target *Target) *Target {
	if latest, known := directory.targets.latest(target.ID); known && latest.Token > target.Token {
		return latest
	}
	for _, other := range directory.targets.byAddress[target.Address] {
		if other.Token > target.Token && other.State != TargetFailed {
			return other
		}
	}
	return nil
}

// removeTargets removes targets and keeps a tombstone of each. That a target left is kept for some time.
func (directory *Directory) removeTargets(tokens []Token) {
	for _, token := range tokens {
		target, known := directory.targets.find(token)
		if !known {
			continue
		}
		if target.State == TargetLeft || target.Before == TargetLeft {
			directory.departures.add(target.ID, target.Started, directory.appliedAt)
		}
		directory.targets.remove(target)
		directory.targetTombstones = append(directory.targetTombstones, targetTombstone{token: target.Token, revision: directory.revision})
	}
	directory.trimTombstones()
}
