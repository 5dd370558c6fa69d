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
	// drainBound is how long after an acknowledged drain a target may get new
	// flows.
	drainBound = 3 * time.Second
	// applyBound is how long after its acknowledgement a version may not be in
	// force.
	applyBound = 3 * time.Second
)

// checks are the rules of direct services, judged from what callers, targets
// and operators see.
type checks struct {
	// zones judges the orders for zones.
	zones *zoneChecks
	world *World
	// contents has the texts that were sent under each version.
	sentContents        map[uint64]map[string]bool
	readContents        map[uint64]string
	highestAcknowledged uint64
	// acknowledgedAt has when each version was first acknowledged.
	acknowledgedAt map[uint64]time.Time
	// allowed has the services that some configuration ever gave a route.
	allowedServices map[netip.AddrPort]map[string]bool
	leaders         map[uint64]string
	// versions has the version of each balancer's present life.
	balancerVersions map[*balancer]incarnationVersion
	reads            int
}

// lifeVersion is the version that a balancer had in one life.
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

// textOf returns the content of a configuration for comparison.
func configurationText(configuration *declared.Configuration) string {
	return fmt.Sprintf("%+v", *configuration)
}

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

func (checks *checks) configurationAcknowledged(version uint64) {
	if _, known := checks.acknowledgedAt[version]; !known {
		checks.acknowledgedAt[version] = checks.world.Now()
	}
	checks.highestAcknowledged = max(checks.highestAcknowledged, version)
}

func (checks *checks) invalidAccepted(configuration *declared.Configuration) {
	checks.violate(checker.InvariantCommittedKept, "the invalid version %d was acknowledged", configuration.Version)
}

// read judges a read that was sent when expected was acknowledged.
func (checks *checks) checkRead(expected uint64, held *declared.Configuration) {
	checks.reads++
	if held.Version < expected {
		checks.violate(checker.InvariantLinearizable, "a read returned version %d after version %d was acknowledged", held.Version, expected)
	}
	if held.Version == 0 {
		return
	}
	text := configurationText(held)
	if !checks.sentContents[held.Version][text] {
		checks.violate(checker.InvariantSameConfiguration, "version %d was read with a content that nobody sent", held.Version)
	}
	if previous, known := checks.readContents[held.Version]; known && previous != text {
		checks.violate(checker.InvariantSameConfiguration, "version %d was read with two contents", held.Version)
	}
	checks.readContents[held.Version] = text
}

func (checks *checks) recordLeader(term uint64, name string) {
	if previous, known := checks.leaders[term]; known && previous != name {
		checks.violate(checker.InvariantOneLeader, "%s and %s both lead term %d", previous, name, term)
	}
	checks.leaders[term] = name
}

func (checks *checks) memberStartFailed(member *Member, err error) {
	checks.violate(checker.InvariantCommittedKept, "member %s does not start from its disk: %v", member.process.Name, err)
}

// balancerRan demands that a balancer's table never goes back within a life.
func (checks *checks) balancerRan(balancer *balancer) {
	version := balancer.table.Version()
	incarnation := balancer.process.Incarnation()
	previous := checks.balancerVersions[balancer]
	if previous.incarnation == incarnation && version < previous.version {
		checks.violate(checker.InvariantNoRevert, "%s went back from version %d to %d", balancer.process.Name, previous.version, version)
	}
	checks.balancerVersions[balancer] = incarnationVersion{incarnation: incarnation, version: version}
}

// decided judges a decision of a balancer by what it may know.
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

// refusalText tells why a balancer refused a new flow.
func refusalText(packet packet, decision steer.Decision) string {
	if decision.Reason != steer.ReasonOverloaded {
		return fmt.Sprintf("%s to %s: %s, expected %s", packet.flow.caller, packet.flow.service, decision.Reason, decision.Expected)
	}
	evidence := decision.Evidence
	return fmt.Sprintf("%s to %s: %s at target %d: open %d (own %d, others %d, heard %s ago), expected %s, gaps %.2f of %d, missed %.2f of %d, serving for %s",
		packet.flow.caller, packet.flow.service, decision.Reason, decision.ID, decision.Open, evidence.LocalOpen, evidence.RemoteOpen, evidence.ReportedAgo, decision.Expected,
		evidence.Gaps.Share, evidence.Gaps.Samples, evidence.Unanswered.Share, evidence.Unanswered.Samples, evidence.ServingFor)
}

// deathBound is how long after a target's death new flows may go to it.
const deadTargetBound = 7 * time.Second

// choseDead judges a new flow's target that died, or lost its address to
// another one, long ago.
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

// keepsUpBound is how long after its acknowledgement a version may be unknown
// to a balancer that reaches others which know it.
const currentVersionBound = 1500 * time.Millisecond

// keepsUp demands that a balancer knows what was acknowledged a while ago, and
// that it counts as current.
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

// becomesAside lets time pass until the leader has set a target aside, or
// brought it back, which must happen within a bound.
func (checks *checks) awaitEjection(target *target, ejected bool, within time.Duration) {
	world := checks.world
	for end := world.Now().Add(within); world.Now().Before(end); world.RunFor(100 * time.Millisecond) {
		if leader := world.leader(); leader != nil {
			if held, known := leader.Directory.Target(target.id); known && held.Aside == ejected {
				return
			}
		}
	}
	checks.violate(checker.InvariantProgress, "target %s does not become aside=%t within %s", target.address, ejected, within)
}

// asideNow demands that the leader has set a target aside.
func (checks *checks) checkEjected(target *target) {
	leader := checks.world.leader()
	if leader == nil {
		return
	}
	if held, known := leader.Directory.Target(target.id); !known || !held.Aside {
		checks.violate(checker.InvariantProgress, "target %s answers errors for seconds and is not set aside", target.address)
	}
}

// opened judges a target that takes a new flow.
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

// foreignPacket judges a packet of an open flow at a target that does not own
// it.
func (checks *checks) packetMisdelivered(target *target, packet packet) {
	if packet.flow.ended {
		return
	}
	checks.violate(checker.InvariantFlowKept, "a packet of a flow of %s reached %s", packet.flow.target.address, target.address)
}

// wasReset judges a reset of an open flow.
func (checks *checks) flowReset(flow *flow, by *balancer) {
	if flow.targetDied || !flow.target.alive {
		return
	}
	checks.violate(checker.InvariantFlowKept, "%s reset a flow whose target %s lives", by.process.Name, flow.target.address)
}

// end judges the system after everything healed.
func (checks *checks) checkEnd() {
	world := checks.world
	leader := world.leader()
	if leader == nil {
		checks.violate(checker.InvariantProgress, "no member leads %s after the last fault", world.Now().Sub(world.disturbedAt))
		return
	}
	held := leader.Directory.Configuration()
	checks.checkRead(checks.highestAcknowledged, held)
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

// startIsKnown demands that every balancer sends new flows to the target's present start.
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

// tablesAgree demands that every balancer has the leader's targets and version.
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
		held, known := leader.Directory.Target(target.id)
		if target.alive && target.state == directory.TargetReady && (!known || held.State != directory.TargetReady) {
			checks.violate(checker.InvariantProgress, "the living target %s ends as %s", target.address, held.State)
		}
		if held.Aside && target.alive && target.state == directory.TargetReady {
			checks.violate(checker.InvariantProgress, "the target %s, which answers all, ends set aside", target.address)
		}
	}
}
