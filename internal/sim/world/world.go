// Package world composes a complete system for simulation: control members, relays, balancers, agents
// with back ends, the network fabric, callers and operators. The controllers and decision functions
// are the product's own. The clock, the network, the disks, the packets, and everything outside the
// product are simulated.
package world

import (
	"fmt"
	"net/netip"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim"
	"merlinpaddle/internal/sim/kernel"
)

// Options describes how a world is built.
type Options struct {
	Preset Preset
	Parts  Parts
	// SnapshotEvery (log entries), SegmentBytes and ChunkBytes are the members' options of the same
	// names in replica.Options. Zero means the product's default.
	SnapshotEvery int
	SegmentBytes  int64
	ChunkBytes    int
	// BalancerListLag is the lag of the fabric's list of live balancers.
	BalancerListLag time.Duration
	// Faults are the faults of all control links.
	Faults kernel.LinkFaults
	// PacketFaults are the faults of callers' packets and of the answers to them.
	PacketFaults kernel.LinkFaults
	// ReportLag is the age of the loads and empty buckets in heartbeats.
	ReportLag time.Duration
	// UpdateDelay bounds the random delay of each update to a balancer or agent.
	UpdateDelay time.Duration
	// MachineListLag is the lag of the platform's list of live machines that control members read.
	// Zero means defaultMachineListLag.
	MachineListLag time.Duration
	// FlowIdleTimeout is the idle time after which agents remove a flow. Zero means a short one, so
	// that short runs also cover what happens after it.
	FlowIdleTimeout time.Duration
	// ResendShare is the share, from 0 to 1, of answered changes that their operator sends again.
	ResendShare float64
	// StalledRequestShare is the share, from 0 to 1, of requests that back ends answer only after their
	// caller has given up.
	StalledRequestShare float64
}

// World is one simulated system.
type World struct {
	run             *sim.Run
	options         Options
	preset          Preset
	parts           Parts
	host            *kernel.Host
	network         *kernel.Network
	packets         *kernel.Network
	members         []*member
	relays          []*relayNode
	balancers       []*balancer
	agentsByAddress map[netip.AddrPort]*agent
	agents          []*agent
	agentsByName    map[model.NodeName]*agent
	fabric          *fabric
	callers         *callers
	services        []*serviceHandle
	checks          *checks
	reportLag       *reportLag
	// updateDelays draws the delays of updates. resendDecisions draws which changes operators resend,
	// when they do, and which answers to operators are lost.
	updateDelays    *kernel.Random
	resendDecisions *kernel.Random
	// lostAnswerShare is the share, from 0 to 1, of answers to operators that are lost.
	lostAnswerShare float64
	// acceptedResends counts the answers to resends that say that the change was accepted.
	acceptedResends int
	// racingOperators counts the operators that StartRacingOperators has ever started.
	racingOperators int
	// pendingChanges counts the operators' changes whose outcome is not decided yet.
	pendingChanges int
	// machineList is the platform's list of live machines, as control members read it.
	machineList *machineList
}

// New returns a world whose processes are not started yet.
func New(run *sim.Run, options Options) *World {
	network := kernel.NewNetwork(run.Scheduler, run.Random("network"), options.Preset.Latency())
	network.SetFaults(options.Faults)
	packets := network.Sibling(run.Random("packets"), options.PacketFaults)
	world := &World{
		run:             run,
		options:         options,
		preset:          options.Preset,
		parts:           options.Parts,
		host:            kernel.NewHost(run.Scheduler, network, run.Trace),
		network:         network,
		packets:         packets,
		agentsByAddress: make(map[netip.AddrPort]*agent),
		agentsByName:    make(map[model.NodeName]*agent),
	}
	world.checks = newChecks(world)
	world.machineList = &machineList{world: world}
	world.reportLag = newReportLag(run.Scheduler, options.ReportLag)
	world.updateDelays = run.Random("updates")
	world.resendDecisions = run.Random("resending")
	world.host.SetFilter(world.filterMessage)
	world.host.SetDelay(world.delayMessage)
	world.fabric = newFabric(world, options.BalancerListLag)
	world.callers = newCallers(world)
	world.addProcesses()
	return world
}

func (world *World) addProcesses() {
	for number := range world.preset.Members {
		world.members = append(world.members, newMember(world, numberedName("control", number+1), world.preset.zone(number)))
	}
	for number := range world.preset.Relays {
		world.relays = append(world.relays, newRelayNode(world, numberedName("relay", number+1), world.preset.zone(number)))
	}
	for number := range world.preset.Balancers {
		world.balancers = append(world.balancers, newBalancer(world, numberedName("balancer", number+1), world.preset.zone(number)))
	}
	for index, size := range world.preset.Services {
		world.addService(index, size)
	}
}

// addService adds a service of the preset with its agents. Both get addresses from the ranges reserved
// for documentation.
func (world *World) addService(index int, size ServiceSize) {
	service := &serviceHandle{
		tenant:   size.Tenant,
		name:     size.Name,
		protocol: size.Protocol,
		removed:  make(map[model.NodeName]bool),
		address:  netip.AddrPortFrom(netip.AddrFrom4([4]byte{203, 0, 113, byte(index + 1)}), 443),
	}
	for number := range size.Targets {
		name := model.NodeName(fmt.Sprintf("%s-%d", size.Name, number+1))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{192, 0, 2, byte(index*64 + number + 1)}), 6081)
		created := newAgent(world, name, world.preset.zone(number))
		world.agentsByAddress[address] = created
		world.agentsByName[name] = created
		world.agents = append(world.agents, created)
		service.targets = append(service.targets, targetHandle{name: name, zone: created.process.Zone, address: address, agent: created})
	}
	world.services = append(world.services, service)
}

// filterMessage applies the lag of reports and then the variant's filter, and returns the messages to
// send.
func (world *World) filterMessage(envelope messageEnvelope) []messageEnvelope {
	envelope = world.reportLag.delayReport(envelope)
	if world.parts.Messages == nil {
		return []messageEnvelope{envelope}
	}
	return world.parts.Messages(envelope)
}

// watchPacket reports an event of a flow's packet to the run's watcher, if it has one.
func (world *World) watchPacket(flow checker.FlowID, format string, arguments ...any) {
	if world.run.Watch != nil {
		world.run.Watch(uint64(flow), fmt.Sprintf(format, arguments...))
	}
}

func (world *World) memberNames() []model.NodeName {
	var names []model.NodeName
	for _, member := range world.members {
		names = append(names, member.process.Name)
	}
	if len(names) == 0 {
		return nil
	}
	return names
}

// relayNames returns the relays in a node's order of preference: first those in its own zone.
func (world *World) relayNames(zone model.ZoneName) []model.NodeName {
	var local, remote []model.NodeName
	for _, relay := range world.relays {
		if relay.process.Zone == zone {
			local = append(local, relay.process.Name)
		} else {
			remote = append(remote, relay.process.Name)
		}
	}
	return append(local, remote...)
}

// forward sends a packet to the agent address that a configuration has for a target. It drops a packet
// to an unknown target or address.
func (world *World) forward(from kernel.Endpoint, configuration *model.Configuration, next model.TargetID, forwarded forwardedPacket) {
	target, known := configuration.Targets[next]
	if !known {
		return
	}
	receiver, exists := world.agentsByAddress[target.Agent]
	if !exists {
		return
	}
	world.packets.Send(from, receiver.process.Endpoint, func() { receiver.receive(forwarded) })
}

// sendHint tells the balancer that sent a packet which target owns the packet's flow.
func (world *World) sendHint(instance *agentInstance, forwarded forwardedPacket) {
	for _, candidate := range world.balancers {
		if candidate.process.Name == forwarded.balancer {
			ownerHint := hint{tuple: forwarded.packet.tuple, owner: instance.target.ID}
			world.packets.Send(instance.agent.process.Endpoint, candidate.process.Endpoint, func() { candidate.receiveHint(ownerHint) })
			return
		}
	}
}

// answerCaller sends an answer to its caller without passing a balancer.
func (world *World) answerCaller(from kernel.Endpoint, reply answer) {
	world.packets.Send(from, world.callers.endpoint, func() { world.callers.receive(reply) })
}

// serviceHandle is a service as scenarios and callers refer to it.
type serviceHandle struct {
	tenant   model.TenantName
	name     string
	protocol model.Protocol
	address  netip.AddrPort
	// id is the service's current ID, or 0 while the address has no service.
	id       model.ServiceID
	revision model.Revision
	targets  []targetHandle
	// removed has the targets that the parameters do not list at present.
	removed map[model.NodeName]bool
}

// targetHandle is a target as scenarios refer to it.
type targetHandle struct {
	name    model.NodeName
	zone    model.ZoneName
	address netip.AddrPort
	agent   *agent
}
