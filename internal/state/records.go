package state

import (
	"cmp"
	"net/netip"
	"time"

	"merlinpaddle/internal/model"
)

// TenantSpec holds the settings of a tenant that administrators may change. A
// quota of zero means the default.
type TenantSpec struct {
	Description     string `json:"description,omitempty"`
	MaximumServices int    `json:"maximum_services,omitempty"`
	MaximumTargets  int    `json:"maximum_targets,omitempty"`
	MaximumClaims   int    `json:"maximum_claims,omitempty"`
	// Addresses are the networks in which the tenant's services may have their
	// addresses. An empty list allows every address.
	Addresses []netip.Prefix `json:"addresses,omitempty"`
}

// Tenant is a tenant's settings and the revision and author of their last
// change.
type Tenant struct {
	Name      model.TenantName `json:"name"`
	Spec      TenantSpec       `json:"spec"`
	Revision  model.Revision   `json:"revision"`
	UpdatedBy string           `json:"updated_by,omitempty"`
	UpdatedAt time.Time        `json:"updated_at"`
}

// ServiceKey identifies a service by its tenant and its name.
type ServiceKey struct {
	Tenant model.TenantName
	Name   string
}

func (key ServiceKey) compare(other ServiceKey) int {
	return cmp.Or(cmp.Compare(key.Tenant, other.Tenant), cmp.Compare(key.Name, other.Name))
}

// ServiceRecord is a service as its tenant declared it. The resolved form, which
// nodes run, is the model.Service with the same ID.
type ServiceRecord struct {
	Key        ServiceKey
	ID         model.ServiceID
	Template   model.TemplateReference
	Parameters []Parameter
	// Targets lists the IDs of all targets in ascending order, including those
	// that are leaving.
	Targets []model.TargetID
	// Removing is set while the service is deleted but still has targets that
	// may hold flows.
	Removing  bool
	Revision  model.Revision
	UpdatedBy string
	UpdatedAt time.Time
}

// TargetKey identifies a target by its tenant, service and name.
type TargetKey struct {
	Tenant  model.TenantName
	Service string
	Name    string
}

// ServiceKey returns the key of the target's service.
func (key TargetKey) ServiceKey() ServiceKey {
	return ServiceKey{Tenant: key.Tenant, Name: key.Service}
}

// TargetRecord holds the causes from which the phase of a target follows, and the
// revision and author of its last operator change.
type TargetRecord struct {
	Key TargetKey
	ID  model.TargetID
	// Drained is set while the target is drained by an operator.
	Drained bool
	// Leaving is set when the target is no longer in its service's parameters,
	// or its service is being removed, and its flows have not all ended.
	Leaving bool
	// Dead is set when membership considers the target's agent dead, so that its
	// flows count as lost.
	Dead bool
	// Revision is the revision of the last operator change. Observations leave it
	// unchanged, so that they never cause a revision mismatch for an operator.
	Revision  model.Revision
	UpdatedBy string
	UpdatedAt time.Time
}

// phase returns the phase that nodes get in their configuration.
func (record TargetRecord) phase() model.TargetPhase {
	switch {
	case record.Dead:
		return model.PhaseDead
	case record.Drained, record.Leaving:
		return model.PhaseDraining
	}
	return model.PhaseServing
}

// listener is the address and transport on which a service accepts flows. It is
// unique among services. UDP and QUIC share their ports.
type listener struct {
	address   netip.AddrPort
	datagrams bool
}

func listenerOf(service model.Service) listener {
	return listener{address: service.Address, datagrams: service.Protocol != model.ProtocolTCP}
}
