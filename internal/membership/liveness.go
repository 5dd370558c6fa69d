package membership

import (
	"cmp"
	"slices"
	"time"

	"merlinpaddle/internal/board"
	"merlinpaddle/internal/model"
	"merlinpaddle/internal/rollout"
)

// Observation is a decision about one target.
type Observation struct {
	Target      model.TargetID
	Incarnation model.Incarnation
	// Alive is false when the target is taken to have lost its flows.
	Alive bool
}

// Proposal is a batch of changes that membership asks the group to commit.
type Proposal struct {
	Observations []Observation
	EmptyBuckets []model.BucketEmpty
}

// Environment is what liveness reads besides the registry.
type Environment interface {
	// Leadership returns this member's leadership.
	Leadership() Leadership
	// Configuration returns the latest committed configuration.
	Configuration() *model.Configuration
	// ListedLive tells whether the platform's list has the machine as live.
	// known is false when there is no usable list.
	ListedLive(node model.NodeName) (live, known bool)
}

const (
	// decideInterval is the time between two looks at all targets.
	decideInterval = 250 * time.Millisecond
	// repeatAfter is how long a proposal may take before it is made again.
	repeatAfter = 2 * time.Second
	// moveTime is how long a node whose relay died may need to appear at
	// another one.
	moveTime = 3 * time.Second
	// emptyInterval is the time between two batches of empty buckets.
	emptyInterval = 500 * time.Millisecond
	// maximumEmptyBatch bounds one batch of empty buckets.
	maximumEmptyBatch = 1024
	// massLeast is the least number of silent targets that can be a cut.
	massLeast = 2
)

// Liveness is the controller that decides which targets are dead or alive, by
// their agents' own heartbeats, and passes on empty buckets in batches.
type Liveness struct {
	registry  *Registry
	world     Environment
	deadAfter time.Duration
	proposals *board.Queue[Proposal]

	decidedAt time.Time
	emptyAt   time.Time
	term      uint64
	// listedSince has when this leader first saw each target.
	listedSince map[model.TargetID]time.Time
	// cutAt has when each zone last looked cut off.
	cutAt map[model.ZoneName]time.Time
	// proposed has the latest proposal for each target.
	proposed map[model.TargetID]proposedObservation
}

type proposedObservation struct {
	observation Observation
	at          time.Time
}

// NewLiveness returns the controller. A target is dead once its agent was
// silent for deadAfter. Decisions go to proposals.
func NewLiveness(registry *Registry, world Environment, deadAfter time.Duration, proposals *board.Queue[Proposal]) *Liveness {
	return &Liveness{
		registry:    registry,
		world:       world,
		deadAfter:   deadAfter,
		proposals:   proposals,
		listedSince: make(map[model.TargetID]time.Time),
		cutAt:       make(map[model.ZoneName]time.Time),
		proposed:    make(map[model.TargetID]proposedObservation),
	}
}

// Name implements board.Controller.
func (liveness *Liveness) Name() string { return "liveness" }

// Reconcile implements board.Controller.
func (liveness *Liveness) Reconcile(now time.Time) {
	leadership := liveness.world.Leadership()
	if !leadership.Leading {
		return
	}
	if leadership.Term != liveness.term {
		liveness.term = leadership.Term
		clear(liveness.listedSince)
		clear(liveness.cutAt)
		clear(liveness.proposed)
	}
	liveness.proposeEmpty(now)
	if now.Sub(liveness.decidedAt) < decideInterval {
		return
	}
	liveness.decidedAt = now
	liveness.decide(now)
}

// verdict is what the heartbeats say of one target.
type verdict struct {
	target model.Target
	node   Node
	// seen tells that the node is in the registry.
	seen bool
	// silent tells that its heartbeats have stayed away for long enough.
	silent bool
	// quiet tells that they have stayed away for half as long: the targets of
	// a zone that was cut off do not all reach the limit in the same moment.
	quiet bool
	// lost tells that there are flows to lose: an agent ran at this target.
	lost bool
}

func (liveness *Liveness) decide(now time.Time) {
	configuration := liveness.world.Configuration()
	liveness.forgetTargets(configuration)
	view := liveness.registry.View()
	zones := make(map[model.ZoneName][]verdict)
	for _, target := range configuration.Targets {
		liveness.list(now, target.ID)
		judged := liveness.judge(now, view, target)
		zones[target.Zone] = append(zones[target.Zone], judged)
	}
	var observations []Observation
	for zone, verdicts := range zones {
		cut := liveness.latelyCut(now, zone, verdicts)
		for _, judged := range verdicts {
			if observation, changed := liveness.conclude(now, judged, cut); changed {
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

func (liveness *Liveness) list(now time.Time, target model.TargetID) {
	if _, listed := liveness.listedSince[target]; !listed {
		liveness.listedSince[target] = now
	}
}

func (liveness *Liveness) forgetTargets(configuration *model.Configuration) {
	for id := range liveness.listedSince {
		if _, known := configuration.Targets[id]; !known {
			delete(liveness.listedSince, id)
			delete(liveness.proposed, id)
		}
	}
}

func (liveness *Liveness) judge(now time.Time, view View, target model.Target) verdict {
	node, seen := view.Node(model.NodeName(target.Name))
	seen = seen && node.Role == model.RoleAgent && node.Incarnation >= target.Incarnation
	judged := verdict{target: target, node: node, seen: seen, lost: target.Incarnation != 0}
	if !seen {
		unseenFor := now.Sub(liveness.listedSince[target.ID])
		judged.silent = unseenFor > liveness.deadAfter+moveTime
		judged.quiet = unseenFor > liveness.deadAfter/2
		return judged
	}
	patience := liveness.deadAfter
	if !liveness.witnessed(now, node) {
		patience += moveTime
	}
	silence := now.Sub(liveness.heard(node))
	judged.quiet = silence > liveness.deadAfter/2
	judged.silent = node.Leaving || silence > patience
	return judged
}

// heard returns the moment from which a node's silence counts. A new leader
// may learn first of a relay that the node left long ago, so silence before
// its own time of leadership does not count.
func (liveness *Liveness) heard(node Node) time.Time {
	since := liveness.world.Leadership().Since
	if since.After(node.LastSeen) {
		return since
	}
	return node.LastSeen
}

// witnessed tells whether the relay that heard the node last is alive and can
// tell that it is silent, so that the silence is the node's and not the
// relay's. A relay that the node left before is no witness.
func (liveness *Liveness) witnessed(now time.Time, node Node) bool {
	relay, known := liveness.registry.Relays.Get(node.LastRelay)
	return known && now.Sub(relay.LastSeen) <= rollout.FreshWithin
}

// latelyCut tells whether a zone looks cut off or did so lately. When a cut
// heals, the agents' first heartbeats do not come in the same moment, and those
// that are still missing must not be taken for dead.
func (liveness *Liveness) latelyCut(now time.Time, zone model.ZoneName, verdicts []verdict) bool {
	if liveness.looksCut(now, zone, verdicts) {
		liveness.cutAt[zone] = now
		return true
	}
	cutAt, known := liveness.cutAt[zone]
	return known && now.Sub(cutAt) <= liveness.deadAfter+moveTime
}

// looksCut tells whether the silence of a zone's targets may be a cut between
// control and the zone: more than half of the targets that ran, and at least
// two, are quiet without having said goodbye; or all of them are, be it only
// one, and so are the zone's relays.
func (liveness *Liveness) looksCut(now time.Time, zone model.ZoneName, verdicts []verdict) bool {
	quiet, running := 0, 0
	for _, judged := range verdicts {
		if !judged.lost || judged.target.Phase == model.PhaseDead || judged.node.Leaving {
			continue
		}
		running++
		if judged.quiet {
			quiet++
		}
	}
	if quiet > 0 && quiet == running && liveness.relaysSilent(now, zone) {
		return true
	}
	return quiet >= massLeast && 2*quiet > running
}

// relaysSilent tells whether the zone has known relays and none reports.
func (liveness *Liveness) relaysSilent(now time.Time, zone model.ZoneName) bool {
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

// conclude returns the observation to propose for a target, if any.
func (liveness *Liveness) conclude(now time.Time, judged verdict, cut bool) (Observation, bool) {
	target := judged.target
	observation := Observation{Target: target.ID, Incarnation: target.Incarnation, Alive: !judged.silent}
	if judged.seen {
		observation.Incarnation = judged.node.Incarnation
	}
	dead := target.Phase == model.PhaseDead
	if observation.Incarnation == target.Incarnation && dead == judged.silent {
		return Observation{}, false
	}
	if !judged.silent && !judged.seen {
		return Observation{}, false
	}
	if judged.silent && liveness.spared(judged, cut) {
		return Observation{}, false
	}
	last, repeated := liveness.proposed[target.ID]
	if repeated && last.observation == observation && now.Sub(last.at) < repeatAfter {
		return Observation{}, false
	}
	liveness.proposed[target.ID] = proposedObservation{observation: observation, at: now}
	return observation, true
}

// spared tells whether a silent target keeps its place. One that said goodbye,
// or that never ran, has no flows to lose.
func (liveness *Liveness) spared(judged verdict, cut bool) bool {
	if !cut || !judged.lost || (judged.seen && judged.node.Leaving) {
		return false
	}
	live, known := liveness.world.ListedLive(model.NodeName(judged.target.Name))
	return !known || live
}

// proposeEmpty passes on the reports of empty buckets that the configuration
// waits for.
func (liveness *Liveness) proposeEmpty(now time.Time) {
	if now.Sub(liveness.emptyAt) < emptyInterval || liveness.registry.EmptyBuckets.Length() == 0 {
		return
	}
	liveness.emptyAt = now
	configuration := liveness.world.Configuration()
	var batch []model.BucketEmpty
	liveness.registry.EmptyBuckets.Range(func(key BucketKey, row board.Row[model.BucketEmpty]) bool {
		if len(batch) == maximumEmptyBatch {
			return false
		}
		liveness.registry.EmptyBuckets.Delete(key)
		if rollout.AwaitsEmpty(configuration, row.Value) {
			batch = append(batch, row.Value)
		}
		return true
	})
	if len(batch) > 0 {
		slices.SortFunc(batch, compareEmpty)
		liveness.proposals.Put(Proposal{EmptyBuckets: batch})
	}
}

func compareEmpty(left, right model.BucketEmpty) int {
	return cmp.Or(
		cmp.Compare(left.Service, right.Service),
		cmp.Compare(left.Target, right.Target),
		cmp.Compare(left.Bucket, right.Bucket),
	)
}
