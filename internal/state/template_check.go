package state

import (
	"fmt"
	"regexp"
	"slices"
	"strings"

	"merlinpaddle/internal/model"
)

// namePattern matches the names of templates, tenants, services, targets, zones and
// parameters.
var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9._-]*[a-z0-9])?$`)

// placeholderPattern matches "{name}" in the path prefix of a rule.
var placeholderPattern = regexp.MustCompile(`\{([^{}]*)\}`)

// ValidName reports whether an object may have the name.
func ValidName(name string) bool {
	return len(name) <= MaximumNameBytes && namePattern.MatchString(name)
}

// nameRule describes valid names, for messages about names that ValidName refuses.
const nameRule = "must be 1 to 63 lower-case letters, digits, '.', '_' or '-', with a letter or digit at both ends"

// fieldErrors collects the errors in the fields of a command.
type fieldErrors []FieldError

func (errors *fieldErrors) add(field, format string, arguments ...any) {
	*errors = append(*errors, FieldError{Field: truncate(field), Message: truncate(fmt.Sprintf(format, arguments...))})
}

func (errors *fieldErrors) checkName(field, name string) {
	if !ValidName(name) {
		errors.add(field, "%q %s", name, nameRule)
	}
}

// kind returns the kind of parameter that can set the property, or false if there is no
// such property.
func (property Property) kind() (ParameterKind, bool) {
	switch property {
	case PropertyAddress:
		return KindAddress, true
	case PropertyTargets:
		return KindTargets, true
	case PropertyHeaderTimeout, PropertyIdleTimeout, PropertyRequestTimeout:
		return KindDuration, true
	case PropertySlotsPerTarget, PropertyMaximumConnections, PropertyMaximumQueue, PropertyMaximumHeaderBytes,
		PropertyMaximumBodyBytes, PropertyNewFlowsPerSecond, PropertyNewFlowBurst:
		return KindInteger, true
	}
	return "", false
}

// CheckTemplate returns the errors in a template, or none if it is valid.
func CheckTemplate(spec TemplateSpec) []FieldError {
	var errors fieldErrors
	if _, known := spec.Protocol.Protocol(); !known {
		errors.add("protocol", `%q is not "udp", "tcp" or "quic"`, spec.Protocol)
	}
	if len(spec.Description) > MaximumTextBytes {
		errors.add("description", "longer than %d bytes", MaximumTextBytes)
	}
	errors.checkParameters(spec)
	errors.checkLimits(spec.Limits)
	errors.checkClasses(spec)
	errors.checkRules(spec)
	return errors
}

// checkParameters checks each parameter definition. It also checks that no name or
// property occurs twice and that parameters set the address and the targets.
func (errors *fieldErrors) checkParameters(spec TemplateSpec) {
	if len(spec.Parameters) > MaximumParameters {
		errors.add("parameters", "more than %d", MaximumParameters)
		return
	}
	names := make(map[string]bool)
	setters := make(map[Property]string)
	for index, definition := range spec.Parameters {
		field := fmt.Sprintf("parameters[%d]", index)
		errors.checkDefinition(field, definition)
		if names[definition.Name] {
			errors.add(field+".name", "%q is declared twice", definition.Name)
		}
		names[definition.Name] = true
		if definition.Sets == PropertyNone {
			continue
		}
		if other, taken := setters[definition.Sets]; taken {
			errors.add(field+".sets", "%q is set by parameter %q too", definition.Sets, other)
		}
		setters[definition.Sets] = definition.Name
	}
	for _, needed := range []Property{PropertyAddress, PropertyTargets} {
		if _, set := setters[needed]; !set {
			errors.add("parameters", "no parameter sets %q", needed)
		}
	}
}

func (errors *fieldErrors) checkDefinition(field string, definition ParameterDefinition) {
	errors.checkName(field+".name", definition.Name)
	if !slices.Contains([]ParameterKind{KindInteger, KindDuration, KindString, KindBoolean, KindAddress, KindTargets}, definition.Kind) {
		errors.add(field+".kind", "%q is not a kind of parameter", definition.Kind)
		return
	}
	if definition.Sets != PropertyNone {
		kind, known := definition.Sets.kind()
		if !known {
			errors.add(field+".sets", "%q is not a property of a service", definition.Sets)
		} else if kind != definition.Kind {
			errors.add(field+".sets", "%q takes a parameter of kind %q", definition.Sets, kind)
		}
	}
	if len(definition.Description) > MaximumTextBytes {
		errors.add(field+".description", "longer than %d bytes", MaximumTextBytes)
	}
	if len(definition.Allowed) > 0 && definition.Kind != KindString {
		errors.add(field+".allowed", "only strings have allowed values")
	}
	if errors.checkBounds(field, definition) {
		errors.checkDefault(field, definition)
	}
}

// checkBounds checks the minimum and maximum of a parameter and reports whether they are
// valid.
func (errors *fieldErrors) checkBounds(field string, definition ParameterDefinition) bool {
	kind, hasRange := rangeKind(definition.Kind)
	if !hasRange {
		if len(definition.Minimum)+len(definition.Maximum) > 0 {
			errors.add(field, "a parameter of kind %q has no range", definition.Kind)
			return false
		}
		return true
	}
	usable := true
	var minimum, maximum value
	var err error
	if len(definition.Minimum) > 0 {
		if minimum, err = parseValue(kind, definition.Minimum); err != nil {
			errors.add(field+".minimum", "%v", err)
			usable = false
		}
	}
	if len(definition.Maximum) > 0 {
		if maximum, err = parseValue(kind, definition.Maximum); err != nil {
			errors.add(field+".maximum", "%v", err)
			usable = false
		}
	}
	if usable && len(definition.Minimum) > 0 && len(definition.Maximum) > 0 && minimum.magnitude() > maximum.magnitude() {
		errors.add(field+".minimum", "above the maximum")
		usable = false
	}
	return usable
}

func (errors *fieldErrors) checkDefault(field string, definition ParameterDefinition) {
	if len(definition.Default) == 0 {
		return
	}
	if definition.Required {
		errors.add(field+".default", "a required parameter has no default")
	}
	if definition.Kind == KindAddress || definition.Kind == KindTargets {
		errors.add(field+".default", "addresses and targets belong to one service and have no default")
		return
	}
	if _, err := definition.checkValue(definition.Default); err != nil {
		errors.add(field+".default", "%v", err)
	}
}

func (errors *fieldErrors) checkLimits(limits LimitValues) {
	errors.checkServiceLimits("limits", limits.withDefaults())
}

// checkServiceLimits checks that all limits of a service are positive.
func (errors *fieldErrors) checkServiceLimits(field string, limits model.Limits) {
	positive := []struct {
		name  string
		value int64
	}{
		{"slots_per_target", int64(limits.SlotsPerTarget)},
		{"maximum_connections", int64(limits.MaximumConnections)},
		{"maximum_queue", int64(limits.MaximumQueue)},
		{"maximum_header_bytes", int64(limits.MaximumHeaderBytes)},
		{"maximum_body_bytes", limits.MaximumBodyBytes},
		{"header_timeout", int64(limits.HeaderTimeout)},
		{"idle_timeout", int64(limits.IdleTimeout)},
		{"request_timeout", int64(limits.RequestTimeout)},
		{"new_flows_per_second", int64(limits.NewFlowsPerSecond)},
		{"new_flow_burst", int64(limits.NewFlowBurst)},
	}
	for _, limit := range positive {
		if limit.value <= 0 {
			errors.add(field+"."+limit.name, "must be above zero")
		}
	}
}

// knownClasses are the request classes that templates may use.
var knownClasses = []model.RequestClass{model.ClassCall, model.ClassUpload, model.ClassFeed}

func (errors *fieldErrors) checkClasses(spec TemplateSpec) {
	seen := make(map[model.RequestClass]bool)
	for index, class := range spec.Classes {
		field := fmt.Sprintf("classes[%d]", index)
		if !slices.Contains(knownClasses, class.Class) {
			errors.add(field+".class", "%q is not one of %q", class.Class, knownClasses)
		}
		if seen[class.Class] {
			errors.add(field+".class", "%q is listed twice", class.Class)
		}
		seen[class.Class] = true
		if class.Weight == 0 {
			errors.add(field+".weight", "must be above zero")
		}
	}
}

func (errors *fieldErrors) checkRules(spec TemplateSpec) {
	if len(spec.Rules) > 0 && spec.Protocol != ProtocolNameQUIC {
		errors.add("rules", "a service of protocol %q carries no requests", spec.Protocol)
	}
	if len(spec.Rules) > MaximumTemplateRules {
		errors.add("rules", "more than %d", MaximumTemplateRules)
		return
	}
	for index, rule := range spec.Rules {
		errors.checkRule(fmt.Sprintf("rules[%d]", index), spec, rule)
	}
}

func (errors *fieldErrors) checkRule(field string, spec TemplateSpec, rule RuleTemplate) {
	if !slices.Contains(knownClasses, rule.Class) {
		errors.add(field+".class", "%q is not one of %q", rule.Class, knownClasses)
	}
	if rule.AtMostOnce && rule.Class == model.ClassFeed {
		errors.add(field+".at_most_once", "a feed can not be claimed")
	}
	if !strings.HasPrefix(rule.PathPrefix, "/") {
		errors.add(field+".path_prefix", "must start with /")
	}
	if len(rule.PathPrefix) > MaximumTextBytes {
		errors.add(field+".path_prefix", "longer than %d bytes", MaximumTextBytes)
	}
	if strings.ToUpper(rule.Method) != rule.Method {
		errors.add(field+".method", "must be in capitals")
	}
	for _, match := range placeholderPattern.FindAllStringSubmatch(rule.PathPrefix, -1) {
		if kind, declared := spec.parameterKind(match[1]); !declared || kind != KindString {
			errors.add(field+".path_prefix", "%q is not a string parameter", match[1])
		}
	}
	if rule.OnlyIf == "" {
		return
	}
	if kind, declared := spec.parameterKind(rule.OnlyIf); !declared || kind != KindBoolean {
		errors.add(field+".only_if", "%q is not a boolean parameter", rule.OnlyIf)
	}
}

// parameterKind returns the kind of the parameter with the given name, or false if the
// template does not declare it.
func (spec TemplateSpec) parameterKind(name string) (ParameterKind, bool) {
	for _, definition := range spec.Parameters {
		if definition.Name == name {
			return definition.Kind, true
		}
	}
	return "", false
}
