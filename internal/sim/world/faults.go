package world

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/kernel"
)

// Run returns the run that the world belongs to.
func (world *World) Run() *sim.Run { return world.run }

// Network returns the network, for cuts and faults.
func (world *World) Network() *kernel.Network { return world.network }

// SetFaults sets the faults of control links and of packets.
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

// Leader returns the index of the member that leads, or false.
func (world *World) Leader() (int, bool) {
	for index, member := range world.members {
		if member.controller != nil && member.process.Active() && member.Status().Leading {
			return index, true
		}
	}
	return 0, false
}

// AwaitLeader runs the world until a member leads.
func (world *World) AwaitLeader(limit time.Duration) (int, bool) {
	world.waitFor(limit, func() bool {
		_, leads := world.Leader()
		return leads
	})
	return world.Leader()
}

// WipeDisk loses a stopped member's disk. The member joins anew.
func (world *World) WipeDisk(index int) {
	member := world.members[index]
	member.disk.Wipe()
	member.join = true
	world.run.Trace.Add(string(member.process.Name), "disk lost", "")
}

// CorruptLog flips a byte in a stopped member's log and tells whether there
// was one to flip.
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
	// The first half of the log is never a torn tail.
	offset := int64(random.Below(int(size / 2)))
	world.run.Trace.Addf(string(member.process.Name), "corrupt", "%s at %d", name, offset)
	return member.disk.Corrupt(name, offset) == nil
}

// walFolder is where members keep their log.
const walFolder = "consensus/wal"

// FailSyncs makes the next syncs of a member's disk fail.
func (world *World) FailSyncs(index, count int) { world.members[index].disk.FailSyncs(count) }

// StartError returns why a member refused to start, or nil.
func (world *World) StartError(index int) error { return world.members[index].startError }

// KillTarget ends a target and its back end without notice.
func (world *World) KillTarget(name model.NodeName) {
	agent := world.byName[name]
	if !agent.process.Running() {
		return
	}
	world.check.flows.TargetFailed(agent.life.place())
	world.check.requests.TargetFailed(agent.life.place())
	agent.process.Kill()
}

// MayLoseFlows tells the checkers that a target may be taken for dead, because
// the scenario cut it off for long.
func (world *World) MayLoseFlows(name model.NodeName) {
	agent := world.byName[name]
	if agent.process.Running() {
		world.check.flows.TargetFailed(agent.life.place())
		world.check.requests.TargetFailed(agent.life.place())
	}
}

// StartTarget starts a target that was stopped or killed.
func (world *World) StartTarget(name model.NodeName) { world.byName[name].process.Start() }

// Target returns the process of a target's agent.
func (world *World) Target(name model.NodeName) *kernel.Process { return world.byName[name].process }

// Targets returns the names of the targets of a service, by its place in the
// preset.
func (world *World) Targets(service int) []model.NodeName {
	var names []model.NodeName
	for _, target := range world.services[service].targets {
		names = append(names, target.name)
	}
	return names
}

// Idle tells whether a target has no flow and no request in progress.
func (world *World) Idle(name model.NodeName) bool {
	life := world.byName[name].life
	return life.owners == nil || world.parts.Idle(life.owners.Len(), life.requests.idle())
}

// StopTarget ends a target as planned, after its last flow.
func (world *World) StopTarget(name model.NodeName) {
	agent := world.byName[name]
	agent.life.stopping = true
	world.checkStopped(agent)
	agent.life.subscriber.Leave(agent.process.LocalNow())
	agent.process.Wake()
	life := agent.process.Incarnation()
	world.run.Scheduler.After(100*time.Millisecond, func() {
		if agent.process.Incarnation() == life {
			// What came since the stop began must not be cut either.
			world.checkStopped(agent)
			agent.process.Kill()
		}
	})
}

// checkStopped tells the checkers that a target stops as planned.
func (world *World) checkStopped(agent *agent) {
	world.check.flows.TargetStopped(agent.life.place(), world.run.Elapsed())
	world.check.requests.TargetStopped(agent.life.place(), world.run.Elapsed())
}

// Delist takes a balancer out of the platform's list before a planned stop.
func (world *World) Delist(index int) { world.balancers[index].listed = false }

// List puts a balancer into the platform's list.
func (world *World) List(index int) { world.balancers[index].listed = true }

// CheckProgress reports a violation unless condition holds: the scenario did
// not do what it is about.
func (world *World) CheckProgress(condition bool, format string, arguments ...any) {
	if !condition {
		world.run.Report.Add(checker.InvariantProgress, world.run.Elapsed(), format, arguments...)
	}
}

// stopTime is how long a planned stop of a control member waits for another
// leader.
const stopTime = 3 * time.Second

// StopMember stops a control member as planned: a leader hands over before its
// process ends.
func (world *World) StopMember(index int) {
	member := world.members[index]
	if member.controller != nil && member.process.Active() && member.Status().Leading {
		member.controller.TransferLeadership(func(error) {})
		member.process.Wake()
		world.waitFor(stopTime, func() bool { return !member.Status().Leading })
	}
	member.process.Kill()
}

// Faults returns the faults of control links and of packets.
func (world *World) Faults() (messages, packets kernel.LinkFaults) {
	return world.network.Faults(), world.packets.Faults()
}

// MayMissDrains tells the checkers that the scenario keeps targets from
// learning of their drain, until the returned function is called.
func (world *World) MayMissDrains() (end func()) {
	world.check.drain.Suspend()
	return func() { world.check.drain.Resume(world.run.Elapsed() + rolloutBound) }
}
