package steer

import (
	"time"

	"merlinpaddle/internal/direct/directory"
)

// copiesSpan is the time within which callers send copies of an opening packet.
// A balancer whose first table is younger placed none of the former copies, so
// that a further one says nothing about a target.
const retransmissionSpan = 1400 * time.Millisecond

// Decide returns what to do with a packet at now.
func (table *Table) Decide(segment Segment, now time.Time) Decision {
	table.lock.RLock()
	defer table.lock.RUnlock()
	decision := table.decide(segment, now)
	if decision.Reason != ReasonOwner {
		decision.Revision = table.revision
		decision.Version = table.version
		decision.ConfirmedAgo = table.confirmedAgo(now)
	}
	return decision
}

func (table *Table) confirmedAgo(now time.Time) time.Duration {
	if table.confirmedAt.IsZero() {
		return NeverConfirmed
	}
	return now.Sub(table.confirmedAt)
}

func (table *Table) decide(segment Segment, now time.Time) Decision {
	if table.version == 0 {
		return Decision{Reason: ReasonNoTable}
	}
	route, exists := table.routes[segment.Service]
	if !exists {
		return table.refuseUnknownRoute(segment, now)
	}
	if segment.Opening {
		return table.openFlow(segment, route, now)
	}
	return table.decideOpenFlow(segment)
}

// refuseRoute answers a packet whose address has no route. A balancer whose
// table may be old says nothing, because the route may exist.
func (table *Table) refuseUnknownRoute(segment Segment, now time.Time) Decision {
	if !table.fresh(now) {
		return Decision{Reason: ReasonNoRouteStale}
	}
	return resetUnlessAbort(segment, ReasonNoRoute)
}

func resetUnlessAbort(segment Segment, reason Reason) Decision {
	if segment.Abort {
		return Decision{Reason: reason}
	}
	return Decision{Action: Reset, Reason: reason}
}

// follow finds the owner of an open flow by its token.
func (table *Table) decideOpenFlow(segment Segment) Decision {
	if segment.Token == 0 {
		return Decision{Reason: ReasonMissingToken}
	}
	target, known := table.targets[segment.Token]
	if !known {
		return Decision{Reason: ReasonUnknownToken}
	}
	if target.State != directory.TargetFailed {
		return forwardTo(target, ReasonOwner)
	}
	if restarted := table.restartedInPlace(target); restarted != nil {
		return forwardTo(restarted, ReasonRestarted)
	}
	return resetUnlessAbort(segment, ReasonTargetFailed)
}

// restartedInPlace returns the latest incarnation of a failed target, if it started again
// at the same address. Flows that opened there before balancers knew of the new start
// have the former token, and only the target knows which flows those are: it resets all
// others by itself. nil for none.
func (table *Table) restartedInPlace(failed *targetRecord) *targetRecord {
	latest := table.latestByID[failed.ID]
	if latest == nil || latest.Token <= failed.Token || latest.State == directory.TargetFailed {
		return nil
	}
	if latest.Address != failed.Address || latest.Service != failed.Service {
		return nil
	}
	return latest
}

func forwardTo(target *targetRecord, reason Reason) Decision {
	return Decision{Action: Forward, Reason: reason, Token: target.Token, ID: target.ID, Target: target.Address, Service: target.Service, Capacity: target.Capacity}
}

// open chooses a target for an opening packet. Copies go to another choice: the
// former one did not answer in time. A copy of a packet that was sent on is not
// refused, because the answer to that one may be under way.
func (table *Table) openFlow(segment Segment, route route, now time.Time) Decision {
	hash := flowHash(segment)
	name, found := route.chooseService(hash)
	if !found {
		return Decision{Reason: ReasonNoTarget}
	}
	service := table.services[serviceKey{name: name, regions: route.regions}]
	if service == nil {
		return table.refuseOutsideRegions(segment, name, route, now)
	}
	if service.pool.count == 0 {
		return table.openWithoutActiveTargets(service, hash, segment, route, now)
	}
	candidate := table.candidate(service, hash, segment, route, now)
	if !table.admits(service, candidate, route, now) && !segment.AlreadyForwarded {
		if decision, opened := table.openCold(service, hash, segment, route, now); opened {
			return decision
		}
		return Decision{
			Action: Reset, Reason: ReasonOverloaded,
			ID: candidate.target.ID, Open: candidate.open, Expected: candidate.expected,
			Evidence: table.evidence(candidate.target, now),
		}
	}
	return table.openAt(candidate, route, now)
}

// candidate is the target that a new flow would go to.
type candidate struct {
	target *targetRecord
	place  Locality
	// former is the target that did not answer the flow's former opening packet, or zero.
	unresponsive directory.Token
	// open is the number of requests that are open there, and expected how long a further
	// one would take.
	open     int
	expected time.Duration
}

// candidate returns the least busy of the best targets by hash, which are near ones mostly,
// or one elsewhere when these have no room.
func (table *Table) candidate(service *service, hash uint64, segment Segment, route route, now time.Time) candidate {
	var choices rankedTargets
	service.rank(rankCriteria{hash: hash, now: now, localZoneWeight: table.localZoneWeightFor(service)}, &choices)
	choices.leastBusyFirst(table.options)
	chosen, former := choices.pick(segment)
	place := localityOf(chosen)
	if segment.Attempt == 0 {
		if spilled := table.spilloverTarget(service, chosen, hash, now); spilled != nil {
			chosen, place = spilled, LocalitySpillover
		}
	}
	open, serving := table.loadOf(chosen)
	return candidate{
		target: chosen, place: place, unresponsive: former,
		open: open, expected: chosen.expectedTime(open, serving, route.objective),
	}
}

// openAt gives a new flow to its candidate.
func (table *Table) openAt(candidate candidate, route route, now time.Time) Decision {
	decision := forwardTo(candidate.target, ReasonChosen)
	decision.Open = candidate.open
	decision.Expected = candidate.expected
	decision.Objective = route.objective
	decision.Locality = candidate.place
	silent := candidate.unresponsive != 0 && candidate.unresponsive != candidate.target.Token
	if silent && now.Sub(table.servingSince) > retransmissionSpan {
		decision.Suspect = candidate.unresponsive
	}
	return decision
}

// refuseHome answers an opening packet whose service has no target in the route's
// regions. Where it has some elsewhere, waiting does not help the caller, and it is
// refused; else one may register soon.
func (table *Table) refuseOutsideRegions(segment Segment, name string, route route, now time.Time) Decision {
	elsewhere := route.regions != anyRegion && table.services[serviceKey{name: name}] != nil
	switch {
	case !elsewhere:
		return Decision{Reason: ReasonNoTarget}
	case segment.AlreadyForwarded || !table.fresh(now):
		return Decision{Reason: ReasonNoHome}
	default:
		return Decision{Action: Reset, Reason: ReasonNoHome}
	}
}

// openWithoutTargets decides about an opening packet whose service has targets, none
// of which takes new flows of all balancers.
func (table *Table) openWithoutActiveTargets(service *service, hash uint64, segment Segment, route route, now time.Time) Decision {
	if service.coldCount == 0 {
		return table.refuseEvacuated(segment, service, now)
	}
	if decision, opened := table.openCold(service, hash, segment, route, now); opened {
		return decision
	}
	return refuseCold(segment)
}

// refuseEvacuated answers an opening packet whose service has targets in emptied
// zones alone. The order stands until an operator ends it, so that waiting does not
// help the caller. A balancer whose table may be old says nothing, because the order
// may have ended; and a copy of a packet that was sent on is not refused, because
// the flow may have opened before the order.
func (table *Table) refuseEvacuated(segment Segment, service *service, now time.Time) Decision {
	decision := Decision{Reason: ReasonEvacuated, EvacuatedSince: service.evacuatedSince}
	if table.fresh(now) && !segment.AlreadyForwarded {
		decision.Action = Reset
	}
	return decision
}

func (table *Table) loadOf(target *targetRecord) (open int, serving time.Duration) {
	if table.options.Loads == nil {
		return 0, 0
	}
	open, serving = table.options.Loads.Load(target.Token)
	if serving == 0 {
		serving = table.options.Loads.TypicalServiceTime(target.Service)
	}
	return open, serving
}

// choose picks the part of the pool by weight.
func (route *route) chooseService(hash uint64) (string, bool) {
	if route.totalWeight == 0 {
		return "", false
	}
	// The upper half of the hash decides the part and the whole hash the
	// target, so that the two choices do not depend on each other.
	ticket := int((hash >> 32) % uint64(route.totalWeight))
	for _, part := range route.parts {
		ticket -= part.Weight
		if ticket < 0 {
			return part.Service, true
		}
	}
	return "", false
}
