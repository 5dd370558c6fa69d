package state

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/netip"
	"slices"
	"time"
)

// TargetParameter is one target in a service's parameters.
type TargetParameter struct {
	// Name is the node name of the target's agent. It is unique across all
	// services, because agents identify themselves by it in their reports.
	Name string `json:"name"`
	Zone string `json:"zone"`
	// Agent is the UDP address at which the agent receives packets.
	Agent netip.AddrPort `json:"agent"`
	// Backend is the address of the server that the agent forwards to.
	Backend netip.AddrPort `json:"backend"`
}

// value is a parsed parameter value. Only the field that belongs to kind is set.
type value struct {
	kind     ParameterKind
	integer  int64
	duration time.Duration
	text     string
	boolean  bool
	address  netip.AddrPort
	targets  []TargetParameter
}

// parseValue parses raw as a value of the given kind. The error says which form
// is expected.
func parseValue(kind ParameterKind, raw json.RawMessage) (value, error) {
	parsed := value{kind: kind}
	switch kind {
	case KindInteger:
		return parsed, decodeStrict(raw, &parsed.integer, "a whole number")
	case KindDuration:
		var duration Duration
		err := decodeStrict(raw, &duration, `a duration such as "1.5s"`)
		parsed.duration = time.Duration(duration)
		return parsed, err
	case KindString:
		return parsed, decodeStrict(raw, &parsed.text, "text")
	case KindBoolean:
		return parsed, decodeStrict(raw, &parsed.boolean, "true or false")
	case KindAddress:
		return parsed, decodeStrict(raw, &parsed.address, `an address such as "192.0.2.1:443"`)
	case KindTargets:
		return parsed, decodeStrict(raw, &parsed.targets, "a list of targets with name, zone, agent and backend")
	}
	return value{}, fmt.Errorf("kind %q is not known", kind)
}

// decodeStrict decodes raw, which must be exactly one JSON value other than null
// and without unknown fields.
func decodeStrict(raw json.RawMessage, into any, expected string) error {
	if bytes.Equal(bytes.TrimSpace(raw), []byte("null")) {
		return fmt.Errorf("null is no value; expected %s", expected)
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(into); err != nil {
		return fmt.Errorf("expected %s: %w", expected, err)
	}
	if decoder.More() {
		return fmt.Errorf("expected %s and nothing after it", expected)
	}
	return nil
}

// rangeKind returns the kind of Minimum and Maximum for a parameter of the given
// kind, or false when such a parameter has no range.
func rangeKind(kind ParameterKind) (ParameterKind, bool) {
	switch kind {
	case KindInteger, KindString, KindTargets:
		return KindInteger, true
	case KindDuration:
		return KindDuration, true
	}
	return "", false
}

// magnitude returns the number that a parameter's range limits: the integer
// itself, a duration in nanoseconds, the bytes of a string, or the number of
// targets.
func (parsed value) magnitude() int64 {
	switch parsed.kind {
	case KindInteger:
		return parsed.integer
	case KindDuration:
		return int64(parsed.duration)
	case KindString:
		return int64(len(parsed.text))
	case KindTargets:
		return int64(len(parsed.targets))
	}
	return 0
}

// checkValue parses raw and checks it against the definition's range and allowed
// values. The error says what is wrong.
func (definition ParameterDefinition) checkValue(raw json.RawMessage) (value, error) {
	parsed, err := parseValue(definition.Kind, raw)
	if err != nil {
		return value{}, err
	}
	if err := definition.checkRange(parsed); err != nil {
		return value{}, err
	}
	if len(definition.Allowed) > 0 && !slices.Contains(definition.Allowed, parsed.text) {
		return value{}, fmt.Errorf("%q is not one of %q", parsed.text, definition.Allowed)
	}
	if definition.Kind == KindString && len(parsed.text) > MaximumTextBytes {
		return value{}, fmt.Errorf("text is longer than %d bytes", MaximumTextBytes)
	}
	return parsed, nil
}

func (definition ParameterDefinition) checkRange(parsed value) error {
	kind, hasRange := rangeKind(definition.Kind)
	if !hasRange {
		return nil
	}
	if len(definition.Minimum) > 0 {
		minimum, err := parseValue(kind, definition.Minimum)
		if err != nil {
			return fmt.Errorf("minimum: %w", err)
		}
		if parsed.magnitude() < minimum.magnitude() {
			return fmt.Errorf("below the minimum of %s", definition.Minimum)
		}
	}
	if len(definition.Maximum) > 0 {
		maximum, err := parseValue(kind, definition.Maximum)
		if err != nil {
			return fmt.Errorf("maximum: %w", err)
		}
		if parsed.magnitude() > maximum.magnitude() {
			return fmt.Errorf("above the maximum of %s", definition.Maximum)
		}
	}
	return nil
}
