package directworld

import (
	"net/netip"
	"time"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/probe"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/sim/kernel"
)

// callTimeout is how long targets and operators wait for a member's answer to a call.
const callTimeout = time.Second

// target simulates one incarnation of a target.
type target struct {
	world *World
	id    directory.TargetID
	// started is the start time that the target reports; it identifies the incarnation.
	started  directory.StartTime
	service  string
	address  netip.AddrPort
	zone     model.ZoneName
	state    directory.TargetState
	sequence uint64
	alive    bool
	// unresponsive reports whether the machine of a dead target does not answer probes at all.
	unresponsive bool
	flows        map[*flow]bool
	// nextMember is the index of the member that is called next, modulo their number.
	nextMember int
	// hidesStart makes the target's departure notices omit its start.
	hidesStart bool
	// drainAckedAt is when draining or leaving was first acknowledged.
	drainAckedAt time.Time
	diedAt       time.Time
	// hangShare is the probability that the target accepts a request and never answers it.
	// hungRequests has, for each flow with such a request, the number of the latest one.
	hangShare    float64
	hungRequests map[*flow]int
	// coldUntil is when the target stops being cold. coldFlows are the times of new flows in the
	// latest second while it was cold.
	coldUntil time.Time
	coldFlows []time.Time
	// answersErrors reports whether the target answers every call with an error at once.
	answersErrors bool
	// slots has the calls that the target is serving or has queued.
	slots slots
}

// AddTarget starts a target of a service at a new address.
func (world *World) AddTarget(service string, zone model.ZoneName) *target {
	return world.addTargetAt(service, zone, world.newTargetAddress())
}

// newTargetAddress returns an address that no target had.
func (world *World) newTargetAddress() netip.AddrPort {
	world.nextHost++
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(world.nextHost >> 8), byte(world.nextHost)}), 8080)
}

// addTargetAt starts a target with a new identifier at an address, which may have been used before.
func (world *World) addTargetAt(service string, zone model.ZoneName, address netip.AddrPort) *target {
	return world.startTarget(world.newTargetID(), service, zone, address)
}

// newTargetID returns an identifier that no target had.
func (world *World) newTargetID() directory.TargetID {
	world.nextID++
	return directory.TargetID(world.nextID<<8 | world.random.Uint64()&0xff)
}

// Restart ends the target at once and starts another incarnation with the same identifier and
// address. The sequence numbers of its calls start over.
func (target *target) Restart() *target {
	target.Crash(false)
	return target.world.startTarget(target.id, target.service, target.zone, target.address)
}

func (world *World) startTarget(id directory.TargetID, service string, zone model.ZoneName, address netip.AddrPort) *target {
	added := world.newTarget(id, service, zone, address)
	world.after(world.random.Between(0, renewalInterval/4), added.renewPeriodically)
	return added
}

// startUnheardTarget starts a target whose first call is held back for a delay. It leaves before that,
// and its departure is not held back.
func (world *World) startUnheardTarget(service string, zone model.ZoneName, leaveAfter, delay time.Duration) {
	added := world.newTarget(world.newTargetID(), service, zone, world.newTargetAddress())
	added.scheduleLateRenewal(delay)
	world.after(leaveAfter, added.LeaveWithoutDraining)
}

// restartUnheard crashes a target and starts it again under its identifier. As in startUnheardTarget, it
// leaves before its first call arrives.
func (world *World) restartUnheard(target *target, hidesStart bool, leaveAfter, delay time.Duration) {
	world.recordDisturbance("restart", target.address.String())
	target.Crash(false)
	world.after(100*time.Millisecond, func() {
		restarted := world.newTarget(target.id, target.service, target.zone, target.address)
		restarted.hidesStart = hidesStart
		restarted.scheduleLateRenewal(delay)
		world.after(leaveAfter, restarted.LeaveWithoutDraining)
	})
}

// newTarget adds a target that makes no calls yet.
func (world *World) newTarget(id directory.TargetID, service string, zone model.ZoneName, address netip.AddrPort) *target {
	added := &target{
		world:        world,
		id:           id,
		started:      directory.StartTime(world.Now().UnixMilli()),
		service:      service,
		address:      address,
		zone:         zone,
		state:        directory.TargetReady,
		alive:        true,
		flows:        make(map[*flow]bool),
		hungRequests: make(map[*flow]int),
		slots:        slots{flows: make(map[*flow]bool)},
		nextMember:   world.random.IntN(len(world.listed())),
	}
	world.targets = append(world.targets, added)
	world.byAddress[address] = added
	return added
}

func (target *target) endpoint() kernel.Endpoint {
	return endpoint(target.address.String(), target.zone)
}

// renewPeriodically registers the target at each renewal interval until it fails or leaves.
func (target *target) renewPeriodically() {
	if !target.alive || target.state == directory.TargetLeft {
		return
	}
	target.register()
	target.world.after(renewalInterval, target.renewPeriodically)
}

// register sends the registration to one member. If it is not acknowledged, the next renewal or
// retry calls the next member.
func (target *target) register() {
	world := target.world
	target.sequence++
	registration := target.registration()
	world.callMember(target.endpoint(), world.listedMember(target.nextMember),
		func(member *Member, now, deadline time.Time, done func(error)) {
			member.Registrar.Register(now, registration, deadline, done)
		},
		func(err error) {
			switch {
			case err != nil:
				target.nextMember++
				target.retry(registration.State)
			case registration.State == directory.TargetDraining && target.drainAckedAt.IsZero():
				target.drainAckedAt = world.Now()
			}
		})
}

// registration returns the registration that the target would send now.
func (target *target) registration() directory.Target {
	return directory.Target{
		ID: target.id, Started: target.started, Service: target.service, Address: target.address, Zone: string(target.zone),
		Capacity: 2, State: target.state, Sequence: target.sequence, Cold: target.remainingCold(),
	}
}

// departure returns the departure notice that the target would send now.
func (target *target) departure() directory.Departure {
	if target.hidesStart {
		return directory.Departure{ID: target.id}
	}
	return directory.Departure{ID: target.id, Started: target.started}
}

// remainingCold returns how much longer the target is cold, or 0.
func (target *target) remainingCold() time.Duration {
	return max(target.coldUntil.Sub(target.world.Now()), 0)
}

// retry calls the next member after a short pause if a drain has not been acknowledged.
func (target *target) retry(state directory.TargetState) {
	if state == directory.TargetDraining && target.drainAckedAt.IsZero() && target.alive {
		target.world.after(50*time.Millisecond, target.register)
	}
}

// callMember runs start at a member and returns its answer over the control network. A member that
// is not active drops the call. No answer within callTimeout is an error. done is called at most
// once, and not after the world has ended.
func (world *World) callMember(from kernel.Endpoint, member *Member,
	start func(member *Member, now, deadline time.Time, done func(error)), done func(error)) {
	ended := false
	finish := func(err error) {
		if !ended && !world.stopped {
			ended = true
			done(err)
		}
	}
	world.after(callTimeout, func() { finish(errNoAnswer) })
	world.control.Send(from, member.process.Endpoint, func() {
		if !member.process.Active() || member.Registrar == nil {
			return
		}
		now := member.process.LocalNow()
		start(member, now, now.Add(answerTimeout), func(err error) {
			world.control.Send(member.process.Endpoint, from, func() { finish(err) })
		})
		member.process.Wake()
	})
}

// Drain makes the target leave as planned: it drains, serves its flows for 7 more seconds, leaves
// and ends.
func (target *target) Drain() {
	target.state = directory.TargetDraining
	target.world.run.Trace.Add(target.address.String(), "drains", "")
	target.register()
	target.world.after(7*time.Second, target.leave)
}

// leave sends one departure notice and ends the target half a second later.
func (target *target) leave() {
	world := target.world
	if !target.alive {
		return
	}
	target.state = directory.TargetLeft
	world.callMember(target.endpoint(), kernel.Pick(world.random, world.listed()),
		func(member *Member, now, deadline time.Time, done func(error)) {
			world.options.Parts.RecordDeparture(member, target.departure(), now, deadline, done)
		}, func(error) {})
	world.after(500*time.Millisecond, func() { target.Crash(false) })
}

// LeaveWithoutDraining makes the target leave as planned without draining first: it sends departure
// notices until one is acknowledged, serves its flows for 7 more seconds and ends.
func (target *target) LeaveWithoutDraining() {
	target.state = directory.TargetLeft
	target.world.run.Trace.Add(target.address.String(), "leaves first", "")
	target.leaveUntilAcknowledged()
}

// leaveUntilAcknowledged repeats the departure notice until it is acknowledged.
func (target *target) leaveUntilAcknowledged() {
	world := target.world
	world.callMember(target.endpoint(), kernel.Pick(world.random, world.listed()),
		func(member *Member, now, deadline time.Time, done func(error)) {
			world.options.Parts.RecordDeparture(member, target.departure(), now, deadline, done)
		}, func(err error) {
			if err != nil {
				world.after(50*time.Millisecond, target.leaveUntilAcknowledged)
				return
			}
			target.drainAckedAt = world.Now()
			world.after(7*time.Second, func() { target.Crash(false) })
		})
}

// scheduleLateRenewal prepares a renewal with the present state of the target and sends it after a
// delay, even if the target has ended by then.
func (target *target) scheduleLateRenewal(delay time.Duration) {
	target.sequence++
	registration := target.registration()
	world := target.world
	world.after(delay, func() {
		world.run.Trace.Add(target.address.String(), "late renewal", "")
		world.sendRegistration(target, registration)
	})
}

// sendRegistration sends a registration from the target's endpoint to a random member, once.
func (world *World) sendRegistration(target *target, registration directory.Target) {
	world.callMember(target.endpoint(), kernel.Pick(world.random, world.listed()),
		func(member *Member, now, deadline time.Time, done func(error)) {
			member.Registrar.Register(now, registration, deadline, done)
		}, func(error) {})
}

// hangsOn reports whether the target accepts a request and never answers it.
func (target *target) hangsOn(flow *flow, request int) bool {
	if target.hungRequests[flow] == request {
		return true
	}
	if flow.answered >= request || !target.world.random.Chance(target.hangShare) {
		return false
	}
	target.hungRequests[flow] = request
	return true
}

// Crash ends the target at once. If unresponsive is true, its machine fails too and does not answer
// probes.
func (target *target) Crash(unresponsive bool) {
	if !target.alive {
		return
	}
	target.alive = false
	target.unresponsive = unresponsive
	target.diedAt = target.world.Now()
	for flow := range target.flows {
		flow.targetDied = true
	}
	target.flows = make(map[*flow]bool)
	target.world.run.Trace.Add(target.address.String(), "dies", "")
}

// probe simulates a connection attempt to an address. An unresponsive machine never answers.
func (world *World) probe(from kernel.Endpoint, address netip.AddrPort, answer func(probe.Outcome)) {
	found := world.byAddress[address]
	if found == nil || found.unresponsive {
		return
	}
	world.packets.Send(from, found.endpoint(), func() {
		outcome := probe.Refused
		if found := world.byAddress[address]; found.alive {
			outcome = probe.Answered
		} else if found.unresponsive {
			return
		}
		world.packets.Send(found.endpoint(), from, func() { answer(outcome) })
	})
}

// deliver sends a packet from a balancer to its target. The packet is dropped if the target process
// at the address has ended or has another identifier when it arrives.
func (world *World) deliver(sender *balancer, packet packet, decision steer.Decision) {
	found := world.byAddress[decision.Target]
	if found == nil {
		return
	}
	world.packets.Send(sender.process.Endpoint, found.endpoint(), func() {
		arrived := world.byAddress[decision.Target]
		if !arrived.alive || arrived.id != decision.ID {
			return
		}
		arrived.handlePacket(sender, packet, decision)
	})
}

// rejectUnknownFlow handles a packet of a flow that this incarnation does not have. It resets a
// flow of a previous incarnation, as real targets do, and reports any other packet as misdelivered.
func (target *target) rejectUnknownFlow(packet packet) {
	flow := packet.flow
	if flow.target == nil || flow.target.id != target.id {
		target.world.checks.packetMisdelivered(target, packet)
		return
	}
	target.world.packets.Send(target.endpoint(), flow.endpoint(), flow.handleTargetReset)
}

// handlePacket handles a packet that reached this target: it accepts a new flow, rejects a flow of
// another target or incarnation, and otherwise serves the request that the packet carries, if any.
func (target *target) handlePacket(sender *balancer, packet packet, decision steer.Decision) {
	world := target.world
	flow := packet.flow
	if packet.opening {
		world.checks.flowOpened(sender, target, packet)
		world.packets.Send(target.endpoint(), flow.endpoint(), func() { flow.handleAccepted(target, decision.Token) })
		return
	}
	if flow.target != target {
		target.rejectUnknownFlow(packet)
		return
	}
	if flow.targetDied || packet.closing || packet.ackOnly {
		return
	}
	target.flows[flow] = true
	if flow.uploadAttempt != nil {
		flow.uploadAttempt.receiveChunk(target, packet.chunk)
		return
	}
	if flow.call != nil {
		target.handleRequest(job{flow: flow, request: packet.requested})
		return
	}
	if target.hangsOn(flow, packet.requested) {
		return
	}
	world.packets.Send(target.endpoint(), flow.endpoint(), func() {
		flow.handleAnswer(packet.requested, requestBytes)
	})
}
