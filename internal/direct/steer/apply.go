package steer

import (
	"net/netip"
	"slices"
	"time"

	"merlinpaddle/internal/direct/directory"
)

// applySnapshot replaces the table by a full snapshot of the directory. What this balancer
// recorded about targets that are in both is kept.
func (table *Table) applySnapshot(changes directory.Changes, now time.Time) {
	previous, previousRoutes := table.targets, table.routes
	first := table.revision == 0
	table.routes = make(map[netip.AddrPort]route, len(changes.Routes))
	table.targets = make(map[directory.Token]*targetRecord, len(changes.Targets))
	table.latestByID = make(map[directory.TargetID]*targetRecord, len(changes.Targets))
	for index := range changes.Targets {
		token := changes.Targets[index].Token
		if known, stays := previous[token]; stays {
			table.addTarget(known)
		}
	}
	table.applyEvacuations(changes.Zones)
	table.coldLimits.apply(changes.ColdLimits)
	table.applyRoutes(changes.Routes)
	for address := range previousRoutes {
		if _, stays := table.routes[address]; !stays {
			table.removedRoutes.add(address)
		}
	}
	table.applyTargets(changes.Targets, now, first)
	table.rebuildServices()
}

// addTarget adds a target's record to the table's indexes.
func (table *Table) addTarget(added *targetRecord) {
	table.targets[added.Token] = added
	if latest := table.latestByID[added.ID]; latest == nil || latest.Token < added.Token {
		table.latestByID[added.ID] = added
	}
}

// removeTarget removes a target's record from the table's indexes.
func (table *Table) removeTarget(token directory.Token) {
	removed, known := table.targets[token]
	if !known {
		return
	}
	delete(table.targets, token)
	if table.latestByID[removed.ID] == removed {
		delete(table.latestByID, removed.ID)
	}
}

// applyDelta applies changes that follow the table's revision. Changes of targets alone, which
// are frequent, update the services of these targets. Changes of zones, cold limits or region
// sets concern all targets and are rare: they rebuild all services.
func (table *Table) applyDelta(changes directory.Changes, now time.Time) {
	for _, address := range changes.Removed {
		delete(table.routes, address)
		table.removedRoutes.add(address)
	}
	table.applyRoutes(changes.Routes)
	if changes.Zones == nil && changes.ColdLimits == nil && slices.Equal(table.regionSets, table.routeRegionSets()) {
		table.applyTargetChanges(changes, now)
		return
	}
	for _, token := range changes.Forgotten {
		table.removeTarget(token)
	}
	table.applyEvacuations(changes.Zones)
	table.coldLimits.apply(changes.ColdLimits)
	table.applyTargets(changes.Targets, now, false)
	table.rebuildServices()
}

// applyTargetChanges applies changes of targets, and updates only the services of these targets.
func (table *Table) applyTargetChanges(changes directory.Changes, now time.Time) {
	for _, token := range changes.Forgotten {
		if removed, known := table.targets[token]; known {
			table.removeFromServices(removed)
			table.removeTarget(token)
		}
	}
	for _, entry := range changes.Targets {
		if current, known := table.targets[entry.Token]; known {
			table.removeFromServices(current)
		}
		table.addToServices(table.applyTarget(entry, now, false), nil)
	}
	table.finishDirtyServices()
}

// applyEvacuations replaces the evacuated zones; nil changes nothing.
func (table *Table) applyEvacuations(zones *directory.Zones) {
	if zones == nil {
		return
	}
	table.evacuated = make(map[string]directory.Evacuation, len(zones.Evacuated))
	for _, evacuation := range zones.Evacuated {
		table.evacuated[evacuation.Zone] = evacuation
	}
}

// applyRoutes adds or replaces routes.
func (table *Table) applyRoutes(entries []directory.RouteEntry) {
	for _, entry := range entries {
		added := route{parts: entry.Pool, objective: entry.Objective, priority: entry.Priority, regions: newRegionSet(entry.Regions)}
		for _, part := range entry.Pool {
			added.totalWeight += part.Weight
		}
		table.routes[entry.Address] = added
		table.removedRoutes.delete(entry.Address)
	}
}

// applyTargets adds or changes targets. first reports whether the entries come with the
// balancer's first snapshot, in which case it is not known how long ago the targets started.
func (table *Table) applyTargets(entries []directory.TargetEntry, now time.Time, first bool) {
	for _, entry := range entries {
		table.applyTarget(entry, now, first)
	}
}

// applyTarget adds or changes one target and returns its record. A new target that is cold is
// in slow start, unless it comes with the balancer's first snapshot.
func (table *Table) applyTarget(entry directory.TargetEntry, now time.Time, first bool) *targetRecord {
	known := table.targets[entry.Token]
	if known == nil {
		known = &targetRecord{TargetEntry: entry, seed: seedOf(entry.ID)}
		if !first {
			known.slowStartUntil = now.Add(entry.Cold)
		}
		table.addTarget(known)
	}
	if known.State != entry.State {
		known.avoidUntil = time.Time{}
	}
	if entry.Cold == 0 {
		known.slowStartUntil = time.Time{}
	}
	known.TargetEntry = entry
	known.region = table.options.Regions[entry.Zone]
	known.inLocalZone = entry.Zone != "" && entry.Zone == table.options.Zone
	return known
}
