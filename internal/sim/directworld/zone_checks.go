package directworld

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
)

// evacuateBound is how long after an acknowledged order to evacuate a zone its targets may still get
// new flows.
const evacuateBound = 5 * time.Second

// zoneState is the state of a zone that the operator can infer from its orders.
type zoneState struct {
	// evacuated reports whether the latest acknowledged order evacuated the zone, and since is
	// when it was acknowledged.
	evacuated bool
	since     time.Time
	// uncertain reports whether an order is in progress, or was given up without an
	// acknowledgement.
	uncertain bool
}

// zoneChecks verifies evacuations of zones.
type zoneChecks struct {
	world  *World
	states map[model.ZoneName]*zoneState
	// acknowledgedOrders counts the acknowledged orders.
	acknowledgedOrders int
}

func newZoneChecks(world *World) *zoneChecks {
	return &zoneChecks{world: world, states: make(map[model.ZoneName]*zoneState)}
}

// state returns the state of a zone; it creates it if there is none.
func (checks *zoneChecks) state(zone model.ZoneName) *zoneState {
	if checks.states[zone] == nil {
		checks.states[zone] = &zoneState{}
	}
	return checks.states[zone]
}

// orderSent records that an order for the zone is in progress.
func (checks *zoneChecks) orderSent(zone model.ZoneName) { checks.state(zone).uncertain = true }

// orderAcknowledged records that an order for the zone was acknowledged. end marks an order that
// ends an evacuation.
func (checks *zoneChecks) orderAcknowledged(zone model.ZoneName, end bool) {
	checks.acknowledgedOrders++
	*checks.state(zone) = zoneState{evacuated: !end, since: checks.world.Now()}
}

// flowOpened checks that a target that accepts a new flow is not in an evacuated zone.
func (checks *zoneChecks) flowOpened(sender *balancer, target *target) {
	state := checks.state(target.zone)
	passed := checks.world.Now().Sub(state.since)
	if state.evacuated && !state.uncertain && passed > evacuateBound && checks.world.settled() {
		checks.world.checks.violate(checker.InvariantEvacuated, "%s sent a new flow to %s in %s, which is emptied since %s",
			sender.process.Name, target.address, target.zone, passed)
	}
}

// checkEnd checks that the leader has the state of each zone according to the latest acknowledged
// order, and that every active balancer has as many evacuated zones as the leader.
func (checks *zoneChecks) checkEnd(leader *Member) {
	evacuatedZones := make(map[string]bool)
	evacuations, _ := leader.Directory.Evacuations()
	for _, evacuation := range evacuations {
		evacuatedZones[evacuation.Zone] = true
	}
	for zone, state := range checks.states {
		if !state.uncertain && evacuatedZones[string(zone)] != state.evacuated {
			checks.world.checks.violate(checker.InvariantEvacuated, "zone %s ends with evacuated=%t, against the order that was acknowledged last",
				zone, evacuatedZones[string(zone)])
		}
	}
	for _, balancer := range checks.world.balancers {
		if balancer.process.Active() && balancer.table.EvacuatedZones() != len(evacuatedZones) {
			checks.world.checks.violate(checker.InvariantEvacuated, "%s ends with %d emptied zones, the leader with %d",
				balancer.process.Name, balancer.table.EvacuatedZones(), len(evacuatedZones))
		}
	}
}

const (
	// coldOverage and coldSlack are the tolerance of the rate of new flows at a cold target: the
	// limit is multiplied by coldOverage, and coldSlack flows are added.
	coldOverage = 1.5
	coldSlack   = 5
)

// checkColdRate records a new flow at a cold target and checks the rate of its new flows, summed
// over all balancers.
func (checks *checks) checkColdRate(target *target) {
	limit := checks.world.options.ColdLimit
	if !limit.Bounded() || target.remainingCold() == 0 {
		return
	}
	now := checks.world.Now()
	kept := target.coldFlows[:0]
	for _, at := range target.coldFlows {
		if now.Sub(at) < time.Second {
			kept = append(kept, at)
		}
	}
	target.coldFlows = append(kept, now)
	if float64(len(target.coldFlows)) > limit.PerSecond*coldOverage+coldSlack {
		checks.violate(checker.InvariantColdRate, "the cold target %s got %d new flows in a second", target.address, len(target.coldFlows))
	}
}
