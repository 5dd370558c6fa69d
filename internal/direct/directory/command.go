package directory

import (
	"reflect"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/gobstream"
)

// Command is one change of the directory in the replicated log. Exactly one
// field is set.
type Command struct {
	Declare  *declared.Difference
	Register *Registration
	// RegisterAll has the effect of several registrations in their order.
	RegisterAll *Registrations
	Leave       *Departure
	Evacuate    *EvacuationOrder
	// TargetHealth and ForgetTargets name incarnations by token. Entries of earlier
	// programs named targets by identifier, in fields of other names, and change
	// nothing any more: the leader finds anew what they said.
	TargetHealth  *HealthChange
	ForgetTargets *Forgetting
}

// Registration adds a target or changes its state. A registration of a later start is
// a new incarnation. One of a former start, or whose sequence is not above the
// incarnation's latest one, is late and changes nothing.
type Registration struct {
	// Target has the stated fields; its token, revision and former state are
	// ignored.
	Target Target
}

// Registrations are those of many targets in one entry of the log.
type Registrations struct {
	// Targets have what each target states, as in a Registration.
	Targets []Target
}

// Departure tells that a target leaves for good.
type Departure struct {
	ID TargetID
	// Started is the start of the incarnation that leaves; zero for the latest one.
	Started StartTime
}

// HealthChange records that targets were found dead, or alive again, or leave
// requests unanswered.
type HealthChange struct {
	Failed    []Token
	Recovered []Token
	// Aside are targets that get no new flows for now, Back those that do
	// again.
	Aside []Token
	Back  []Token
}

// Forgetting takes targets out whose last flows are past their longest life.
type Forgetting struct {
	Tokens []Token
}

// Result is the outcome of a command.
type Result struct {
	// Conflict tells that a declaration was made against another version
	// than the one held, or an order for a zone against another base; nothing
	// changed and it is to be made again.
	Conflict bool
	// Full tells that as many zones are evacuated as may be; nothing changed.
	Full bool
	// Version is the declared version that is held now.
	Version uint64
	// Token is the registered target's, and Tokens are those of several in their order.
	Token  Token
	Tokens []Token
}

// EncodeCommand returns the command as the data of a log entry.
func EncodeCommand(command Command) ([]byte, error) { return encode(command) }

// EncodeResult returns the result as bytes.
func EncodeResult(result Result) ([]byte, error) { return encode(result) }

func encode(value any) ([]byte, error) { return encoders.Encode(value) }

var (
	encoders = gobstream.NewEncoders()
	decoders = gobstream.NewDecoders()
)

// DecodeResult is the inverse of EncodeResult.
func DecodeResult(data []byte) (Result, error) {
	var result Result
	err := decoders.Decode(data, reflect.ValueOf(&result))
	return result, err
}

func decodeCommand(data []byte) (Command, error) {
	var command Command
	err := decoders.Decode(data, reflect.ValueOf(&command))
	return command, err
}
