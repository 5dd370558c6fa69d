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
	// operatorTimeout is how long an operator waits for one answer.
	operatorTimeout = 1500 * time.Millisecond
	// operatorPatience is how long an operator resends one change.
	operatorPatience = 12 * time.Second
	// operatorRetry is the pause before a change is sent again.
	operatorRetry = 150 * time.Millisecond
)

// Operator sends changes to the control group and resends them when the answer
// is lost, as automation does.
type Operator struct {
	world    *World
	name     string
	endpoint kernel.Endpoint
	random   *kernel.Random
	// guess is the member that answered last.
	guess   int
	changes int
}

// NewOperator returns an operator with a name of its own.
func (world *World) NewOperator(name string) *Operator {
	return &Operator{
		world:    world,
		name:     name,
		endpoint: kernel.Endpoint{Name: model.NodeName(name), Zone: callerZone},
		random:   world.run.Random("operator/" + name),
	}
}

// Answer is what an operator learns of one change.
type Answer struct {
	// Known is false when the outcome stayed unknown.
	Known  bool
	Result state.Result
}

// change is one change with its resends.
type change struct {
	operator *Operator
	encoded  []byte
	key      string
	called   time.Duration
	deadline time.Time
	sent     int
	finished bool
	done     func(Answer)
}

// nextChange returns the fields that make a change idempotent.
func (operator *Operator) nextChange(base model.Revision) state.Change {
	operator.changes++
	return state.Change{
		Key:         fmt.Sprintf("%s-%d", operator.name, operator.changes),
		Fingerprint: uint64(operator.changes),
		Base:        base,
		Actor:       operator.name,
	}
}

// send submits a command until an answer comes or patience ends.
func (operator *Operator) send(command state.Command, key string, done func(Answer)) {
	encoded, err := state.EncodeCommand(command)
	if err != nil {
		panic(fmt.Sprintf("encode %T: %v", command, err))
	}
	scheduler := operator.world.run.Scheduler
	sent := &change{
		operator: operator,
		encoded:  encoded,
		key:      key,
		called:   operator.world.run.Elapsed(),
		deadline: scheduler.Now().Add(operatorPatience),
		done:     done,
	}
	operator.world.pendingChanges++
	sent.try()
}

func (change *change) try() {
	if change.finished {
		return
	}
	operator := change.operator
	scheduler := operator.world.run.Scheduler
	if !scheduler.Now().Before(change.deadline) {
		change.finish(Answer{})
		return
	}
	change.sent++
	number := change.sent
	target := operator.world.members[operator.guess%len(operator.world.members)]
	operator.world.call(operator.endpoint, target, change.encoded, func(result []byte, err error) {
		change.answered(number, result, err)
	})
	scheduler.After(operatorTimeout, func() { change.retry(number) })
}

// retry sends the change again, to the next member, unless that happened.
func (change *change) retry(number int) {
	if change.finished || change.sent != number {
		return
	}
	change.operator.guess++
	change.try()
}

// answered takes one answer. The checkers see late ones as well.
func (change *change) answered(number int, encoded []byte, err error) {
	if err != nil {
		change.operator.world.run.Scheduler.After(operatorRetry, func() { change.retry(number) })
		return
	}
	result, decodeErr := state.DecodeResult(encoded)
	if decodeErr != nil {
		return
	}
	world := change.operator.world
	world.check.operators.Answered(change.key, checker.ChangeAnswer{
		Accepted: result.Applied(), Revision: uint64(result.Revision),
	}, world.run.Elapsed())
	if !change.finished {
		change.finish(Answer{Known: true, Result: result})
	}
}

func (change *change) finish(answer Answer) {
	change.finished = true
	change.operator.world.pendingChanges--
	if answer.Known && answer.Result.Applied() {
		change.operator.world.noteAccepted(change.key, answer.Result)
	}
	change.done(answer)
	if answer.Known {
		change.sendAgain()
	}
}

// resendWithin bounds the time after which an answered change is sent again.
const resendWithin = 6 * time.Second

// sendAgain repeats some changes that were answered already, as automation
// does that has forgotten its answer. The copy must be answered alike.
func (change *change) sendAgain() {
	world := change.operator.world
	if !world.resending.Chance(world.options.Resends) {
		return
	}
	world.run.Scheduler.After(world.resending.Between(0, resendWithin), func() {
		for _, receiver := range world.members {
			world.call(change.operator.endpoint, receiver, change.encoded, change.answeredAgain)
		}
	})
}

// answeredAgain takes the answer to a copy of an answered change.
func (change *change) answeredAgain(encoded []byte, err error) {
	result, decodeErr := state.DecodeResult(encoded)
	if err == nil && decodeErr == nil && result.Applied() {
		change.operator.world.resent++
		change.operator.world.noteAccepted(change.key, result)
	}
}

// noteAccepted tells the checkers of an accepted change.
func (world *World) noteAccepted(key string, result state.Result) {
	world.run.Trace.Addf("operators", "accepted", "%s at revision %d", key, result.Revision)
	world.check.rollout.Committed(uint64(world.configured(result.Revision)), world.run.Elapsed())
}

// configured returns the revision of the configuration that an accepted change
// left behind: its own, or an earlier one if the change is no part of what
// nodes run, as that of a template. The member that answered has applied it.
func (world *World) configured(changed model.Revision) model.Revision {
	latest := model.Revision(0)
	for _, member := range world.members {
		if member.machine != nil {
			latest = max(latest, member.machine.Configuration().Revision)
		}
	}
	return min(changed, latest)
}

// call carries a command to a member and the answer back. Either may be lost
// or doubled.
func (world *World) call(from kernel.Endpoint, receiver *member, command []byte, done func(result []byte, err error)) {
	world.network.Send(from, receiver.process.Endpoint, func() {
		receiver.submit(command, func(result []byte, err error) {
			if world.resending.Chance(world.lostAnswers) {
				return
			}
			world.network.Send(receiver.process.Endpoint, from, func() { done(result, err) })
		})
	})
}

// LoseAnswers loses a share of the answers to operators from now on.
func (world *World) LoseAnswers(share float64) { world.lostAnswers = share }

// Resent returns how many changes were sent again after their answer and
// accepted once more.
func (world *World) Resent() int { return world.resent }

// submit hands a command to the member's consensus, if the process lives.
func (member *member) submit(command []byte, done func(result []byte, err error)) {
	if !member.process.Running() || member.controller == nil {
		return
	}
	life := member.process.Incarnation()
	member.controller.Submit(command, func(result []byte, err error) {
		// An answer of a process that has died meanwhile was never sent.
		if member.process.Running() && member.process.Incarnation() == life {
			done(result, err)
		}
	})
	member.process.Wake()
}

// read asks a member for a linearizable read: it answers once leadership was
// confirmed after the call.
func (world *World) read(from kernel.Endpoint, receiver *member, done func(view *state.View, err error)) {
	world.network.Send(from, receiver.process.Endpoint, func() {
		if !receiver.process.Running() || receiver.controller == nil {
			return
		}
		life := receiver.process.Incarnation()
		world.parts.Confirm(receiver.controller).ReadBarrier(func(err error) {
			if !receiver.process.Running() || receiver.process.Incarnation() != life {
				return
			}
			view := receiver.machine.View()
			world.network.Send(receiver.process.Endpoint, from, func() { done(view, err) })
		})
		receiver.process.Wake()
	})
}

// WriteParameter changes a service's queue limit to value, based on revision
// base, and tells the checkers how it ended.
func (operator *Operator) WriteParameter(service *serviceHandle, base model.Revision, value uint64, done func(Answer)) {
	command := operator.world.putService(service, value)
	command.Change = operator.nextChange(base)
	called := operator.world.run.Elapsed()
	operator.send(command, command.Key, func(answer Answer) {
		operation := checker.Operation{
			Object: service.name, Client: operator.name, Kind: checker.OperationWrite, Key: command.Key,
			Call: called, Return: operator.world.run.Elapsed(), Base: uint64(base), Value: value,
			Revision: uint64(answer.Result.Revision),
		}
		operation.Result = resultOf(answer)
		if operation.Result != 0 {
			operator.world.check.operators.Completed(operation)
		}
		done(answer)
	})
}

// resultOf classifies an answer; zero means that nothing was decided.
func resultOf(answer Answer) checker.OperationResult {
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

// ReadParameter reads a service's queue limit and revision. done gets false
// when no answer came.
func (operator *Operator) ReadParameter(service *serviceHandle, done func(value uint64, revision model.Revision, known bool)) {
	called := operator.world.run.Elapsed()
	target := operator.world.members[operator.guess%len(operator.world.members)]
	answered := false
	operator.world.read(operator.endpoint, target, func(view *state.View, err error) {
		if answered {
			return
		}
		answered = true
		record, known := view.Service(service.key())
		if err != nil || !known {
			operator.guess++
			done(0, 0, false)
			return
		}
		value := parameterOf(record)
		operator.world.check.operators.Completed(checker.Operation{
			Object: service.name, Client: operator.name, Kind: checker.OperationRead, Call: called,
			Return: operator.world.run.Elapsed(), Value: value, Revision: uint64(record.Revision), Result: checker.ResultAccepted,
		})
		done(value, record.Revision, true)
	})
	operator.world.run.Scheduler.After(operatorTimeout, func() {
		if !answered {
			answered = true
			operator.guess++
			done(0, 0, false)
		}
	})
}

func (service *serviceHandle) key() state.ServiceKey {
	return state.ServiceKey{Tenant: service.tenant, Name: service.name}
}

// valueParameter is the template's parameter that operators change.
const valueParameter = "queue"

// parameterOf reads the value that the last accepted change gave.
func parameterOf(record *state.ServiceRecord) uint64 {
	for _, parameter := range record.Parameters {
		if parameter.Name == valueParameter {
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

// Drain drains a target and waits for the answer. It tells the checkers when
// the drain was accepted.
func (operator *Operator) Drain(service int, name model.NodeName) bool {
	return operator.setDrained(service, name, true)
}

// Undrain lets a drained target take new flows again.
func (operator *Operator) Undrain(service int, name model.NodeName) bool {
	return operator.setDrained(service, name, false)
}

func (operator *Operator) setDrained(service int, name model.NodeName, drained bool) bool {
	key := operator.world.services[service].targetKey(name)
	revision, target, known := operator.world.targetState(key)
	if !known {
		return false
	}
	if !drained {
		operator.world.check.drain.Undrained(uint32(target))
	}
	var command state.Command
	change := operator.nextChange(revision)
	command = state.DrainTarget{Change: change, Target: key}
	if !drained {
		command = state.UndrainTarget{Change: change, Target: key}
	}
	answered, applied := false, false
	operator.send(command, change.Key, func(answer Answer) {
		answered = true
		applied = answer.Known && answer.Result.Applied()
		if applied && drained {
			operator.world.check.drain.Accepted(uint32(target), operator.world.run.Elapsed())
		}
	})
	operator.world.waitFor(operatorPatience+operatorTimeout, func() bool { return answered })
	return applied
}

func (service *serviceHandle) targetKey(name model.NodeName) state.TargetKey {
	return state.TargetKey{Tenant: service.tenant, Service: service.name, Name: string(name)}
}

// targetState returns a target's revision and ID as the leader has them.
func (world *World) targetState(key state.TargetKey) (model.Revision, model.TargetID, bool) {
	leader, leads := world.AwaitLeader(operatorPatience)
	if !leads {
		return 0, 0, false
	}
	target, record, known := world.members[leader].machine.View().Target(key)
	return record.Revision, target.ID, known
}

// Await runs the world until condition holds; false when it never did.
func (world *World) Await(limit time.Duration, condition func() bool) bool {
	return world.waitFor(limit, condition)
}
