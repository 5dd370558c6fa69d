package state

import (
	"bytes"
	"encoding/gob"
	"fmt"
	"strings"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/protocol"
)

// FieldError describes what is wrong with one field of a command.
type FieldError struct {
	// Field is the path of the field, such as "parameters.targets[2].agent".
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Result is the answer to one command. Members that applied the same log return
// equal results.
//
// The results of operator commands with an idempotency key are part of the
// replicated state. The text of a message is therefore covered by Machine.Digest.
type Result struct {
	// Code is the reason of a refusal, or zero when the command was applied.
	Code faults.Code
	// Message describes why the command was refused.
	Message string
	// Fields lists the invalid fields of a command refused with
	// CodeInvalidField, at most maximumFieldErrors of them.
	Fields []FieldError
	// Revision is the object's revision after the command. When the command was
	// refused with CodeRevisionMismatch, it is the object's current revision, or
	// zero when the object does not exist.
	Revision model.Revision
	// Version is the version that PutTemplate created.
	Version uint32
	// Service is the ID of the service to which the change applies.
	Service model.ServiceID
	// Replayed is set when the command was resent and this is the stored answer
	// to its first copy.
	Replayed bool
	// Claim is the reply to a Claim or CompleteClaim command.
	Claim *protocol.ClaimReply
}

// Applied reports whether the command was applied.
func (result Result) Applied() bool { return result.Code == 0 }

// Err returns the refusal as an error with its code, or nil when the command was
// applied.
func (result Result) Err() error {
	if result.Applied() {
		return nil
	}
	return faults.New(result.Code, "%s", result.detail())
}

func (result Result) detail() string {
	if len(result.Fields) == 0 {
		return result.Message
	}
	lines := make([]string, 0, len(result.Fields))
	for _, field := range result.Fields {
		lines = append(lines, field.Field+": "+field.Message)
	}
	return result.Message + ": " + strings.Join(lines, "; ")
}

// Bounds of the size of a refusal. Refusals are stored for resent commands, so
// their size must not grow with the request.
const (
	maximumMessageBytes = 512
	maximumFieldErrors  = 32
)

// truncate cuts text after maximumMessageBytes and appends an ellipsis. Names and
// values in messages come from requests and can have any length.
func truncate(text string) string {
	if len(text) <= maximumMessageBytes {
		return text
	}
	return strings.ToValidUTF8(text[:maximumMessageBytes], "") + "…"
}

func refuse(code faults.Code, format string, arguments ...any) Result {
	return Result{Code: code, Message: truncate(fmt.Sprintf(format, arguments...))}
}

func refuseFields(message string, fields []FieldError) Result {
	if len(fields) > maximumFieldErrors {
		message = fmt.Sprintf("%s; %d more fields are wrong", message, len(fields)-maximumFieldErrors)
		fields = fields[:maximumFieldErrors]
	}
	return Result{Code: faults.CodeInvalidField, Message: message, Fields: fields}
}

func encodeResult(result Result) []byte {
	var buffer bytes.Buffer
	if err := gob.NewEncoder(&buffer).Encode(result); err != nil {
		// Result holds only types that gob can encode.
		panic(fmt.Sprintf("encode result: %v", err))
	}
	return buffer.Bytes()
}

// DecodeResult decodes a Result that Machine.Apply returned.
func DecodeResult(encoded []byte) (Result, error) {
	var result Result
	if err := gob.NewDecoder(bytes.NewReader(encoded)).Decode(&result); err != nil {
		return Result{}, fmt.Errorf("decode result: %w", err)
	}
	return result, nil
}
