package directworld

import (
	"time"

	"merlinpaddle/internal/checker"
	"merlinpaddle/internal/model"
)

// evacuateBound is how long after the acknowledged order targets of a zone may get new
// flows.
const evacuateBound = 5 * time.Second

// zoneState is what an operator knows of a zone.
type zoneState struct {
	// evacuated is what the latest acknowledged order says, and since when.
	evacuated bool
	since     time.Time
	// unsure tells that an order is under way, or was given up without an answer.
	uncertain bool
}

// zoneChecks judges the orders for zones.
type zoneChecks struct {
	world  *World
	states map[model.ZoneName]*zoneState
	// acknowledged counts the orders that were.
	acknowledgedOrders int
}

func newZoneChecks(world *World) *zoneChecks {
	return &zoneChecks{world: world, states: make(map[model.ZoneName]*zoneState)}
}

func (checks *zoneChecks) state(zone model.ZoneName) *zoneState {
	if checks.states[zone] == nil {
		checks.states[zone] = &zoneState{}
	}
	return checks.states[zone]
}

// sent notes that an order for the zone is under way.
func (checks *zoneChecks) orderSent(zone model.ZoneName) { checks.state(zone).uncertain = true }

// ordered notes that an order for the zone was acknowledged.
func (checks *zoneChecks) orderAcknowledged(zone model.ZoneName, end bool) {
	checks.acknowledgedOrders++
	*checks.state(zone) = zoneState{evacuated: !end, since: checks.world.Now()}
}

// opened judges a target that takes a new flow.
func (checks *zoneChecks) flowOpened(sender *balancer, target *target) {
	state := checks.state(target.zone)
	passed := checks.world.Now().Sub(state.since)
	if state.evacuated && !state.uncertain && passed > evacuateBound && checks.world.settled() {
		checks.world.checks.violate(checker.InvariantEvacuated, "%s sent a new flow to %s in %s, which is emptied since %s",
			sender.process.Name, target.address, target.zone, passed)
	}
}

// end demands that the leader and every balancer hold what was acknowledged last.
func (checks *zoneChecks) checkEnd(leader *Member) {
	held := make(map[string]bool)
	evacuations, _ := leader.Directory.Evacuations()
	for _, evacuation := range evacuations {
		held[evacuation.Zone] = true
	}
	for zone, state := range checks.states {
		if !state.uncertain && held[string(zone)] != state.evacuated {
			checks.world.checks.violate(checker.InvariantEvacuated, "zone %s ends with evacuated=%t, against the order that was acknowledged last",
				zone, held[string(zone)])
		}
	}
	for _, balancer := range checks.world.balancers {
		if balancer.process.Active() && balancer.table.EvacuatedZones() != len(held) {
			checks.world.checks.violate(checker.InvariantEvacuated, "%s ends with %d emptied zones, the leader with %d",
				balancer.process.Name, balancer.table.EvacuatedZones(), len(held))
		}
	}
}

const (
	// coldOverage and coldSlack are the tolerance of the rate of a cold target.
	coldOverage = 1.5
	coldSlack   = 5
)

// openedCold judges a cold target that takes a new flow, whoever sent it.
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
