package operators

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"math/rand/v2"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"merlinpaddle/internal/adminapi"
	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/client"
	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// Behavior of an operator.
const (
	// An operator pauses between rounds for minimumPause plus a random time below
	// pauseJitter.
	minimumPause = 40 * time.Millisecond
	pauseJitter  = 80 * time.Millisecond
	// sharedBaseShare is the share of changes based on the latest revision known
	// to any operator, so that several changes compete for the same base.
	sharedBaseShare = 0.6
	// resendShare is the share of accepted changes that are sent again.
	resendShare = 0.25
	// operationTimeout bounds one operation with all its attempts.
	operationTimeout = 60 * time.Second
)

// changedParameter is the parameter that operators change, with values from 1 to
// maximumValue, the range that the fleet's template allows.
const (
	changedParameter = "maximum_queue"
	maximumValue     = 1000
)

// register is a service used as a compare-and-set register.
type register struct {
	key  state.ServiceKey
	spec adminapi.ServiceSpec
}

func (register register) name() string {
	return fmt.Sprintf("%s/%s", register.key.Tenant, register.key.Name)
}

// withValue returns a copy of the service's spec with the given value.
func (register register) withValue(value uint64) adminapi.ServiceSpec {
	spec := register.spec
	spec.Parameters = maps.Clone(spec.Parameters)
	spec.Parameters[changedParameter] = json.RawMessage(strconv.FormatUint(value, 10))
	return spec
}

// valueOf returns the register's value in a service.
func valueOf(service adminapi.Service) (uint64, error) {
	var value uint64
	if err := json.Unmarshal(service.Spec.Parameters[changedParameter], &value); err != nil {
		return 0, fmt.Errorf("%s of %s: %w", changedParameter, service.Name, err)
	}
	return value, nil
}

// values gives each change a different value; values repeat after maximumValue
// changes.
type values struct{ issued atomic.Uint64 }

func (values *values) next() uint64 { return values.issued.Add(1)%maximumValue + 1 }

// operator reads and changes randomly chosen registers.
type operator struct {
	name      string
	api       *client.Client
	registers []register
	values    *values
	history   *history
	random    *rand.Rand
}

// run works until ctx ends; an operation in progress is completed first.
func (operator *operator) run(ctx context.Context) {
	for ctx.Err() == nil {
		chosen := operator.registers[operator.random.IntN(len(operator.registers))]
		operator.readAndChange(context.WithoutCancel(ctx), chosen)
		pause(ctx, minimumPause+time.Duration(operator.random.Int64N(int64(pauseJitter))))
	}
}

// readAndChange changes a register, based on a fresh read or on the latest
// accepted revision, and may send an accepted change again.
func (operator *operator) readAndChange(ctx context.Context, chosen register) {
	ctx, cancel := context.WithTimeout(ctx, operationTimeout)
	defer cancel()
	base := operator.history.latestRevision(chosen.name())
	if operator.random.Float64() >= sharedBaseShare || base == 0 {
		read, err := readRegister(ctx, operator.history, operator.api, operator.name, chosen)
		if err != nil {
			operator.history.updatePhase(func(counts *phaseCounts) { counts.refused++ })
			return
		}
		base = read
	}
	key := uuid.NewString()
	value := operator.values.next()
	change := client.Change{Base: base, Key: key}
	revision, result := changeRegister(ctx, operator.history, operator.api, operator.name, chosen, change, value)
	switch {
	case result == resultRefused:
		operator.history.updatePhase(func(counts *phaseCounts) { counts.refused++ })
	case result == checker.ResultAccepted && operator.random.Float64() < resendShare:
		operator.resend(ctx, chosen, change, value, revision)
	}
}

// resend sends an accepted change again with the same idempotency key; the answer
// must be the same as the first.
func (operator *operator) resend(ctx context.Context, chosen register, change client.Change, value uint64, first model.Revision) {
	answer, err := operator.api.PutService(ctx, chosen.key, change, chosen.withValue(value))
	if err != nil {
		if code := client.Code(err); code == faults.CodeRevisionMismatch {
			operator.history.recordViolation(checker.InvariantAppliedOnce, "change %s was accepted at %d and refused when it was sent again", change.Key, first)
		}
		return
	}
	operator.history.updatePhase(func(counts *phaseCounts) { counts.resent++ })
	operator.history.recordAcknowledgement(change.Key, answer.Revision)
}

// readRegister reads a register and records the operation.
func readRegister(ctx context.Context, history *history, api *client.Client, reader string, chosen register) (model.Revision, error) {
	call := time.Now()
	service, err := api.Service(ctx, chosen.key)
	if err != nil {
		return 0, err
	}
	value, err := valueOf(service)
	if err != nil {
		return 0, err
	}
	history.recordOperation(checker.Operation{
		Object: chosen.name(), Client: reader, Kind: checker.OperationRead,
		Call: history.sinceStart(call), Return: history.sinceStart(time.Now()),
		Value: value, Revision: uint64(service.Revision), Result: checker.ResultAccepted,
	})
	return service.Revision, nil
}

// resultRefused is the result of a change that was refused before it reached the
// state machine. Such a change is not recorded as an operation.
const resultRefused checker.OperationResult = 0

// changeRegister changes a register, records the operation, and returns the
// new revision, which is zero unless the change was accepted.
func changeRegister(ctx context.Context, history *history, api *client.Client, writer string, chosen register,
	change client.Change, value uint64) (model.Revision, checker.OperationResult) {
	call := time.Now()
	answer, err := api.PutService(ctx, chosen.key, change, chosen.withValue(value))
	operation := checker.Operation{
		Object: chosen.name(), Client: writer, Kind: checker.OperationWrite, Key: change.Key,
		Call: history.sinceStart(call), Return: history.sinceStart(time.Now()), Base: uint64(change.Base), Value: value,
	}
	switch current, isConflict := currentRevision(err); {
	case err == nil:
		operation.Result = checker.ResultAccepted
		operation.Revision = uint64(answer.Revision)
		history.recordAcknowledgement(change.Key, answer.Revision)
	case isConflict:
		operation.Result = checker.ResultConflict
		operation.Revision = uint64(current)
	case client.MayHaveRun(err):
		operation.Result = checker.ResultUnknown
	default:
		return 0, resultRefused
	}
	history.recordOperation(operation)
	return answer.Revision, operation.Result
}

// currentRevision returns the register's current revision from the error of a
// change that conflicted, and reports whether err is such a conflict.
func currentRevision(err error) (model.Revision, bool) {
	var failure *client.Error
	if !errors.As(err, &failure) || failure.Problem.Code != faults.CodeRevisionMismatch || failure.Problem.Revision == nil {
		return 0, false
	}
	return *failure.Problem.Revision, true
}

// pause waits, or returns at once when ctx ends.
func pause(ctx context.Context, wait time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
