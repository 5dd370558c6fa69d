package steer

import (
	"time"

	"merlinpaddle/internal/direct/directory"
)

// retransmissionSpan is the time within which callers send all retransmissions of an opening
// packet. A balancer that got its first table less than this ago did not place the earlier
// attempts, so that a further attempt says nothing about the health of a target.
const retransmissionSpan = 1400 * time.Millisecond

// Decide returns what to do with a packet that arrives at now.
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
	switch {
	case !exists && !segment.Opening && segment.Token != 0:
		return table.decideFlowWithoutRoute(segment, now)
	case !exists:
		return table.refuseUnknownRoute(segment, now)
	case segment.Opening:
		return table.openFlow(segment, route, now)
	default:
		return table.decideOpenFlow(segment)
	}
}

// refuseUnknownRoute decides about a packet whose address has no route. A balancer with a stale
// table drops it without an answer, because the route may exist.
func (table *Table) refuseUnknownRoute(segment Segment, now time.Time) Decision {
	if !table.fresh(now) {
		return Decision{Reason: ReasonNoRouteStale}
	}
	return resetUnlessAbort(segment, ReasonNoRoute)
}

// decideFlowWithoutRoute decides about a packet of an open flow whose address has no route. The
// flow's token shows that another balancer has, or had, the route. If this balancer never had it,
// the route is newer than its table, and the flow's owner gets the packet. If the route was removed,
// the flow is reset once the table was confirmed after the packet arrived; until then the route may
// have been declared again without this balancer's knowledge.
func (table *Table) decideFlowWithoutRoute(segment Segment, now time.Time) Decision {
	if !table.removedRoutes.contains(segment.Service) {
		return table.decideOpenFlow(segment)
	}
	arrivedAt := segment.WaitingSince
	if arrivedAt.IsZero() {
		arrivedAt = now
	}
	if !table.confirmedAt.After(arrivedAt) {
		return Decision{Reason: ReasonRouteRemoved}
	}
	return table.refuseUnknownRoute(segment, now)
}

// resetUnlessAbort returns the decision that answers a packet with a reset, or drops it if it is
// itself an abort.
func resetUnlessAbort(segment Segment, reason Reason) Decision {
	if segment.Abort {
		return Decision{Reason: reason}
	}
	return Decision{Action: Reset, Reason: reason}
}

// decideOpenFlow decides about a packet of an open flow by its token, which names the flow's
// owner.
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

// restartedInPlace returns the latest incarnation of a failed target if it restarted at the same
// address, and nil otherwise. Flows that opened there before balancers knew of the restart carry
// the token of the previous incarnation. Only the target can tell them from the flows that the
// restart ended: it resets those itself.
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

// openFlow chooses a target for an opening packet. A retransmission goes to another target,
// because the previous one did not answer in time. A retransmission of a packet that was already
// forwarded is not refused, because the answer to that packet may be on its way.
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

// candidate is the target that a new flow goes to if it is admitted.
type candidate struct {
	target   *targetRecord
	locality Locality
	// unresponsive is the token of the target that did not answer the flow's previous
	// attempt, or zero.
	unresponsive directory.Token
	// open is the number of open requests at the target, and expected the time that a
	// further one would take there.
	open     int
	expected time.Duration
}

// candidate returns the least busy of the best targets by hash, which are mostly in the local
// zone. For an original opening packet it returns a target of a remote zone instead when that one
// has no idle slot.
func (table *Table) candidate(service *service, hash uint64, segment Segment, route route, now time.Time) candidate {
	var ranked rankedTargets
	service.rank(rankCriteria{hash: hash, now: now, localZoneWeight: table.localZoneWeightFor(service)}, &ranked)
	ranked.leastBusyFirst(table.options)
	chosen, unresponsive := ranked.pick(segment)
	locality := localityOf(chosen)
	if segment.Attempt == 0 {
		if remote := table.spilloverTarget(service, chosen, hash, now); remote != nil {
			chosen, locality = remote, LocalitySpillover
		}
	}
	open, serviceTime := table.loadOf(chosen)
	return candidate{
		target: chosen, locality: locality, unresponsive: unresponsive,
		open: open, expected: chosen.expectedTime(open, serviceTime, route.objective),
	}
}

// openAt returns the decision that gives a new flow to its candidate. When the candidate is not
// the target that did not answer the previous attempt, that one is reported as a suspect.
func (table *Table) openAt(candidate candidate, route route, now time.Time) Decision {
	decision := forwardTo(candidate.target, ReasonChosen)
	decision.Open = candidate.open
	decision.Expected = candidate.expected
	decision.Objective = route.objective
	decision.Locality = candidate.locality
	retargeted := candidate.unresponsive != 0 && candidate.unresponsive != candidate.target.Token
	if retargeted && now.Sub(table.servingSince) > retransmissionSpan {
		decision.Suspect = candidate.unresponsive
	}
	return decision
}

// refuseOutsideRegions decides about an opening packet whose service has no target in the
// route's regions. Where the service has targets in other regions, waiting does not help the
// caller, and the packet is refused, or dropped if the table is stale or the flow may have opened.
// Where it has none at all, one may register soon, and the packet is dropped.
func (table *Table) refuseOutsideRegions(segment Segment, name string, route route, now time.Time) Decision {
	inOtherRegions := route.regions != anyRegion && table.services[serviceKey{name: name}] != nil
	switch {
	case !inOtherRegions:
		return Decision{Reason: ReasonNoTarget}
	case segment.AlreadyForwarded || !table.fresh(now):
		return Decision{Reason: ReasonNoHome}
	default:
		return Decision{Action: Reset, Reason: ReasonNoHome}
	}
}

// openWithoutActiveTargets decides about an opening packet whose service has targets, but only
// cold or evacuated ones.
func (table *Table) openWithoutActiveTargets(service *service, hash uint64, segment Segment, route route, now time.Time) Decision {
	if service.coldCount == 0 {
		return table.refuseEvacuated(segment, service, now)
	}
	if decision, opened := table.openCold(service, hash, segment, route, now); opened {
		return decision
	}
	return refuseCold(segment)
}

// refuseEvacuated decides about an opening packet whose service has targets in evacuated zones
// only. An evacuation lasts until an operator ends it, so that waiting does not help the caller,
// and the packet is refused. A balancer with a stale table drops it instead, because the
// evacuation may have ended. A retransmission of a packet that was already forwarded is dropped
// too, because the flow may have opened before the evacuation.
func (table *Table) refuseEvacuated(segment Segment, service *service, now time.Time) Decision {
	decision := Decision{Reason: ReasonEvacuated, EvacuatedSince: service.evacuatedSince}
	if table.fresh(now) && !segment.AlreadyForwarded {
		decision.Action = Reset
	}
	return decision
}

// loadOf returns the number of open requests at a target and the service time of an idle one,
// which is that of a typical target of the service when the target's own is not known. Both are
// zero without load estimates.
func (table *Table) loadOf(target *targetRecord) (open int, serviceTime time.Duration) {
	if table.options.Loads == nil {
		return 0, 0
	}
	open, serviceTime = table.options.Loads.Load(target.Token)
	if serviceTime == 0 {
		serviceTime = table.options.Loads.TypicalServiceTime(target.Service)
	}
	return open, serviceTime
}

// chooseService chooses a part of the route's pool by weight and returns its service. It returns
// false when no part has a weight.
func (route *route) chooseService(hash uint64) (string, bool) {
	if route.totalWeight == 0 {
		return "", false
	}
	// The upper half of the hash decides the part and the whole hash the target, so that
	// the two choices do not depend on each other.
	remaining := int((hash >> 32) % uint64(route.totalWeight))
	for _, part := range route.parts {
		remaining -= part.Weight
		if remaining < 0 {
			return part.Service, true
		}
	}
	return "", false
}
