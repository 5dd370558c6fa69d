package world

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/kernel"
)

// Run returns the simulation run that the world belongs to.
func (world *World) Run() *sim.Run { return world.run }

// Network returns the control network, on which scenarios inject partitions and faults.
func (world *World) Network() *kernel.Network { return world.network }

// SetFaults sets the faults of the control network (messages) and of the network of callers' packets.
func (world *World) SetFaults(messages, packets kernel.LinkFaults) {
	world.network.SetFaults(messages)
	world.packets.SetFaults(packets)
}

// Zones returns the preset's zones.
func (world *World) Zones() []model.ZoneName { return world.preset.Zones }

// Members returns the processes of the control members.
func (world *World) Members() []*kernel.Process {
	var processes []*kernel.Process
	for _, member := range world.members {
		processes = append(processes, member.process)
	}
	return processes
}

// Relays returns the processes of the relays.
func (world *World) Relays() []*kernel.Process {
	var processes []*kernel.Process
	for _, relay := range world.relays {
		processes = append(processes, relay.process)
	}
	return processes
}

// Balancers returns the processes of the balancers.
func (world *World) Balancers() []*kernel.Process {
	var processes []*kernel.Process
	for _, balancer := range world.balancers {
		processes = append(processes, balancer.process)
	}
	return processes
}

// Leader returns the index of the leading member, and reports whether there is one.
func (world *World) Leader() (int, bool) {
	for index, member := range world.members {
		if member.controller != nil && member.process.Active() && member.Status().Leading {
			return index, true
		}
	}
	return 0, false
}

// AwaitLeader runs the world until a member leads or limit has passed, and returns the result of
// Leader.
func (world *World) AwaitLeader(limit time.Duration) (int, bool) {
	world.waitFor(limit, func() bool {
		_, leads := world.Leader()
		return leads
	})
	return world.Leader()
}

// WipeDisk erases a stopped member's disk. When the member starts again, it joins the running group.
func (world *World) WipeDisk(index int) {
	member := world.members[index]
	member.disk.Wipe()
	member.join = true
	world.run.Trace.Add(string(member.process.Name), "disk lost", "")
}

// CorruptLog flips a byte in a stopped member's log, and reports whether the log had one to flip.
func (world *World) CorruptLog(index int, random *kernel.Random) bool {
	member := world.members[index]
	names, err := member.disk.ReadDir(walFolder)
	if err != nil || len(names) == 0 {
		return false
	}
	name := walFolder + "/" + names[0]
	size, err := member.disk.Size(name)
	if err != nil || size < 2 {
		return false
	}
	// Corruption in the first half of the log cannot be mistaken for a torn tail.
	offset := int64(random.IntN(int(size / 2)))
	world.run.Trace.Addf(string(member.process.Name), "corrupt", "%s at %d", name, offset)
	return member.disk.Corrupt(name, offset) == nil
}

// walFolder is the folder in which members keep their write-ahead log.
const walFolder = "consensus/wal"

// FailSyncs makes the next syncs of a member's disk fail.
func (world *World) FailSyncs(index, count int) { world.members[index].disk.FailSyncs(count) }

// StartError returns the error with which a member refused to start, or nil.
func (world *World) StartError(index int) error { return world.members[index].startError }

// KillTarget ends a target and its back end without notice, and reports the failure to the checkers.
func (world *World) KillTarget(name model.NodeName) {
	agent := world.agentsByName[name]
	if !agent.process.Running() {
		return
	}
	world.checks.flows.TargetFailed(agent.instance.targetIncarnation())
	world.checks.requests.TargetFailed(agent.instance.targetIncarnation())
	agent.process.Kill()
}

// AllowFlowLoss tells the checkers that a target may lose its flows. Scenarios call it when they cut
// a target off for so long that it may be considered dead.
func (world *World) AllowFlowLoss(name model.NodeName) {
	agent := world.agentsByName[name]
	if agent.process.Running() {
		world.checks.flows.TargetFailed(agent.instance.targetIncarnation())
		world.checks.requests.TargetFailed(agent.instance.targetIncarnation())
	}
}

// StartTarget starts a target that was stopped or killed.
func (world *World) StartTarget(name model.NodeName) { world.agentsByName[name].process.Start() }

// Target returns the process of a target's agent.
func (world *World) Target(name model.NodeName) *kernel.Process {
	return world.agentsByName[name].process
}

// Targets returns the names of the targets of a service, by the service's index in the preset.
func (world *World) Targets(service int) []model.NodeName {
	var names []model.NodeName
	for _, target := range world.services[service].targets {
		names = append(names, target.name)
	}
	return names
}

// Idle reports whether a target has no flow and no request in progress, as the parts decide it.
func (world *World) Idle(name model.NodeName) bool {
	instance := world.agentsByName[name].instance
	return instance.ownedFlows == nil || world.parts.Idle(instance.ownedFlows.Len(), instance.requests.idle())
}

// StopTarget stops an idle target as planned: the target announces that it leaves, and its process
// ends 100 ms later.
func (world *World) StopTarget(name model.NodeName) {
	agent := world.agentsByName[name]
	agent.instance.stopping = true
	world.recordPlannedStop(agent)
	agent.instance.subscriber.Leave(agent.process.LocalNow())
	agent.process.Wake()
	incarnation := agent.process.Incarnation()
	world.run.Scheduler.After(100*time.Millisecond, func() {
		if agent.process.Incarnation() == incarnation {
			// Work that has arrived since the stop began must not be interrupted either.
			world.recordPlannedStop(agent)
			agent.process.Kill()
		}
	})
}

// recordPlannedStop tells the checkers that a target stops as planned, so that it must not have any
// flow or request left.
func (world *World) recordPlannedStop(agent *agent) {
	world.checks.flows.TargetStopped(agent.instance.targetIncarnation(), world.run.Elapsed())
	world.checks.requests.TargetStopped(agent.instance.targetIncarnation(), world.run.Elapsed())
}

// DelistBalancer removes a balancer from the platform's list before a planned stop.
func (world *World) DelistBalancer(index int) { world.balancers[index].listed = false }

// ListBalancer adds a balancer to the platform's list.
func (world *World) ListBalancer(index int) { world.balancers[index].listed = true }

// CheckProgress reports a violation of progress unless condition holds. Scenarios use it to check
// that they did what they are meant to do.
func (world *World) CheckProgress(condition bool, format string, arguments ...any) {
	if !condition {
		world.run.Report.Add(checker.InvariantProgress, world.run.Elapsed(), format, arguments...)
	}
}

// leadershipTransferTimeout is how long a planned stop of a control member waits until the member no
// longer leads.
const leadershipTransferTimeout = 3 * time.Second

// StopMember stops a control member as planned: a leader transfers its leadership before its process
// ends.
func (world *World) StopMember(index int) {
	member := world.members[index]
	if member.controller != nil && member.process.Active() && member.Status().Leading {
		member.controller.TransferLeadership(func(error) {})
		member.process.Wake()
		world.waitFor(leadershipTransferTimeout, func() bool { return !member.Status().Leading })
	}
	member.process.Kill()
}

// Faults returns the faults of the control network (messages) and of the network of callers' packets.
func (world *World) Faults() (messages, packets kernel.LinkFaults) {
	return world.network.Faults(), world.packets.Faults()
}

// AllowMissedDrains tells the checkers that draining targets may get new work, because the scenario
// keeps them from learning of the drain. After the returned function is called, targets must learn of
// their drains within maximumRolloutTime.
func (world *World) AllowMissedDrains() (end func()) {
	world.checks.drain.Suspend()
	return func() { world.checks.drain.Resume(world.run.Elapsed() + maximumRolloutTime) }
}
