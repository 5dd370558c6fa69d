package state

import (
	"encoding/json"
	"time"

	"merlinpaddle/internal/model"
)

// ParameterKind is the type of a template parameter's value.
type ParameterKind string

// Parameter kinds and the JSON form of their values.
const (
	// KindInteger is a number without a fraction.
	KindInteger ParameterKind = "integer"
	// KindDuration is a string such as "1.5s" or "200ms".
	KindDuration ParameterKind = "duration"
	// KindString is a string.
	KindString ParameterKind = "string"
	// KindBoolean is true or false.
	KindBoolean ParameterKind = "boolean"
	// KindAddress is a string with an IP address and a port.
	KindAddress ParameterKind = "address"
	// KindTargets is an array of TargetParameter.
	KindTargets ParameterKind = "targets"
)

// Property names a part of a service that a parameter can set.
type Property string

// Properties that parameters can set. A template must have exactly one parameter for
// PropertyAddress and one for PropertyTargets.
const (
	PropertyNone               Property = ""
	PropertyAddress            Property = "address"
	PropertyTargets            Property = "targets"
	PropertySlotsPerTarget     Property = "limits.slots_per_target"
	PropertyMaximumConnections Property = "limits.maximum_connections"
	PropertyMaximumQueue       Property = "limits.maximum_queue"
	PropertyMaximumHeaderBytes Property = "limits.maximum_header_bytes"
	PropertyMaximumBodyBytes   Property = "limits.maximum_body_bytes"
	PropertyHeaderTimeout      Property = "limits.header_timeout"
	PropertyIdleTimeout        Property = "limits.idle_timeout"
	PropertyRequestTimeout     Property = "limits.request_timeout"
	PropertyNewFlowsPerSecond  Property = "limits.new_flows_per_second"
	PropertyNewFlowBurst       Property = "limits.new_flow_burst"
)

// ParameterDefinition declares one parameter of a template.
type ParameterDefinition struct {
	Name        string        `json:"name"`
	Kind        ParameterKind `json:"kind"`
	Description string        `json:"description,omitempty"`
	// Sets is the property that the value is assigned to. Integers and durations
	// set limits. Strings and booleans set no property: a string replaces "{name}"
	// in the path prefixes of rules, and a boolean enables rules.
	Sets Property `json:"sets,omitempty"`
	// Required means that a service must give the parameter. If a parameter is
	// not required, not given and has no default, the template's own value
	// applies.
	Required bool `json:"required,omitempty"`
	// Default is the value if the service does not give the parameter.
	Default json.RawMessage `json:"default,omitempty"`
	// Minimum and Maximum are inclusive. They limit the value of integers and
	// durations, in the JSON form of the parameter, and, as integers, the length of
	// strings (in bytes) and of target lists.
	Minimum json.RawMessage `json:"minimum,omitempty"`
	Maximum json.RawMessage `json:"maximum,omitempty"`
	// Allowed lists the permitted values of a string. If empty, all are permitted.
	Allowed []string `json:"allowed,omitempty"`
}

// RuleTemplate defines one request rule of a service.
type RuleTemplate struct {
	// Method is the HTTP method; empty matches every method.
	Method string `json:"method,omitempty"`
	// PathPrefix may contain "{name}" for the value of a string parameter.
	PathPrefix string             `json:"path_prefix"`
	Class      model.RequestClass `json:"class"`
	// AtMostOnce requires that requests have an idempotency key and are claimed
	// before they run.
	AtMostOnce bool `json:"at_most_once,omitempty"`
	// Weight is the admission weight; zero means the weight of the class.
	Weight uint32 `json:"weight,omitempty"`
	// OnlyIf is the name of a boolean parameter. If set, services have the rule
	// only if the parameter is true.
	OnlyIf string `json:"only_if,omitempty"`
}

// ClassWeight is the admission weight of a request class.
type ClassWeight struct {
	Class  model.RequestClass `json:"class"`
	Weight uint32             `json:"weight"`
}

// LimitValues are the limits that a template sets. A limit that is zero has the value
// of model.DefaultLimits.
type LimitValues struct {
	SlotsPerTarget     int      `json:"slots_per_target,omitempty"`
	MaximumConnections int      `json:"maximum_connections,omitempty"`
	MaximumQueue       int      `json:"maximum_queue,omitempty"`
	MaximumHeaderBytes int      `json:"maximum_header_bytes,omitempty"`
	MaximumBodyBytes   int64    `json:"maximum_body_bytes,omitempty"`
	HeaderTimeout      Duration `json:"header_timeout,omitempty"`
	IdleTimeout        Duration `json:"idle_timeout,omitempty"`
	RequestTimeout     Duration `json:"request_timeout,omitempty"`
	NewFlowsPerSecond  int      `json:"new_flows_per_second,omitempty"`
	NewFlowBurst       int      `json:"new_flow_burst,omitempty"`
}

// TemplateSpec defines the parameters, limits and rules that services made from a
// template have in common.
type TemplateSpec struct {
	Description string `json:"description,omitempty"`
	// Protocol is "udp", "tcp" or "quic".
	Protocol   ProtocolName          `json:"protocol"`
	Parameters []ParameterDefinition `json:"parameters"`
	Limits     LimitValues           `json:"limits"`
	// Classes are the admission weights of the request classes that rules use.
	Classes []ClassWeight  `json:"classes,omitempty"`
	Rules   []RuleTemplate `json:"rules,omitempty"`
}

// TemplateVersion is one version of a template. Versions are immutable.
type TemplateVersion struct {
	Version uint32       `json:"version"`
	Spec    TemplateSpec `json:"spec"`
	// Revision is the revision at which the version was created.
	Revision  model.Revision `json:"revision"`
	CreatedBy string         `json:"created_by,omitempty"`
	CreatedAt time.Time      `json:"created_at"`
}

// Template is a named template with its versions, oldest first.
type Template struct {
	Name string `json:"name"`
	// Revision is the revision of the template's last change.
	Revision model.Revision    `json:"revision"`
	Versions []TemplateVersion `json:"versions"`
}

// Latest returns the newest version. The template must have one.
func (template *Template) Latest() TemplateVersion {
	return template.Versions[len(template.Versions)-1]
}

// Find returns the version with the given number, or the latest for zero. It returns
// false if the template does not have the version.
func (template *Template) Find(version uint32) (TemplateVersion, bool) {
	if version == 0 {
		return template.Latest(), true
	}
	for _, candidate := range template.Versions {
		if candidate.Version == version {
			return candidate, true
		}
	}
	return TemplateVersion{}, false
}

// ProtocolName is the name of a transport protocol in the API.
type ProtocolName string

// Protocol names.
const (
	ProtocolNameUDP  ProtocolName = "udp"
	ProtocolNameTCP  ProtocolName = "tcp"
	ProtocolNameQUIC ProtocolName = "quic"
)

// Protocol returns the protocol with this name, or false if the name is unknown.
func (name ProtocolName) Protocol() (model.Protocol, bool) {
	switch name {
	case ProtocolNameUDP:
		return model.ProtocolUDP, true
	case ProtocolNameTCP:
		return model.ProtocolTCP, true
	case ProtocolNameQUIC:
		return model.ProtocolQUIC, true
	}
	return 0, false
}

// NameOfProtocol returns the name of a protocol, or an empty name if it has none.
func NameOfProtocol(protocol model.Protocol) ProtocolName {
	switch protocol {
	case model.ProtocolUDP:
		return ProtocolNameUDP
	case model.ProtocolTCP:
		return ProtocolNameTCP
	case model.ProtocolQUIC:
		return ProtocolNameQUIC
	}
	return ""
}

// Duration is a time.Duration that is encoded in JSON as a string such as "1.5s".
type Duration time.Duration

// MarshalText implements encoding.TextMarshaler with time.Duration.String.
func (duration Duration) MarshalText() ([]byte, error) {
	return []byte(time.Duration(duration).String()), nil
}

// UnmarshalText implements encoding.TextUnmarshaler with time.ParseDuration.
func (duration *Duration) UnmarshalText(text []byte) error {
	parsed, err := time.ParseDuration(string(text))
	if err != nil {
		return err
	}
	*duration = Duration(parsed)
	return nil
}
