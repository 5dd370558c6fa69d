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
type part uint8

const (
	// partNone: the target takes no new flows, and its service does not count it.
	partNone part = iota
	// partTaking: it takes new flows.
	partTaking
	// partCold: it is cold in a service that bounds that, and another balancer may give it
	// new flows. No balancer but the holder can know what the others send, so that the sum
	// over all keeps the bound whatever their tables say. With half the weight for cold
	// targets, 88 balancers brought 12 new flows in a second where 11 were allowed
	// (docs/design/zones.md).
	partCold
	// partHeld: it is cold as well, and this balancer is its holder.
	partHeld
	// partEvacuated: its zone was emptied.
	partEvacuated
)

// partOf returns what a target is in its service, by what the table knows.
func (table *Table) partOf(target *record) part {
	if target.State != directory.TargetReady {
		return partNone
	}
	if _, evacuated := table.evacuated[target.Zone]; evacuated {
		return partEvacuated
	}
	bounded := table.coldness.perSecond[target.Service] > 0
	switch {
	case !bounded || target.Cold == 0:
		return partTaking
	case target.Holder == table.options.Self && table.options.Self != "":
		return partHeld
	default:
		return partCold
	}
}

// rebuildServices collects all targets anew, for each home that a route has. Services keep
// what they learned.
func (table *Table) rebuildServices() {
	former := table.services
	table.services = make(map[serviceKey]*service)
	table.homesHeld = table.homes()
	for _, target := range table.targets {
		table.join(target, former)
	}
	table.settleServices()
}

// settleServices finishes the services whose targets changed, and forgets those without any.
func (table *Table) settleServices() {
	for _, key := range table.unsettled {
		changed := table.services[key]
		changed.changing = false
		if changed.members == 0 {
			delete(table.services, key)
			continue
		}
		changed.measureZones()
		changed.evacuatedSince = table.latestOrder(changed.evacuated)
	}
	table.unsettled = table.unsettled[:0]
}

// latestOrder returns the revision of the latest order that emptied one of the zones in
// which there are targets; zero without one.
func (table *Table) latestOrder(targets map[string]int) model.Revision {
	var latest model.Revision
	for zone, count := range targets {
		if count > 0 {
			latest = max(latest, table.evacuated[zone].Since)
		}
	}
	return latest
}

// unsettle notes that a service's targets change.
func (table *Table) unsettle(key serviceKey, changed *service) {
	if !changed.changing {
		changed.changing = true
		table.unsettled = append(table.unsettled, key)
	}
}

// join takes a target in at its services. former are the services that those which are new
// go on from.
func (table *Table) join(target *record, former map[serviceKey]*service) {
	joined := table.partOf(target)
	if joined == partNone {
		return
	}
	for _, home := range table.homesHeld {
		if !home.allows(target.region) {
			continue
		}
		key := serviceKey{name: target.Service, home: home}
		known := table.services[key]
		if known == nil {
			known = newService(former[key])
			known.heldRate = table.coldness.perSecond[key.name]
			table.services[key] = known
		}
		table.unsettle(key, known)
		known.join(target, joined)
	}
}

// leave takes a target out at its services. The target and the table's zones, bounds and
// homes must be as they were when it joined.
func (table *Table) leave(target *record) {
	left := table.partOf(target)
	if left == partNone {
		return
	}
	for _, home := range table.homesHeld {
		key := serviceKey{name: target.Service, home: home}
		known := table.services[key]
		if known == nil || !home.allows(target.region) {
			continue
		}
		table.unsettle(key, known)
		known.leave(target, left)
	}
}

func (service *service) join(target *record, joined part) {
	service.members++
	switch joined {
	case partTaking:
		service.pool.add(target)
		service.count(target, 1)
	case partHeld:
		service.cold++
		service.held = append(service.held, target)
	case partCold:
		service.cold++
	case partEvacuated:
		if service.evacuated == nil {
			service.evacuated = make(map[string]int)
		}
		service.evacuated[target.Zone]++
	}
}

func (service *service) leave(target *record, left part) {
	service.members--
	switch left {
	case partTaking:
		service.pool.remove(target)
		service.count(target, -1)
	case partHeld:
		service.cold--
		service.held = slices.DeleteFunc(service.held, func(held *record) bool { return held == target })
	case partCold:
		service.cold--
	case partEvacuated:
		service.evacuated[target.Zone]--
	}
}

// count changes the service's sums by a target that comes, with 1, or goes, with -1.
func (service *service) count(target *record, sign int) {
	service.capacity += sign * target.Capacity
	service.zoneSlots[target.Zone] += sign * target.slots()
	if service.zoneSlots[target.Zone] == 0 {
		delete(service.zoneSlots, target.Zone)
	}
	if target.near {
		service.nearSlots += sign * target.slots()
	}
}
