package world

import (
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// lateSending is how long callers of a removed service go on sending.
const orphanedSendingTime = 4 * time.Second

// DeleteService removes a service at once, with its flows. Its callers do not
// know and go on sending for a while.
func (operator *Operator) DeleteService(index int) bool {
	world := operator.world
	service := world.services[index]
	leader, leads := world.AwaitLeader(changeTimeout)
	if !leads {
		return false
	}
	record, known := world.members[leader].machine.View().Service(service.key())
	if !known {
		return false
	}
	world.callers.orphanFlows(service)
	command := state.DeleteService{
		Change: operator.nextChange(record.Revision), Tenant: service.tenant, Name: service.name, Force: true,
	}
	return operator.sendAndWait(command, command.Key)
}

// TakeOverAddress gives the address and the machines of a removed service to
// a service of another tenant.
func (operator *Operator) TakeOverAddress(index int, tenant model.TenantName, name string) bool {
	world := operator.world
	service := world.services[index]
	service.tenant = tenant
	service.name = name
	command := state.PutTenant{Change: operator.nextChange(0), Name: tenant}
	if !operator.sendAndWait(command, command.Key) {
		return false
	}
	created, applied := false, false
	world.createService(operator, service, func(answer ChangeOutcome) {
		created = true
		applied = answer.Known && answer.Result.Applied()
	})
	world.waitFor(changeTimeout+operatorTimeout, func() bool { return created })
	return applied
}

// await sends a command and runs the world until its answer.
func (operator *Operator) sendAndWait(command state.Command, key string) bool {
	answered, applied := false, false
	operator.send(command, key, func(answer ChangeOutcome) {
		answered = true
		applied = answer.Known && answer.Result.Applied()
	})
	operator.world.waitFor(changeTimeout+operatorTimeout, func() bool { return answered })
	return applied
}

// orphan ends what the checkers expect of a service's flows. The callers go on
// sending on them as if nothing had happened.
func (callers *callers) orphanFlows(service *serviceHandle) {
	flows := callers.openFlows[service.id]
	callers.openFlows[service.id] = nil
	for _, flow := range flows {
		callers.world.checks.flows.Closed(flow.id)
		flow.feed = false
		flow.ignoresResets = true
		flow.endsAt = callers.world.run.Scheduler.Now().Add(orphanedSendingTime)
	}
	for _, flow := range callers.flows {
		if flow.service == service && !flow.opened && !flow.ended {
			// What opens a flow after the address changed hands is a packet of
			// the new service, whatever its caller believes.
			flow.ended = true
			callers.world.checks.flows.Closed(flow.id)
		}
	}
	// No new flow begins until the address has a service again.
	service.id = 0
}
