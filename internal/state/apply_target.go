package state

import (
	"slices"

	"merlinpaddle/internal/faults"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/routing"
)

// putTargets changes the targets of a service to those that its parameters list. A
// target that has the name of an existing one keeps its ID and therefore its flows.
// A target that is no longer listed is marked as leaving and is removed once its
// flows have ended. putTargets returns a copy of the record with the new target IDs,
// or a refusal.
func (transaction *transaction) putTargets(command PutService, tenant *Tenant, record *ServiceRecord, parameters []TargetParameter) (*ServiceRecord, Result) {
	existing := make(map[string]model.TargetID)
	for _, id := range record.Targets {
		existing[transaction.target(id).Name] = id
	}
	transaction.releaseAgentAddresses(existing, parameters)
	changed := *record
	changed.Targets = slices.Clone(record.Targets)
	listed := make(map[model.TargetID]bool)
	for _, parameter := range parameters {
		id, exists := existing[parameter.Name]
		if !exists {
			transaction.lastTarget++
			id = transaction.lastTarget
			changed.Targets = append(changed.Targets, id)
		}
		listed[id] = true
		if refusal := transaction.putListedTarget(command, id, record.ID, parameter); !refusal.Applied() {
			return nil, refusal
		}
	}
	for _, id := range record.Targets {
		if !listed[id] {
			transaction.markLeaving(id)
		}
	}
	return &changed, transaction.checkTargetBounds(tenant, len(changed.Targets)-len(record.Targets))
}

// releaseAgentAddresses frees the agent addresses of existing targets that get
// another address, so that two targets of one service can swap theirs.
func (transaction *transaction) releaseAgentAddresses(existing map[string]model.TargetID, parameters []TargetParameter) {
	for _, parameter := range parameters {
		id, exists := existing[parameter.Name]
		if exists && transaction.target(id).Agent != parameter.Agent {
			transaction.view.agents.remove(transaction.target(id).Agent)
		}
	}
}

// checkTargetBounds refuses a change that adds targets beyond the tenant's quota or
// beyond MaximumTargets. The tables already contain the new targets; the tenant's
// usage does not.
func (transaction *transaction) checkTargetBounds(tenant *Tenant, added int) Result {
	if added <= 0 {
		return Result{}
	}
	if use := transaction.tenantUsage(tenant.Name); use.targets+added > tenant.Spec.targets() {
		return refuse(faults.CodeQuotaExceeded, "the tenant's quota is %d targets; it has %d and asks for %d more", tenant.Spec.targets(), use.targets, added)
	}
	if transaction.view.targets.length() > MaximumTargets {
		return refuse(faults.CodeQuotaExceeded, "there are %d targets already", MaximumTargets)
	}
	return Result{}
}

// putListedTarget creates or changes one target that the parameters list. A target
// that is listed unchanged keeps its revision.
func (transaction *transaction) putListedTarget(command PutService, id model.TargetID, service model.ServiceID, parameter TargetParameter) Result {
	if owner, taken := transaction.view.targetNames.get(parameter.Name); taken && owner != id {
		return refuse(faults.CodeConflict, "target name %q is in use by another service", parameter.Name)
	}
	if owner, taken := transaction.view.agents.get(parameter.Agent); taken && owner != id {
		return refuse(faults.CodeConflict, "agent address %s is in use by another target", parameter.Agent)
	}
	target := transaction.target(id)
	before := target
	record, exists := transaction.view.targets.get(id)
	if !exists {
		record = TargetRecord{Key: TargetKey{Tenant: command.Tenant, Service: command.Name, Name: parameter.Name}, ID: id}
		target = model.Target{ID: id, Service: service, Name: parameter.Name}
		transaction.view.targetNames.set(parameter.Name, id)
	}
	target.Zone = model.ZoneName(parameter.Zone)
	target.Agent = parameter.Agent
	target.Backend = parameter.Backend
	if exists && target == before && !record.Leaving {
		return Result{}
	}
	record.Leaving = false
	transaction.stamp(&record, command.Actor)
	transaction.view.agents.set(parameter.Agent, id)
	transaction.putTarget(target, record)
	return Result{}
}

// stamp sets the revision, author and time of the record's last change.
func (transaction *transaction) stamp(record *TargetRecord, actor string) {
	record.Revision = transaction.revision
	record.UpdatedBy = actor
	record.UpdatedAt = transaction.now
}

// markLeaving stops new flows to a target that its service no longer lists, so that
// it can be removed once its flows have ended.
func (transaction *transaction) markLeaving(id model.TargetID) {
	record, _ := transaction.view.targets.get(id)
	if record.Leaving {
		return
	}
	record.Leaving = true
	record.Revision = transaction.revision
	transaction.putTarget(transaction.target(id), record)
}

func (command DrainTarget) apply(transaction *transaction) Result {
	return transaction.setDrained(command.Change, command.Target, true)
}

func (command UndrainTarget) apply(transaction *transaction) Result {
	return transaction.setDrained(command.Change, command.Target, false)
}

// setDrained drains or undrains a target. If the target already is in the requested
// state, its revision does not change.
func (transaction *transaction) setDrained(change Change, key TargetKey, drained bool) Result {
	target, record, known := transaction.view.Target(key)
	if !known {
		return refuse(faults.CodeNotFound, "there is no target %q of service %q of tenant %q",
			truncate(key.Name), truncate(key.Service), truncate(string(key.Tenant)))
	}
	if refusal, matches := change.checkBase(record.Revision); !matches {
		return refusal
	}
	if record.Leaving && !drained {
		return refuse(faults.CodeConflict, "the target is leaving its service; list it in the service's parameters again")
	}
	if record.Drained == drained {
		return Result{Revision: record.Revision, Service: target.Service}
	}
	record.Drained = drained
	transaction.stamp(&record, change.Actor)
	transaction.putTarget(target, record)
	service, _ := transaction.view.services.get(key.ServiceKey())
	transaction.reconcile(service)
	return Result{Revision: transaction.revision, Service: target.Service}
}

func (command ObserveTargets) apply(transaction *transaction) Result {
	var services []ServiceKey
	for _, observation := range command.Observations {
		key, changed := transaction.observe(observation)
		if changed && !slices.Contains(services, key) {
			services = append(services, key)
		}
	}
	for _, key := range services {
		if service, known := transaction.view.services.get(key); known {
			transaction.reconcile(service)
		}
	}
	return Result{Revision: transaction.revision}
}

// observe records one observation. It returns the target's service and whether the
// target changed. An observation of an older agent process is outdated and ignored.
func (transaction *transaction) observe(observation TargetObservation) (ServiceKey, bool) {
	record, known := transaction.view.targets.get(observation.Target)
	if !known {
		return ServiceKey{}, false
	}
	target := transaction.target(observation.Target)
	if observation.Incarnation < target.Incarnation {
		return ServiceKey{}, false
	}
	if observation.Incarnation == target.Incarnation && record.Dead == !observation.Alive {
		return ServiceKey{}, false
	}
	target.Incarnation = observation.Incarnation
	record.Dead = !observation.Alive
	transaction.putTarget(target, record)
	return record.Key.ServiceKey(), true
}

// apply groups the reports by service, in the order in which services first occur,
// and skips reports of services that no longer exist.
func (command ReportEmpty) apply(transaction *transaction) Result {
	reports := make(map[model.ServiceID][]model.BucketEmpty)
	var services []model.ServiceID
	for _, report := range command.Reports {
		if _, known := transaction.view.Configuration.Services[report.Service]; !known {
			continue
		}
		if _, started := reports[report.Service]; !started {
			services = append(services, report.Service)
		}
		reports[report.Service] = append(reports[report.Service], report)
	}
	for _, id := range services {
		transaction.reportEmpty(id, reports[id])
	}
	return Result{Revision: transaction.revision}
}

// reportEmpty removes the earlier targets that are reported empty from the buckets of
// a service.
func (transaction *transaction) reportEmpty(id model.ServiceID, reports []model.BucketEmpty) {
	service := transaction.service(id)
	record, known := transaction.view.services.get(ServiceKey{Tenant: service.Tenant, Name: service.Name})
	pending := transaction.editableBuckets(id)
	if !known || pending == nil {
		return
	}
	pending.set(routing.RemoveEarlierTargets(pending.table, reports))
	transaction.reconcile(record)
}
