package fleet

import (
	"bytes"
	"fmt"
	"net/netip"

	"gopkg.in/yaml.v3"
)

// templateName is the template that all of a fleet's services use.
const templateName = "tenant-http3"

// document is one object in a file that merlinctl apply reads.
type document struct {
	Kind   string `yaml:"kind"`
	Name   string `yaml:"name"`
	Tenant string `yaml:"tenant,omitempty"`
	Spec   any    `yaml:"spec"`
}

// templateSpec has the fields of a template that fleets use.
type templateSpec struct {
	Description string                `yaml:"description"`
	Protocol    string                `yaml:"protocol"`
	Parameters  []parameterDefinition `yaml:"parameters"`
	Classes     []classWeight         `yaml:"classes"`
	Rules       []rule                `yaml:"rules"`
}

type parameterDefinition struct {
	Name     string `yaml:"name"`
	Kind     string `yaml:"kind"`
	Sets     string `yaml:"sets,omitempty"`
	Required bool   `yaml:"required,omitempty"`
	Default  any    `yaml:"default,omitempty"`
	Minimum  any    `yaml:"minimum,omitempty"`
	Maximum  any    `yaml:"maximum,omitempty"`
}

type classWeight struct {
	Class  string `yaml:"class"`
	Weight int    `yaml:"weight"`
}

type rule struct {
	Method     string `yaml:"method,omitempty"`
	PathPrefix string `yaml:"path_prefix"`
	Class      string `yaml:"class"`
	AtMostOnce bool   `yaml:"at_most_once,omitempty"`
}

type tenantSpec struct {
	Description string `yaml:"description"`
}

type serviceSpec struct {
	Template   templateReference `yaml:"template"`
	Parameters serviceParameters `yaml:"parameters"`
}

type templateReference struct {
	Name string `yaml:"name"`
}

// serviceParameters are the template's parameters of one service.
type serviceParameters struct {
	Address      string   `yaml:"address"`
	Slots        int      `yaml:"slots"`
	MaximumQueue int      `yaml:"maximum_queue"`
	Targets      []Target `yaml:"targets"`
}

// Target is one target in a service's parameters.
type Target struct {
	Name    string `yaml:"name" json:"name"`
	Zone    string `yaml:"zone" json:"zone"`
	Agent   string `yaml:"agent" json:"agent"`
	Backend string `yaml:"backend" json:"backend"`
}

// targetOf returns an agent and its back end as a target.
func targetOf(agent Process) Target {
	return Target{
		Name:    agent.Name,
		Zone:    agent.Zone,
		Agent:   agent.Data.String(),
		Backend: netip.AddrPortFrom(agent.Machine, portBackend).String(),
	}
}

// Targets returns the named agents as targets for a service's parameters.
func (layout *Layout) Targets(names []string) ([]Target, error) {
	var targets []Target
	for _, name := range names {
		process, err := layout.Find(name)
		if err != nil {
			return nil, err
		}
		targets = append(targets, targetOf(process))
	}
	return targets, nil
}

// DefaultMaximumQueue is the initial maximum queue length of rendered services. The demonstration
// changes it under traffic.
const DefaultMaximumQueue = 64

// template returns the template of all services, in which calls have weight two, uploads and feeds
// one.
func template() document {
	return document{Kind: "Template", Name: templateName, Spec: templateSpec{
		Description: "HTTP/3 service with calls, at-most-once calls, uploads and feeds",
		Protocol:    "quic",
		Parameters: []parameterDefinition{
			{Name: "address", Kind: "address", Sets: "address", Required: true},
			{Name: "targets", Kind: "targets", Sets: "targets", Required: true, Minimum: 1},
			{Name: "slots", Kind: "integer", Sets: "limits.slots_per_target", Default: 2, Minimum: 1, Maximum: 1000},
			{Name: "maximum_queue", Kind: "integer", Sets: "limits.maximum_queue", Default: DefaultMaximumQueue, Minimum: 1, Maximum: 1000},
		},
		Classes: []classWeight{{Class: "call", Weight: 2}, {Class: "upload", Weight: 1}, {Class: "feed", Weight: 1}},
		Rules: []rule{
			{Method: "POST", PathPrefix: "/once", Class: "call", AtMostOnce: true},
			{PathPrefix: "/call", Class: "call"},
			{Method: "POST", PathPrefix: "/upload", Class: "upload"},
			{Method: "GET", PathPrefix: "/feed", Class: "feed"},
		},
	}}
}

// documents returns the objects to apply to a new control group: the template, the tenants and the
// services.
func (layout *Layout) documents() []document {
	all := []document{template()}
	known := make(map[string]bool)
	for _, service := range layout.file.Services {
		if !known[service.Tenant] {
			all = append(all, document{Kind: "Tenant", Name: service.Tenant, Spec: tenantSpec{Description: service.Tenant}})
			known[service.Tenant] = true
		}
	}
	for index := range layout.file.Services {
		all = append(all, layout.serviceDocument(index, DefaultMaximumQueue))
	}
	return all
}

// serviceDocument returns the object of the index-th service.
func (layout *Layout) serviceDocument(index, maximumQueue int) document {
	service := layout.file.Services[index]
	parameters := serviceParameters{
		Address:      layout.VirtualAddress(index).String(),
		Slots:        service.Slots,
		MaximumQueue: maximumQueue,
	}
	for _, process := range layout.WithRole(RoleAgent) {
		if process.Service == service.Name && !process.Standby {
			parameters.Targets = append(parameters.Targets, targetOf(process))
		}
	}
	return document{
		Kind:   "Service",
		Name:   service.Name,
		Tenant: service.Tenant,
		Spec:   serviceSpec{Template: templateReference{Name: templateName}, Parameters: parameters},
	}
}

// encodeDocuments encodes objects as one YAML stream.
func encodeDocuments(documents []document) ([]byte, error) {
	var buffer bytes.Buffer
	encoder := yaml.NewEncoder(&buffer)
	for _, document := range documents {
		if err := encoder.Encode(document); err != nil {
			return nil, fmt.Errorf("encode %s %s: %w", document.Kind, document.Name, err)
		}
	}
	if err := encoder.Close(); err != nil {
		return nil, fmt.Errorf("encode documents: %w", err)
	}
	return buffer.Bytes(), nil
}
