package state

import (
	"fmt"
	"net/netip"
	"strings"
	"time"

	"merlinpaddle/internal/model"
)

// ResolvedService is the service that a template and parameters define, before it
// and its targets get IDs.
type ResolvedService struct {
	Protocol model.Protocol
	Address  netip.AddrPort
	Limits   model.Limits
	Rules    []model.RequestRule
	Targets  []TargetParameter
}

// Resolve checks parameters against a template and returns the service that they
// define, or the errors in them.
func Resolve(spec TemplateSpec, parameters []Parameter) (ResolvedService, []FieldError) {
	var errors fieldErrors
	values := errors.parameterValues(spec, parameters)
	if len(errors) > 0 {
		return ResolvedService{}, errors
	}
	resolved := ResolvedService{Limits: spec.Limits.withDefaults()}
	resolved.Protocol, _ = spec.Protocol.Protocol()
	for _, definition := range spec.Parameters {
		if given, set := values[definition.Name]; set {
			resolved.setProperty(definition.Sets, given)
		}
	}
	resolved.Rules = spec.rules(values)
	errors.checkServiceLimits("limits", resolved.Limits)
	errors.checkAddress(spec.parameterField(PropertyAddress), resolved.Address)
	errors.checkTargets(spec.parameterField(PropertyTargets), resolved.Targets)
	return resolved, errors
}

// parameterValues returns the values of the given parameters and the defaults of those
// that are not given, by parameter name. It adds an error for each parameter that is
// invalid, unknown, repeated or missing.
func (errors *fieldErrors) parameterValues(spec TemplateSpec, parameters []Parameter) map[string]value {
	values := make(map[string]value)
	given := make(map[string]Parameter)
	for _, parameter := range parameters {
		field := "parameters." + parameter.Name
		if _, declared := spec.parameterKind(parameter.Name); !declared {
			errors.add(field, "the template has no such parameter")
		}
		if _, repeated := given[parameter.Name]; repeated {
			errors.add(field, "given twice")
		}
		given[parameter.Name] = parameter
	}
	for _, definition := range spec.Parameters {
		raw := definition.Default
		parameter, present := given[definition.Name]
		if present {
			raw = parameter.Value
		}
		if !present && (definition.Required || definition.alwaysRequired()) {
			errors.add("parameters."+definition.Name, "is required")
			continue
		}
		if !present && len(raw) == 0 {
			continue
		}
		parsed, err := definition.checkValue(raw)
		if err != nil {
			errors.add("parameters."+definition.Name, "%v", err)
			continue
		}
		values[definition.Name] = parsed
	}
	return values
}

// alwaysRequired reports whether every service needs the parameter, even if its
// definition does not say that it is required.
func (definition ParameterDefinition) alwaysRequired() bool {
	return definition.Sets == PropertyAddress || definition.Sets == PropertyTargets
}

// parameterField returns the field path of the parameter that sets property, for error
// messages.
func (spec TemplateSpec) parameterField(property Property) string {
	for _, definition := range spec.Parameters {
		if definition.Sets == property {
			return "parameters." + definition.Name
		}
	}
	return "parameters"
}

// setProperty sets the part of the service that the property names.
func (resolved *ResolvedService) setProperty(property Property, given value) {
	limits := &resolved.Limits
	switch property {
	case PropertyAddress:
		resolved.Address = netip.AddrPortFrom(given.address.Addr().Unmap(), given.address.Port())
	case PropertyTargets:
		resolved.Targets = given.targets
	case PropertySlotsPerTarget:
		limits.SlotsPerTarget = int(given.integer)
	case PropertyMaximumConnections:
		limits.MaximumConnections = int(given.integer)
	case PropertyMaximumQueue:
		limits.MaximumQueue = int(given.integer)
	case PropertyMaximumHeaderBytes:
		limits.MaximumHeaderBytes = int(given.integer)
	case PropertyMaximumBodyBytes:
		limits.MaximumBodyBytes = given.integer
	case PropertyHeaderTimeout:
		limits.HeaderTimeout = given.duration
	case PropertyIdleTimeout:
		limits.IdleTimeout = given.duration
	case PropertyRequestTimeout:
		limits.RequestTimeout = given.duration
	case PropertyNewFlowsPerSecond:
		limits.NewFlowsPerSecond = float64(given.integer)
	case PropertyNewFlowBurst:
		limits.NewFlowBurst = int(given.integer)
	}
}

// withDefaults returns the limits, with defaults for those that the template does not
// set.
func (limits LimitValues) withDefaults() model.Limits {
	merged := model.DefaultLimits()
	setIfNonzero(&merged.SlotsPerTarget, limits.SlotsPerTarget)
	setIfNonzero(&merged.MaximumConnections, limits.MaximumConnections)
	setIfNonzero(&merged.MaximumQueue, limits.MaximumQueue)
	setIfNonzero(&merged.MaximumHeaderBytes, limits.MaximumHeaderBytes)
	setIfNonzero(&merged.MaximumBodyBytes, limits.MaximumBodyBytes)
	setIfNonzero(&merged.HeaderTimeout, time.Duration(limits.HeaderTimeout))
	setIfNonzero(&merged.IdleTimeout, time.Duration(limits.IdleTimeout))
	setIfNonzero(&merged.RequestTimeout, time.Duration(limits.RequestTimeout))
	setIfNonzero(&merged.NewFlowsPerSecond, float64(limits.NewFlowsPerSecond))
	setIfNonzero(&merged.NewFlowBurst, limits.NewFlowBurst)
	return merged
}

// setIfNonzero sets the limit to override unless override is zero. It also sets a
// negative value, so that the later check of limits reports it.
func setIfNonzero[Number int | int64 | float64 | time.Duration](into *Number, override Number) {
	if override != 0 {
		*into = override
	}
}

// defaultWeight is the admission weight of request classes that the template does not
// list.
const defaultWeight = 1

// rules returns the request rules of a service whose parameters have the given values.
func (spec TemplateSpec) rules(values map[string]value) []model.RequestRule {
	var rules []model.RequestRule
	for _, rule := range spec.Rules {
		if rule.OnlyIf != "" && !values[rule.OnlyIf].boolean {
			continue
		}
		rules = append(rules, model.RequestRule{
			Method:     rule.Method,
			PathPrefix: fillPlaceholders(rule.PathPrefix, values),
			Class:      rule.Class,
			AtMostOnce: rule.AtMostOnce,
			Weight:     spec.ruleWeight(rule),
		})
	}
	return rules
}

// fillPlaceholders replaces each "{name}" with the value of that string parameter.
func fillPlaceholders(prefix string, values map[string]value) string {
	return placeholderPattern.ReplaceAllStringFunc(prefix, func(match string) string {
		return values[strings.Trim(match, "{}")].text
	})
}

// ruleWeight returns the admission weight of the rule, of its class, or the default, in
// this order.
func (spec TemplateSpec) ruleWeight(rule RuleTemplate) uint32 {
	if rule.Weight > 0 {
		return rule.Weight
	}
	for _, class := range spec.Classes {
		if class.Class == rule.Class {
			return class.Weight
		}
	}
	return defaultWeight
}

func (errors *fieldErrors) checkAddress(field string, address netip.AddrPort) {
	if !address.IsValid() || address.Port() == 0 {
		errors.add(field, "%q is no address with a port", address)
		return
	}
	if address.Addr().IsUnspecified() || address.Addr().IsMulticast() {
		errors.add(field, "%q is no address of one host", address)
	}
}

func (errors *fieldErrors) checkTargets(field string, targets []TargetParameter) {
	if len(targets) > MaximumTargetsPerService {
		errors.add(field, "more than %d targets", MaximumTargetsPerService)
		return
	}
	names := make(map[string]bool)
	agents := make(map[netip.AddrPort]bool)
	for index, target := range targets {
		element := fmt.Sprintf("%s[%d]", field, index)
		errors.checkName(element+".name", target.Name)
		errors.checkName(element+".zone", target.Zone)
		errors.checkAddress(element+".agent", target.Agent)
		errors.checkAddress(element+".backend", target.Backend)
		if names[target.Name] {
			errors.add(element+".name", "%q is listed twice", target.Name)
		}
		if agents[target.Agent] {
			errors.add(element+".agent", "%q is listed twice", target.Agent)
		}
		names[target.Name] = true
		agents[target.Agent] = true
	}
}
