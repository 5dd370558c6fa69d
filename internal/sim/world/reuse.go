package world

import (
	"time"

	"merlinpaddle/internal/model"
	"merlinpaddle/internal/state"
)

// orphanedSendingTime is how long callers continue to send on the flows of a deleted service.
const orphanedSendingTime = 4 * time.Second

// DeleteService deletes a service at once, together with its flows, and reports whether that was
// accepted. Its callers are not informed and continue to send for a while.
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

// TakeOverAddress creates a service of another tenant with the address and the machines of a deleted
// service, and reports whether that was accepted.
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

// sendAndWait sends a command, runs the world until it is answered, and reports whether the change was
// accepted.
func (operator *Operator) sendAndWait(command state.Command, key string) bool {
	answered, applied := false, false
	operator.send(command, key, func(answer ChangeOutcome) {
		answered = true
		applied = answer.Known && answer.Result.Applied()
	})
	operator.world.waitFor(changeTimeout+operatorTimeout, func() bool { return answered })
	return applied
}

// orphanFlows ends what the checkers expect of the flows of a service that is being deleted. The
// callers continue to send on them, and ignore resets.
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
			// A packet that opens a flow once the address belongs to a new service is for that
			// service, even if its caller means the deleted one.
			flow.ended = true
			callers.world.checks.flows.Closed(flow.id)
		}
	}
	// Without an ID, no new flow begins until the address has a service again.
	service.id = 0
}
