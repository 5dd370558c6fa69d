package state

import (
	"net/netip"
	"slices"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// apply creates the service or changes it.
func (command PutService) apply(transaction *transaction) Result {
	tenant, known := transaction.view.tenants.get(command.Tenant)
	if !known {
		return refuse(faults.CodeNotFound, "there is no tenant %q", truncate(string(command.Tenant)))
	}
	existing, exists := transaction.view.services.get(command.key())
	if !exists {
		existing = &ServiceRecord{}
	}
	if refusal, matches := command.checkBase(existing.Revision); !matches {
		return refusal
	}
	reference, resolved, refusal := command.resolve(&transaction.view, tenant)
	if !refusal.Applied() {
		return refusal
	}
	if exists {
		refusal = transaction.changeService(command, existing, reference, resolved)
	} else {
		refusal = transaction.createService(command, tenant, reference, resolved)
	}
	if !refusal.Applied() {
		return refusal
	}
	record, _ := transaction.view.services.get(command.key())
	return Result{Revision: transaction.revision, Service: record.ID}
}

func (command PutService) key() ServiceKey {
	return ServiceKey{Tenant: command.Tenant, Name: command.Name}
}

// resolve checks the command against its template and tenant. It returns the
// template version to use and the resolved service, or a refusal.
func (command PutService) resolve(view *View, tenant *Tenant) (model.TemplateReference, ResolvedService, Result) {
	none := model.TemplateReference{}
	template, known := view.templates.get(command.Template.Name)
	if !known {
		return none, ResolvedService{}, refuse(faults.CodeNotFound, "there is no template %q", truncate(command.Template.Name))
	}
	version, known := template.Find(command.Template.Version)
	if !known {
		return none, ResolvedService{}, refuse(faults.CodeNotFound, "template %q has no version %d", template.Name, command.Template.Version)
	}
	var errors fieldErrors
	errors.checkName("name", command.Name)
	resolved, parameterErrors := Resolve(version.Spec, command.Parameters)
	errors = append(errors, parameterErrors...)
	if len(errors) == 0 && !tenant.allows(resolved.Address.Addr()) {
		errors.add(version.Spec.parameterField(PropertyAddress), "the tenant may not use address %s", resolved.Address.Addr())
	}
	if len(errors) > 0 {
		return none, ResolvedService{}, refuseFields("the service is not valid", errors)
	}
	return model.TemplateReference{Name: template.Name, Version: version.Version}, resolved, Result{}
}

// CheckService checks the command against its template and tenant and returns an
// empty Result if they permit it, or the refusal. It is meant for dry runs and early
// refusals. Apply can still refuse the command for other reasons, such as its base
// revision or a quota.
func (view *View) CheckService(command PutService) Result {
	tenant, known := view.tenants.get(command.Tenant)
	if !known {
		return refuse(faults.CodeNotFound, "there is no tenant %q", truncate(string(command.Tenant)))
	}
	_, _, refusal := command.resolve(view, tenant)
	return refusal
}

// allows reports whether the tenant's services may have the address.
func (tenant *Tenant) allows(address netip.Addr) bool {
	if len(tenant.Spec.Addresses) == 0 {
		return true
	}
	return slices.ContainsFunc(tenant.Spec.Addresses, func(prefix netip.Prefix) bool { return prefix.Contains(address) })
}

// createService adds the service with its targets and buckets, or returns a refusal.
func (transaction *transaction) createService(command PutService, tenant *Tenant, reference model.TemplateReference, resolved ResolvedService) Result {
	if transaction.view.services.length() >= MaximumServices {
		return refuse(faults.CodeQuotaExceeded, "there are %d services already", MaximumServices)
	}
	use := transaction.tenantUsage(command.Tenant)
	if use.services >= tenant.Spec.services() {
		return refuse(faults.CodeQuotaExceeded, "the tenant has its quota of %d services already", tenant.Spec.services())
	}
	transaction.lastService++
	service := transaction.serviceFrom(transaction.lastService, command, reference, resolved)
	wanted := listenerOf(service)
	if _, taken := transaction.view.listeners.get(wanted); taken {
		return refuse(faults.CodeConflict, "address %s is in use by another service", service.Address)
	}
	transaction.view.listeners.set(wanted, command.key())
	transaction.putService(service)
	record, refusal := transaction.putTargets(command, tenant, &ServiceRecord{Key: command.key(), ID: service.ID}, resolved.Targets)
	if !refusal.Applied() {
		return refusal
	}
	transaction.putRecord(command, reference, record)
	transaction.createBuckets(record)
	return Result{}
}

// changeService replaces the limits, rules and targets of a service, or returns a
// refusal.
func (transaction *transaction) changeService(command PutService, existing *ServiceRecord, reference model.TemplateReference, resolved ResolvedService) Result {
	if existing.Removing {
		return refuse(faults.CodeConflict, "the service is being removed")
	}
	running := transaction.service(existing.ID)
	if running.Address != resolved.Address || running.Protocol != resolved.Protocol {
		return refuse(faults.CodeConflict, "a service keeps its address and protocol, because open flows use them; create another service instead")
	}
	tenant, _ := transaction.view.tenants.get(command.Tenant)
	transaction.putService(transaction.serviceFrom(existing.ID, command, reference, resolved))
	record, refusal := transaction.putTargets(command, tenant, existing, resolved.Targets)
	if !refusal.Applied() {
		return refusal
	}
	transaction.reconcile(transaction.putRecord(command, reference, record))
	return Result{}
}

func (transaction *transaction) serviceFrom(id model.ServiceID, command PutService, reference model.TemplateReference, resolved ResolvedService) model.Service {
	return model.Service{
		ID:       id,
		Tenant:   command.Tenant,
		Name:     command.Name,
		Template: reference,
		Protocol: resolved.Protocol,
		Address:  resolved.Address,
		Limits:   resolved.Limits,
		Rules:    resolved.Rules,
	}
}

// putRecord stores the record with what the command declares and returns it.
func (transaction *transaction) putRecord(command PutService, reference model.TemplateReference, record *ServiceRecord) *ServiceRecord {
	changed := *record
	changed.Template = reference
	changed.Parameters = command.Parameters
	changed.Revision = transaction.revision
	changed.UpdatedBy = command.Actor
	changed.UpdatedAt = transaction.now
	transaction.view.services.set(changed.Key, &changed)
	return &changed
}

// apply marks the service and its targets as leaving, or removes them at once if the
// command is forced.
func (command DeleteService) apply(transaction *transaction) Result {
	key := ServiceKey{Tenant: command.Tenant, Name: command.Name}
	existing, known := transaction.view.services.get(key)
	if !known {
		return refuse(faults.CodeNotFound, "there is no service %q of tenant %q", truncate(command.Name), truncate(string(command.Tenant)))
	}
	if refusal, matches := command.checkBase(existing.Revision); !matches {
		return refusal
	}
	result := Result{Revision: transaction.revision, Service: existing.ID}
	if command.Force {
		transaction.removeService(existing)
		return result
	}
	removing := *existing
	removing.Removing = true
	removing.Revision = transaction.revision
	removing.UpdatedBy = command.Actor
	removing.UpdatedAt = transaction.now
	transaction.view.services.set(key, &removing)
	for _, id := range removing.Targets {
		transaction.markLeaving(id)
	}
	transaction.reconcile(&removing)
	return result
}
