package steer

import (
	"slices"

	"merlinpaddle/internal/direct/directory"
	"merlinpaddle/internal/model"
)

// Services are updated incrementally. A change updates the services of the targets that it
// changes and no others: with thousands of targets, some of which are added and removed all the
// time, rebuilding all services takes milliseconds for each change, at every balancer.

// targetRole is the role of a target in its service for this balancer.
type targetRole uint8

const (
	// roleNone: the target takes no new flows and does not count in its service.
	roleNone targetRole = iota
	// roleActive: the target takes new flows.
	roleActive
	// roleCold: the target is cold, its service limits the rate of new flows to cold
	// targets, and only another balancer, the target's holder, may send it new flows. A
	// balancer cannot know what the others send, so a single holder for each target is what
	// keeps the sum over all balancers within the limit whatever their tables contain. With
	// half the weight for cold targets instead, 88 balancers sent 12 new flows in a second
	// where 11 were allowed (docs/design/zones.md).
	roleCold
	// roleHeldCold: the target is cold as with roleCold, and this balancer is its holder.
	roleHeldCold
	// roleEvacuated: the target's zone is evacuated.
	roleEvacuated
)

// roleOf returns the role of a target according to the table.
func (table *Table) roleOf(target *targetRecord) targetRole {
	if target.State != directory.TargetReady {
		return roleNone
	}
	if _, evacuated := table.evacuated[target.Zone]; evacuated {
		return roleEvacuated
	}
	limited := table.coldLimits.perSecond[target.Service] > 0
	switch {
	case !limited || target.Cold == 0:
		return roleActive
	case target.Holder == table.options.Self && table.options.Self != "":
		return roleHeldCold
	default:
		return roleCold
	}
}

// rebuildServices rebuilds the services from all targets, one for each region set that a route
// has. The new services keep the congestion and priority state of the previous ones.
func (table *Table) rebuildServices() {
	previous := table.services
	table.services = make(map[serviceKey]*service)
	table.regionSets = table.routeRegionSets()
	for _, target := range table.targets {
		table.addToServices(target, previous)
	}
	table.finishDirtyServices()
}

// finishDirtyServices recomputes the derived values of services whose targets changed, and
// deletes services without targets.
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

// latestEvacuation returns the revision of the latest evacuation among the zones that have
// targets, whose numbers by zone are given. It returns zero when there is none.
func (table *Table) latestEvacuation(targetsByZone map[string]int) model.Revision {
	var latest model.Revision
	for zone, count := range targetsByZone {
		if count > 0 {
			latest = max(latest, table.evacuated[zone].Since)
		}
	}
	return latest
}

// markDirty records that the targets of a service are changing.
func (table *Table) markDirty(key serviceKey, changed *service) {
	if !changed.dirty {
		changed.dirty = true
		table.dirtyServices = append(table.dirtyServices, key)
	}
}

// addToServices adds a target to its services, one for each region set that allows the target.
// A service that has to be created takes over the state of the previous one with the same key.
func (table *Table) addToServices(target *targetRecord, previous map[serviceKey]*service) {
	role := table.roleOf(target)
	if role == roleNone {
		return
	}
	for _, regions := range table.regionSets {
		if !regions.allows(target.region) {
			continue
		}
		key := serviceKey{name: target.Service, regions: regions}
		known := table.services[key]
		if known == nil {
			known = newService(previous[key])
			known.coldFlowRate = table.coldLimits.perSecond[key.name]
			table.services[key] = known
		}
		table.markDirty(key, known)
		known.addTarget(target, role)
	}
}

// removeFromServices removes a target from its services. The target and the table's evacuated
// zones, cold limits and region sets must be the same as when it was added.
func (table *Table) removeFromServices(target *targetRecord) {
	role := table.roleOf(target)
	if role == roleNone {
		return
	}
	for _, regions := range table.regionSets {
		key := serviceKey{name: target.Service, regions: regions}
		known := table.services[key]
		if known == nil || !regions.allows(target.region) {
			continue
		}
		table.markDirty(key, known)
		known.removeTarget(target, role)
	}
}

func (service *service) addTarget(target *targetRecord, role targetRole) {
	service.targetCount++
	switch role {
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

func (service *service) removeTarget(target *targetRecord, role targetRole) {
	service.targetCount--
	switch role {
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

// adjustTotals updates the service's sums for an active target that is added, with sign 1, or
// removed, with sign -1.
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
