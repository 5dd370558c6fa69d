package directworld

import (
	"fmt"
	"net/netip"
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/direct/declared"
	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/direct/steer"
	"merlinpaddle/internal/model"
)

const (
	// drainBound is how long after its acknowledged drain or departure a target may still get new
	// flows.
	drainBound = 3 * time.Second
	// applyBound is how long after the acknowledgement of a version balancers may still decide
	// with an older one.
	applyBound = 3 * time.Second
)

// checks verifies the invariants of direct services. It compares what callers, targets and
// operators observe with the state of members and balancers.
type checks struct {
	// zones verifies evacuations.
	zones *zoneChecks
	world *World
	// sentContents has the contents that were declared under each version.
	sentContents map[uint64]map[string]bool
	// readContents has the content that was read under each version.
	readContents        map[uint64]string
	highestAcknowledged uint64
	// acknowledgedAt is when each version was first acknowledged.
	acknowledgedAt map[uint64]time.Time
	// allowedServices has the services that any declared configuration gave to each route.
	allowedServices map[netip.AddrPort]map[string]bool
	// leaders has the name of the leader of each term.
	leaders map[uint64]string
	// balancerVersions has the latest version of each balancer.
	balancerVersions map[*balancer]incarnationVersion
	// reads counts the answered reads.
	reads int
}

// incarnationVersion is the version that a balancer had in one incarnation.
type incarnationVersion struct {
	incarnation model.Incarnation
	version     uint64
}

func newChecks(world *World) *checks {
	return &checks{
		world:            world,
		zones:            newZoneChecks(world),
		sentContents:     make(map[uint64]map[string]bool),
		readContents:     make(map[uint64]string),
		acknowledgedAt:   make(map[uint64]time.Time),
		allowedServices:  make(map[netip.AddrPort]map[string]bool),
		leaders:          make(map[uint64]string),
		balancerVersions: make(map[*balancer]incarnationVersion),
	}
}

func (checks *checks) violate(invariant checker.Invariant, format string, arguments ...any) {
	checks.world.run.Report.Add(invariant, checks.world.run.Elapsed(), format, arguments...)
}

// configurationText returns the content of a configuration in a comparable form.
func configurationText(configuration *declared.Configuration) string {
	return fmt.Sprintf("%+v", *configuration)
}

// configurationSent records that an operator declares the configuration.
func (checks *checks) configurationSent(configuration *declared.Configuration) {
	if checks.sentContents[configuration.Version] == nil {
		checks.sentContents[configuration.Version] = make(map[string]bool)
	}
	checks.sentContents[configuration.Version][configurationText(configuration)] = true
	for _, route := range configuration.Routes {
		if checks.allowedServices[route.Address] == nil {
			checks.allowedServices[route.Address] = make(map[string]bool)
		}
		for _, part := range route.Pool {
			checks.allowedServices[route.Address][part.Service] = true
		}
	}
}

// configurationAcknowledged records that a member acknowledged the version.
func (checks *checks) configurationAcknowledged(version uint64) {
	if _, known := checks.acknowledgedAt[version]; !known {
		checks.acknowledgedAt[version] = checks.world.Now()
	}
	checks.highestAcknowledged = max(checks.highestAcknowledged, version)
}

// invalidAccepted reports that a member acknowledged an invalid configuration.
func (checks *checks) invalidAccepted(configuration *declared.Configuration) {
	checks.violate(checker.InvariantCommittedKept, "the invalid version %d was acknowledged", configuration.Version)
}

// checkRead checks the answer to a read. expected is the highest version that was acknowledged when
// the read was sent.
func (checks *checks) checkRead(expected uint64, configuration *declared.Configuration) {
	checks.reads++
	if configuration.Version < expected {
		checks.violate(checker.InvariantLinearizable, "a read returned version %d after version %d was acknowledged", configuration.Version, expected)
	}
	if configuration.Version == 0 {
		return
	}
	text := configurationText(configuration)
	if !checks.sentContents[configuration.Version][text] {
		checks.violate(checker.InvariantSameConfiguration, "version %d was read with a content that nobody sent", configuration.Version)
	}
	if previous, known := checks.readContents[configuration.Version]; known && previous != text {
		checks.violate(checker.InvariantSameConfiguration, "version %d was read with two contents", configuration.Version)
	}
	checks.readContents[configuration.Version] = text
}

// recordLeader records the leader of a term and checks that it is the only one.
func (checks *checks) recordLeader(term uint64, name string) {
	if previous, known := checks.leaders[term]; known && previous != name {
		checks.violate(checker.InvariantOneLeader, "%s and %s both lead term %d", previous, name, term)
	}
	checks.leaders[term] = name
}

// memberStartFailed reports a member that does not start from its disk.
func (checks *checks) memberStartFailed(member *Member, err error) {
	checks.violate(checker.InvariantCommittedKept, "member %s does not start from its disk: %v", member.process.Name, err)
}

// balancerRan checks that the version of a balancer's table never decreases within an incarnation.
func (checks *checks) balancerRan(balancer *balancer) {
	version := balancer.table.Version()
	incarnation := balancer.process.Incarnation()
	previous := checks.balancerVersions[balancer]
	if previous.incarnation == incarnation && version < previous.version {
		checks.violate(checker.InvariantNoRevert, "%s went back from version %d to %d", balancer.process.Name, previous.version, version)
	}
	checks.balancerVersions[balancer] = incarnationVersion{incarnation: incarnation, version: version}
}

// decided checks a balancer's decision about a packet. A reset for lack of a route is always a
// violation. In a settled world, a balancer that has run for settleTime must not send a new flow to
// a dead target, nor decide about one with a version older than applyBound allows.
func (checks *checks) decided(balancer *balancer, packet packet, decision steer.Decision) {
	world := checks.world
	if decision.Action == steer.Reset && decision.Reason == steer.ReasonNoRoute {
		checks.violate(checker.InvariantInForce, "%s refused a packet to %s, which every version has", balancer.process.Name, packet.flow.service)
	}
	if packet.opening && decision.Action == steer.Reset {
		world.run.Trace.NotifyObserver(string(balancer.process.Name), "refuses", func() string { return refusalText(packet, decision) })
	}
	if !world.settled() || !packet.opening || world.Now().Sub(balancer.startedAt) < settleTime {
		return
	}
	checks.checkDeadTarget(balancer, decision)
	version := balancer.table.Version()
	for acknowledged, at := range checks.acknowledgedAt {
		if acknowledged > version && world.Now().Sub(at) > applyBound {
			checks.violate(checker.InvariantInForce, "%s decides by version %d, %s after version %d was acknowledged",
				balancer.process.Name, version, world.Now().Sub(at), acknowledged)
			return
		}
	}
}

// refusalText describes why a balancer refused a new flow. In an overload refusal, "own" and
// "others" are the local and remote counts of open requests, "heard" is the age of the latest
// report of a peer, and "missed" is the share of unanswered requests.
func refusalText(packet packet, decision steer.Decision) string {
	if decision.Reason != steer.ReasonOverloaded {
		return fmt.Sprintf("%s to %s: %s, expected %s", packet.flow.caller, packet.flow.service, decision.Reason, decision.Expected)
	}
	evidence := decision.Evidence
	return fmt.Sprintf("%s to %s: %s at target %d: open %d (own %d, others %d, heard %s ago), expected %s, gaps %.2f of %d, missed %.2f of %d, serving for %s",
		packet.flow.caller, packet.flow.service, decision.Reason, decision.ID, decision.Open, evidence.LocalOpen, evidence.RemoteOpen, evidence.ReportedAgo, decision.Expected,
		evidence.Gaps.Share, evidence.Gaps.Samples, evidence.Unanswered.Share, evidence.Unanswered.Samples, evidence.ServingFor)
}

// deadTargetBound is how long after a target died new flows may still be sent to it.
const deadTargetBound = 7 * time.Second

// checkDeadTarget checks that a new flow is not forwarded to a target process that died more than
// deadTargetBound ago.
func (checks *checks) checkDeadTarget(balancer *balancer, decision steer.Decision) {
	if decision.Action != steer.Forward {
		return
	}
	chosen, _ := balancer.table.Lookup(decision.Token)
	for _, target := range checks.world.targets {
		dead := !target.alive && checks.world.Now().Sub(target.diedAt) > deadTargetBound
		if target.id == decision.ID && target.started == chosen.Started && dead {
			checks.violate(checker.InvariantProgress, "%s sends a new flow to %s, which died %s ago",
				balancer.process.Name, target.address, checks.world.Now().Sub(target.diedAt))
		}
	}
}

// currentVersionBound is how long after its acknowledgement a version may be unknown to a balancer
// that can reach members, or peers that know the version.
const currentVersionBound = 1500 * time.Millisecond

// checkCurrent checks that a balancer has every version that was acknowledged more than
// currentVersionBound ago, and that its table is fresh.
func (checks *checks) checkCurrent(balancer *balancer) {
	version := balancer.table.Version()
	for acknowledged, at := range checks.acknowledgedAt {
		if age := checks.world.Now().Sub(at); acknowledged > version && age > currentVersionBound {
			checks.violate(checker.InvariantInForce, "%s has version %d, %s after version %d was acknowledged",
				balancer.process.Name, version, age, acknowledged)
			return
		}
	}
	if !balancer.table.Fresh(balancer.process.LocalNow()) {
		checks.violate(checker.InvariantInForce, "%s does not count as current; it follows %q",
			balancer.process.Name, balancer.subscriber.Following())
	}
}

// awaitEjection runs the world until the leader has ejected the target, or reinstated it if ejected
// is false. It reports a violation if that does not happen within the given time.
func (checks *checks) awaitEjection(target *target, ejected bool, within time.Duration) {
	world := checks.world
	for end := world.Now().Add(within); world.Now().Before(end); world.RunFor(100 * time.Millisecond) {
		if leader := world.leader(); leader != nil {
			if registered, known := leader.Directory.Target(target.id); known && registered.Aside == ejected {
				return
			}
		}
	}
	checks.violate(checker.InvariantProgress, "target %s does not become aside=%t within %s", target.address, ejected, within)
}

// checkEjected checks that the leader has ejected the target. It checks nothing without a leader.
func (checks *checks) checkEjected(target *target) {
	leader := checks.world.leader()
	if leader == nil {
		return
	}
	if registered, known := leader.Directory.Target(target.id); !known || !registered.Aside {
		checks.violate(checker.InvariantProgress, "target %s answers errors for seconds and is not set aside", target.address)
	}
}

// flowOpened checks a target that accepts a new flow.
func (checks *checks) flowOpened(sender *balancer, target *target, packet packet) {
	world := checks.world
	checks.zones.flowOpened(sender, target)
	checks.checkColdRate(target)
	if !checks.allowedServices[packet.flow.service][target.service] {
		checks.violate(checker.InvariantServiceIsolation, "a flow to %s reached service %s", packet.flow.service, target.service)
	}
	pastBound := !target.drainAckedAt.IsZero() && world.Now().Sub(target.drainAckedAt) > drainBound
	if pastBound && world.settled() {
		checks.violate(checker.InvariantDrain, "%s sent a new flow to %s, which drains since %s",
			sender.process.Name, target.address, world.Now().Sub(target.drainAckedAt))
	}
}

// packetMisdelivered reports a packet of an open flow that reached another target than the one that
// owns the flow. A flow that has ended is not reported.
func (checks *checks) packetMisdelivered(target *target, packet packet) {
	if packet.flow.ended {
		return
	}
	checks.violate(checker.InvariantFlowKept, "a packet of a flow of %s reached %s", packet.flow.target.address, target.address)
}

// flowReset checks that a balancer resets an open flow only if its target died.
func (checks *checks) flowReset(flow *flow, by *balancer) {
	if flow.targetDied || !flow.target.alive {
		return
	}
	checks.violate(checker.InvariantFlowKept, "%s reset a flow whose target %s lives", by.process.Name, flow.target.address)
}

// checkEnd checks the final state, after all faults ended and the system had time to settle.
func (checks *checks) checkEnd() {
	world := checks.world
	leader := world.leader()
	if leader == nil {
		checks.violate(checker.InvariantProgress, "no member leads %s after the last fault", world.Now().Sub(world.disturbedAt))
		return
	}
	configuration := leader.Directory.Configuration()
	checks.checkRead(checks.highestAcknowledged, configuration)
	checks.zones.checkEnd(leader)
	checks.checkReplicasAgree()
	checks.checkTablesAgree(leader)
	if world.callers.opened == 0 || world.callers.failed*20 > world.callers.opened {
		checks.violate(checker.InvariantProgress, "in calm, %d flows opened and %d did not", world.callers.opened, world.callers.failed)
	}
	if checks.reads == 0 {
		checks.violate(checker.InvariantProgress, "no read was answered")
	}
}

// checkReplicasAgree checks that active members with equal revisions have equal directories.
func (checks *checks) checkReplicasAgree() {
	digests := make(map[model.Revision]uint64)
	for _, member := range checks.world.members {
		if !member.process.Active() || member.Directory == nil {
			continue
		}
		revision, digest := member.Directory.Revision(), member.Directory.Digest()
		if previous, known := digests[revision]; known && previous != digest {
			checks.violate(checker.InvariantReplicasAgree, "two members differ at revision %d", revision)
		}
		digests[revision] = digest
	}
}

// checkStartKnown checks that every active balancer knows the target's latest start as ready.
func (checks *checks) checkStartKnown(target *target) {
	for _, balancer := range checks.world.balancers {
		if !balancer.process.Active() {
			continue
		}
		entry, known := balancer.table.FindTarget(target.id)
		if !known || entry.Started != target.started || entry.State != directory.TargetReady {
			checks.violate(checker.InvariantProgress, "%s does not use the start %d of %s", balancer.process.Name, target.started, target.address)
		}
	}
}

// checkTablesAgree checks that every active balancer has the version and the targets of the leader,
// and that the leader has every living, ready target as ready and not ejected.
func (checks *checks) checkTablesAgree(leader *Member) {
	for _, balancer := range checks.world.balancers {
		if !balancer.process.Active() {
			continue
		}
		if version := balancer.table.Version(); version != leader.Directory.Configuration().Version {
			checks.violate(checker.InvariantInForce, "%s ends with version %d, the leader with %d",
				balancer.process.Name, version, leader.Directory.Configuration().Version)
		}
		for _, target := range leader.Directory.Targets() {
			entry, known := balancer.table.Lookup(target.Token)
			if !known || entry.ID != target.ID || entry.State != target.State {
				checks.violate(checker.InvariantSameConfiguration, "%s ends with another state of target %d", balancer.process.Name, target.ID)
			}
		}
	}
	for _, target := range checks.world.targets {
		registered, known := leader.Directory.Target(target.id)
		if target.alive && target.state == directory.TargetReady && (!known || registered.State != directory.TargetReady) {
			checks.violate(checker.InvariantProgress, "the living target %s ends as %s", target.address, registered.State)
		}
		if registered.Aside && target.alive && target.state == directory.TargetReady {
			checks.violate(checker.InvariantProgress, "the target %s, which answers all, ends set aside", target.address)
		}
	}
}
