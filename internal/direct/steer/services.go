package steer

import (
	"slices"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// Services follow the targets. A change touches the services of the targets that it
// changes, and nothing else: with thousands of targets, of which some come and go all the
// time, collecting all of them anew takes milliseconds a change, at every balancer.

// part is what a target is in its service.
type targetRole uint8

const (
	// partNone: the target takes no new flows, and its service does not count it.
	roleNone targetRole = iota
	// partTaking: it takes new flows.
	roleActive
	// partCold: it is cold in a service that bounds that, and another balancer may give it
	// new flows. No balancer but the holder can know what the others send, so that the sum
	// over all keeps the bound whatever their tables say. With half the weight for cold
	// targets, 88 balancers brought 12 new flows in a second where 11 were allowed
	// (docs/design/zones.md).
	roleCold
	// partHeld: it is cold as well, and this balancer is its holder.
	roleHeldCold
	// partEvacuated: its zone was emptied.
	roleEvacuated
)

// partOf returns what a target is in its service, by what the table knows.
func (table *Table) roleOf(target *targetRecord) targetRole {
	if target.State != directory.TargetReady {
		return roleNone
	}
	if _, evacuated := table.evacuated[target.Zone]; evacuated {
		return roleEvacuated
	}
	bounded := table.coldLimits.perSecond[target.Service] > 0
	switch {
	case !bounded || target.Cold == 0:
		return roleActive
	case target.Holder == table.options.Self && table.options.Self != "":
		return roleHeldCold
	default:
		return roleCold
	}
}

// rebuildServices collects all targets anew, for each home that a route has. Services keep
// what they learned.
func (table *Table) rebuildServices() {
	former := table.services
	table.services = make(map[serviceKey]*service)
	table.regionSets = table.routeRegionSets()
	for _, target := range table.targets {
		table.addToServices(target, former)
	}
	table.finishDirtyServices()
}

// settleServices finishes the services whose targets changed, and forgets those without any.
func (table *Table) finishDirtyServices() {
	for _, key := range table.dirtyServices {
		changed := table.services[key]
		changed.dirty = false
		if changed.targetCount == 0 {
			delete(table.services, key)
			continue
		}
		changed.updateMaxLocalZoneWeight()
		changed.evacuatedSince = table.latestEvacuation(changed.evacuatedTargets)
	}
	table.dirtyServices = table.dirtyServices[:0]
}

// latestOrder returns the revision of the latest order that emptied one of the zones in
// which there are targets; zero without one.
func (table *Table) latestEvacuation(targets map[string]int) model.Revision {
	var latest model.Revision
	for zone, count := range targets {
		if count > 0 {
			latest = max(latest, table.evacuated[zone].Since)
		}
	}
	return latest
}

// unsettle notes that a service's targets change.
func (table *Table) markDirty(key serviceKey, changed *service) {
	if !changed.dirty {
		changed.dirty = true
		table.dirtyServices = append(table.dirtyServices, key)
	}
}

// join takes a target in at its services. former are the services that those which are new
// go on from.
func (table *Table) addToServices(target *targetRecord, former map[serviceKey]*service) {
	joined := table.roleOf(target)
	if joined == roleNone {
		return
	}
	for _, home := range table.regionSets {
		if !home.allows(target.region) {
			continue
		}
		key := serviceKey{name: target.Service, regions: home}
		known := table.services[key]
		if known == nil {
			known = newService(former[key])
			known.coldFlowRate = table.coldLimits.perSecond[key.name]
			table.services[key] = known
		}
		table.markDirty(key, known)
		known.addTarget(target, joined)
	}
}

// leave takes a target out at its services. The target and the table's zones, bounds and
// homes must be as they were when it joined.
func (table *Table) removeFromServices(target *targetRecord) {
	left := table.roleOf(target)
	if left == roleNone {
		return
	}
	for _, home := range table.regionSets {
		key := serviceKey{name: target.Service, regions: home}
		known := table.services[key]
		if known == nil || !home.allows(target.region) {
			continue
		}
		table.markDirty(key, known)
		known.removeTarget(target, left)
	}
}

func (service *service) addTarget(target *targetRecord, joined targetRole) {
	service.targetCount++
	switch joined {
	case roleActive:
		service.pool.add(target)
		service.adjustTotals(target, 1)
	case roleHeldCold:
		service.coldCount++
		service.heldCold = append(service.heldCold, target)
	case roleCold:
		service.coldCount++
	case roleEvacuated:
		if service.evacuatedTargets == nil {
			service.evacuatedTargets = make(map[string]int)
		}
		service.evacuatedTargets[target.Zone]++
	}
}

func (service *service) removeTarget(target *targetRecord, left targetRole) {
	service.targetCount--
	switch left {
	case roleActive:
		service.pool.remove(target)
		service.adjustTotals(target, -1)
	case roleHeldCold:
		service.coldCount--
		service.heldCold = slices.DeleteFunc(service.heldCold, func(held *targetRecord) bool { return held == target })
	case roleCold:
		service.coldCount--
	case roleEvacuated:
		service.evacuatedTargets[target.Zone]--
	}
}

// count changes the service's sums by a target that comes, with 1, or goes, with -1.
func (service *service) adjustTotals(target *targetRecord, sign int) {
	service.capacity += sign * target.Capacity
	service.slotsByZone[target.Zone] += sign * target.slots()
	if service.slotsByZone[target.Zone] == 0 {
		delete(service.slotsByZone, target.Zone)
	}
	if target.inLocalZone {
		service.localZoneSlots += sign * target.slots()
	}
}
