package merlinctl

import (
	"strings"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// splitName splits a name at "/" and checks that it has as many parts as form, such as
// TENANT/SERVICE, and that none is empty.
func splitName(name, form string) ([]string, error) {
	parts := strings.Split(name, "/")
	if len(parts) != len(strings.Split(form, "/")) {
		return nil, faults.New(faults.CodeUsage, "%q is not of the form %s", name, form)
	}
	for _, part := range parts {
		if part == "" {
			return nil, faults.New(faults.CodeUsage, "%q is not of the form %s", name, form)
		}
	}
	return parts, nil
}

func parseServiceKey(name string) (state.ServiceKey, error) {
	parts, err := splitName(name, "TENANT/SERVICE")
	if err != nil {
		return state.ServiceKey{}, err
	}
	return state.ServiceKey{Tenant: model.TenantName(parts[0]), Name: parts[1]}, nil
}

func parseTargetKey(name string) (state.TargetKey, error) {
	parts, err := splitName(name, "TENANT/SERVICE/TARGET")
	if err != nil {
		return state.TargetKey{}, err
	}
	return state.TargetKey{Tenant: model.TenantName(parts[0]), Service: parts[1], Name: parts[2]}, nil
}
