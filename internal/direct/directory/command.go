package directory

import (
	"reflect"

	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/gobstream"
)

// Command is one change of the directory in the replicated log. Exactly one field is set.
type Command struct {
	Declare  *declared.Difference
	Register *Registration
	// RegisterAll has the effect of several registrations in their order.
	RegisterAll *Registrations
	Leave       *Departure
	Evacuate    *EvacuationOrder
	// TargetHealth and ForgetTargets name incarnations by token. Entries from earlier versions of
	// the program named targets by identifier, in fields of other names, and no longer change
	// anything: the leader detects the same conditions again.
	TargetHealth  *HealthChange
	ForgetTargets *Forgetting
}

// Registration adds a target or changes its state. A registration with a later start is a new
// incarnation. One with an earlier start, or whose sequence number is not above the incarnation's
// latest, arrived late and changes nothing.
type Registration struct {
	// Target has the fields that the target reports. Its token, revision and state before a
	// failure are ignored.
	Target Target
}

// Registrations are the registrations of many targets in one log entry.
type Registrations struct {
	// Targets have what each target reports, as in a Registration.
	Targets []Target
}

// Departure is a target's notice that it leaves permanently.
type Departure struct {
	ID TargetID
	// Started is the start of the incarnation that leaves; zero if the notice does not tell it.
	Started StartTime
}

// HealthChange records which targets failed or recovered, and which are ejected because they leave
// requests unanswered.
type HealthChange struct {
	Failed    []Token
	Recovered []Token
	// Aside are the targets that are ejected and get no new flows for now. Back are those that
	// get new flows again.
	Aside []Token
	Back  []Token
}

// Forgetting removes targets whose last flows have exceeded the longest lifetime of a flow.
type Forgetting struct {
	Tokens []Token
}

// Result is the outcome of a command.
type Result struct {
	// Conflict means that a declaration was made against another version than the recorded one,
	// or an evacuation order against another base. Nothing changed, and the caller must try again
	// from the current state.
	Conflict bool
	// Full means that the maximum number of zones is already evacuated. Nothing changed.
	Full bool
	// Version is the declared version after the command.
	Version uint64
	// Token is that of the registered target; Tokens are those of several targets in their order.
	Token  Token
	Tokens []Token
}

// EncodeCommand returns the command as the data of a log entry.
func EncodeCommand(command Command) ([]byte, error) { return encode(command) }

// EncodeResult returns the result in the encoding that DecodeResult reads.
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
