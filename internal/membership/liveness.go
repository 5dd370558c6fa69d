package membership

import (
	"cmp"
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/rollout"
)

// Observation is a decision that one target is alive or dead.
type Observation struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	// Alive is false when the target is dead, so that its flows are considered lost.
	Alive bool
}

// Proposal is a batch of changes that membership asks the control group to commit.
type Proposal struct {
	Observations []Observation
	EmptyBuckets []model.BucketEmpty
}

// Environment provides what Liveness reads besides the registry.
type Environment interface {
	// Leadership returns this member's leadership.
	Leadership() Leadership
	// Configuration returns the latest committed configuration.
	Configuration() *model.Configuration
	// ListedLive reports whether the platform's list shows the machine as live. known is false
	// when there is no usable list.
	ListedLive(node model.NodeName) (live, known bool)
}

const (
	// decideInterval is the time between two evaluations of all targets.
	decideInterval = 250 * time.Millisecond
	// proposalRetryInterval is how long a proposal may take to be committed before it is sent
	// again.
	proposalRetryInterval = 2 * time.Second
	// relayFailoverTime is how long a node whose relay failed may need to connect to another relay.
	relayFailoverTime = 3 * time.Second
	// emptyBucketInterval is the time between two batches of empty-bucket reports.
	emptyBucketInterval = 500 * time.Millisecond
	// maximumEmptyBucketBatch limits the empty-bucket reports in one batch.
	maximumEmptyBucketBatch = 1024
	// minimumPartitionedTargets is the smallest number of silent targets that counts as a network
	// partition while relays of the zone still report.
	minimumPartitionedTargets = 2
)

// Liveness is the controller that decides from the agents' heartbeats which targets are dead or
// alive, and that proposes reports of empty buckets in batches. It acts only on the leader.
type Liveness struct {
	registry    *Registry
	environment Environment
	deadAfter   time.Duration
	proposals   *board.Queue[Proposal]

	decidedAt       time.Time
	emptyProposedAt time.Time
	term            uint64
	// firstListedAt is when this leader first found each target in the configuration.
	firstListedAt map[model.TargetID]time.Time
	// lastPartitionAt is when each zone last appeared to be partitioned from control.
	lastPartitionAt map[model.ZoneName]time.Time
	// proposed is the latest observation proposed for each target.
	proposed map[model.TargetID]proposedObservation
}

type proposedObservation struct {
	observation Observation
	at          time.Time
}

// NewLiveness returns the controller. A target is dead once control has received no heartbeat of
// its agent for deadAfter, or longer while the agent may be changing relays. Decisions are put
// into proposals.
func NewLiveness(registry *Registry, environment Environment, deadAfter time.Duration, proposals *board.Queue[Proposal]) *Liveness {
	return &Liveness{
		registry:        registry,
		environment:     environment,
		deadAfter:       deadAfter,
		proposals:       proposals,
		firstListedAt:   make(map[model.TargetID]time.Time),
		lastPartitionAt: make(map[model.ZoneName]time.Time),
		proposed:        make(map[model.TargetID]proposedObservation),
	}
}

// Name implements board.Controller.
func (liveness *Liveness) Name() string { return "liveness" }

// Reconcile implements board.Controller.
func (liveness *Liveness) Reconcile(now time.Time) {
	leadership := liveness.environment.Leadership()
	if !leadership.Leading {
		return
	}
	if leadership.Term != liveness.term {
		liveness.term = leadership.Term
		clear(liveness.firstListedAt)
		clear(liveness.lastPartitionAt)
		clear(liveness.proposed)
	}
	liveness.proposeEmptyBuckets(now)
	if now.Sub(liveness.decidedAt) < decideInterval {
		return
	}
	liveness.decidedAt = now
	liveness.decide(now)
}

// assessment is the state of one target according to its agent's heartbeats.
type assessment struct {
	target model.Target
	node   Node
	// registered reports whether the registry has the node as an agent of the target's
	// incarnation or a later one.
	registered bool
	// timedOut reports whether the agent has been silent for longer than its timeout, or announced
	// a planned stop.
	timedOut bool
	// suspected reports whether the agent has been silent for half of deadAfter. Partitions are
	// detected by this shorter time because the targets of a partitioned zone do not all reach
	// their timeouts at the same moment.
	suspected bool
	// hadAgent reports whether an agent ever ran at this target, so that it may have flows to lose.
	hadAgent bool
}

// decide assesses all targets and proposes the observations that changed.
func (liveness *Liveness) decide(now time.Time) {
	configuration := liveness.environment.Configuration()
	liveness.removeDeletedTargets(configuration)
	view := liveness.registry.View()
	zones := make(map[model.ZoneName][]assessment)
	for _, target := range configuration.Targets {
		liveness.recordListed(now, target.ID)
		assessed := liveness.assess(now, view, target)
		zones[target.Zone] = append(zones[target.Zone], assessed)
	}
	var observations []Observation
	for zone, assessments := range zones {
		partitioned := liveness.recentlyPartitioned(now, zone, assessments)
		for _, assessed := range assessments {
			if observation, changed := liveness.observationFor(now, assessed, partitioned); changed {
				observations = append(observations, observation)
			}
		}
	}
	if len(observations) == 0 {
		return
	}
	slices.SortFunc(observations, func(left, right Observation) int { return cmp.Compare(left.Target, right.Target) })
	liveness.proposals.Put(Proposal{Observations: observations})
}

func (liveness *Liveness) recordListed(now time.Time, target model.TargetID) {
	if _, listed := liveness.firstListedAt[target]; !listed {
		liveness.firstListedAt[target] = now
	}
}

// removeDeletedTargets drops the state of targets that are no longer in the configuration.
func (liveness *Liveness) removeDeletedTargets(configuration *model.Configuration) {
	for id := range liveness.firstListedAt {
		if _, known := configuration.Targets[id]; !known {
			delete(liveness.firstListedAt, id)
			delete(liveness.proposed, id)
		}
	}
}

// assess compares how long the target's agent has been silent with its timeout. A target whose
// agent is not registered counts as silent since this leader first found it in the configuration.
func (liveness *Liveness) assess(now time.Time, view View, target model.Target) assessment {
	node, registered := view.Node(model.NodeName(target.Name))
	registered = registered && node.Role == model.RoleAgent && node.Incarnation >= target.Incarnation
	assessed := assessment{target: target, node: node, registered: registered, hadAgent: target.Incarnation != 0}
	if !registered {
		unseenFor := now.Sub(liveness.firstListedAt[target.ID])
		assessed.timedOut = unseenFor > liveness.deadAfter+relayFailoverTime
		assessed.suspected = unseenFor > liveness.deadAfter/2
		return assessed
	}
	timeout := liveness.deadAfter
	if !liveness.lastRelayReporting(now, node) {
		timeout += relayFailoverTime
	}
	silence := now.Sub(liveness.silentSince(node))
	assessed.suspected = silence > liveness.deadAfter/2
	assessed.timedOut = node.Leaving || silence > timeout
	return assessed
}

// silentSince returns the time from which a node's silence is counted: its last heartbeat, or the
// start of this leadership if that is later. The first report that a new leader receives may come
// from a relay that the node left long ago, so silence before this leadership does not count.
func (liveness *Liveness) silentSince(node Node) time.Time {
	since := liveness.environment.Leadership().Since
	if since.After(node.LastSeen) {
		return since
	}
	return node.LastSeen
}

// lastRelayReporting reports whether the relay that last received the node's heartbeat still
// reports to control. If it does, the node itself is silent; if it does not, the relay may have
// failed. Relays that the node left earlier are not evidence of the node's silence.
func (liveness *Liveness) lastRelayReporting(now time.Time, node Node) bool {
	relay, known := liveness.registry.Relays.Get(node.LastRelay)
	return known && now.Sub(relay.LastSeen) <= rollout.FreshWithin
}

// recentlyPartitioned reports whether a zone appears to be partitioned from control, or did so
// within deadAfter plus relayFailoverTime. After a partition heals, the agents' first heartbeats
// arrive at different times, and agents whose heartbeats are still missing must not be declared
// dead.
func (liveness *Liveness) recentlyPartitioned(now time.Time, zone model.ZoneName, assessments []assessment) bool {
	if liveness.appearsPartitioned(now, zone, assessments) {
		liveness.lastPartitionAt[zone] = now
		return true
	}
	partitionedAt, known := liveness.lastPartitionAt[zone]
	return known && now.Sub(partitionedAt) <= liveness.deadAfter+relayFailoverTime
}

// appearsPartitioned reports whether the silence of a zone's targets may be caused by a network
// partition between control and the zone. It counts the targets that had an agent, are not dead and
// did not announce a planned stop. The zone appears partitioned when more than half of them, and at
// least two, are suspected; or when all of them are, even if it is only one, and all relays of the
// zone are silent too.
func (liveness *Liveness) appearsPartitioned(now time.Time, zone model.ZoneName, assessments []assessment) bool {
	suspected, running := 0, 0
	for _, assessed := range assessments {
		if !assessed.hadAgent || assessed.target.Phase == model.PhaseDead || assessed.node.Leaving {
			continue
		}
		running++
		if assessed.suspected {
			suspected++
		}
	}
	if suspected > 0 && suspected == running && liveness.allRelaysSilent(now, zone) {
		return true
	}
	return suspected >= minimumPartitionedTargets && 2*suspected > running
}

// allRelaysSilent reports whether the zone has known relays and none of them has reported within
// rollout.FreshWithin.
func (liveness *Liveness) allRelaysSilent(now time.Time, zone model.ZoneName) bool {
	known, silent := 0, 0
	liveness.registry.Relays.Range(func(_ model.NodeName, row board.Row[Relay]) bool {
		if row.Value.Zone != zone {
			return true
		}
		known++
		if now.Sub(row.Value.LastSeen) > rollout.FreshWithin {
			silent++
		}
		return true
	})
	return known > 0 && known == silent
}

// observationFor returns the observation to propose for a target. It returns false when the
// configuration already shows it, when an unregistered agent has not timed out yet, when a
// partition may explain the silence, or when the same observation was proposed within
// proposalRetryInterval.
func (liveness *Liveness) observationFor(now time.Time, assessed assessment, partitioned bool) (Observation, bool) {
	target := assessed.target
	observation := Observation{Target: target.ID, Incarnation: target.Incarnation, Alive: !assessed.timedOut}
	if assessed.registered {
		observation.Incarnation = assessed.node.Incarnation
	}
	dead := target.Phase == model.PhaseDead
	if observation.Incarnation == target.Incarnation && dead == assessed.timedOut {
		return Observation{}, false
	}
	if !assessed.timedOut && !assessed.registered {
		return Observation{}, false
	}
	if assessed.timedOut && liveness.keptDuringPartition(assessed, partitioned) {
		return Observation{}, false
	}
	last, repeated := liveness.proposed[target.ID]
	if repeated && last.observation == observation && now.Sub(last.at) < proposalRetryInterval {
		return Observation{}, false
	}
	liveness.proposed[target.ID] = proposedObservation{observation: observation, at: now}
	return observation, true
}

// keptDuringPartition reports whether a target that timed out stays alive because its zone appears
// partitioned. A target whose agent announced a planned stop, or that never had an agent, is not
// kept: it has no flows to lose. Neither is a target whose machine the platform no longer lists.
func (liveness *Liveness) keptDuringPartition(assessed assessment, partitioned bool) bool {
	if !partitioned || !assessed.hadAgent || (assessed.registered && assessed.node.Leaving) {
		return false
	}
	live, known := liveness.environment.ListedLive(model.NodeName(assessed.target.Name))
	return !known || live
}

// proposeEmptyBuckets proposes the reports of empty buckets that the configuration waits for, and
// drops the others.
func (liveness *Liveness) proposeEmptyBuckets(now time.Time) {
	if now.Sub(liveness.emptyProposedAt) < emptyBucketInterval || liveness.registry.EmptyBuckets.Length() == 0 {
		return
	}
	liveness.emptyProposedAt = now
	configuration := liveness.environment.Configuration()
	var batch []model.BucketEmpty
	liveness.registry.EmptyBuckets.Range(func(key BucketKey, row board.Row[model.BucketEmpty]) bool {
		if len(batch) == maximumEmptyBucketBatch {
			return false
		}
		liveness.registry.EmptyBuckets.Delete(key)
		if rollout.AwaitsEmptyReport(configuration, row.Value) {
			batch = append(batch, row.Value)
		}
		return true
	})
	if len(batch) > 0 {
		slices.SortFunc(batch, compareEmptyBuckets)
		liveness.proposals.Put(Proposal{EmptyBuckets: batch})
	}
}

func compareEmptyBuckets(left, right model.BucketEmpty) int {
	return cmp.Or(
		cmp.Compare(left.Service, right.Service),
		cmp.Compare(left.Target, right.Target),
		cmp.Compare(left.Bucket, right.Bucket),
	)
}
