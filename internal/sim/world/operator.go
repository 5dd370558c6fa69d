package world

import (
	"encoding/json"
	"fmt"
	"strconv"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
	"merlinpaddle/internal/state"
)

// Times of simulated operators.
const (
	// operatorTimeout is how long an operator waits for an answer before it asks the next member.
	operatorTimeout = 1500 * time.Millisecond
	// changeTimeout is how long an operator attempts one change before its outcome stays unknown.
	changeTimeout = 12 * time.Second
	// operatorRetryInterval is the wait before a change that failed is sent again.
	operatorRetryInterval = 150 * time.Millisecond
)

// Operator simulates automation that sends changes to the control group and resends a change when its
// answer is lost.
type Operator struct {
	world    *World
	name     string
	endpoint kernel.Endpoint
	random   *kernel.Random
	// memberIndex, modulo the number of members, is the member that requests go to. It advances when
	// a member does not answer or fails a request.
	memberIndex int
	changes     int
}

// NewOperator returns an operator. Its name must be unique in the run, as the keys of its changes and
// its random numbers derive from it.
func (world *World) NewOperator(name string) *Operator {
	return &Operator{
		world:    world,
		name:     name,
		endpoint: kernel.Endpoint{Name: model.NodeName(name), Zone: callerZone},
		random:   world.run.Random("operator/" + name),
	}
}

// ChangeOutcome is what an operator learns about the outcome of one change.
type ChangeOutcome struct {
	// Known is false when the outcome stayed unknown.
	Known  bool
	Result state.Result
}

// change is one change of an operator, over all its attempts.
type change struct {
	operator    *Operator
	encoded     []byte
	key         string
	submittedAt time.Duration
	deadline    time.Time
	attempts    int
	finished    bool
	done        func(ChangeOutcome)
}

// nextChange returns the common fields of the operator's next change, based on revision base. Its key
// and fingerprint are unique, so that a resend of the change is not applied twice.
func (operator *Operator) nextChange(base model.Revision) state.Change {
	operator.changes++
	return state.Change{
		Key:         fmt.Sprintf("%s-%d", operator.name, operator.changes),
		Fingerprint: uint64(operator.changes),
		Base:        base,
		Actor:       operator.name,
	}
}

// send attempts a command until an answer arrives or changeTimeout has passed, and then calls done.
func (operator *Operator) send(command state.Command, key string, done func(ChangeOutcome)) {
	encoded, err := state.EncodeCommand(command)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", command, err))
	}
	scheduler := operator.world.run.Scheduler
	sent := &change{
		operator:    operator,
		encoded:     encoded,
		key:         key,
		submittedAt: operator.world.run.Elapsed(),
		deadline:    scheduler.Now().Add(changeTimeout),
		done:        done,
	}
	operator.world.pendingChanges++
	sent.attempt()
}

// attempt sends the command to the current member, and again to the next one after operatorTimeout.
func (change *change) attempt() {
	if change.finished {
		return
	}
	operator := change.operator
	scheduler := operator.world.run.Scheduler
	if !scheduler.Now().Before(change.deadline) {
		change.finish(ChangeOutcome{})
		return
	}
	change.attempts++
	number := change.attempts
	target := operator.world.members[operator.memberIndex%len(operator.world.members)]
	operator.world.sendCommand(operator.endpoint, target, change.encoded, func(result []byte, err error) {
		change.receiveAnswer(number, result, err)
	})
	scheduler.After(operatorTimeout, func() { change.retry(number) })
}

// retry sends the change again, to the next member, unless it has finished or attempt number is not
// the latest.
func (change *change) retry(number int) {
	if change.finished || change.attempts != number {
		return
	}
	change.operator.memberIndex++
	change.attempt()
}

// receiveAnswer handles the answer to attempt number. The checkers also see answers to a change that
// has finished.
func (change *change) receiveAnswer(number int, encoded []byte, err error) {
	if err != nil {
		change.operator.world.run.Scheduler.After(operatorRetryInterval, func() { change.retry(number) })
		return
	}
	result, decodeErr := state.DecodeResult(encoded)
	if decodeErr != nil {
		return
	}
	world := change.operator.world
	world.checks.operators.Answered(change.key, checker.ChangeAnswer{
		Accepted: result.Applied(), Revision: uint64(result.Revision),
	}, world.run.Elapsed())
	if !change.finished {
		change.finish(ChangeOutcome{Known: true, Result: result})
	}
}

// finish ends the change with its outcome, and may resend it if it was answered.
func (change *change) finish(answer ChangeOutcome) {
	change.finished = true
	change.operator.world.pendingChanges--
	if answer.Known && answer.Result.Applied() {
		change.operator.world.recordAccepted(change.key, answer.Result)
	}
	change.done(answer)
	if answer.Known {
		change.maybeResend()
	}
}

// maximumResendDelay bounds the random delay after which an answered change is sent again.
const maximumResendDelay = 6 * time.Second

// maybeResend sends some answered changes again to all members, like automation that lost its record
// of the answer. The resend must get the same answer.
func (change *change) maybeResend() {
	world := change.operator.world
	if !world.resendDecisions.Chance(world.options.ResendShare) {
		return
	}
	world.run.Scheduler.After(world.resendDecisions.Between(0, maximumResendDelay), func() {
		for _, receiver := range world.members {
			world.sendCommand(change.operator.endpoint, receiver, change.encoded, change.receiveResendAnswer)
		}
	})
}

// receiveResendAnswer handles the answer to the resend of an answered change.
func (change *change) receiveResendAnswer(encoded []byte, err error) {
	result, decodeErr := state.DecodeResult(encoded)
	if err == nil && decodeErr == nil && result.Applied() {
		change.operator.world.acceptedResends++
		change.operator.world.recordAccepted(change.key, result)
	}
}

// recordAccepted reports an accepted change to the checkers.
func (world *World) recordAccepted(key string, result state.Result) {
	world.run.Trace.Addf("operators", "accepted", "%s at revision %d", key, result.Revision)
	world.checks.rollout.Committed(uint64(world.configurationRevision(result.Revision)), world.run.Elapsed())
}

// configurationRevision returns the revision of the configuration after an accepted change: the
// change's own, or an earlier one if the change is not part of what nodes run, such as a change of a
// template. The member that answered has applied the change.
func (world *World) configurationRevision(changed model.Revision) model.Revision {
	latest := model.Revision(0)
	for _, member := range world.members {
		if member.machine != nil {
			latest = max(latest, member.machine.Configuration().Revision)
		}
	}
	return min(changed, latest)
}

// sendCommand sends a command to a member, and its answer back to the sender. The network may lose or
// duplicate both.
func (world *World) sendCommand(from kernel.Endpoint, receiver *member, command []byte, done func(result []byte, err error)) {
	world.network.Send(from, receiver.process.Endpoint, func() {
		receiver.submit(command, func(result []byte, err error) {
			if world.resendDecisions.Chance(world.lostAnswerShare) {
				return
			}
			world.network.Send(receiver.process.Endpoint, from, func() { done(result, err) })
		})
	})
}

// SetAnswerLoss sets the share, from 0 to 1, of answers to operators that are lost from now on.
func (world *World) SetAnswerLoss(share float64) { world.lostAnswerShare = share }

// AcceptedResends returns the number of answers to resends of answered changes that say that the change
// was accepted. Each resend goes to all members and may get several such answers.
func (world *World) AcceptedResends() int { return world.acceptedResends }

// submit hands a command to the member's consensus. It does nothing if the process does not run.
func (member *member) submit(command []byte, done func(result []byte, err error)) {
	if !member.process.Running() || member.controller == nil {
		return
	}
	incarnation := member.process.Incarnation()
	member.controller.Submit(command, func(result []byte, err error) {
		// A process that ended in the meantime has not sent its answer.
		if member.process.Running() && member.process.Incarnation() == incarnation {
			done(result, err)
		}
	})
	member.process.Wake()
}

// sendRead asks a member for a linearizable read. The member answers once its leadership has been
// confirmed after the call.
func (world *World) sendRead(from kernel.Endpoint, receiver *member, done func(view *state.View, err error)) {
	world.network.Send(from, receiver.process.Endpoint, func() {
		if !receiver.process.Running() || receiver.controller == nil {
			return
		}
		incarnation := receiver.process.Incarnation()
		world.parts.ReadConfirmation(receiver.controller).ReadBarrier(func(err error) {
			if !receiver.process.Running() || receiver.process.Incarnation() != incarnation {
				return
			}
			view := receiver.machine.View()
			world.network.Send(receiver.process.Endpoint, from, func() { done(view, err) })
		})
		receiver.process.Wake()
	})
}

// WriteParameter changes a service's queue limit to value, based on revision base, and reports the
// outcome to the checkers.
func (operator *Operator) WriteParameter(service *serviceHandle, base model.Revision, value uint64, done func(ChangeOutcome)) {
	command := operator.world.putService(service, value)
	command.Change = operator.nextChange(base)
	called := operator.world.run.Elapsed()
	operator.send(command, command.Key, func(answer ChangeOutcome) {
		operation := checker.Operation{
			Object: service.name, Client: operator.name, Kind: checker.OperationWrite, Key: command.Key,
			Call: called, Return: operator.world.run.Elapsed(), Base: uint64(base), Value: value,
			Revision: uint64(answer.Result.Revision),
		}
		operation.Result = resultOf(answer)
		if operation.Result != 0 {
			operator.world.checks.operators.Completed(operation)
		}
		done(answer)
	})
}

// resultOf classifies an outcome for the checkers. Zero means that the change was neither accepted nor
// in conflict with another one.
func resultOf(answer ChangeOutcome) checker.OperationResult {
	switch {
	case !answer.Known:
		return checker.ResultUnknown
	case answer.Result.Applied():
		return checker.ResultAccepted
	case answer.Result.Code == faults.CodeRevisionMismatch:
		return checker.ResultConflict
	}
	return 0
}

// ReadParameter reads a service's queue limit and revision. done gets known as false if no answer
// arrived or the read failed.
func (operator *Operator) ReadParameter(service *serviceHandle, done func(value uint64, revision model.Revision, known bool)) {
	called := operator.world.run.Elapsed()
	target := operator.world.members[operator.memberIndex%len(operator.world.members)]
	answered := false
	operator.world.sendRead(operator.endpoint, target, func(view *state.View, err error) {
		if answered {
			return
		}
		answered = true
		record, known := view.Service(service.key())
		if err != nil || !known {
			operator.memberIndex++
			done(0, 0, false)
			return
		}
		value := queueLimitOf(record)
		operator.world.checks.operators.Completed(checker.Operation{
			Object: service.name, Client: operator.name, Kind: checker.OperationRead, Call: called,
			Return: operator.world.run.Elapsed(), Value: value, Revision: uint64(record.Revision), Result: checker.ResultAccepted,
		})
		done(value, record.Revision, true)
	})
	operator.world.run.Scheduler.After(operatorTimeout, func() {
		if !answered {
			answered = true
			operator.memberIndex++
			done(0, 0, false)
		}
	})
}

func (service *serviceHandle) key() state.ServiceKey {
	return state.ServiceKey{Tenant: service.tenant, Name: service.name}
}

// queueLimitParameter is the template's parameter that operators change.
const queueLimitParameter = "queue"

// queueLimitOf returns the queue limit that the last accepted change set, or 0.
func queueLimitOf(record *state.ServiceRecord) uint64 {
	for _, parameter := range record.Parameters {
		if parameter.Name == queueLimitParameter {
			value, err := strconv.ParseUint(string(parameter.Value), 10, 64)
			if err == nil {
				return value
			}
		}
	}
	return 0
}

func mustMarshal(value any) json.RawMessage {
	encoded, err := json.Marshal(value)
	if err != nil {
		panic(fmt.Sprintf("marshal %T: %v", value, err))
	}
	return encoded
}

// Drain drains a target, waits for the answer, and reports whether the drain was accepted. The
// checkers then expect that the target gets no new work.
func (operator *Operator) Drain(service int, name model.NodeName) bool {
	return operator.setDrained(service, name, true)
}

// Undrain lets a drained target take new flows again, and reports whether that was accepted.
func (operator *Operator) Undrain(service int, name model.NodeName) bool {
	return operator.setDrained(service, name, false)
}

// setDrained sends the change that drains or undrains a target, and reports whether it was accepted.
func (operator *Operator) setDrained(service int, name model.NodeName, drained bool) bool {
	key := operator.world.services[service].targetKey(name)
	revision, target, known := operator.world.targetState(key)
	if !known {
		return false
	}
	if !drained {
		operator.world.checks.drain.Undrained(uint32(target))
	}
	var command state.Command
	change := operator.nextChange(revision)
	command = state.DrainTarget{Change: change, Target: key}
	if !drained {
		command = state.UndrainTarget{Change: change, Target: key}
	}
	answered, applied := false, false
	operator.send(command, change.Key, func(answer ChangeOutcome) {
		answered = true
		applied = answer.Known && answer.Result.Applied()
		if applied && drained {
			operator.world.checks.drain.Accepted(uint32(target), operator.world.run.Elapsed())
		}
	})
	operator.world.waitFor(changeTimeout+operatorTimeout, func() bool { return answered })
	return applied
}

func (service *serviceHandle) targetKey(name model.NodeName) state.TargetKey {
	return state.TargetKey{Tenant: service.tenant, Service: service.name, Name: string(name)}
}

// targetState returns a target's revision and ID in the leader's state, and reports whether there is a
// leader and it has the target.
func (world *World) targetState(key state.TargetKey) (model.Revision, model.TargetID, bool) {
	leader, leads := world.AwaitLeader(changeTimeout)
	if !leads {
		return 0, 0, false
	}
	target, record, known := world.members[leader].machine.View().Target(key)
	return record.Revision, target.ID, known
}

// Await runs the world until condition holds, and reports whether it did within limit.
func (world *World) Await(limit time.Duration, condition func() bool) bool {
	return world.waitFor(limit, condition)
}
