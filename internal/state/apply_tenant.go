package state

import (
	"fmt"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
)

// maximumTenantPrefixes is the maximum number of address networks of a tenant.
const maximumTenantPrefixes = 256

// CheckTenant returns the errors in a tenant's settings, or none if they are valid.
func CheckTenant(spec TenantSpec) []FieldError {
	var errors fieldErrors
	if len(spec.Description) > MaximumTextBytes {
		errors.add("description", "longer than %d bytes", MaximumTextBytes)
	}
	errors.checkQuota("maximum_services", spec.MaximumServices, MaximumServices)
	errors.checkQuota("maximum_targets", spec.MaximumTargets, MaximumTargets)
	errors.checkQuota("maximum_claims", spec.MaximumClaims, MaximumClaims)
	if len(spec.Addresses) > maximumTenantPrefixes {
		errors.add("addresses", "more than %d networks", maximumTenantPrefixes)
		return errors
	}
	for index, prefix := range spec.Addresses {
		if !prefix.IsValid() {
			errors.add(fmt.Sprintf("addresses[%d]", index), "no network such as 192.0.2.0/24")
		}
	}
	return errors
}

func (errors *fieldErrors) checkQuota(field string, quota, maximum int) {
	if quota < 0 || quota > maximum {
		errors.add(field, "must be between 0 (the default) and %d", maximum)
	}
}

// services returns the quota of services, or its default.
func (spec TenantSpec) services() int {
	return quotaOrDefault(spec.MaximumServices, DefaultTenantServices)
}

// targets returns the quota of targets, or its default.
func (spec TenantSpec) targets() int {
	return quotaOrDefault(spec.MaximumTargets, DefaultTenantTargets)
}

// claims returns the quota of claims, or its default.
func (spec TenantSpec) claims() int { return quotaOrDefault(spec.MaximumClaims, DefaultTenantClaims) }

func quotaOrDefault(quota, defaultQuota int) int {
	if quota == 0 {
		return defaultQuota
	}
	return quota
}

// apply creates the tenant or changes its settings.
func (command PutTenant) apply(transaction *transaction) Result {
	var errors fieldErrors
	errors.checkName("name", string(command.Name))
	errors = append(errors, CheckTenant(command.Spec)...)
	if len(errors) > 0 {
		return refuseFields("the tenant is not valid", errors)
	}
	existing, known := transaction.view.tenants.get(command.Name)
	if !known {
		existing = &Tenant{}
	}
	if refusal, matches := command.checkBase(existing.Revision); !matches {
		return refusal
	}
	if !known && transaction.view.tenants.length() >= MaximumTenants {
		return refuse(faults.CodeQuotaExceeded, "there are %d tenants already", MaximumTenants)
	}
	transaction.view.tenants.set(command.Name, &Tenant{
		Name:      command.Name,
		Spec:      command.Spec,
		Revision:  transaction.revision,
		UpdatedBy: command.Actor,
		UpdatedAt: transaction.now,
	})
	return Result{Revision: transaction.revision}
}

func (command DeleteTenant) apply(transaction *transaction) Result {
	existing, known := transaction.view.tenants.get(command.Name)
	if !known {
		return refuse(faults.CodeNotFound, "there is no tenant %q", truncate(string(command.Name)))
	}
	if refusal, matches := command.checkBase(existing.Revision); !matches {
		return refusal
	}
	if use := transaction.tenantUsage(command.Name); use.services > 0 {
		return refuse(faults.CodeConflict, "the tenant still has %d services", use.services)
	}
	transaction.view.tenants.remove(command.Name)
	return Result{Revision: transaction.revision}
}

// tenantUsage counts the services and targets of a tenant, including those that are
// being removed.
type tenantUsage struct {
	services int
	targets  int
}

func (transaction *transaction) tenantUsage(tenant model.TenantName) tenantUsage {
	var use tenantUsage
	for key, service := range transaction.view.services.rows {
		if key.Tenant != tenant {
			continue
		}
		use.services++
		use.targets += len(service.Targets)
	}
	return use
}
